package replayer

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/tracer"
)

// Range of the latency histograms in microseconds, and their precision in
// significant decimal digits.
const (
	minLatencyMicros  = 1
	maxLatencyMicros  = int64(5 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// collector collects the measures of a replay.
type collector struct {
	header  tracer.Header
	classes map[identifier.Class]*tally
	// prefillTime is the time that prefill engines spent on each attempt.
	prefillTime map[identifier.Hold]time.Duration
	// use maps an attempt to the use of its prefill. The prefill of an attempt
	// without an entry is wasted.
	use map[identifier.Hold]prefillUse
	// classOf is the class of each try.
	classOf map[identifier.Request]identifier.Class
	// lastEnd is when the latest request to end did so.
	lastEnd time.Time
	// arrivals counts the first tries, and good the answers within both
	// targets, for each second of the trace in which the try arrived.
	arrivals, good []int
	// stray counts the holds that outlived their request by releaseTimeout.
	stray int
}

// prefillUse is whether a prefill led to an answer: to none, to a whole one, or
// to one during which the caller went away.
type prefillUse int

const (
	prefillWasted prefillUse = iota
	prefillUsed
	prefillCut
)

// tally counts the measures of one class.
type tally struct {
	class                              admitter.Class
	requests                           int
	answered, refused, lost, withdrawn int
	good, goodInPeak                   int
	placedThenRefused                  int
	returns, retries                   int
	reasons                            map[admitter.Reason]int
	firstTokenTimes, tokenIntervals    *hdrhistogram.Histogram
	// prefillTime is indexed by prefillUse.
	prefillTime [prefillCut + 1]time.Duration
}

func newCollector(header tracer.Header) *collector {
	b := &collector{
		header:      header,
		classes:     make(map[identifier.Class]*tally),
		prefillTime: make(map[identifier.Hold]time.Duration),
		use:         make(map[identifier.Hold]prefillUse),
		classOf:     make(map[identifier.Request]identifier.Class),
	}
	for _, class := range header.Classes {
		b.classes[class.Name] = newTally(class)
	}
	return b
}

func newTally(class admitter.Class) *tally {
	return &tally{
		class:           class,
		reasons:         make(map[admitter.Reason]int),
		firstTokenTimes: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits),
		tokenIntervals:  hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits),
	}
}

func (b *collector) addPrefillTime(hold identifier.Hold, spent time.Duration) {
	b.prefillTime[hold] += spent
}

func (b *collector) markUsed(hold identifier.Hold) { b.use[hold] = prefillUsed }

// markCut records that the caller went away during the answer.
func (b *collector) markCut(hold identifier.Hold) { b.use[hold] = prefillCut }

func (b *collector) countRefusal(c *caller, reason admitter.Reason) {
	b.classes[c.Class].reasons[reason]++
}

// recordEnd counts the request of a caller under its final state.
func (b *collector) recordEnd(c *caller) {
	b.lastEnd = c.now
	b.arrivals = b.countSecond(b.arrivals, c.Time)
	t := b.classes[c.Class]
	t.requests++
	t.returns += c.returns
	t.retries += c.retries
	switch c.state {
	case callerAnswered:
		if t.recordAnswer(c, b.inPeak(c.arrived)) {
			b.good = b.countSecond(b.good, c.arrived)
		}
	case callerRefused:
		t.refused++
		if c.wasPlaced {
			t.placedThenRefused++
		}
	case callerWithdrawn:
		t.withdrawn++
	default:
		t.lost++
	}
}

func (b *collector) inPeak(t time.Time) bool {
	return !t.Before(b.header.PeakFrom) && t.Before(b.header.PeakTo)
}

// recordAnswer counts an answer and reports whether it met both targets.
func (t *tally) recordAnswer(c *caller, inPeak bool) bool {
	t.answered++
	firstToken, tokenInterval := c.latencies()
	recordDuration(t.firstTokenTimes, firstToken)
	if c.Output > 1 {
		recordDuration(t.tokenIntervals, tokenInterval)
	}
	if firstToken > t.class.FirstToken || tokenInterval > t.class.PerToken {
		return false
	}
	t.good++
	if inPeak {
		t.goodInPeak++
	}
	return true
}

// countSecond adds 1 to the entry of counts for the second of the trace in
// which t lies. It extends counts as needed.
func (b *collector) countSecond(counts []int, t time.Time) []int {
	second := int(t.Sub(b.header.Time) / time.Second)
	for len(counts) <= second {
		counts = append(counts, 0)
	}
	counts[second]++
	return counts
}

// latencies returns the time to the first token of the answered try, and the
// mean time between its tokens or 0 if it has only one.
func (c *caller) latencies() (firstToken, tokenInterval time.Duration) {
	firstToken = c.firstTokenAt.Sub(c.arrived)
	if c.Output > 1 {
		tokenInterval = c.now.Sub(c.firstTokenAt) / time.Duration(c.Output-1)
	}
	return firstToken, tokenInterval
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	// A value outside the histogram's range is recorded at its nearest bound,
	// so RecordValue doesn't fail.
	_ = h.RecordValue(min(max(d.Microseconds(), minLatencyMicros), maxLatencyMicros))
}
