package quarantiner

import (
	"cmp"
	"context"
	"time"

	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/looper"
	"github.com/figtrack/figtrack/wire"
)

// Start records that a run is about to be sent to its upstream. If alone is
// true, it first asks the guard of the upstream and returns false unless the
// guard allows the run.
func (s *Shell) Start(ctx context.Context, r Run, f Fingerprint, alone bool) bool {
	if alone && !s.askGuard(ctx, r, f) {
		return false
	}
	incarnation := s.lookUpIncarnation(ctx, r.Upstream)
	s.enqueue(func(now time.Time) {
		known := cmp.Or(incarnation, s.died[r.Upstream])
		s.step(now, nil, Started{Run: r, Incarnation: known, Fingerprint: f, Alone: alone})
	})
	return true
}

// lookUpIncarnation returns the incarnation of an upstream. It asks the
// upstream if this VM does not know it, and returns 0 if there is no answer.
func (s *Shell) lookUpIncarnation(ctx context.Context, u identifier.Upstream) identifier.Incarnation {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	known := make(chan identifier.Incarnation, 1)
	s.runAndWait(ctx, func(time.Time) { known <- s.incarnations[u] })
	select {
	case n := <-known:
		if n != 0 {
			return n
		}
	default:
	}
	prober, ok := s.proberOf(u)
	if !ok {
		return 0
	}
	load, err := prober.Load(ctx)
	if err != nil {
		return 0
	}
	found := make(chan identifier.Incarnation, 1)
	s.runAndWait(ctx, func(time.Time) {
		s.incarnations[u] = cmp.Or(load.Incarnation, s.incarnations[u], s.core.nextIncarnation(u))
		found <- s.incarnations[u]
	})
	select {
	case n := <-found:
		return n
	default:
		return 0
	}
}

// End records that a run has ended. The argument complete is true if its
// request was answered completely, alone is the value that Start was called with.
func (s *Shell) End(r Run, complete, alone bool) {
	s.enqueue(func(now time.Time) { s.step(now, nil, Ended{Run: r, Completed: complete}) })
	s.freeGuard(r, alone)
}

// Withdraw records that no byte of a run was sent after Start.
func (s *Shell) Withdraw(r Run, alone bool) {
	s.enqueue(func(now time.Time) { s.step(now, nil, Withdrawn{Run: r}) })
	s.freeGuard(r, alone)
}

// freeGuard lets the next suspect run on an upstream, if r ran there alone.
func (s *Shell) freeGuard(r Run, alone bool) {
	if !alone {
		return
	}
	guard := s.guardOf(r.Upstream)
	if guard == s.self {
		s.enqueue(func(now time.Time) { s.step(now, nil, GuardFreed{Run: r}) })
		return
	}
	s.sender.Send(guard, &wire.Envelope{Body: &wire.Envelope_RequestState{RequestState: EncodeGuardFree(r)}})
}

// askGuard reports whether the guard of the upstream allows the run. No answer
// counts as a refusal.
func (s *Shell) askGuard(ctx context.Context, r Run, f Fingerprint) bool {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	guard := s.guardOf(r.Upstream)
	if guard == s.self {
		return s.answerGuard(ctx, GuardAsked{From: s.self, Run: r, Fingerprint: f})
	}
	e, err := s.sender.Call(ctx, guard, &wire.Envelope{Body: &wire.Envelope_RequestState{RequestState: EncodeGuardAsk(r, f)}})
	if err != nil {
		return false
	}
	_, allowed, err := DecodeGuardAnswer(e.GetRequestState().GetGuardAnswer())
	return err == nil && allowed
}

// answerGuard reports whether this VM, as the guard of the upstream, allows a
// run. It returns false if the loop does not answer in time.
func (s *Shell) answerGuard(ctx context.Context, e GuardAsked) bool {
	allowed := make(chan bool, 1)
	s.runAndWait(ctx, func(now time.Time) {
		s.step(now, nil, e)
		allowed <- s.lastGuardAnswer.Allowed
	})
	select {
	case ok := <-allowed:
		return ok
	default:
		return false
	}
}

