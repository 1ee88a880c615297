// Package estimator learns the costs that placement predicts: linear models for
// times, quantiles for lengths, and the error of each estimate.
package estimator

// sampleDecay is the factor by which each new sample reduces the weight of
// older ones.
const sampleDecay = 0.99

// Line learns y = base + slope*x by weighted least squares. The weight of older
// samples decays. The prior acts as additional samples, so that the first real
// samples don't shift the estimate too far.
type Line struct {
	// weight, x, y, xx and xy are weighted sums over the samples.
	weight, x, y, xx, xy float64
	prior                *Line
	base, slope          float64
}

// NewLine returns a line with a prior of the given total weight in samples,
// spread over [0, span].
func NewLine(base, slope, span, weight float64) *Line {
	p := &Line{}
	for _, x := range []float64{0, span / 2, span} {
		p.add(x, base+slope*x, weight/3)
	}
	return &Line{prior: p, base: base, slope: slope}
}

// At returns the estimate at x, which is never negative.
func (l *Line) At(x float64) float64 {
	return max(0, l.base+l.slope*x)
}

// Base returns the estimate at x = 0.
func (l *Line) Base() float64 { return max(0, l.base) }

// Slope returns the estimated increase per unit of x.
func (l *Line) Slope() float64 { return l.slope }

// Observe adds one sample.
func (l *Line) Observe(x, y float64) {
	l.weight *= sampleDecay
	l.x *= sampleDecay
	l.y *= sampleDecay
	l.xx *= sampleDecay
	l.xy *= sampleDecay
	l.add(x, y, 1)
	l.solve()
}

func (l *Line) add(x, y, w float64) {
	l.weight += w
	l.x += w * x
	l.y += w * y
	l.xx += w * x * x
	l.xy += w * x * y
}

// solve fits the line to the samples and the prior by weighted least squares.
func (l *Line) solve() {
	w, x, y := l.weight+l.prior.weight, l.x+l.prior.x, l.y+l.prior.y
	xx, xy := l.xx+l.prior.xx, l.xy+l.prior.xy
	det := w*xx - x*x
	if det <= 0 {
		return
	}
	slope := max(0, (w*xy-x*y)/det)
	l.slope = slope
	l.base = (y - slope*x) / w
}
