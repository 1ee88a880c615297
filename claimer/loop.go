package claimer

import (
	"context"
	"time"

	"github.com/figtrack/figtrack/keeper"
)

// leadership is one core with what its shell keeps for it.
type leadership struct {
	core *Core
	wake time.Time
	// waiting holds the askers; the core answers or times out each holder.
	waiting map[Holder][]chan Result
}

// Run drives the cores until ctx ends.
func (s *Shell) Run(ctx context.Context) {
	defer close(s.ended)
	var shards [Shards]*leadership
	for i := range shards {
		shards[i] = &leadership{core: New(Shard(i), DefaultLimits), waiting: map[Holder][]chan Result{}}
	}
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case in := <-s.ring:
			s.step(ctx, in.shard, shards[in.shard], in)
		case <-timer.C:
			s.wake(ctx, shards[:])
		}
		timer.Reset(untilWake(shards[:]))
	}
}

func untilWake(shards []*leadership) time.Duration {
	wait := time.Hour
	for _, l := range shards {
		if !l.wake.IsZero() {
			wait = min(wait, max(0, time.Until(l.wake)))
		}
	}
	return wait
}

func (s *Shell) wake(ctx context.Context, shards []*leadership) {
	for i, l := range shards {
		if l.wake.IsZero() || time.Now().Before(l.wake) {
			continue
		}
		l.wake = time.Time{}
		s.step(ctx, Shard(i), l, input{shard: Shard(i), event: Wake{}})
	}
}

func (s *Shell) step(ctx context.Context, shard Shard, l *leadership, in input) {
	if ask, ok := in.event.(ClaimAsked); ok {
		holder := ask.Claim.Holder
		l.waiting[holder] = append(l.waiting[holder], in.reply)
	}
	for _, o := range l.core.Step(time.Now(), in.event) {
		switch o := o.(type) {
		case Answer:
			l.answer(o)
		case List:
			go s.list(ctx, shard, o)
		case Swap:
			go s.swap(ctx, shard, o)
		case WakeAt:
			l.wake = o.At
		}
	}
}

func (l *leadership) answer(a Answer) {
	for _, reply := range l.waiting[a.Holder] {
		reply <- Result{Verdict: a.Verdict, Reason: a.Reason}
	}
	delete(l.waiting, a.Holder)
}

func (s *Shell) list(ctx context.Context, shard Shard, o List) {
	callCtx, cancel := context.WithTimeout(ctx, storeBudget)
	defer cancel()
	entries, err := s.store.List(callCtx, keeper.PurposeClaim, o.Prefix)
	s.put(ctx, input{shard: shard, event: Listed{Call: o.Call, Entries: entries, Failed: kindOf(err)}})
}

func (s *Shell) swap(ctx context.Context, shard Shard, o Swap) {
	callCtx, cancel := context.WithTimeout(ctx, storeBudget)
	defer cancel()
	entry, done, err := s.store.Swap(callCtx, keeper.PurposeClaim, o.Key, o.Expected, o.Value)
	s.put(ctx, input{shard: shard, event: Swapped{Call: o.Call, Entry: entry, Done: done, Failed: kindOf(err)}})
}

// put delivers a store reply. It may wait for room: there is one call for
// each shard.
func (s *Shell) put(ctx context.Context, in input) {
	select {
	case s.ring <- in:
	case <-ctx.Done():
	}
}

func kindOf(err error) keeper.Kind {
	if err == nil {
		return ""
	}
	return keeper.KindOf(err)
}
