package replayer

import (
	"math/rand/v2"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/faker"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/tracer"
)

// engine is one runner of the replay.
type engine struct {
	*run
	*faker.Engine
	tracer.Upstream
	rng  *rand.Rand
	wake alarm
	dead bool
}

// tell lets the engine act on an event and passes on what it does.
func (e *engine) tell(event faker.EngineEvent) {
	if e.dead {
		return
	}
	for _, outcome := range e.Step(e.now, event) {
		e.pass(outcome)
	}
}

func (e *engine) pass(outcome faker.EngineOutcome) {
	switch outcome := outcome.(type) {
	case faker.AdvanceAt:
		e.set(&e.wake, outcome.At, func() { e.tell(faker.Advance{}) })
	case faker.CacheChanged:
		e.tellNodes(admitter.CacheReport{
			Upstream: e.ID, Sequence: outcome.Sequence, Added: outcome.Added, Removed: outcome.Removed,
		})
	case faker.PrefillDone:
		e.prefillDone(outcome)
	case faker.PrefillStopped:
		e.book.prefill(outcome.Hold, outcome.Spent)
	case faker.ResultEvicted:
		e.evicted(outcome.Hold)
	case faker.ImportDone:
		e.toEntry(outcome.Hold, func(a *attempt) { a.imported(outcome.Took) })
	case faker.ImportRefused:
		e.toEntry(outcome.Hold, func(a *attempt) { a.importFailed(e, true) })
	case faker.TokenMade:
		e.tokenMade(outcome)
	case faker.PrefillRefused:
		e.broken(outcome.Hold)
	case faker.DecodeRefused:
		e.broken(outcome.Hold)
	case faker.StreamDropped:
		e.broken(outcome.Hold)
	}
}

func (e *engine) prefillDone(done faker.PrefillDone) {
	e.book.prefill(done.Hold, done.Took)
	if a, ok := e.attempts[done.Hold]; ok {
		a.live = true
	}
	e.toEntry(done.Hold, func(a *attempt) { a.prefillEnded(done) })
}

func (e *engine) evicted(hold identifier.Hold) {
	a, ok := e.attempts[hold]
	if !ok {
		return
	}
	a.live = false
	if decode := a.decode; a.importing {
		e.carry(e.DataCentre, decode.DataCentre, func() { decode.tell(faker.Release{Hold: hold}) })
		decode.toEntry(hold, func(a *attempt) { a.importFailed(decode, false) })
	}
}

func (e *engine) tokenMade(token faker.TokenMade) {
	a, ok := e.attempts[token.Hold]
	if !ok {
		return
	}
	a.made++
	if a.made == 1 {
		e.toEntry(token.Hold, (*attempt).firstToken)
	}
	if token.Last {
		e.toEntry(token.Hold, (*attempt).lastToken)
	}
}

func (e *engine) broken(hold identifier.Hold) {
	e.toEntry(hold, func(a *attempt) { a.fail(e) })
}

// toEntry runs do at the entry VM if the attempt is not over by then.
func (e *engine) toEntry(hold identifier.Hold, do func(*attempt)) {
	e.carry(e.DataCentre, e.vms[hold.VM].DataCentre, func() {
		if a, ok := e.attempts[hold]; ok {
			do(a)
		}
	})
}

// tellNodes sends a report to every policy.
func (e *engine) tellNodes(event admitter.Event) {
	for _, n := range e.nodes {
		n.vm.count(sizeOfReport(event))
		e.carry(e.DataCentre, n.vm.DataCentre, func() { n.tell(event) })
	}
}

func (e *engine) state(state admitter.UpstreamState) admitter.UpstreamChanged {
	return admitter.UpstreamChanged{Upstream: admitter.Upstream{
		ID: e.ID, DataCentre: e.DataCentre, Role: e.Role,
		Pieces: e.Pieces, Streams: e.Streams, State: state,
	}}
}

func (e *engine) fault(f tracer.Fault) {
	switch f.Fault {
	case tracer.FaultTransfersStall:
		e.tell(faker.StallLink{Until: f.Until})
	case tracer.FaultUpstreamDies:
		e.die()
	case tracer.FaultUpstreamRestarts:
		e.dead = false
		e.Engine = faker.NewEngine(e.EngineSettings, e.rng)
		e.after(probeTime, func() { e.tellNodes(e.state(admitter.UpstreamUp)) })
	}
}

// die ends the engine. The entry VMs see their connections break.
func (e *engine) die() {
	for _, hold := range e.Holds() {
		for _, outcome := range e.Step(e.now, faker.Release{Hold: hold}) {
			if stopped, ok := outcome.(faker.PrefillStopped); ok {
				e.book.prefill(stopped.Hold, stopped.Spent)
			}
		}
		e.broken(hold)
	}
	e.dead = true
	e.after(probeTime, func() { e.tellNodes(e.state(admitter.UpstreamDown)) })
}
