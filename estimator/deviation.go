package estimator

import "math"

// deviationWeight is the weight of a new sample, as a share of the mean.
const deviationWeight = 0.02

// Deviation is the exponentially weighted mean error of a prediction.
type Deviation struct {
	// Samples counts all samples.
	Samples uint64
	// Bias is the mean of actual minus predicted, in the unit of both.
	Bias float64
	// Absolute is the mean absolute difference between actual and predicted.
	Absolute float64
	// Actual is the mean of the actual values.
	Actual float64
}

// Observe adds a pair of a predicted and an actual value.
func (d *Deviation) Observe(predicted, actual float64) {
	d.Samples++
	w := max(deviationWeight, 1/float64(d.Samples))
	d.Bias += w * (actual - predicted - d.Bias)
	d.Absolute += w * (math.Abs(actual-predicted) - d.Absolute)
	d.Actual += w * (actual - d.Actual)
}

// Relative returns the mean absolute error as a share of the mean actual value.
func (d *Deviation) Relative() float64 {
	if d.Actual <= 0 {
		return 0
	}
	return d.Absolute / d.Actual
}
