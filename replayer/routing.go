package replayer

import (
	"time"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/attempter"
	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/tracer"
	"github.com/figtrack/figtrack/tracker"
)

// routing is one VM of the users' platform: it chooses by its own view and
// learns from engines that refuse, without a word from other VMs.
type routing struct {
	cfg  attempter.Settings
	view *tracker.Tracker
	// memory is what engines keep for all VMs; it answers reservations.
	memory  *engineMemory
	classes map[identifier.Class]admitter.Class
	flights map[admitter.Key]*passage
	// resting holds the requests that wait for room, in order.
	resting []*passage
	now     time.Time
	out     []admitter.Outcome
}

// engineMemory is the free memory of each decode engine.
type engineMemory struct {
	free    map[identifier.Upstream]identifier.Pieces
	streams map[identifier.Upstream]int
}

func (m *engineMemory) take(id identifier.Upstream, pieces identifier.Pieces) bool {
	if m.free[id] < pieces || m.streams[id] < 1 {
		return false
	}
	m.free[id] -= pieces
	m.streams[id]--
	return true
}

func (m *engineMemory) give(id identifier.Upstream, pieces identifier.Pieces) {
	m.free[id] += pieces
	m.streams[id]++
}

// passage is one request at its VM.
type passage struct {
	ask  admitter.Ask
	core *attempter.Core
	wake time.Time
	// held is the engine that keeps pieces; empty without.
	held   identifier.Upstream
	pieces identifier.Pieces
	placed tracker.Runner
	// reading is the prefill engine in use.
	reading tracker.Runner
}

// Routing returns the VMs of the users' platform with some settings.
func Routing(name string, cfg attempter.Settings) Maker {
	return Maker{Name: name, PerVM: true, Fleet: func(h tracer.Header) func(uint64) Policy {
		memory := newEngineMemory(h)
		return func(seed uint64) Policy {
			return &routing{
				cfg: cfg, view: tracker.New("", seed), memory: memory,
				classes: map[identifier.Class]admitter.Class{}, flights: map[admitter.Key]*passage{},
			}
		}
	}}
}

// Routings are the routing VMs with the settings that are compared.
func Routings() []Maker {
	patient, hasty, plain := attempter.DefaultSettings(), attempter.DefaultSettings(), attempter.DefaultSettings()
	patient.WaitShare, hasty.WaitShare, plain.Slack = 2, 32, 0
	return []Maker{
		Routing("routing", attempter.DefaultSettings()),
		Routing("routing-patient", patient),
		Routing("routing-hasty", hasty),
		Routing("routing-no-slack", plain),
	}
}

func newEngineMemory(h tracer.Header) *engineMemory {
	m := &engineMemory{free: map[identifier.Upstream]identifier.Pieces{}, streams: map[identifier.Upstream]int{}}
	for _, u := range h.Upstreams {
		m.free[u.ID], m.streams[u.ID] = u.Pieces, u.Streams
	}
	return m
}

// Step implements Policy.
func (r *routing) Step(now time.Time, event admitter.Event) []admitter.Outcome {
	r.now, r.out = now, nil
	switch e := event.(type) {
	case admitter.ClassChanged:
		r.classes[e.Class.Name] = e.Class
	case admitter.UpstreamChanged:
		r.changeUpstream(e.Upstream)
	case admitter.Ask:
		r.begin(e)
	case admitter.PrefillEnded:
		r.prefillEnded(e.Key)
	case admitter.TransferFailed:
		r.transferFailed(e.Key)
	case admitter.Withdraw:
		r.forget(e.Key)
	case admitter.Ended:
		r.forget(e.Key)
	case admitter.Wake:
		r.wake()
	case admitter.TransferEnded, admitter.FirstToken, admitter.CacheReport, admitter.LoadReport, admitter.Adopt:
	}
	return r.out
}

func (r *routing) changeUpstream(u admitter.Upstream) {
	if u.State == admitter.UpstreamDown {
		if known, ok := r.view.Find(u.ID); ok {
			r.view.Step(r.now, tracker.Removed{ID: u.ID, Version: known.Version + 1})
		}
		return
	}
	r.view.Step(r.now, tracker.Told{Runner: tracker.Runner{
		ID: u.ID, Pool: routingPool, Role: u.Role, DataCentre: "", Slots: max(u.Streams, 1),
		// A start of its own makes an engine that is back a new one.
		Start: identifier.Incarnation(r.now.UnixNano()), Version: r.now.UnixNano(),
	}})
}

// routingPool is the one pool of a trace.
const routingPool identifier.Pool = "pool"

func (r *routing) begin(ask admitter.Ask) {
	class := r.classes[ask.Class]
	job := attempter.Job{
		Request: ask.Request, Pool: routingPool, IsStream: true, NeedsEngine: true,
		Input: ask.Prompt, Output: ask.MaxOutput, MaxAttempts: 1, Target: class.FirstToken,
		Arrived: ask.Arrived, Deadline: ask.Arrived.Add(routingDeadline),
	}
	p := &passage{ask: ask}
	p.core = attempter.New(r.cfg, job, r)
	r.flights[ask.Key] = p
	r.step(p, attempter.Begin{})
}

const (
	// routingDeadline is how long callers of the users' sites wait.
	routingDeadline = 14 * time.Second
	// routingReturn is the advice of a VM to a refused caller.
	routingReturn = 300 * time.Millisecond
)

