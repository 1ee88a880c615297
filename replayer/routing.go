package replayer

import (
	"math/rand/v2"
	"time"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/attempter"
	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/isolator"
	"github.com/figtrack/figtrack/keeper"
	"github.com/figtrack/figtrack/shedder"
	"github.com/figtrack/figtrack/tracer"
	"github.com/figtrack/figtrack/tracker"
)

// routingPolicy is the Policy of one VM on the users' platform. It places
// requests by its own view of the engines, which it corrects when an engine
// refuses a reservation, and exchanges no messages with other VMs.
type routingPolicy struct {
	cfg  attempter.Settings
	view *tracker.Tracker
	seed uint64
	// shedder is nil before the first request.
	shedder *shedder.Core
	// memory is shared by all VMs of a replay and decides on reservations.
	memory   *engineMemory
	classes  map[identifier.Class]admitter.Class
	requests map[admitter.Key]*proxiedRequest
	// waiting holds the requests that wait for free memory, in order.
	waiting  []*proxiedRequest
	now      time.Time
	outcomes []admitter.Outcome
}

// engineMemory holds the free pieces and streams of each engine.
type engineMemory struct {
	freePieces  map[identifier.Upstream]identifier.Pieces
	freeStreams map[identifier.Upstream]int
}

func (m *engineMemory) tryReserve(id identifier.Upstream, pieces identifier.Pieces) bool {
	if m.freePieces[id] < pieces || m.freeStreams[id] < 1 {
		return false
	}
	m.freePieces[id] -= pieces
	m.freeStreams[id]--
	return true
}

func (m *engineMemory) release(id identifier.Upstream, pieces identifier.Pieces) {
	m.freePieces[id] += pieces
	m.freeStreams[id]++
}

// proxiedRequest is a request at its entry VM.
type proxiedRequest struct {
	ask     admitter.Ask
	core    *attempter.Core
	retryAt time.Time
	// reservedOn is the engine on which pieces are reserved, or empty.
	reservedOn identifier.Upstream
	pieces     identifier.Pieces
	decode     tracker.Runner
	// prefill is the prefill engine in use. Its ID is empty if none is.
	prefill tracker.Runner
}

// RoutingPolicy returns the factory of a policy that runs the routing of the
// users' platform with cfg on each VM.
func RoutingPolicy(name string, cfg attempter.Settings) PolicyFactory {
	return PolicyFactory{Name: name, PerVM: true, NewShared: func(h tracer.Header) func(uint64) Policy {
		memory := newEngineMemory(h)
		return func(seed uint64) Policy {
			return &routingPolicy{
				cfg: cfg, seed: seed, view: tracker.New("", seed), memory: memory,
				classes: map[identifier.Class]admitter.Class{}, requests: map[admitter.Key]*proxiedRequest{},
			}
		}
	}}
}

// RoutingPolicies returns the factories of RoutingPolicy with each of the
// settings that are compared.
func RoutingPolicies() []PolicyFactory {
	patient, hasty, plain := attempter.DefaultSettings(), attempter.DefaultSettings(), attempter.DefaultSettings()
	patient.WaitDivisor, hasty.WaitDivisor, plain.Slack = 2, 32, 0
	return []PolicyFactory{
		RoutingPolicy("routing", attempter.DefaultSettings()),
		RoutingPolicy("routing-patient", patient),
		RoutingPolicy("routing-hasty", hasty),
		RoutingPolicy("routing-no-slack", plain),
	}
}

func newEngineMemory(h tracer.Header) *engineMemory {
	m := &engineMemory{freePieces: map[identifier.Upstream]identifier.Pieces{}, freeStreams: map[identifier.Upstream]int{}}
	for _, u := range h.Upstreams {
		m.freePieces[u.ID], m.freeStreams[u.ID] = u.Pieces, u.Streams
	}
	return m
}

// Step implements Policy.
func (r *routingPolicy) Step(now time.Time, event admitter.Event) []admitter.Outcome {
	r.now, r.outcomes = now, nil
	switch e := event.(type) {
	case admitter.ClassChanged:
		r.classes[e.Class.Name] = e.Class
	case admitter.UpstreamChanged:
		r.changeUpstream(e.Upstream)
	case admitter.Ask:
		r.startRequest(e)
	case admitter.PrefillEnded:
		r.prefillEnded(e.Key)
	case admitter.TransferFailed:
		r.transferFailed(e.Key)
	case admitter.Withdraw:
		r.endRequest(e.Key)
	case admitter.Ended:
		r.endRequest(e.Key)
	case admitter.Wake:
		r.retryWaiting()
	case admitter.TransferEnded, admitter.FirstToken, admitter.CacheReport, admitter.LoadReport, admitter.Adopt:
	}
	return r.outcomes
}

