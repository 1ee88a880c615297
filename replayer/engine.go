package replayer

import (
	"math/rand/v2"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/faker"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/tracer"
)

// engine is a simulated runner of the replay.
type engine struct {
	*replay
	*faker.Engine
	tracer.Upstream
	rng  *rand.Rand
	wake alarm
	dead bool
}

// handleEvent steps the engine, unless it is dead, and handles its outcomes.
func (e *engine) handleEvent(event faker.EngineEvent) {
	if e.dead {
		return
	}
	for _, outcome := range e.Step(e.now, event) {
		e.handleOutcome(outcome)
	}
}

func (e *engine) handleOutcome(outcome faker.EngineOutcome) {
	switch outcome := outcome.(type) {
	case faker.AdvanceAt:
		e.setAlarm(&e.wake, outcome.At, func() { e.handleEvent(faker.Advance{}) })
	case faker.CacheChanged:
		e.sendToPolicies(admitter.CacheReport{
			Upstream: e.ID, Sequence: outcome.Sequence, Added: outcome.Added, Removed: outcome.Removed,
		})
	case faker.PrefillDone:
		e.prefillDone(outcome)
	case faker.PrefillStopped:
		e.collector.addPrefillTime(outcome.Hold, outcome.Spent)
	case faker.ResultEvicted:
		e.resultEvicted(outcome.Hold)
	case faker.ImportDone:
		e.runAtEntry(outcome.Hold, func(a *attempt) { a.imported(outcome.Took) })
	case faker.ImportRefused:
		e.runAtEntry(outcome.Hold, func(a *attempt) { a.importFailed(e, true) })
	case faker.TokenGenerated:
		e.tokenMade(outcome)
	case faker.PrefillRefused:
		e.failAttempt(outcome.Hold)
	case faker.DecodeRefused:
		e.failAttempt(outcome.Hold)
	case faker.StreamDropped:
		e.failAttempt(outcome.Hold)
	}
}

func (e *engine) prefillDone(done faker.PrefillDone) {
	e.collector.addPrefillTime(done.Hold, done.Took)
	if a, ok := e.attempts[done.Hold]; ok {
		a.hasPrefillResult = true
	}
	e.runAtEntry(done.Hold, func(a *attempt) { a.prefillEnded(done) })
}

func (e *engine) resultEvicted(hold identifier.Hold) {
	a, ok := e.attempts[hold]
	if !ok {
		return
	}
	a.hasPrefillResult = false
	if decode := a.decode; a.importing {
		e.deliver(e.DataCentre, decode.DataCentre, func() { decode.handleEvent(faker.Release{Hold: hold}) })
		decode.runAtEntry(hold, func(a *attempt) { a.importFailed(decode, false) })
	}
}

func (e *engine) tokenMade(token faker.TokenGenerated) {
	a, ok := e.attempts[token.Hold]
	if !ok {
		return
	}
	a.generated++
	if a.generated == 1 {
		e.runAtEntry(token.Hold, (*attempt).firstToken)
	}
	if token.Last {
		e.runAtEntry(token.Hold, (*attempt).lastToken)
	}
}

func (e *engine) failAttempt(hold identifier.Hold) {
	e.runAtEntry(hold, func(a *attempt) { a.fail(e) })
}

// runAtEntry runs do when a message to the entry VM arrives, unless the attempt
// has ended by then.
func (e *engine) runAtEntry(hold identifier.Hold, do func(*attempt)) {
	e.deliver(e.DataCentre, e.vms[hold.VM].DataCentre, func() {
		if a, ok := e.attempts[hold]; ok {
			do(a)
		}
	})
}

// sendToPolicies sends a report of the engine to every policy.
func (e *engine) sendToPolicies(event admitter.Event) {
	for _, n := range e.nodes {
		n.vm.countMessage(sizeOfReport(event))
		e.deliver(e.DataCentre, n.vm.DataCentre, func() { n.handleEvent(event) })
	}
}

func (e *engine) stateEvent(state admitter.UpstreamState) admitter.UpstreamChanged {
	return admitter.UpstreamChanged{Upstream: admitter.Upstream{
		ID: e.ID, DataCentre: e.DataCentre, Role: e.Role,
		Pieces: e.Pieces, Streams: e.Streams, State: state,
	}}
}

func (e *engine) applyFault(f tracer.Fault) {
	switch f.Fault {
	case tracer.FaultTransfersStall:
		e.handleEvent(faker.StallLink{Until: f.Until})
	case tracer.FaultUpstreamDies:
		e.die()
	case tracer.FaultUpstreamRestarts:
		e.dead = false
		e.Engine = faker.NewEngine(e.EngineSettings, e.rng)
		e.scheduleAfter(probeDelay, func() { e.sendToPolicies(e.stateEvent(admitter.UpstreamUp)) })
	}
}

// die stops the engine for good or until a restart. Its attempts fail, since
// their entry VMs see the connections break.
func (e *engine) die() {
	for _, hold := range e.Holds() {
		for _, outcome := range e.Step(e.now, faker.Release{Hold: hold}) {
			if stopped, ok := outcome.(faker.PrefillStopped); ok {
				e.collector.addPrefillTime(stopped.Hold, stopped.Spent)
			}
		}
		e.failAttempt(hold)
	}
	e.dead = true
	e.scheduleAfter(probeDelay, func() { e.sendToPolicies(e.stateEvent(admitter.UpstreamDown)) })
}
