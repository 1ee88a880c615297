package quarantiner

import (
	"context"
	"time"

	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/looper"
	"github.com/figtrack/figtrack/wire"
)

// Start says that a run is about to be sent to its upstream. A run that must
// be alone is refused, by false, where the guard has let in another suspect.
func (s *Shell) Start(ctx context.Context, r Run, f Fingerprint, alone bool) bool {
	if alone && !s.askGuard(ctx, r, f) {
		return false
	}
	incarnation := s.incarnation(ctx, r.Upstream)
	s.post(func(now time.Time) {
		s.step(now, nil, Started{Run: r, Incarnation: incarnation, Fingerprint: f, Alone: alone})
	})
	return true
}

// incarnation asks an upstream that was not used here before.
func (s *Shell) incarnation(ctx context.Context, u identifier.Upstream) identifier.Incarnation {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	known := make(chan identifier.Incarnation, 1)
	s.do(ctx, func(time.Time) { known <- s.known[u] })
	select {
	case n := <-known:
		if n != 0 {
			return n
		}
	default:
	}
	engine, ok := s.engines(u)
	if !ok {
		return 0
	}
	load, err := engine.Load(ctx)
	if err != nil {
		return 0
	}
	s.post(func(time.Time) { s.known[u] = load.Incarnation })
	return load.Incarnation
}

// End says that a run has ended; whole says that its request was answered.
func (s *Shell) End(r Run, whole, alone bool) {
	s.post(func(now time.Time) { s.step(now, nil, Ended{Run: r, Whole: whole}) })
	if !alone {
		return
	}
	guard := s.guards(r.Upstream)
	if guard == s.self {
		s.post(func(now time.Time) { s.step(now, nil, GuardFreed{Run: r}) })
		return
	}
	s.sender.Send(guard, &wire.Envelope{Body: &wire.Envelope_RequestState{RequestState: EncodeGuardFree(r)}})
}

func (s *Shell) askGuard(ctx context.Context, r Run, f Fingerprint) bool {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	guard := s.guards(r.Upstream)
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

func (s *Shell) answerGuard(ctx context.Context, e GuardAsked) bool {
	allowed := make(chan bool, 1)
	s.do(ctx, func(now time.Time) {
		s.step(now, nil, e)
		allowed <- s.guarded.Allowed
	})
	select {
	case ok := <-allowed:
		return ok
	default:
		return false
	}
}

// Handle takes a message of another VM and answers a GuardAsk.
func (s *Shell) Handle(ctx context.Context, from identifier.VM, m *wire.RequestState) *wire.Envelope {
	e, err := Decode(from, m)
	if err != nil {
		return nil
	}
	asked, ok := e.(GuardAsked)
	if !ok {
		s.post(func(now time.Time) { s.step(now, nil, e) })
		return nil
	}
	answer := GuardAnswered{To: from, Run: asked.Run, Allowed: s.answerGuard(ctx, asked)}
	return &wire.Envelope{Body: &wire.Envelope_RequestState{RequestState: Encode(answer)}}
}

// Joined tells a VM that has started what is known here.
func (s *Shell) Joined(vm identifier.VM) {
	s.post(func(now time.Time) { s.step(now, nil, VMJoined{VM: vm}) })
}

// Lost says that the connection to an upstream broke with a request in flight.
// The shell then finds out whether the upstream has died.
func (s *Shell) Lost(ctx context.Context, u identifier.Upstream) {
	s.post(func(now time.Time) {
		death := Death{Upstream: u, Incarnation: s.known[u]}
		s.step(now, nil, UpstreamLost{Death: death})
		if s.probing[u] {
			return
		}
		s.probing[u] = true
		go s.confirm(ctx, death)
	})
}

// confirm asks a lost upstream until it is known whether it has died, or
// until ConfirmWait is over.
func (s *Shell) confirm(ctx context.Context, death Death) {
	ctx, cancel := context.WithTimeout(ctx, ConfirmWait)
	defer cancel()
	var found Event
	for found == nil && ctx.Err() == nil {
		found = s.probe(ctx, death)
		if found == nil {
			looper.Sleep(ctx, probeEvery)
		}
	}
	s.post(func(now time.Time) {
		delete(s.probing, death.Upstream)
		if found == nil {
			return
		}
		if _, died := found.(UpstreamDied); died {
			delete(s.known, death.Upstream)
			s.log.Warn().Str("Upstream", string(death.Upstream)).Uint64("Incarnation", uint64(death.Incarnation)).Msg("UpstreamDied")
		}
		s.step(now, nil, found)
	})
}

// probe returns nil while nothing is certain.
func (s *Shell) probe(ctx context.Context, death Death) Event {
	engine, ok := s.engines(death.Upstream)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	load, err := engine.Load(ctx)
	switch {
	case err == nil && load.Incarnation == death.Incarnation:
		return UpstreamAlive{Death: death}
	case err == nil:
		return UpstreamDied{Death: death}
	case driver.KindOf(err) == driver.KindNotRun && ctx.Err() == nil:
		return UpstreamDied{Death: death}
	default:
		return nil
	}
}
