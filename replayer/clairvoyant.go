package replayer

import (
	"time"

	"github.com/tidwall/btree"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/faker"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/tracer"
)

// tick is the time between two decisions of the clairvoyant order.
const tick = 2 * time.Millisecond

// Clairvoyant returns what an order by deadline reaches that knows the length
// of each answer and has the engines of each role as one: no message takes
// time, no memory is split between engines, every prefix that was seen is
// cached, and no request is started that can't meet its target or whose caller
// goes away.
func Clairvoyant(trace *tracer.Trace) Result {
	o := newOracle(trace)
	last := trace.Header.Time
	if n := len(trace.Arrivals); n > 0 {
		last = trace.Arrivals[n-1].Time.Add(settleTime)
	}
	for now := trace.Header.Time; now.Before(last) && !o.idle(); now = now.Add(tick) {
		o.step(now)
	}
	return o.result()
}

// oracle is the state of the clairvoyant order.
type oracle struct {
	trace   *tracer.Trace
	targets map[identifier.Class]admitter.Class
	left    []tracer.Arrival
	faults  []tracer.Fault
	// gone says when a caller goes away.
	gone    map[identifier.Request]time.Time
	waiting *btree.BTreeG[wish]
	// up says which upstreams run.
	up map[identifier.Upstream]bool
	// prefill is the first prefill engine, decode one with the mean costs of
	// the decode engines.
	prefill, decode faker.EngineSettings
	// credit is the prefill time that is free, below zero when it is lent.
	credit time.Duration
	// frees holds the streams that run, by their end.
	frees   *btree.BTreeG[freeing]
	pieces  identifier.Pieces
	streams int
	seen    map[uint64]bool
	tallies map[identifier.Class]*tally
}

// wish is a request that waits.
type wish struct {
	tracer.Arrival
	deadline time.Time
}

// freeing is a stream that gives its memory back.
type freeing struct {
	at      time.Time
	request identifier.Request
	pieces  identifier.Pieces
}

func newOracle(trace *tracer.Trace) *oracle {
	o := &oracle{
		trace:   trace,
		targets: make(map[identifier.Class]admitter.Class),
		left:    trace.Arrivals,
		faults:  trace.Faults,
		gone:    make(map[identifier.Request]time.Time),
		up:      make(map[identifier.Upstream]bool),
		seen:    make(map[uint64]bool),
		waiting: btree.NewBTreeG(func(a, b wish) bool {
			if !a.deadline.Equal(b.deadline) {
				return a.deadline.Before(b.deadline)
			}
			return a.Request < b.Request
		}),
		frees: btree.NewBTreeG(func(a, b freeing) bool {
			if !a.at.Equal(b.at) {
				return a.at.Before(b.at)
			}
			return a.request < b.request
		}),
		tallies: make(map[identifier.Class]*tally),
	}
	for _, class := range trace.Header.Classes {
		o.targets[class.Name] = class
		o.tallies[class.Name] = newTally(class)
	}
	o.takeEngines(trace.Header.Upstreams)
	for _, c := range trace.Cancels {
		o.gone[c.Request] = c.Time
	}
	return o
}

func (o *oracle) takeEngines(upstreams []tracer.Upstream) {
	var base, perStream time.Duration
	decodes := time.Duration(0)
	for _, u := range upstreams {
		o.up[u.ID] = true
		switch {
		case u.Role == identifier.RoleDecode:
			decodes++
			base += u.StepBase
			perStream += u.StepPerStream
			o.decode = u.EngineSettings
		case o.prefill.ID == "":
			o.prefill = u.EngineSettings
		}
	}
	o.decode.StepBase, o.decode.StepPerStream = base/decodes, perStream/decodes
}

func (o *oracle) idle() bool { return len(o.left) == 0 && o.waiting.Len() == 0 }

func (o *oracle) step(now time.Time) {
	o.hear(now)
	for stream, ok := o.frees.Min(); ok && !stream.at.After(now); stream, ok = o.frees.Min() {
		o.frees.PopMin()
		o.pieces -= stream.pieces
		o.streams--
	}
	o.credit = min(o.credit+time.Duration(o.speed()*float64(tick)), 0)
	for o.credit >= 0 {
		next, ok := o.waiting.Min()
		if !ok || !o.start(now, next) {
			return
		}
	}
}