// step takes a request on until it waits for something.
func (r *routing) step(p *passage, event attempter.Event) {
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

func (r *routing) perform(p *passage, o attempter.Outcome) attempter.Event {
	switch o := o.(type) {
	case attempter.Reserve:
		return r.reserve(p, o)
	case attempter.Shrink:
		r.release(p)
		return r.reserve(p, o.Reserve)
	case attempter.Prefill:
		r.place(p, o.To)
	case attempter.Run:
		if p.reading.ID == "" {
			r.readElsewhere(p)
		}
	case attempter.Rest:
		p.wake = r.now.Add(o.For)
		r.resting = append(r.resting, p)
		r.out = append(r.out, admitter.WakeAt{At: r.soonest()})
	case attempter.Release:
		r.release(p)
	case attempter.Refuse:
		r.forget(p.ask.Key)
		r.out = append(r.out, admitter.Refuse{Key: p.ask.Key, To: p.ask.From, Reason: admitter.ReasonTargetOutOfReach, RetryAfter: o.After})
	}
	return nil
}

func (r *routing) reserve(p *passage, o attempter.Reserve) attempter.Event {
	pieces := identifier.PiecesFor(o.Tokens)
	if !r.memory.take(o.To.ID, pieces) {
		r.view.Full(r.now, o.To, o.Tokens)
		return attempter.Failed{Kind: driver.KindFull}
	}
	p.held, p.pieces, p.placed = o.To.ID, pieces, o.To
	return attempter.Reserved{Hold: "held"}
}

func (r *routing) release(p *passage) {
	if p.held != "" {
		r.memory.give(p.held, p.pieces)
		p.held = ""
	}
}

// readElsewhere places a request whose prompt the decode engine would read: the
// replay's engines don't, so that any prefill engine does it.
func (r *routing) readElsewhere(p *passage) {
	to, ok := r.view.Prefill(r.now, routingPool, "", nil)
	for _, one := range r.view.Pool(routingPool) {
		if !ok && one.Role == identifier.RolePrefill {
			to, ok = one, true
		}
	}
	if !ok {
		r.forget(p.ask.Key)
		r.out = append(r.out, admitter.Refuse{Key: p.ask.Key, To: p.ask.From, Reason: admitter.ReasonNoUpstream, RetryAfter: routingReturn})
		return
	}
	r.place(p, to)
}

func (r *routing) place(p *passage, reading tracker.Runner) {
	p.reading = reading
	r.view.Began(reading, tracker.Load{Reading: p.ask.Prompt})
	r.view.Began(p.placed, tracker.Load{Holding: p.ask.Prompt + p.ask.MaxOutput})
	r.out = append(r.out, admitter.Place{
		Key: p.ask.Key, To: p.ask.From, Prefill: p.reading.ID, Decode: p.placed.ID, Pieces: p.pieces,
		TransferWithin: routingTransfer,
	})
}

// routingTransfer is after how long a transfer that waits is not started.
const routingTransfer = 2 * time.Second

func (r *routing) prefillEnded(key admitter.Key) {
	if p := r.flights[key]; p != nil {
		r.leavePrefill(p)
	}
}

// leavePrefill takes a prompt off the engine that reads it, if one does.
func (r *routing) leavePrefill(p *passage) {
	if p.reading.ID == "" {
		return
	}
	r.view.Ended(p.reading, tracker.Load{Reading: p.ask.Prompt})
	p.reading = tracker.Runner{}
}

func (r *routing) transferFailed(key admitter.Key) {
	p := r.flights[key]
	if p == nil {
		return
	}
	r.forget(key)
	r.out = append(r.out, admitter.Abandon{Key: key, To: p.ask.From, Reason: admitter.ReasonNoUpstream})
}

func (r *routing) forget(key admitter.Key) {
	p := r.flights[key]
	if p == nil {
		return
	}
	delete(r.flights, key)
	r.leavePrefill(p)
	if p.placed.ID != "" && p.held != "" {
		r.view.Ended(p.placed, tracker.Load{Holding: p.ask.Prompt + p.ask.MaxOutput})
		r.view.Freed(p.placed)
	}
	r.release(p)
}

func (r *routing) soonest() time.Time {
	at := r.resting[0].wake
	for _, p := range r.resting {
		if p.wake.Before(at) {
			at = p.wake
		}
	}
	return at
}

func (r *routing) wake() {
	due := r.resting
	r.resting = nil
	for _, p := range due {
		switch {
		case r.flights[p.ask.Key] != p:
		case p.wake.After(r.now):
			r.resting = append(r.resting, p)
		default:
			r.step(p, attempter.Rested{})
		}
	}
	if len(r.resting) > 0 {
		r.out = append(r.out, admitter.WakeAt{At: r.soonest()})
	}
}

// Plain implements attempter.Fleet; traces have no plain calls.
func (r *routing) Plain(time.Time, identifier.Pool, tracker.Without) (tracker.Runner, bool) {
	return tracker.Runner{}, false
}

// Prefill implements attempter.Fleet.
func (r *routing) Prefill(now time.Time, pool identifier.Pool, near identifier.DataCentre, without tracker.Without) (tracker.Runner, bool) {
	return r.view.Prefill(now, pool, near, without)
}

// Decode implements attempter.Fleet.
func (r *routing) Decode(now time.Time, pool identifier.Pool, tokens identifier.Tokens, without tracker.Without) (tracker.Runner, bool) {
	return r.view.Decode(now, pool, tokens, without)
}

// Spend implements attempter.Fleet: one attempt a try needs no budget.
func (r *routing) Spend(time.Time, identifier.Pool) bool { return true }

// Count implements attempter.Fleet.
func (r *routing) Count(time.Time, identifier.Pool) {}

// RetryAfter implements attempter.Fleet.
func (r *routing) RetryAfter(time.Time, identifier.Pool) time.Duration { return routingReturn }
