package orderer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/keeper"
	"github.com/figtrack/figtrack/looper"
)

// Bounds and keys of the shell.
const (
	// RingEvents is the capacity of a shell's ring. Each runner has at most
	// one call out, so that answers always find room.
	RingEvents = MaxRunners + 256
	// StoreTimeout bounds one call of the store.
	StoreTimeout = 2 * time.Second
	// OrderTimeout bounds one call of an engine.
	OrderTimeout = 20 * time.Second
	// RecordPrefix is where the records of orders stand in the store.
	RecordPrefix = "figtrack/orders/"
	// BudgetKey is where the budget of loads stands in the store.
	BudgetKey = "figtrack/loads"
	// DefaultLoads is the most loads from the weight store that the fleet
	// begins in one BudgetWindow, if the settings name no other.
	DefaultLoads = 12
	// BudgetTries bounds the swaps for one load.
	BudgetTries = 4
)

// Engines returns the client of a runner, or nil if it is not known.
type Engines func(identifier.Upstream) driver.Engine

// Shell owns a Core: one goroutine, a bounded ring, the store and engines.
type Shell struct {
	core    *Core
	store   keeper.Store
	engines Engines
	// loads is the most loads from the weight store in one BudgetWindow, for
	// the whole fleet.
	loads int
	// observe sees Drain, Issue, Settled and Deferred, in order.
	observe func(Outcome)
	ring    chan Event
}

// NewShell returns a shell that does nothing before Run. Observe is called
// on the shell's goroutine and must not block.
func NewShell(core *Core, store keeper.Store, engines Engines, loads int, observe func(Outcome)) *Shell {
	return &Shell{
		core: core, store: store, engines: engines, loads: loads, observe: observe,
		ring: make(chan Event, RingEvents),
	}
}

// Offer queues an event. It returns false, with the event dropped, if the
// ring is full; Wanted and Drained are then to be offered again.
func (s *Shell) Offer(e Event) bool {
	select {
	case s.ring <- e:
		return true
	default:
		return false
	}
}

// Run drives the core until ctx ends.
func (s *Shell) Run(ctx context.Context) {
	looper.Run[Event](ctx, s.ring, Wake{}, func(timer *time.Timer, e Event) { s.step(ctx, timer, e) })
}

func (s *Shell) step(ctx context.Context, timer *time.Timer, e Event) {
	now := time.Now()
	for _, o := range s.core.Step(now, e) {
		switch o := o.(type) {
		case WakeAt:
			timer.Reset(max(0, o.At.Sub(now)))
		case ReadEngine:
			go s.answer(ctx, func() Event { return s.readEngine(ctx, o) })
		case ReadRecord:
			go s.answer(ctx, func() Event { return s.readRecord(ctx, o) })
		case SwapRecord:
			go s.answer(ctx, func() Event { return s.swapRecord(ctx, o) })
		case TakeBudget:
			go s.answer(ctx, func() Event { return s.takeBudget(ctx, o) })
		case Issue:
			s.observe(o)
			go s.answer(ctx, func() Event { return s.issue(ctx, o) })
		default:
			s.observe(o)
		}
	}
}

func (s *Shell) answer(ctx context.Context, call func() Event) {
	e := call()
	select {
	case s.ring <- e:
	case <-ctx.Done():
	}
}

func (s *Shell) readEngine(ctx context.Context, o ReadEngine) Event {
	result, err := s.order(ctx, o.Upstream, driver.Order{Fence: o.Fence})
	return EngineRead{Upstream: o.Upstream, Result: result, Err: err}
}

func (s *Shell) issue(ctx context.Context, o Issue) Event {
	result, err := s.order(ctx, o.Upstream, o.Order)
	return Ordered{Upstream: o.Upstream, Result: result, Err: err}
}

func (s *Shell) order(ctx context.Context, id identifier.Upstream, o driver.Order) (driver.OrderResult, error) {
	engine := s.engines(id)
	if engine == nil {
		err := errors.New("not in the configuration")
		return driver.OrderResult{}, &driver.Error{Kind: driver.KindNotRun, Upstream: id, Err: err}
	}
	call, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	return engine.Order(call, o)
}

func (s *Shell) readRecord(ctx context.Context, o ReadRecord) Event {
	call, cancel := context.WithTimeout(ctx, StoreTimeout)
	defer cancel()
	entry, err := s.store.Get(call, keeper.PurposeFence, RecordPrefix+string(o.Upstream))
	if err != nil {
		return RecordRead{Upstream: o.Upstream, Err: err}
	}
	record, err := DecodeRecord(entry.Value)
	return RecordRead{Upstream: o.Upstream, Record: record, Version: entry.Version, Err: err}
}

func (s *Shell) swapRecord(ctx context.Context, o SwapRecord) Event {
	call, cancel := context.WithTimeout(ctx, StoreTimeout)
	defer cancel()
	key := RecordPrefix + string(o.Upstream)
	_, written, err := s.store.Swap(call, keeper.PurposeFence, key, o.Expected, o.Record.Encode())
	return RecordSwapped{Upstream: o.Upstream, Attempt: o.Attempt, Written: written, Err: err}
}

// takeBudget counts one load in the store's budget, against other VMs that
// do the same. After a lost reply the load may be counted for nothing.
func (s *Shell) takeBudget(ctx context.Context, o TakeBudget) Event {
	call, cancel := context.WithTimeout(ctx, StoreTimeout)
	defer cancel()
	for range BudgetTries {
		entry, err := s.store.Get(call, keeper.PurposeFence, BudgetKey)
		if err != nil {
			return BudgetAnswered{Upstream: o.Upstream, Err: err}
		}
		budget, err := DecodeBudget(entry.Value)
		if err != nil {
			return BudgetAnswered{Upstream: o.Upstream, Err: err}
		}
		next, ok := budget.Take(time.Now(), s.loads)
		if !ok {
			return BudgetAnswered{Upstream: o.Upstream, Retry: next.Next()}
		}
		_, written, err := s.store.Swap(call, keeper.PurposeFence, BudgetKey, entry.Version, next.Encode())
		if err != nil || written {
			return BudgetAnswered{Upstream: o.Upstream, Granted: written, Err: err}
		}
	}
	return BudgetAnswered{Upstream: o.Upstream, Err: errors.New("lost the race for the load budget")}
}