// Handle processes a message of another VM. It returns the answer to a
// GuardAsk, and nil for any other or an invalid message.
func (s *Shell) Handle(ctx context.Context, from identifier.VM, m *wire.RequestState) *wire.Envelope {
	e, err := Decode(from, m)
	if err != nil {
		return nil
	}
	asked, ok := e.(GuardAsked)
	if !ok {
		s.enqueue(func(now time.Time) {
			s.step(now, nil, e)
			s.forgetDied(e)
		})
		return nil
	}
	answer := GuardAnswered{To: from, Run: asked.Run, Allowed: s.answerGuard(ctx, asked)}
	return &wire.Envelope{Body: &wire.Envelope_RequestState{RequestState: Encode(answer)}}
}

// forgetDied forgets the incarnations that have died by the marks of another VM.
func (s *Shell) forgetDied(e Event) {
	received, ok := e.(MarksReceived)
	if !ok {
		return
	}
	for _, m := range received.Marks {
		if m.State == StateDied {
			s.forget(m.Death)
		}
	}
}

// forget forgets an incarnation that has died, if it is the known one.
func (s *Shell) forget(d Death) {
	if d.Incarnation != 0 && s.incarnations[d.Upstream] == d.Incarnation {
		s.died[d.Upstream] = d.Incarnation
		delete(s.incarnations, d.Upstream)
	}
}

// SendAllMarks sends all marks that this VM knows to a VM that has started.
func (s *Shell) SendAllMarks(vm identifier.VM) {
	s.enqueue(func(now time.Time) { s.step(now, nil, VMJoined{VM: vm}) })
}

// ReportConnectionLost records that the connection to an upstream broke while a
// request was in flight, and starts probing whether the upstream has died.
func (s *Shell) ReportConnectionLost(ctx context.Context, u identifier.Upstream) {
	s.enqueue(func(now time.Time) {
		death := Death{Upstream: u, Incarnation: cmp.Or(s.incarnations[u], s.died[u])}
		s.step(now, nil, UpstreamLost{Death: death})
		if s.probing[u] {
			return
		}
		s.probing[u] = true
		go s.confirmDeath(ctx, death)
	})
}

// confirmDeath probes a lost upstream until it is known whether it has died,
// for at most ConfirmWait.
func (s *Shell) confirmDeath(ctx context.Context, death Death) {
	ctx, cancel := context.WithTimeout(ctx, ConfirmWait)
	defer cancel()
	var found Event
	for found == nil && ctx.Err() == nil {
		found = s.probeUpstream(ctx, death)
		if found == nil {
			looper.Sleep(ctx, probeInterval)
		}
	}
	s.enqueue(func(now time.Time) {
		delete(s.probing, death.Upstream)
		if found == nil {
			return
		}
		if _, died := found.(UpstreamDied); died {
			s.forget(death)
			s.log.Warn().Str("Upstream", string(death.Upstream)).Uint64("Incarnation", uint64(death.Incarnation)).Msg("UpstreamDied")
		}
		s.step(now, nil, found)
	})
}

// probeUpstream returns UpstreamAlive or UpstreamDied, or nil if one call does
// not show which of them holds.
func (s *Shell) probeUpstream(ctx context.Context, death Death) Event {
	prober, ok := s.proberOf(death.Upstream)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	load, err := prober.Load(ctx)
	switch {
	case err == nil && (load.Incarnation == 0 || load.Incarnation == death.Incarnation):
		return UpstreamAlive{Death: death}
	case err == nil:
		return UpstreamDied{Death: death}
	case driver.KindOf(err) == driver.KindNotRun && ctx.Err() == nil:
		return UpstreamDied{Death: death}
	default:
		return nil
	}
}
