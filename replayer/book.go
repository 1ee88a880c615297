package replayer

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/tracer"
)

// Bounds of the histograms in microseconds.
const (
	lowestTime  = 1
	highestTime = int64(5 * time.Minute / time.Microsecond)
	timeDigits  = 3
)

// book keeps the measures of a replay.
type book struct {
	header  tracer.Header
	classes map[identifier.Class]*tally
	// spent is the prefill time of each attempt that is not settled.
	spent map[identifier.Hold]time.Duration
	// fate says what became of an attempt's prefill, if it was of use.
	fate map[identifier.Hold]fate
	// classOf is the class of each try.
	classOf map[identifier.Request]identifier.Class
	// lastEnd is when the last request ended.
	lastEnd time.Time
	// arrivals and good count the first tries and the good answers by the
	// second of the trace in which their try arrived.
	arrivals, good []int
	// stray counts holds of requests that are gone.
	stray int
}

// fate is what became of a prefill.
type fate int

const (
	fateWasted fate = iota
	fateUsed
	fateCut
)

// tally keeps the measures of one class.
type tally struct {
	class                         admitter.Class
	requests                      int
	answered, refused, lost, gone int
	good, goodInPeak              int
	placedThenRefused             int
	returns, retries              int
	reasons                       map[admitter.Reason]int
	first, pace                   *hdrhistogram.Histogram
	// spent is the prefill time by fate.
	spent [fateCut + 1]time.Duration
}

func newBook(header tracer.Header) *book {
	b := &book{
		header:  header,
		classes: make(map[identifier.Class]*tally),
		spent:   make(map[identifier.Hold]time.Duration),
		fate:    make(map[identifier.Hold]fate),
		classOf: make(map[identifier.Request]identifier.Class),
	}
	for _, class := range header.Classes {
		b.classes[class.Name] = newTally(class)
	}
	return b
}

func newTally(class admitter.Class) *tally {
	return &tally{
		class:   class,
		reasons: make(map[admitter.Reason]int),
		first:   hdrhistogram.New(lowestTime, highestTime, timeDigits),
		pace:    hdrhistogram.New(lowestTime, highestTime, timeDigits),
	}
}

func (b *book) prefill(hold identifier.Hold, spent time.Duration) { b.spent[hold] += spent }

func (b *book) used(hold identifier.Hold) { b.fate[hold] = fateUsed }

// cut notes a prefill whose caller went away in the middle of the answer.
func (b *book) cut(hold identifier.Hold) { b.fate[hold] = fateCut }

func (b *book) refusal(c *caller, reason admitter.Reason) {
	b.classes[c.Class].reasons[reason]++
}

// close counts the end of a caller's request.
func (b *book) close(c *caller) {
	b.lastEnd = c.now
	b.arrivals = b.countSecond(b.arrivals, c.Time)
	t := b.classes[c.Class]
	t.requests++
	t.returns += c.try
	t.retries += c.retries
	switch c.end {
	case endingAnswered:
		if t.answer(c, b.inPeak(c.arrived)) {
			b.good = b.countSecond(b.good, c.arrived)
		}
	case endingRefused:
		t.refused++
		if c.placed {
			t.placedThenRefused++
		}
	case endingWithdrawn:
		t.gone++
	default:
		t.lost++
	}
}

func (b *book) inPeak(t time.Time) bool {
	return !t.Before(b.header.PeakFrom) && t.Before(b.header.PeakTo)
}

// answer reports whether the answer met both targets.
func (t *tally) answer(c *caller, inPeak bool) bool {
	t.answered++
	first, pace := c.latencies()
	record(t.first, first)
	if c.Output > 1 {
		record(t.pace, pace)
	}
	if first > t.class.FirstToken || pace > t.class.PerToken {
		return false
	}
	t.good++
	if inPeak {
		t.goodInPeak++
	}
	return true
}

// countSecond adds one to the second of the trace that t is in.
func (b *book) countSecond(counts []int, t time.Time) []int {
	second := int(t.Sub(b.header.Time) / time.Second)
	for len(counts) <= second {
		counts = append(counts, 0)
	}
	counts[second]++
	return counts
}

// latencies returns the time to the first token of the answered try and the
// mean time between its later tokens.
func (c *caller) latencies() (first, pace time.Duration) {
	first = c.first.Sub(c.arrived)
	if c.Output > 1 {
		pace = c.now.Sub(c.first) / time.Duration(c.Output-1)
	}
	return first, pace
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// A time outside of the histogram's bounds is counted at its edge.
	_ = h.RecordValue(min(max(d.Microseconds(), lowestTime), highestTime))
}
