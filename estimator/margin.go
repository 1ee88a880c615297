package estimator

// Margin follows a quantile of the error of a prediction by small steps.
type Margin struct {
	// share is the quantile, from 0 to 1; step is the most that one sample
	// moves the margin by.
	share, step float64
	value       float64
}

// NewMargin returns a margin that starts at value.
func NewMargin(share, step, value float64) *Margin {
	return &Margin{share: share, step: step, value: value}
}

// Observe learns one error, actual minus predicted.
func (m *Margin) Observe(err float64) {
	if err > m.value {
		m.value += m.step * m.share
		return
	}
	m.value -= m.step * (1 - m.share)
}

// Value returns the margin.
func (m *Margin) Value() float64 { return m.value }
