package follower

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/keeper"
	"github.com/figtrack/figtrack/looper"
	"github.com/figtrack/figtrack/stepper"
)

// Receiver receives the entries of the store, their changes and the store's
// outages. Its methods are called one at a time.
type Receiver interface {
	TakeAll(o TakeAll)
	Take(entry keeper.Entry)
	EraChanged(o EraChanged)
	StoreLost(o StoreLost)
	StoreFound(o StoreFound)
	ReadDone(o ReadDone)
	ReadFailed(o ReadFailed)
}

// Shell makes the calls that one core asks for.
type Shell struct {
	core    *Core
	feed    keeper.Feed
	purpose keeper.Purpose
	// wait is how long one call waits for changes. It also bounds how long a
	// connection that broke without notice is relied on, as the next call may
	// use a new one.
	wait     time.Duration
	receiver Receiver
	steps    *stepper.Stepper
}

// Names of the core, of the receiver's steps and of the calls to the store.
const (
	coreFollower stepper.Core = "Follower"
	coreReceiver stepper.Core = "Receiver"
	coreFeed     stepper.Core = "Feed"
)

// errFeedPanicked is the error of a call that has panicked.
var errFeedPanicked = errors.New("the call to the store panicked")

// restartDelay is the delay before a core that has panicked lists all keys.
const restartDelay = time.Second

// readingInterval is the interval at which the core is told that a List is in progress.
const readingInterval = 250 * time.Millisecond

// NewShell returns a shell that reports the entries of a store and their changes to
// receiver. Each call waits up to wait for changes.
func NewShell(feed keeper.Feed, purpose keeper.Purpose, wait time.Duration, cfg Settings, receiver Receiver, steps *stepper.Stepper) *Shell {
	return &Shell{core: New(cfg), feed: feed, purpose: purpose, wait: wait, receiver: receiver, steps: steps}
}

// Run makes calls and reports their results until ctx ends. After a panic it lists all
// keys again.
func (s *Shell) Run(ctx context.Context) {
	events := []Event{Begin{}}
	for len(events) > 0 && ctx.Err() == nil {
		e := events[0]
		events = events[1:]
		var outcomes []Outcome
		ok := s.steps.Call(coreFollower, e, func() { outcomes = s.core.Step(time.Now(), e) })
		for _, o := range outcomes {
			if isForReceiver(o) {
				ok = s.steps.Call(coreReceiver, o, func() { s.report(o) }) && ok
				continue
			}
			if !ok {
				break
			}
			if result := s.perform(ctx, o); result != nil {
				events = append(events, result)
			}
		}
		if !ok {
			looper.Sleep(ctx, restartDelay)
			s.core, events = s.core.Restarted(), []Event{Begin{}}
		}
	}
}

func isForReceiver(o Outcome) bool {
	switch o.(type) {
	case List, Await, Rest:
		return false
	}
	return true
}

// report passes one outcome to the receiver.
func (s *Shell) report(o Outcome) {
	switch o := o.(type) {
	case TakeAll:
		s.receiver.TakeAll(o)
	case Take:
		s.receiver.Take(o.Entry)
	case EraChanged:
		s.receiver.EraChanged(o)
	case StoreLost:
		s.receiver.StoreLost(o)
	case StoreFound:
		s.receiver.StoreFound(o)
	case ReadDone:
		s.receiver.ReadDone(o)
	case ReadFailed:
		s.receiver.ReadFailed(o)
	}
}

// perform makes the call or the pause of one outcome and returns the event that
// results, or nil if there is none.
func (s *Shell) perform(ctx context.Context, o Outcome) Event {
	if o, ok := o.(Rest); ok {
		looper.Sleep(ctx, o.For)
		return Rested{}
	}
	if _, ok := o.(List); !ok {
		return s.callOrFail(ctx, o)
	}
	result := make(chan Event, 1)
	go func() { result <- s.callOrFail(ctx, o) }()
	ticker := time.NewTicker(readingInterval)
	defer ticker.Stop()
	for {
		select {
		case e := <-result:
			return e
		case <-ticker.C:
			s.reportReading()
		}
	}
}

// reportReading tells the core that a List is in progress.
func (s *Shell) reportReading() {
	var outcomes []Outcome
	s.steps.Call(coreFollower, Reading{}, func() { outcomes = s.core.Step(time.Now(), Reading{}) })
	for _, o := range outcomes {
		s.steps.Call(coreReceiver, o, func() { s.report(o) })
	}
}

// callOrFail makes the call of one outcome. A call that panics has failed.
func (s *Shell) callOrFail(ctx context.Context, o Outcome) Event {
	var result Event
	if !s.steps.Call(coreFeed, o, func() { result = s.call(ctx, o) }) {
		return Failed{Err: errFeedPanicked}
	}
	return result
}

// isServed reports whether an error is the answer of a store that is up.
func isServed(err error) bool {
	return errors.Is(err, keeper.ErrRateLimited) || errors.Is(err, keeper.ErrCompacted) || errors.Is(err, keeper.ErrHistoryTooLong)
}

// call makes the call of one outcome.
func (s *Shell) call(ctx context.Context, o Outcome) Event {
	at := time.Now()
	switch o := o.(type) {
	case List:
		found, err := s.feed.Snapshot(ctx, s.purpose, o.Prefix, o.After)
		if err != nil {
			return Failed{Err: err, CalledAt: at, IsServed: isServed(err), Era: keeper.EraOf(err), Arrived: found}
		}
		return Listed{found}
	case Await:
		wait := s.wait
		if o.IsProbe {
			wait = 0
		}
		found, err := s.feed.Changes(ctx, s.purpose, o.Prefix, o.After, wait)
		if err != nil {
			return Failed{
				Err:         err,
				CalledAt:    at,
				IsServed:    isServed(err),
				IsCompacted: errors.Is(err, keeper.ErrCompacted),
				IsTooLong:   errors.Is(err, keeper.ErrHistoryTooLong),
				Era:         keeper.EraOf(err),
				Arrived:     keeper.Snapshot{Bytes: found.Bytes},
			}
		}
		return Changed{found}
	}
	return nil
}
