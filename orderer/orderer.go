// Package orderer makes runners serve what the configuration specifies.
//
// The owner VM of a runner compares the runner's state with the configuration
// and sends it an order if they differ. Before each order it writes the
// runner's record in the platform's store by compare-and-swap, which assigns
// the order its fencing token. Engines that check the token refuse a late
// order of an earlier owner. For engines that ignore it, a new owner waits
// until an order of the earlier one can no longer arrive, and every owner keeps
// reading its runners and corrects what a late order has changed.
package orderer

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tidwall/btree"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/keeper"
)

// Timeouts and limits of orders.
const (
	// VerifyInterval is the longest time between two reads of a settled runner.
	VerifyInterval = 30 * time.Second
	// MaxOrderDelay is the longest time that an order may take to reach its
	// engine if the VM is paused or the message is delayed. An engine that
	// ignores the fencing token gets no other order meanwhile.
	MaxOrderDelay = 30 * time.Second
	// OrderValidity is how long after the swap of the runner's record was
	// requested the order may still be sent.
	OrderValidity = 2 * time.Second
	// MaxReadAge is the maximum age of the last read of a runner when an order
	// for it is prepared.
	MaxReadAge = 2 * time.Second
	// InitialRetryDelay is the base delay after the first failure. It doubles
	// with each further failure, up to the maximum below.
	InitialRetryDelay = time.Second
	// MaxRetryDelay bounds the base delay after a failure, before jitter.
	MaxRetryDelay = time.Minute
	// MaxDraining bounds the runners of one pool that an owner drains at the
	// same time.
	MaxDraining = 1
	// MaxRunners bounds the runners that an owner handles.
	MaxRunners = 1024
)

// Core reconciles the runners owned by one VM with the configuration. Only
// Step changes its state.
type Core struct {
	vm          identifier.VM
	incarnation identifier.Incarnation
	rng         *rand.Rand
	revision    identifier.Revision
	runners     btree.Map[identifier.Upstream, *runner]
	// attempts counts the record swaps requested in this incarnation.
	attempts uint64
	outcomes []Outcome
}

// stage is the step of an order that a runner is waiting for.
type stage uint8

// The stages of a runner, in the order in which an order passes them.
const (
	idle stage = iota
	readingEngine
	draining
	takingBudget
	readingRecord
	swappingRecord
	issuing
)

// runner is one runner of this owner.
type runner struct {
	Want
	stage stage
	// dueAt is when an idle runner is read next.
	dueAt time.Time
	// observed is the serving state found by the last read, at observedAt.
	observed   Serving
	observedAt time.Time
	// isDraining is true while the runner gets no new work; isDrained is true
	// once it has no requests left.
	isDraining, isDrained bool
	// loadGranted is true if a weight load was granted and not used yet.
	loadGranted bool
	// record is the one last read from the store, or written to it, and
	// recordVersion the version last read. recordKnown is false until the
	// first read, and again after an engine refused an order.
	record        Record
	recordVersion keeper.Version
	recordKnown   bool
	// highestFence is the highest fencing token that the engine reports. It
	// exceeds the token of the record after the store was restored from a
	// backup.
	highestFence identifier.Fence
	// adaptersOnly is true while the record is read only to learn the adapters,
	// which engines don't report.
	adaptersOnly bool
	// nextRecord is the record being written by the pending swap, and nextServing
	// the serving state of its order.
	nextRecord      Record
	nextServing     Serving
	attempt         uint64
	swapRequestedAt time.Time
	// verifying is true if the next read of the engine verifies an order.
	verifying bool
	// waitedFence is the fencing token of an earlier issuer's order. No new order
	// is sent before waitUntil, as that order may still arrive.
	waitedFence identifier.Fence
	waitUntil   time.Time
	// uncertainUntil is the time until which an unanswered order of this VM
	// may still reach the engine.
	uncertainUntil time.Time
	// failures counts the consecutive failures since the runner was settled.
	failures int
	// ordered is true if this VM has sent an order, without an error, since
	// the runner was last settled.
	ordered bool
	// released is true if the runner has another owner, but is kept because
	// an order of this VM may still arrive.
	released bool
}

// New returns a core without runners. The core takes ownership of rng.
func New(vm identifier.VM, incarnation identifier.Incarnation, rng *rand.Rand) *Core {
	return &Core{vm: vm, incarnation: incarnation, rng: rng}
}

// Step handles an event and returns the outcomes. It is deterministic: the
// same events at the same times give the same outcomes.
func (c *Core) Step(now time.Time, e Event) []Outcome {
	c.outcomes = nil
	switch e := e.(type) {
	case Wake:
	case Wanted:
		c.applyWanted(now, e)
	case EngineRead:
		c.dispatch(e.Upstream, readingEngine, func(r *runner) { c.handleEngineRead(now, r, e) })
	case BudgetAnswered:
		c.dispatch(e.Upstream, takingBudget, func(r *runner) { c.handleBudgetAnswered(now, r, e) })
	case Drained:
		c.dispatch(e.Upstream, draining, func(r *runner) { c.handleDrained(now, r) })
	case RecordRead:
		c.dispatch(e.Upstream, readingRecord, func(r *runner) { c.handleRecordRead(now, r, e) })
	case RecordSwapped:
		c.dispatch(e.Upstream, swappingRecord, func(r *runner) { c.handleRecordSwapped(now, r, e) })
	case Ordered:
		c.dispatch(e.Upstream, issuing, func(r *runner) { c.handleOrdered(now, r, e) })
	}
	c.advance(now)
	return c.outcomes
}

