package reclaimer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/looper"
)

// Run drives the cores until ctx ends.
func (s *Shell) Run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	listing := time.NewTicker(PollEvery)
	defer listing.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case in := <-s.ring:
			s.handle(ctx, timer, in)
		case <-timer.C:
			s.cancel(ctx, timer, CancellerWake{})
		case <-listing.C:
			s.listAll(ctx)
		}
	}
}

func (s *Shell) handle(ctx context.Context, timer *time.Timer, in input) {
	switch in := in.(type) {
	case cancel:
		s.cancel(ctx, timer, in.event)
	case compare:
		s.compare(in.shard, in.event)
	case setShards:
		s.replaceShards(in.shards)
	case setLive:
		s.live = in.live
		for _, one := range s.shards {
			s.compare(one.ID, VMsChanged{Live: s.live})
		}
	}
}

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

// cancel advances the canceller.
func (s *Shell) cancel(ctx context.Context, timer *time.Timer, e CancellerEvent) {
	now := time.Now()
	for _, out := range s.canceller.Step(now, e) {
		switch out := out.(type) {
		case Try:
			s.try(ctx, out.Order)
		case GivenUp:
			s.log.Warn().
				Str("Upstream", string(out.Order.Upstream)).
				Str("Request", string(out.Order.Hold.Request)).
				Msg("ReleaseGivenUp")
		case CancellerWakeAt:
			timer.Reset(max(0, out.At.Sub(now)))
		}
	}
	s.pending.Store(int64(s.canceller.Len()))
}

// try calls the engine once. Without a free call, the release comes due again.
func (s *Shell) try(ctx context.Context, order Order) {
	select {
	case s.calls <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-s.calls }()
		s.put(ctx, cancel{ReleaseReplied{Order: order, Done: s.release(ctx, order)}})
	}()
}

// release says whether the engine holds nothing any more.
func (s *Shell) release(ctx context.Context, order Order) bool {
	engine, ok := s.engines(order.Upstream)
	if !ok {
		return true
	}
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	err := engine.Release(ctx, order.Hold)
	return err == nil || driver.KindOf(err) == driver.KindGone
}

// listAll asks the engines of all owned shards for their holds.
func (s *Shell) listAll(ctx context.Context) {
	for _, shard := range s.shards {
		s.compare(shard.ID, Wake{})
		for _, u := range shard.Upstreams {
			s.list(ctx, shard.ID, u)
		}
	}
}

func (s *Shell) list(ctx context.Context, shard identifier.Shard, u identifier.Upstream) {
	engine, ok := s.engines(u)
	if !ok {
		s.compare(shard, EngineGone{Upstream: u})
		return
	}
	select {
	case s.calls <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-s.calls }()
		looper.Sleep(ctx, rand.N(PollEvery/listSpread))
		ctx, stop := context.WithTimeout(ctx, callTimeout)
		defer stop()
		holds, err := engine.Holds(ctx)
		if err == nil {
			s.offer(compare{shard, Listed{Upstream: u, Holds: holds}})
		}
	}()
}

// listSpread is the part of PollEvery over which listings are spread.
const listSpread = 4

// compare advances the core of a shard.
func (s *Shell) compare(shard identifier.Shard, e Event) {
	core := s.cores[shard]
	if core == nil {
		return
	}
	for _, out := range core.Step(time.Now(), e) {
		switch out := out.(type) {
		case Ask:
			s.ask(shard, out)
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

// ask puts a question to a VM; its own it answers itself.
func (s *Shell) ask(shard identifier.Shard, out Ask) {
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
	s.offer(compare{shard, Answered{From: s.self, Round: out.Round, Vouched: vouched}})
}