func (r *routingPolicy) changeUpstream(u admitter.Upstream) {
	if u.State == admitter.UpstreamDown {
		if known, ok := r.view.Find(u.ID); ok {
			r.view.Step(r.now, tracker.Removed{ID: u.ID, Age: keeper.Age{Version: known.Age.Version + 1}})
		}
		return
	}
	r.view.Step(r.now, tracker.EntryWritten{Runner: tracker.Runner{
		ID: u.ID, Pool: routingPool, Role: u.Role, DataCentre: "", Slots: max(u.Streams, 1),
		// A new Start makes the tracker treat an engine that came back as a
		// restarted one.
		Start: identifier.Incarnation(r.now.UnixNano()), Age: keeper.Age{Version: keeper.Version(r.now.UnixNano())},
	}})
}

// routingPool is the only pool of a trace.
const routingPool identifier.Pool = "pool"

func (r *routingPolicy) startRequest(ask admitter.Ask) {
	class := r.classes[ask.Class]
	job := attempter.Job{
		Request: ask.Request, Pool: routingPool, IsStream: true, NeedsEngine: true,
		Input: ask.Prompt, Output: ask.MaxOutput, MaxAttempts: 1, Target: class.FirstToken,
		Arrived: ask.Arrived, Deadline: ask.Arrived.Add(routingCallerTimeout),
	}
	p := &proxiedRequest{ask: ask}
	p.core = attempter.New(r.cfg, job, r)
	r.requests[ask.Key] = p
	r.advance(p, attempter.Begin{})
}

const (
	// routingCallerTimeout is how long callers of the users' sites wait for
	// an answer.
	routingCallerTimeout = 14 * time.Second
	// routingRetryAfter is the RetryAfter that a VM sends to a refused caller.
	routingRetryAfter = 300 * time.Millisecond
)

// advance steps the core of a request until its outcomes cause no further
// event.
func (r *routingPolicy) advance(p *proxiedRequest, event attempter.Event) {
	for event != nil {
		var next attempter.Event
		for _, o := range p.core.Step(r.now, event) {
			if e := r.perform(p, o); e != nil {
				next = e
			}
		}
		event = next
	}
}

func (r *routingPolicy) perform(p *proxiedRequest, o attempter.Outcome) attempter.Event {
	switch o := o.(type) {
	case attempter.Reserve:
		return r.reserve(p, o)
	case attempter.Shrink:
		r.releaseMemory(p)
		return r.reserve(p, o.Reserve)
	case attempter.Prefill:
		r.place(p, o.To)
	case attempter.Run:
		if p.prefill.ID == "" {
			r.placeOnPrefillEngine(p)
		}
	case attempter.Rest:
		p.retryAt = r.now.Add(o.For)
		r.waiting = append(r.waiting, p)
		r.outcomes = append(r.outcomes, admitter.WakeAt{At: r.nextRetry()})
	case attempter.Release:
		r.releaseMemory(p)
	case attempter.Refuse:
		r.endRequest(p.ask.Key)
		r.outcomes = append(r.outcomes, admitter.Refuse{Key: p.ask.Key, To: p.ask.From, Reason: admitter.ReasonTargetOutOfReach, RetryAfter: o.After})
	}
	return nil
}

func (r *routingPolicy) reserve(p *proxiedRequest, o attempter.Reserve) attempter.Event {
	pieces := identifier.PiecesFor(o.Tokens)
	if !r.memory.tryReserve(o.To.ID, pieces) {
		r.view.RecordFull(r.now, o.To, o.Tokens)
		return attempter.Failed{Kind: driver.KindFull}
	}
	p.reservedOn, p.pieces, p.decode = o.To.ID, pieces, o.To
	return attempter.Reserved{Hold: "held"}
}

func (r *routingPolicy) releaseMemory(p *proxiedRequest) {
	if p.reservedOn != "" {
		r.memory.release(p.reservedOn, p.pieces)
		p.reservedOn = ""
	}
}

// placeOnPrefillEngine places a request whose prefill the core assigned to the
// decode engine. Decode engines of a replay can't prefill, so it picks any
// prefill engine.
func (r *routingPolicy) placeOnPrefillEngine(p *proxiedRequest) {
	to, ok := r.view.Prefill(r.now, routingPool, "", nil)
	for _, one := range r.view.Pool(routingPool) {
		if !ok && one.Role == identifier.RolePrefill {
			to, ok = one, true
		}
	}
	if !ok {
		r.endRequest(p.ask.Key)
		r.outcomes = append(r.outcomes, admitter.Refuse{Key: p.ask.Key, To: p.ask.From, Reason: admitter.ReasonNoUpstream, RetryAfter: routingRetryAfter})
		return
	}
	r.place(p, to)
}

func (r *routingPolicy) place(p *proxiedRequest, prefill tracker.Runner) {
	p.prefill = prefill
	r.view.BeginCall(prefill, tracker.Load{PrefillTokens: p.ask.Prompt})
	r.view.BeginCall(p.decode, tracker.Load{DecodeTokens: p.ask.Prompt + p.ask.MaxOutput})
	r.outcomes = append(r.outcomes, admitter.Place{
		Key: p.ask.Key, To: p.ask.From, Prefill: p.prefill.ID, Decode: p.decode.ID, Pieces: p.pieces,
		TransferWithin: routingTransferTimeout,
	})
}

// routingTransferTimeout bounds a transfer of a prefill result.
const routingTransferTimeout = 2 * time.Second

