package estimator

import (
	"math"
	"sort"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLengthTokens is the largest recorded length. Longer ones count as this
	// length.
	maxLengthTokens = 1 << 20
	// histogramDigits is the precision of the histograms in decimal digits.
	histogramDigits = 2
	// maxWindowSamples is the number of samples in one of the two windows.
	maxWindowSamples = 1024
	// rebuildInterval is the number of samples between rebuilds of the
	// quantiles.
	rebuildInterval = 16
	// quantileSteps is the number of equal probability steps in the quantiles.
	quantileSteps = 64
	// priorSamples is the weight of the prior in samples.
	priorSamples = 16
)

// Lengths learns a distribution of lengths in tokens. It merges two windows of
// a limited number of samples and drops the older one when the newer is full,
// so that old lengths are forgotten.
type Lengths struct {
	current, previous *hdrhistogram.Histogram
	sinceRebuild      int
	// quantiles holds the lengths at equal steps of probability, in ascending
	// order.
	quantiles [quantileSteps + 1]float64
	mean      float64
}

// NewLengths returns a distribution with an exponential prior of the given
// median.
func NewLengths(median float64) *Lengths {
	l := &Lengths{current: newHistogram(), previous: newHistogram()}
	mean := median / math.Ln2
	for i := range priorSamples {
		p := (float64(i) + 0.5) / priorSamples
		record(l.current, -mean*math.Log(1-p))
	}
	l.rebuild()
	return l
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLengthTokens, histogramDigits)
}

func record(h *hdrhistogram.Histogram, n float64) {
	v := int64(min(max(n, 1), maxLengthTokens))
	if err := h.RecordValue(v); err != nil {
		panic(err)
	}
}

// Observe adds one length.
func (l *Lengths) Observe(n float64) {
	record(l.current, n)
	l.sinceRebuild++
	if l.current.TotalCount() >= maxWindowSamples {
		l.current, l.previous = l.previous, l.current
		l.current.Reset()
	}
	if l.sinceRebuild >= rebuildInterval {
		l.rebuild()
	}
}

func (l *Lengths) rebuild() {
	l.sinceRebuild = 0
	all := newHistogram()
	all.Merge(l.current)
	all.Merge(l.previous)
	for i := range l.quantiles {
		l.quantiles[i] = float64(all.ValueAtQuantile(100 * float64(i) / quantileSteps))
	}
	l.quantiles[0] = 0
	l.mean = all.Mean()
}

// Quantile returns the length that a share p of all lengths does not exceed.
func (l *Lengths) Quantile(p float64) float64 {
	at := min(max(p, 0), 1) * quantileSteps
	i := min(int(at), quantileSteps-1)
	return l.quantiles[i] + (at-float64(i))*(l.quantiles[i+1]-l.quantiles[i])
}

// Mean returns the mean length.
func (l *Lengths) Mean() float64 { return l.mean }

// Below returns the share of lengths that do not exceed n.
func (l *Lengths) Below(n float64) float64 {
	if n >= l.quantiles[quantileSteps] {
		return 1
	}
	i := sort.SearchFloat64s(l.quantiles[:], n)
	if i == 0 {
		return 0
	}
	low, high := l.quantiles[i-1], l.quantiles[i]
	return (float64(i-1) + (n-low)/max(high-low, 1e-9)) / quantileSteps
}

// EndsWithin returns the probability that a stream that has already generated
// some tokens ends within further ones.
func (l *Lengths) EndsWithin(generated, further float64) float64 {
	belowGenerated := l.Below(generated)
	if belowGenerated >= 1 {
		return endProbabilityBeyondTable
	}
	return (l.Below(generated+further) - belowGenerated) / (1 - belowGenerated)
}

// Remaining returns the quantile p of the remaining tokens of a stream that has
// already generated some.
func (l *Lengths) Remaining(generated, p float64) float64 {
	belowGenerated := l.Below(generated)
	return max(1, l.Quantile(belowGenerated+p*(1-belowGenerated))-generated)
}

// endProbabilityBeyondTable is the result of EndsWithin for a stream that is
// longer than any in the quantiles.
const endProbabilityBeyondTable = 0.5
