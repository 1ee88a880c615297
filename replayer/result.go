package replayer

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/tracer"
)

// Result holds the measures of one replay. Latencies are in milliseconds.
type Result struct {
	Policy   string
	Site     string
	Scenario string
	Load     float64
	Seed     uint64
	Whole    Measures
	Classes  []Measures
	// Capacity is the capacity of the site and Bound the goodput of Clairvoyant
	// at the full rate, both in requests per second.
	Capacity, Bound float64
	// MessagesPerVM and BytesPerVM are the control messages and their bytes per
	// second, as a mean over the VMs. MessagesMax and BytesMax are the highest
	// values of a VM.
	MessagesPerVM, BytesPerVM float64
	MessagesMax, BytesMax     float64
	// Arrivals counts the requests, and Good the answers within both targets,
	// for each second of the trace in which the try arrived.
	Arrivals, Good []int
	// Stray counts the holds that engines still had releaseTimeout after the
	// request ended, or at the end of the replay. It must be 0.
	Stray int
}

// Measures holds the measures of one class, or of all classes together.
type Measures struct {
	Class identifier.Class
	// Requests counts the arrivals of the trace, without returns.
	Requests  int
	Answered  int
	Refused   int
	Withdrawn int
	// Lost counts the requests that were not answered, refused or withdrawn.
	Lost int
	// PlacedThenRefused counts the refused requests that were placed before.
	PlacedThenRefused int
	// Returns counts the tries that callers started after a refusal.
	Returns int
	// Retries counts the attempts after the first of each try.
	Retries int
	// Good counts the requests answered within both targets. Goodput is Good
	// as a share of the requests that were not withdrawn.
	Good    int
	Goodput float64
	// GoodputPerSecond counts the good answers to tries that arrived at the
	// full rate, per second of that time.
	GoodputPerSecond float64
	FirstToken       Percentiles
	PerToken         Percentiles
	// PrefillSeconds is the time that prefill engines spent on prefills.
	PrefillSeconds float64
	// Wasted is the share of PrefillSeconds that led to no answer.
	Wasted float64
	// Cut is the share of PrefillSeconds whose callers went away during the
	// answer.
	Cut      float64
	Refusals map[admitter.Reason]int `json:",omitempty"`
}

// Percentiles holds percentiles of a latency in milliseconds.
type Percentiles struct{ P50, P95, P99 float64 }

// MatchesTrace reports whether the result comes from the trace with the given
// header.
func (r Result) MatchesTrace(header tracer.Header) bool {
	return r.Site == header.Site && r.Scenario == header.Scenario &&
		r.Load == header.Load && r.Seed == header.Seed
}

func (r *replay) result(policy string) Result {
	for _, c := range r.callers {
		if c.state == callerWaiting {
			c.finish(callerLost)
		}
	}
	r.collector.settlePrefillTime()
	whole := newTally(admitter.Class{Name: "all"})
	result := Result{
		Policy: policy, Site: r.trace.Header.Site, Scenario: r.trace.Header.Scenario,
		Load: r.trace.Header.Load, Seed: r.trace.Header.Seed,
		Capacity: r.trace.Header.Capacity.PerSecond,
		Bound:    Clairvoyant(r.trace).Whole.GoodputPerSecond,
		Arrivals: r.collector.arrivals, Good: r.collector.good,
	}
	peak := r.trace.Header.PeakTo.Sub(r.trace.Header.PeakFrom)
	for _, class := range r.trace.Header.Classes {
		t := r.collector.classes[class.Name]
		result.Classes = append(result.Classes, t.measures(peak))
		whole.merge(t)
	}
	result.Whole = whole.measures(peak)
	r.countTraffic(&result)
	result.Stray = r.collector.stray
	for _, e := range r.engines {
		if !e.dead {
			result.Stray += len(e.Holds())
		}
	}
	return result
}

// settlePrefillTime adds the prefill time of each attempt to its class, by its
// use.
func (b *collector) settlePrefillTime() {
	for hold, spent := range b.prefillTime {
		b.classes[b.classOf[hold.Request]].prefillTime[b.use[hold]] += spent
	}
}

func (r *replay) countTraffic(result *Result) {
	seconds := r.collector.lastEnd.Sub(r.trace.Header.Time).Seconds()
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

func (t *tally) merge(o *tally) {
	t.requests += o.requests
	t.answered += o.answered
	t.refused += o.refused
	t.lost += o.lost
	t.withdrawn += o.withdrawn
	t.good += o.good
	t.goodInPeak += o.goodInPeak
	t.placedThenRefused += o.placedThenRefused
	t.returns += o.returns
	t.retries += o.retries
	for reason, n := range o.reasons {
		t.reasons[reason] += n
	}
	t.firstTokenTimes.Merge(o.firstTokenTimes)
	t.tokenIntervals.Merge(o.tokenIntervals)
	for i := range o.prefillTime {
		t.prefillTime[i] += o.prefillTime[i]
	}
}

func (t *tally) measures(peak time.Duration) Measures {
	m := Measures{
		Class: t.class.Name, Requests: t.requests, Answered: t.answered, Refused: t.refused,
		Withdrawn: t.withdrawn, Lost: t.lost, PlacedThenRefused: t.placedThenRefused,
		Returns: t.returns, Retries: t.retries, Good: t.good,
		Goodput:        ratio(float64(t.good), float64(t.requests-t.withdrawn)),
		FirstToken:     percentiles(t.firstTokenTimes),
		PerToken:       percentiles(t.tokenIntervals),
		PrefillSeconds: (t.prefillTime[prefillWasted] + t.prefillTime[prefillUsed] + t.prefillTime[prefillCut]).Seconds(),
		Refusals:       t.reasons,
	}
	m.GoodputPerSecond = ratio(float64(t.goodInPeak), peak.Seconds())
	m.Wasted = ratio(t.prefillTime[prefillWasted].Seconds(), m.PrefillSeconds)
	m.Cut = ratio(t.prefillTime[prefillCut].Seconds(), m.PrefillSeconds)
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
