package replayer

import (
	"time"

	"github.com/tidwall/btree"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/faker"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/tracer"
)

// clairvoyantInterval is the virtual time between two steps of the oracle.
const clairvoyantInterval = 2 * time.Millisecond

// Clairvoyant returns the result of an idealised scheduler that starts
// requests in the order of their deadlines. It knows the length of each answer
// and treats the engines of each role as a single one: messages take no time,
// memory is not split between engines, and every prefix seen before is cached.
// It starts no request that can't meet its target or whose caller goes away.
func Clairvoyant(trace *tracer.Trace) Result {
	o := newOracle(trace)
	last := trace.Header.Time
	if n := len(trace.Arrivals); n > 0 {
		last = trace.Arrivals[n-1].Time.Add(settleTimeout)
	}
	for now := trace.Header.Time; now.Before(last) && !o.isIdle(); now = now.Add(clairvoyantInterval) {
		o.step(now)
	}
	return o.result()
}

// oracle is the state of the scheduler of Clairvoyant.
type oracle struct {
	trace    *tracer.Trace
	targets  map[identifier.Class]admitter.Class
	arrivals []tracer.Arrival
	faults   []tracer.Fault
	// cancelledAt is when the caller of a request goes away.
	cancelledAt map[identifier.Request]time.Time
	waiting     *btree.BTreeG[waitingRequest]
	// isUp is true for the upstreams that run.
	isUp map[identifier.Upstream]bool
	// prefill holds the settings of the first prefill engine. decode holds those
	// of the last decode engine, with the mean step costs of all decode engines.
	prefill, decode faker.EngineSettings
	// prefillCredit is zero while prefill capacity is free. A started prefill lowers
	// it by its duration, and it rises with time; it is never positive.
	prefillCredit time.Duration
	// running holds the running streams in the order of their ends.
	running      *btree.BTreeG[runningStream]
	usedPieces   identifier.Pieces
	usedStreams  int
	seenPrefixes map[uint64]bool
	tallies      map[identifier.Class]*tally
}

// waitingRequest is a request that was not started yet.
type waitingRequest struct {
	tracer.Arrival
	deadline time.Time
}

// runningStream is a stream that frees its memory at its end.
type runningStream struct {
	endsAt  time.Time
	request identifier.Request
	pieces  identifier.Pieces
}

func newOracle(trace *tracer.Trace) *oracle {
	o := &oracle{
		trace:        trace,
		targets:      make(map[identifier.Class]admitter.Class),
		arrivals:     trace.Arrivals,
		faults:       trace.Faults,
		cancelledAt:  make(map[identifier.Request]time.Time),
		isUp:         make(map[identifier.Upstream]bool),
		seenPrefixes: make(map[uint64]bool),
		waiting: btree.NewBTreeG(func(a, b waitingRequest) bool {
			if !a.deadline.Equal(b.deadline) {
				return a.deadline.Before(b.deadline)
			}
			return a.Request < b.Request
		}),
		running: btree.NewBTreeG(func(a, b runningStream) bool {
			if !a.endsAt.Equal(b.endsAt) {
				return a.endsAt.Before(b.endsAt)
			}
			return a.request < b.request
		}),
		tallies: make(map[identifier.Class]*tally),
	}
	for _, class := range trace.Header.Classes {
		o.targets[class.Name] = class
		o.tallies[class.Name] = newTally(class)
	}
	o.addEngines(trace.Header.Upstreams)
	for _, c := range trace.Cancels {
		o.cancelledAt[c.Request] = c.Time
	}
	return o
}