// hear takes what has come by now: arrivals and faults.
func (o *oracle) hear(now time.Time) {
	for len(o.left) > 0 && !o.left[0].Time.After(now) {
		a := o.left[0]
		o.left = o.left[1:]
		o.tallies[a.Class].requests++
		o.waiting.Set(wish{Arrival: a, deadline: a.Time.Add(o.targets[a.Class].FirstToken)})
	}
	for len(o.faults) > 0 && !o.faults[0].Time.After(now) {
		fault := o.faults[0]
		o.faults = o.faults[1:]
		if fault.Fault != tracer.FaultTransfersStall {
			o.up[fault.Upstream] = fault.Fault == tracer.FaultUpstreamRestarts
		}
	}
}

// start serves the first request. It returns false if that has to wait.
func (o *oracle) start(now time.Time, w wish) bool {
	decodes := o.count(identifier.RoleDecode)
	streams := min(float64(o.streams)/float64(max(decodes, 1)), float64(o.decode.Streams))
	step := o.decode.StepBase + time.Duration(streams*float64(o.decode.StepPerStream))
	prefill := o.cost(w.Arrival)
	transfer := time.Duration(float64(w.Prompt) / o.decode.LinkTokensPerSecond * float64(time.Second))
	if now.Add(prefill + transfer + step).After(w.deadline) {
		o.waiting.Delete(w)
		return true
	}
	pieces := identifier.PiecesFor(w.Prompt + w.Output)
	if o.pieces+pieces > identifier.Pieces(decodes)*o.decode.Pieces || o.streams >= decodes*o.decode.Streams {
		return false
	}
	o.waiting.Delete(w)
	ends := now.Add(prefill + transfer + step/2 + time.Duration(w.Output)*step)
	if gone, ok := o.gone[w.Request]; ok && gone.Before(ends) {
		o.tallies[w.Class].gone++
		return true
	}
	o.seen[w.Chain] = true
	o.credit -= prefill
	o.pieces += pieces
	o.streams++
	o.frees.Set(freeing{at: ends, request: w.Request, pieces: pieces})
	o.note(w)
	return true
}

func (o *oracle) note(w wish) {
	t := o.tallies[w.Class]
	t.good++
	header := o.trace.Header
	if !w.Time.Before(header.PeakFrom) && w.Time.Before(header.PeakTo) {
		t.goodInPeak++
	}
}

// result holds the goodput only.
func (o *oracle) result() Result {
	header := o.trace.Header
	peak := header.PeakTo.Sub(header.PeakFrom)
	result := Result{
		Policy: "clairvoyant", Site: header.Site, Scenario: header.Scenario,
		Load: header.Load, Seed: header.Seed, Capacity: header.Capacity.PerSecond,
	}
	whole := newTally(admitter.Class{Name: "all"})
	for _, class := range header.Classes {
		t := o.tallies[class.Name]
		result.Classes = append(result.Classes, t.measures(peak))
		whole.add(t)
	}
	result.Whole = whole.measures(peak)
	return result
}

// cost is the prefill time of a request whose prefix is cached if any earlier
// request had it.
func (o *oracle) cost(a tracer.Arrival) time.Duration {
	uncached := a.Prompt
	if o.seen[a.Chain] {
		uncached -= a.SharedBlocks()
	}
	return o.prefill.PrefillBase + time.Duration(uncached)*o.prefill.PrefillPerToken
}

// speed is that of all prefill engines as a multiple of the first.
func (o *oracle) speed() float64 {
	speed := 0.0
	for _, u := range o.trace.Header.Upstreams {
		if u.Role == identifier.RolePrefill && o.up[u.ID] {
			speed += float64(o.prefill.PrefillPerToken) / float64(u.PrefillPerToken)
		}
	}
	return speed
}

func (o *oracle) count(role identifier.Role) int {
	n := 0
	for _, u := range o.trace.Header.Upstreams {
		if u.Role == role && o.up[u.ID] {
			n++
		}
	}
	return n
}
