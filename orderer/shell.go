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

// Limits and store keys of the shell.
const (
	// MaxQueuedEvents is the capacity of a shell's event queue. Each runner has
	// at most one call in flight, so there is room for every answer.
	MaxQueuedEvents = MaxRunners + 256
	// StoreTimeout bounds the store calls of one request, including the
	// retries for a load.
	StoreTimeout = 2 * time.Second
	// OrderTimeout bounds one call to an engine.
	OrderTimeout = 20 * time.Second
	// RecordPrefix is the prefix of the store keys of order records.
	RecordPrefix = "figtrack/orders/"
	// BudgetKey is the store key of the load budget.
	BudgetKey = "figtrack/loads"
	// DefaultLoads is the default for the maximum number of weight loads that
	// the fleet starts in one BudgetWindow.
	DefaultLoads = 12
	// MaxBudgetAttempts bounds the attempts to count one load in the budget.
	MaxBudgetAttempts = 4
)

// Engines returns the client of a runner, or nil if the runner is unknown.
type Engines func(identifier.Upstream) driver.Engine

// Shell runs a Core in one goroutine: it queues the events, and calls the
// store and the engines for the core.
type Shell struct {
	core    *Core
	store   keeper.Store
	engines Engines
	// maxLoads is the maximum number of weight loads that the whole fleet
	// starts in one BudgetWindow.
	maxLoads int
	// observe is called with each Drain, Issue, Settled and Deferred, in
	// order.
	observe func(Outcome)
	ring    chan Event
}

// NewShell returns a shell that does nothing before Run. The observe callback
// runs on the shell's goroutine and must not block.
func NewShell(core *Core, store keeper.Store, engines Engines, loads int, observe func(Outcome)) *Shell {
	return &Shell{
		core: core, store: store, engines: engines, maxLoads: loads, observe: observe,
		ring: make(chan Event, MaxQueuedEvents),
	}
}

// Offer queues an event. It returns false and drops the event if the queue is
// full; the caller must then offer Wanted and Drained again.
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
			go s.runCall(ctx, func() Event { return s.readEngine(ctx, o) })
		case ReadRecord:
			go s.runCall(ctx, func() Event { return s.readRecord(ctx, o) })
		case SwapRecord:
			go s.runCall(ctx, func() Event { return s.swapRecord(ctx, o) })
		case TakeBudget:
			go s.runCall(ctx, func() Event { return s.takeBudget(ctx, o) })
		case Issue:
			s.observe(o)
			go s.runCall(ctx, func() Event { return s.issue(ctx, o) })
		default:
			s.observe(o)
		}
	}
}

func (s *Shell) runCall(ctx context.Context, call func() Event) {
	e := call()
	select {
	case s.ring <- e:
	case <-ctx.Done():
	}
}

func (s *Shell) readEngine(ctx context.Context, o ReadEngine) Event {
	result, err := s.sendOrder(ctx, o.Upstream, driver.Order{Fence: o.Fence})
	return EngineRead{Upstream: o.Upstream, Result: result, Err: err}
}

func (s *Shell) issue(ctx context.Context, o Issue) Event {
	result, err := s.sendOrder(ctx, o.Upstream, o.Order)
	return Ordered{Upstream: o.Upstream, Result: result, Err: err}
}

func (s *Shell) sendOrder(ctx context.Context, id identifier.Upstream, o driver.Order) (driver.OrderResult, error) {
	engine := s.engines(id)
	if engine == nil {
		err := errors.New("runner is not in the configuration")
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

// takeBudget counts one load in the budget in the store, in competition with
// other VMs. If the reply is lost, a load may be counted that never starts.
func (s *Shell) takeBudget(ctx context.Context, o TakeBudget) Event {
	call, cancel := context.WithTimeout(ctx, StoreTimeout)
	defer cancel()
	for range MaxBudgetAttempts {
		entry, err := s.store.Get(call, keeper.PurposeFence, BudgetKey)
		if err != nil {
			return BudgetAnswered{Upstream: o.Upstream, Err: err}
		}
		budget, err := DecodeBudget(entry.Value)
		if err != nil {
			return BudgetAnswered{Upstream: o.Upstream, Err: err}
		}
		next, ok := budget.TryCharge(time.Now(), s.maxLoads)
		if !ok {
			return BudgetAnswered{Upstream: o.Upstream, Retry: next.NextWindowStart()}
		}
		_, written, err := s.store.Swap(call, keeper.PurposeFence, BudgetKey, entry.Version, next.Encode())
		if err != nil || written {
			return BudgetAnswered{Upstream: o.Upstream, Granted: written, Err: err}
		}
	}
	return BudgetAnswered{Upstream: o.Upstream, Err: errors.New("load budget: other VMs changed the record at every attempt")}
}
