package follower

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/keeper"
	"github.com/figtrack/figtrack/looper"
)

// Taker receives what the store holds. Its methods are called one at a time.
type Taker interface {
	TakeAll(entries []keeper.Entry)
	Take(entry keeper.Entry)
	StoreLost(o StoreLost)
	StoreFound(o StoreFound)
}

// Shell makes the calls of one core.
type Shell struct {
	core    *Core
	feed    keeper.Feed
	purpose keeper.Purpose
	prefix  string
	// wait is how long one call waits for changes. The next call may go over
	// a new connection, so that it bounds how long a silent one is believed.
	wait  time.Duration
	taker Taker
}

// NewShell returns a shell that follows a prefix for a taker.
func NewShell(feed keeper.Feed, purpose keeper.Purpose, prefix string, wait time.Duration, taker Taker) *Shell {
	return &Shell{core: New(), feed: feed, purpose: purpose, prefix: prefix, wait: wait, taker: taker}
}

// Run follows until ctx ends.
func (s *Shell) Run(ctx context.Context) {
	next := []Event{Begin{}}
	for len(next) > 0 && ctx.Err() == nil {
		e := next[0]
		next = next[1:]
		for _, o := range s.core.Step(time.Now(), e) {
			if answer := s.perform(ctx, o); answer != nil {
				next = append(next, answer)
			}
		}
	}
}

// perform does what an outcome asks for and returns what came of it.
func (s *Shell) perform(ctx context.Context, o Outcome) Event {
	switch o := o.(type) {
	case List:
		found, err := s.feed.Snapshot(ctx, s.purpose, s.prefix)
		if err != nil {
			return Failed{Err: err}
		}
		return Listed{found}
	case Await:
		found, err := s.feed.Changes(ctx, s.purpose, s.prefix, o.After, s.wait)
		if err != nil {
			return Failed{Err: err, Forgotten: errors.Is(err, keeper.ErrForgotten)}
		}
		return Changed{found}
	case Rest:
		looper.Sleep(ctx, o.For)
		return Rested{}
	case TakeAll:
		s.taker.TakeAll(o.Entries)
	case Take:
		s.taker.Take(o.Entry)
	case StoreLost:
		s.taker.StoreLost(o)
	case StoreFound:
		s.taker.StoreFound(o)
	}
	return nil
}
