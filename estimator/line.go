// Package estimator learns the costs that placement predicts: straight lines
// for times, quantiles for lengths, and the error of each estimate.
package estimator

// decay is the weight that the past keeps with each new sample.
const decay = 0.99

// Line learns y = base + slope*x from samples. Older samples fade. The prior
// is held by pseudo-samples, so that the first samples cannot swing it.
type Line struct {
	// weight, x, y, xx and xy are sums over faded samples.
	weight, x, y, xx, xy float64
	prior                *Line
	base, slope          float64
}

// NewLine returns a line with a prior that weighs as much as weight samples
// spread over [0, span].
func NewLine(base, slope, span, weight float64) *Line {
	p := &Line{}
	for _, x := range []float64{0, span / 2, span} {
		p.add(x, base+slope*x, weight/3)
	}
	return &Line{prior: p, base: base, slope: slope}
}

// At returns the estimate at x; it is never negative.
func (l *Line) At(x float64) float64 {
	return max(0, l.base+l.slope*x)
}

// Base returns the estimate at zero.
func (l *Line) Base() float64 { return max(0, l.base) }

// Slope returns the estimated rise for one unit of x.
func (l *Line) Slope() float64 { return l.slope }

// Observe learns from one sample.
func (l *Line) Observe(x, y float64) {
	l.weight *= decay
	l.x *= decay
	l.y *= decay
	l.xx *= decay
	l.xy *= decay
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

// solve is weighted least squares over the samples and the prior.
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
