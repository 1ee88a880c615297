package estimator

import (
	"math"
	"sort"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLength is the longest length that is told apart, in tokens.
	maxLength = 1 << 20
	// lengthDigits is the precision of the histograms in decimal digits.
	lengthDigits = 2
	// windowSamples is how many samples one of the two windows holds.
	windowSamples = 1024
	// tableEvery is the number of samples between two rebuilds of the table.
	tableEvery = 16
	// tableSteps is the number of equal steps of probability in the table.
	tableSteps = 64
	// priorSamples is the weight of the prior in samples.
	priorSamples = 16
)

// Lengths learns a distribution of lengths in tokens. Two windows of a
// bounded number of samples make it forget.
type Lengths struct {
	now, before *hdrhistogram.Histogram
	fresh       int
	// table holds the lengths at equal steps of probability; it never falls.
	table [tableSteps + 1]float64
	mean  float64
}

// NewLengths returns a distribution whose prior is exponential with the
// given median.
func NewLengths(median float64) *Lengths {
	l := &Lengths{now: newHistogram(), before: newHistogram()}
	mean := median / math.Ln2
	for i := range priorSamples {
		p := (float64(i) + 0.5) / priorSamples
		record(l.now, -mean*math.Log(1-p))
	}
	l.rebuild()
	return l
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLength, lengthDigits)
}

func record(h *hdrhistogram.Histogram, n float64) {
	v := int64(min(max(n, 1), maxLength))
	if err := h.RecordValue(v); err != nil {
		panic(err)
	}
}

// Observe learns one length.
func (l *Lengths) Observe(n float64) {
	record(l.now, n)
	l.fresh++
	if l.now.TotalCount() >= windowSamples {
		l.now, l.before = l.before, l.now
		l.now.Reset()
	}
	if l.fresh >= tableEvery {
		l.rebuild()
	}
}

func (l *Lengths) rebuild() {
	l.fresh = 0
	all := newHistogram()
	all.Merge(l.now)
	all.Merge(l.before)
	for i := range l.table {
		l.table[i] = float64(all.ValueAtQuantile(100 * float64(i) / tableSteps))
	}
	l.table[0] = 0
	l.mean = all.Mean()
}

// Quantile returns the length that a share p of all lengths does not exceed.
func (l *Lengths) Quantile(p float64) float64 {
	at := min(max(p, 0), 1) * tableSteps
	i := min(int(at), tableSteps-1)
	return l.table[i] + (at-float64(i))*(l.table[i+1]-l.table[i])
}

// Mean returns the mean length.
func (l *Lengths) Mean() float64 { return l.mean }

// Below returns the share of lengths that do not exceed n.
func (l *Lengths) Below(n float64) float64 {
	if n >= l.table[tableSteps] {
		return 1
	}
	i := sort.SearchFloat64s(l.table[:], n)
	if i == 0 {
		return 0
	}
	low, high := l.table[i-1], l.table[i]
	return (float64(i-1) + (n-low)/max(high-low, 1e-9)) / tableSteps
}

// EndsWithin returns the probability that a stream with made tokens has at
// most more further ones.
func (l *Lengths) EndsWithin(made, more float64) float64 {
	gone := l.Below(made)
	if gone >= 1 {
		return beyondTable
	}
	return (l.Below(made+more) - gone) / (1 - gone)
}

// Rest returns the quantile p of the tokens that a stream with made tokens
// still has before it.
func (l *Lengths) Rest(made, p float64) float64 {
	gone := l.Below(made)
	return max(1, l.Quantile(gone+p*(1-gone))-made)
}

// beyondTable is the probability used for a stream longer than any seen.
const beyondTable = 0.5