func (o *oracle) addEngines(upstreams []tracer.Upstream) {
	var base, perStream time.Duration
	decodes := time.Duration(0)
	for _, u := range upstreams {
		o.isUp[u.ID] = true
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

func (o *oracle) isIdle() bool { return len(o.arrivals) == 0 && o.waiting.Len() == 0 }

func (o *oracle) step(now time.Time) {
	o.applyEvents(now)
	for stream, ok := o.running.Min(); ok && !stream.endsAt.After(now); stream, ok = o.running.Min() {
		o.running.PopMin()
		o.usedPieces -= stream.pieces
		o.usedStreams--
	}
	o.prefillCredit = min(o.prefillCredit+time.Duration(o.prefillSpeed()*float64(clairvoyantInterval)), 0)
	for o.prefillCredit >= 0 {
		next, ok := o.waiting.Min()
		if !ok || !o.tryStart(now, next) {
			return
		}
	}
}

// applyEvents applies the arrivals and faults up to now.
func (o *oracle) applyEvents(now time.Time) {
	for len(o.arrivals) > 0 && !o.arrivals[0].Time.After(now) {
		a := o.arrivals[0]
		o.arrivals = o.arrivals[1:]
		o.tallies[a.Class].requests++
		o.waiting.Set(waitingRequest{Arrival: a, deadline: a.Time.Add(o.targets[a.Class].FirstToken)})
	}
	for len(o.faults) > 0 && !o.faults[0].Time.After(now) {
		fault := o.faults[0]
		o.faults = o.faults[1:]
		if fault.Fault != tracer.FaultTransfersStall {
			o.isUp[fault.Upstream] = fault.Fault == tracer.FaultUpstreamRestarts
		}
	}
}

// tryStart starts the request w, or drops it if it can't meet its target or its
// caller goes away. It returns false if w has to wait for memory or a stream.
func (o *oracle) tryStart(now time.Time, w waitingRequest) bool {
	decodes := o.countUp(identifier.RoleDecode)
	streams := min(float64(o.usedStreams)/float64(max(decodes, 1)), float64(o.decode.Streams))
	step := o.decode.StepBase + time.Duration(streams*float64(o.decode.StepPerStream))
	prefill := o.prefillCost(w.Arrival)
	transfer := time.Duration(float64(w.Prompt) / o.decode.LinkTokensPerSecond * float64(time.Second))
	if now.Add(prefill + transfer + step).After(w.deadline) {
		o.waiting.Delete(w)
		return true
	}
	pieces := identifier.PiecesFor(w.Prompt + w.Output)
	if o.usedPieces+pieces > identifier.Pieces(decodes)*o.decode.Pieces || o.usedStreams >= decodes*o.decode.Streams {
		return false
	}
	o.waiting.Delete(w)
	ends := now.Add(prefill + transfer + step/2 + time.Duration(w.Output)*step)
	if gone, ok := o.cancelledAt[w.Request]; ok && gone.Before(ends) {
		o.tallies[w.Class].withdrawn++
		return true
	}
	o.seenPrefixes[w.Chain] = true
	o.prefillCredit -= prefill
	o.usedPieces += pieces
	o.usedStreams++
	o.running.Set(runningStream{endsAt: ends, request: w.Request, pieces: pieces})
	o.recordGood(w)
	return true
}

func (o *oracle) recordGood(w waitingRequest) {
	t := o.tallies[w.Class]
	t.good++
	header := o.trace.Header
	if !w.Time.Before(header.PeakFrom) && w.Time.Before(header.PeakTo) {
		t.goodInPeak++
	}
}

// result returns a Result with the goodput and the counts that it needs. The
// other measures are zero.
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
		whole.merge(t)
	}
	result.Whole = whole.measures(peak)
	return result
}

// prefillCost returns the prefill time of a request. Its prefix is cached if
// any earlier request had the same one.
func (o *oracle) prefillCost(a tracer.Arrival) time.Duration {
	uncached := a.Prompt
	if o.seenPrefixes[a.Chain] {
		uncached -= a.SharedBlockTokens()
	}
	return o.prefill.PrefillBase + time.Duration(uncached)*o.prefill.PrefillPerToken
}

// prefillSpeed returns the speed of all prefill engines that are up, as a
// multiple of that of the first one.
func (o *oracle) prefillSpeed() float64 {
	speed := 0.0
	for _, u := range o.trace.Header.Upstreams {
		if u.Role == identifier.RolePrefill && o.isUp[u.ID] {
			speed += float64(o.prefill.PrefillPerToken) / float64(u.PrefillPerToken)
		}
	}
	return speed
}

func (o *oracle) countUp(role identifier.Role) int {
	n := 0
	for _, u := range o.trace.Header.Upstreams {
		if u.Role == role && o.isUp[u.ID] {
			n++
		}
	}
	return n
}