func (c *Core) emit(o Outcome) { c.outcomes = append(c.outcomes, o) }

// dispatch calls do for the runner if it is in stage s. Otherwise the event is a
// late answer to an earlier request and is dropped.
func (c *Core) dispatch(id identifier.Upstream, s stage, do func(*runner)) {
	if r, ok := c.runners.Get(id); ok && r.stage == s {
		do(r)
	}
}

// applyWanted applies a new configuration or set of owned runners.
func (c *Core) applyWanted(now time.Time, e Wanted) {
	c.revision = max(c.revision, e.Revision)
	kept := map[identifier.Upstream]bool{}
	for _, w := range e.Runners[:min(len(e.Runners), MaxRunners)] {
		kept[w.Upstream] = true
		r, ok := c.runners.Get(w.Upstream)
		if !ok {
			c.runners.Set(w.Upstream, &runner{Want: w, dueAt: now})
			continue
		}
		r.Want = w
		r.released = false
		if r.stage == idle {
			r.dueAt = now
		}
	}
	for _, id := range c.runners.Keys() {
		if !kept[id] {
			c.release(id)
		}
	}
}

// release stops managing a runner that now has another owner.
func (c *Core) release(id identifier.Upstream) {
	r, _ := c.runners.Get(id)
	if r.isDraining {
		r.isDraining, r.isDrained = false, false
		c.emit(Drain{Upstream: id, On: false})
	}
	r.released = true
	if r.stage != issuing {
		c.idleUntil(r, r.uncertainUntil)
	}
}

// advance deletes released runners, reads the runners that are due and
// requests the next wake.
func (c *Core) advance(now time.Time) {
	var next time.Time
	for _, id := range c.runners.Keys() {
		r, _ := c.runners.Get(id)
		if r.released && r.stage == idle && !now.Before(r.uncertainUntil) {
			c.runners.Delete(id)
		}
	}
	c.runners.Scan(func(_ identifier.Upstream, r *runner) bool {
		if r.stage == idle && !r.released && !now.Before(r.dueAt) {
			c.readEngine(r)
		}
		if r.stage == idle && (next.IsZero() || r.dueAt.Before(next)) {
			next = r.dueAt
		}
		return true
	})
	if !next.IsZero() {
		c.emit(WakeAt{At: next})
	}
}

func (c *Core) readEngine(r *runner) {
	r.stage = readingEngine
	c.emit(ReadEngine{Upstream: r.Upstream, Fence: r.record.Fence})
}

// idleUntil makes a runner idle until its next read.
func (c *Core) idleUntil(r *runner, until time.Time) {
	r.stage = idle
	r.dueAt = until
}

// deferUntil postpones a runner and reports the reason.
func (c *Core) deferUntil(r *runner, reason Reason, until time.Time) {
	c.idleUntil(r, until)
	c.emit(Deferred{Upstream: r.Upstream, Reason: reason, Until: until})
}

// backOff postpones a runner after a failure, with exponential backoff and
// jitter.
func (c *Core) backOff(now time.Time, r *runner, reason Reason) {
	pause := InitialRetryDelay << min(r.failures, 10)
	pause = min(pause, MaxRetryDelay)
	r.failures++
	c.deferUntil(r, reason, now.Add(pause/2+time.Duration(c.rng.Int64N(int64(pause)))))
}

// matches reports whether the runner serves what it should, by the last read.
func (r *runner) matches() bool {
	return r.observed.equal(r.Serving)
}

func (s Serving) equal(o Serving) bool {
	return slices.Equal(s.Models, o.Models) && slices.Equal(s.Adapters, o.Adapters) &&
		s.Version == o.Version && s.Role == o.Role
}

// interruptsRequests reports whether the order would cut off running
// requests: it changes the role or version, or removes a model.
func (r *runner) interruptsRequests() bool {
	if r.observed.Role != r.Role || r.observed.Version != r.Version {
		return true
	}
	return slices.ContainsFunc(r.observed.Models, func(m identifier.Model) bool { return !slices.Contains(r.Models, m) })
}

// needsLoad reports whether the order makes the runner load weights.
func (r *runner) needsLoad() bool {
	if r.observed.Version != r.Version {
		return true
	}
	return isMissingAny(r.observed.Models, r.Models) || isMissingAny(r.observed.Adapters, r.Adapters)
}

func isMissingAny[T comparable](have, want []T) bool {
	return slices.ContainsFunc(want, func(v T) bool { return !slices.Contains(have, v) })
}
