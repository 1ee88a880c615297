package replayer

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/tracer"
)

// Result holds the measures of one replay. Times are in milliseconds.
type Result struct {
	Policy   string
	Site     string
	Scenario string
	Load     float64
	Seed     uint64
	Whole    Measures
	Classes  []Measures
	// Capacity is the site's capacity in requests a second, Bound the goodput
	// a second of Clairvoyant over the time at the full rate.
	Capacity, Bound float64
	// MessagesPerVM and BytesPerVM are means per second over the VMs;
	// MessagesMax and BytesMax those of the busiest VM.
	MessagesPerVM, BytesPerVM float64
	MessagesMax, BytesMax     float64
	// Arrivals and Good count the requests and the answers inside both
	// targets for each second of the trace, by the arrival of the try.
	Arrivals, Good []int
	// Stray counts the holds that engines had for requests that were gone for
	// releaseTime, or at the end. It must be 0.
	Stray int
}

// Measures are those of one class or of all.
type Measures struct {
	Class identifier.Class
	// Requests counts each original request once.
	Requests  int
	Answered  int
	Refused   int
	Withdrawn int
	// Lost counts the requests that were neither answered nor refused nor
	// withdrawn.
	Lost int
	// PlacedThenRefused is the part of Refused that had been placed before.
	PlacedThenRefused int
	// Returns counts the tries of refused callers who came again.
	Returns int
	// Retries counts the attempts after the first of each try.
	Retries int
	// Good counts the requests answered within both targets, Goodput is its
	// share of the requests not withdrawn.
	Good    int
	Goodput float64
	// GoodputPerSecond is over the tries that arrived at the full rate.
	GoodputPerSecond float64
	FirstToken       Percentiles
	PerToken         Percentiles
	// PrefillSeconds is the time of the prefill engines that was spent.
	PrefillSeconds float64
	// Wasted is the share of PrefillSeconds that no answer used.
	Wasted float64
	// Cut is the share whose callers went away in the middle of the answer.
	Cut      float64
	Refusals map[admitter.Reason]int `json:",omitempty"`
}

// Percentiles are in milliseconds.
type Percentiles struct{ P50, P95, P99 float64 }

// Of says whether the result is one of the trace with a header.
func (r Result) Of(header tracer.Header) bool {
	return r.Site == header.Site && r.Scenario == header.Scenario &&
		r.Load == header.Load && r.Seed == header.Seed
}

func (r *run) result(policy string) Result {
	for _, c := range r.callers {
		if c.end == endingOpen {
			c.finish(endingLost)
		}
	}
	r.book.settle()
	whole := newTally(admitter.Class{Name: "all"})
	result := Result{
		Policy: policy, Site: r.trace.Header.Site, Scenario: r.trace.Header.Scenario,
		Load: r.trace.Header.Load, Seed: r.trace.Header.Seed,
		Capacity: r.trace.Header.Capacity.PerSecond,
		Bound:    Clairvoyant(r.trace).Whole.GoodputPerSecond,
		Arrivals: r.book.arrivals, Good: r.book.good,
	}
	peak := r.trace.Header.PeakTo.Sub(r.trace.Header.PeakFrom)
	for _, class := range r.trace.Header.Classes {
		t := r.book.classes[class.Name]
		result.Classes = append(result.Classes, t.measures(peak))
		whole.add(t)
	}
	result.Whole = whole.measures(peak)
	r.countTraffic(&result)
	result.Stray = r.book.stray
	for _, e := range r.engines {
		if !e.dead {
			result.Stray += len(e.Holds())
		}
	}
	return result
}

// settle moves the prefill time of each attempt to its class and fate.
func (b *book) settle() {
	for hold, spent := range b.spent {
		b.classes[b.classOf[hold.Request]].spent[b.fate[hold]] += spent
	}
}

func (r *run) countTraffic(result *Result) {
	seconds := r.book.lastEnd.Sub(r.trace.Header.Time).Seconds()
	if seconds <= 0 {
		return
	}
	for _, header := range r.trace.Header.VMs {
		v := r.vms[header.ID]
		result.MessagesPerVM += float64(v.messages) / seconds / float64(len(r.vms))
		result.BytesPerVM += float64(v.bytes) / seconds / float64(len(r.vms))
		result.MessagesMax = max(result.MessagesMax, float64(v.messages)/seconds)
		result.BytesMax = max(result.BytesMax, float64(v.bytes)/seconds)
	}
}

func (t *tally) add(o *tally) {
	t.requests += o.requests
	t.answered += o.answered
	t.refused += o.refused
	t.lost += o.lost
	t.gone += o.gone
	t.good += o.good
	t.goodInPeak += o.goodInPeak
	t.placedThenRefused += o.placedThenRefused
	t.returns += o.returns
	t.retries += o.retries
	for reason, n := range o.reasons {
		t.reasons[reason] += n
	}
	t.first.Merge(o.first)
	t.pace.Merge(o.pace)
	for i := range o.spent {
		t.spent[i] += o.spent[i]
	}
}

func (t *tally) measures(peak time.Duration) Measures {
	m := Measures{
		Class: t.class.Name, Requests: t.requests, Answered: t.answered, Refused: t.refused,
		Withdrawn: t.gone, Lost: t.lost, PlacedThenRefused: t.placedThenRefused,
		Returns: t.returns, Retries: t.retries, Good: t.good,
		Goodput:        ratio(float64(t.good), float64(t.requests-t.gone)),
		FirstToken:     percentiles(t.first),
		PerToken:       percentiles(t.pace),
		PrefillSeconds: (t.spent[fateWasted] + t.spent[fateUsed] + t.spent[fateCut]).Seconds(),
		Refusals:       t.reasons,
	}
	m.GoodputPerSecond = ratio(float64(t.goodInPeak), peak.Seconds())
	m.Wasted = ratio(t.spent[fateWasted].Seconds(), m.PrefillSeconds)
	m.Cut = ratio(t.spent[fateCut].Seconds(), m.PrefillSeconds)
	return m
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	const perMillisecond = 1000
	at := func(p float64) float64 { return float64(h.ValueAtPercentile(p)) / perMillisecond }
	return Percentiles{P50: at(50), P95: at(95), P99: at(99)}
}
