package claimer

import (
	"context"
	"time"

	"github.com/figtrack/figtrack/keeper"
)

// shardState is the core of one shard with its timer and the callers that wait
// for its answers.
type shardState struct {
	core *Core
	// wakeAt is when the core needs a Wake; zero if it needs none.
	wakeAt time.Time
	// waiting holds the reply channels of each holder. The core answers every
	// ask, at the latest when it times out.
	waiting map[Holder][]chan Result
}

// Run drives the cores until ctx is done.
func (s *Shell) Run(ctx context.Context) {
	defer close(s.stopped)
	var shards [ShardCount]*shardState
	for i := range shards {
		shards[i] = &shardState{core: New(Shard(i), DefaultLimits), waiting: map[Holder][]chan Result{}}
	}
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case in := <-s.inputs:
			s.step(ctx, in.shard, shards[in.shard], in)
		case <-timer.C:
			s.wakeDue(ctx, shards[:])
		}
		timer.Reset(timeUntilWake(shards[:]))
	}
}

// timeUntilWake returns the time until the next core needs a Wake, at most an
// hour.
func timeUntilWake(shards []*shardState) time.Duration {
	wait := time.Hour
	for _, l := range shards {
		if !l.wakeAt.IsZero() {
			wait = min(wait, max(0, time.Until(l.wakeAt)))
		}
	}
	return wait
}

// wakeDue steps a Wake on each core that needs one now.
func (s *Shell) wakeDue(ctx context.Context, shards []*shardState) {
	for i, l := range shards {
		if l.wakeAt.IsZero() || time.Now().Before(l.wakeAt) {
			continue
		}
		l.wakeAt = time.Time{}
		s.step(ctx, Shard(i), l, input{shard: Shard(i), event: Wake{}})
	}
}

// step applies an input to the core of its shard and carries out the outcomes.
func (s *Shell) step(ctx context.Context, shard Shard, l *shardState, in input) {
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
			l.wakeAt = o.At
		}
	}
}

func (l *shardState) answer(a Answer) {
	for _, reply := range l.waiting[a.Holder] {
		reply <- Result{Verdict: a.Verdict, Reason: a.Reason}
	}
	delete(l.waiting, a.Holder)
}

func (s *Shell) list(ctx context.Context, shard Shard, o List) {
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	entries, err := s.store.List(callCtx, keeper.PurposeClaim, o.Prefix)
	s.enqueueReply(ctx, input{shard: shard, event: Listed{Call: o.Call, Entries: entries, Failed: kindOf(err)}})
}

func (s *Shell) swap(ctx context.Context, shard Shard, o Swap) {
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	entry, done, err := s.store.Swap(callCtx, keeper.PurposeClaim, o.Key, o.Expected, o.Value)
	s.enqueueReply(ctx, input{shard: shard, event: Swapped{Call: o.Call, Entry: entry, Done: done, Failed: kindOf(err)}})
}

// enqueueReply queues the reply to a store call. It may wait while the queue
// is full, because each shard has at most one call.
func (s *Shell) enqueueReply(ctx context.Context, in input) {
	select {
	case s.inputs <- in:
	case <-ctx.Done():
	}
}

func kindOf(err error) keeper.Kind {
	if err == nil {
		return ""
	}
	return keeper.KindOf(err)
}