func (r *routingPolicy) prefillEnded(key admitter.Key) {
	if p := r.requests[key]; p != nil {
		r.endPrefill(p)
	}
}

// endPrefill removes the prompt of a request from the load of its prefill
// engine, if it has one.
func (r *routingPolicy) endPrefill(p *proxiedRequest) {
	if p.prefill.ID == "" {
		return
	}
	r.view.EndCall(p.prefill, tracker.Load{PrefillTokens: p.ask.Prompt})
	p.prefill = tracker.Runner{}
}

func (r *routingPolicy) transferFailed(key admitter.Key) {
	p := r.requests[key]
	if p == nil {
		return
	}
	r.endRequest(key)
	r.outcomes = append(r.outcomes, admitter.Abandon{Key: key, To: p.ask.From, Reason: admitter.ReasonNoUpstream})
}

func (r *routingPolicy) endRequest(key admitter.Key) {
	p := r.requests[key]
	if p == nil {
		return
	}
	delete(r.requests, key)
	r.endPrefill(p)
	if p.decode.ID != "" && p.reservedOn != "" {
		r.view.EndCall(p.decode, tracker.Load{DecodeTokens: p.ask.Prompt + p.ask.MaxOutput})
		r.view.RecordFreed(p.decode)
	}
	r.releaseMemory(p)
}

func (r *routingPolicy) nextRetry() time.Time {
	at := r.waiting[0].retryAt
	for _, p := range r.waiting {
		if p.retryAt.Before(at) {
			at = p.retryAt
		}
	}
	return at
}

func (r *routingPolicy) retryWaiting() {
	due := r.waiting
	r.waiting = nil
	for _, p := range due {
		switch {
		case r.requests[p.ask.Key] != p:
		case p.retryAt.After(r.now):
			r.waiting = append(r.waiting, p)
		default:
			r.advance(p, attempter.Rested{})
		}
	}
	if len(r.waiting) > 0 {
		r.outcomes = append(r.outcomes, admitter.WakeAt{At: r.nextRetry()})
	}
}

// ChoosePlain implements attempter.Fleet. It finds no runner, because traces
// have no calls to plain services.
func (r *routingPolicy) ChoosePlain(time.Time, identifier.Pool, tracker.Choice) (tracker.Runner, bool) {
	return tracker.Runner{}, false
}

// ChoosePrefill implements attempter.Fleet.
func (r *routingPolicy) ChoosePrefill(now time.Time, pool identifier.Pool, near identifier.DataCentre, without tracker.Without) (tracker.Runner, bool) {
	return r.view.Prefill(now, pool, near, without)
}

// ChooseDecode implements attempter.Fleet.
func (r *routingPolicy) ChooseDecode(now time.Time, pool identifier.Pool, tokens identifier.Tokens, from tracker.Choice) (tracker.Runner, bool) {
	return r.view.Decode(now, pool, tokens, from)
}

// Serves implements attempter.Fleet. No trace has runners of several versions.
func (r *routingPolicy) Serves(identifier.Pool, identifier.Software) bool { return true }

// TryCharge implements attempter.Fleet. It always allows the attempt: a job has
// one attempt, so there are no retries to limit.
func (r *routingPolicy) TryCharge(time.Time, identifier.Pool) bool { return true }

// Charge implements attempter.Fleet.
func (r *routingPolicy) Charge(time.Time, identifier.Pool) {}

// TakeSend implements attempter.Fleet. No trace has runners with a rate.
func (r *routingPolicy) TakeSend(time.Time, tracker.Runner) bool { return true }

// ReturnSend implements attempter.Fleet.
func (r *routingPolicy) ReturnSend(time.Time, tracker.Runner) {}

// RateLeft implements attempter.Fleet.
func (r *routingPolicy) RateLeft(time.Time, identifier.Pool) time.Duration { return 0 }

// BlockedFor implements attempter.Fleet. No trace has requests that crash engines.
func (r *routingPolicy) BlockedFor(time.Time, []isolator.Trait) time.Duration { return 0 }

// TakeProbe implements attempter.Fleet.
func (r *routingPolicy) TakeProbe(time.Time, []isolator.Trait) isolator.Admission {
	return isolator.Refused
}

// ReturnProbe implements attempter.Fleet.
func (r *routingPolicy) ReturnProbe([]isolator.Trait) {}

// RefusesNew implements attempter.Fleet. No trace has runners that ask for a pause or
// say that they leave.
func (r *routingPolicy) RefusesNew(time.Time, tracker.Runner) bool { return false }

// PauseLeft implements attempter.Fleet.
func (r *routingPolicy) PauseLeft(time.Time, identifier.Pool) time.Duration { return 0 }

// RetryAfter implements attempter.Fleet.
func (r *routingPolicy) RetryAfter(time.Time, identifier.Pool, time.Duration) time.Duration {
	return routingRetryAfter
}

// UpdateWaiting implements attempter.Fleet.
func (r *routingPolicy) UpdateWaiting(now time.Time, _ identifier.Pool, update func(c *shedder.Core)) {
	if r.shedder == nil {
		r.shedder = shedder.New(now, rand.New(rand.NewPCG(r.seed, 1)))
	}
	update(r.shedder)
}
