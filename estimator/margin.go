package estimator

// Margin tracks a quantile of a prediction error by stochastic steps: up after
// an error above it, down after one below it.
type Margin struct {
	// quantile is from 0 to 1; step is the largest change by one sample.
	quantile, step float64
	value          float64
}

// NewMargin returns a margin that starts at value and tracks the quantile
// share.
func NewMargin(share, step, value float64) *Margin {
	return &Margin{quantile: share, step: step, value: value}
}

// Observe adds one error, actual minus predicted.
func (m *Margin) Observe(err float64) {
	if err > m.value {
		m.value += m.step * m.quantile
		return
	}
	m.value -= m.step * (1 - m.quantile)
}

// Value returns the current margin.
func (m *Margin) Value() float64 { return m.value }
