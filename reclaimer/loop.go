package reclaimer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/looper"
)

// Run passes events to the Canceller and the cores and carries out their
// decisions, until ctx ends.
func (s *Shell) Run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	listing := time.NewTicker(PollEvery)
	defer listing.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case in := <-s.inputs:
			s.handle(ctx, timer, in)
		case <-timer.C:
			s.stepCanceller(ctx, timer, CancellerWake{})
		case <-listing.C:
			s.listAll(ctx)
		}
	}
}

func (s *Shell) handle(ctx context.Context, timer *time.Timer, in input) {
	switch in := in.(type) {
	case cancellerInput:
		s.stepCanceller(ctx, timer, in.event)
	case coreInput:
		s.stepCore(in.shard, in.event)
	case setShards:
		s.replaceShards(in.shards)
	case setLive:
		s.live = in.live
		for _, one := range s.shards {
			s.stepCore(one.ID, VMsChanged{Live: s.live})
		}
	}
}

// replaceShards sets the owned shards. A shard that was owned before keeps its core.
func (s *Shell) replaceShards(shards []Shard) {
	cores := make(map[identifier.Shard]*Core, len(shards))
	for _, one := range shards {
		core := s.cores[one.ID]
		if core == nil {
			core = New()
			core.Step(time.Now(), VMsChanged{Live: s.live})
		}
		cores[one.ID] = core
	}
	s.shards = shards
	s.cores = cores
}

// stepCanceller passes an event to the Canceller and carries out its decisions.
func (s *Shell) stepCanceller(ctx context.Context, timer *time.Timer, e CancellerEvent) {
	now := time.Now()
	for _, out := range s.canceller.Step(now, e) {
		switch out := out.(type) {
		case Try:
			s.sendRelease(ctx, out.ID)
		case GivenUp:
			s.log.Warn().
				Str("Upstream", string(out.ID.Upstream)).
				Str("Request", string(out.ID.Hold.Request)).
				Msg("ReleaseGivenUp")
		case CancellerWakeAt:
			timer.Reset(max(0, out.At.Sub(now)))
		}
	}
	s.pending.Store(int64(s.canceller.Len()))
}

// sendRelease sends a release to the engine once. If maxCalls calls are under way
// it does nothing: the release becomes due again.
func (s *Shell) sendRelease(ctx context.Context, order ReleaseID) {
	select {
	case s.callSlots <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-s.callSlots }()
		s.put(ctx, cancellerInput{ReleaseReplied{ID: order, Done: s.releaseHold(ctx, order)}})
	}()
}

// releaseHold releases a hold on its engine and reports whether the engine no
// longer has it. An engine that is not configured counts as having lost it.
func (s *Shell) releaseHold(ctx context.Context, order ReleaseID) bool {
	engine, ok := s.engines(order.Upstream)
	if !ok {
		return true
	}
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	err := engine.Release(ctx, order.Hold)
	return err == nil || driver.KindOf(err) == driver.KindGone
}

// listAll wakes the cores and requests the holds of the engines of all owned
// shards.
func (s *Shell) listAll(ctx context.Context) {
	for _, shard := range s.shards {
		s.stepCore(shard.ID, Wake{})
		for _, u := range shard.Upstreams {
			s.listEngine(ctx, shard.ID, u)
		}
	}
}

// listEngine requests the holds of an engine, unless maxCalls calls are under way.
func (s *Shell) listEngine(ctx context.Context, shard identifier.Shard, u identifier.Upstream) {
	engine, ok := s.engines(u)
	if !ok {
		s.stepCore(shard, EngineGone{Upstream: u})
		return
	}
	select {
	case s.callSlots <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-s.callSlots }()
		looper.Sleep(ctx, rand.N(PollEvery/listSpreadDivisor))
		ctx, stop := context.WithTimeout(ctx, callTimeout)
		defer stop()
		holds, err := engine.Holds(ctx)
		if err == nil {
			s.offer(coreInput{shard, Listed{Upstream: u, Holds: holds}})
		}
	}()
}

// listSpreadDivisor divides PollEvery; the result is the longest random delay of a
// listing, so that the engines aren't called all at once.
const listSpreadDivisor = 4

// stepCore passes an event to the core of a shard and carries out its decisions.
func (s *Shell) stepCore(shard identifier.Shard, e Event) {
	core := s.cores[shard]
	if core == nil {
		return
	}
	for _, out := range core.Step(time.Now(), e) {
		switch out := out.(type) {
		case Ask:
			s.sendAsk(shard, out)
		case Release:
			s.log.Info().
				Str("Upstream", string(out.Upstream)).
				Str("Request", string(out.Hold.Request)).
				Uint32("Attempt", uint32(out.Hold.Attempt)).
				Str("Of", string(out.Hold.VM)).
				Msg("HoldReclaimed")
			s.Release(out.Upstream, out.Hold)
		}
	}
}

// sendAsk sends a question to a VM. A question to this VM is answered directly.
func (s *Shell) sendAsk(shard identifier.Shard, out Ask) {
	if out.To != s.self.VM {
		s.sender.Send(out.To, envelope(EncodeAsk(shard, out)))
		return
	}
	var vouched []identifier.Hold
	for _, hold := range out.Holds {
		if s.isInUse(hold) {
			vouched = append(vouched, hold)
		}
	}
	s.offer(coreInput{shard, Answered{From: s.self, Round: out.Round, Vouched: vouched}})
}
