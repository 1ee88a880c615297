// Package orderer makes runners serve what the configuration says.
//
// The owner VM of a runner compares and orders. Before each order it takes
// the runner's record in the platform's store, which gives the order its
// fencing number. Engines that check the number refuse a late order of an
// earlier owner. For those that ignore it, a new issuer waits out the
// longest pause of the earlier one, and each owner keeps reading its runners
// and puts right what a late order has changed.
package orderer

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tidwall/btree"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/keeper"
)

// Times and bounds of orders.
const (
	// VerifyEvery is the time between two reads of a settled runner.
	VerifyEvery = 30 * time.Second
	// LongestPause is the longest time for which a paused VM or a delayed
	// message may still bring an order to an engine that ignores the number.
	LongestPause = 30 * time.Second
	// OrderValidity is how long after the swap of its record an order may
	// still be sent.
	OrderValidity = 2 * time.Second
	// FreshFor is how old a read of the runner may be before an order.
	FreshFor = 2 * time.Second
	// RetryAfter is the first pause after a failure. It doubles up to
	// RetryMax.
	RetryAfter = time.Second
	// RetryMax is the longest pause after a failure.
	RetryMax = time.Minute
	// MaxDraining bounds the runners of one pool that one owner drains at
	// once.
	MaxDraining = 1
	// MaxRunners bounds the runners of one owner.
	MaxRunners = 1024
)

// Core reconciles the runners of one owner VM. It is advanced only by Step.
type Core struct {
	vm          identifier.VM
	incarnation identifier.Incarnation
	rng         *rand.Rand
	revision    identifier.Revision
	runners     btree.Map[identifier.Upstream, *runner]
	// attempts counts the swaps of this incarnation.
	attempts uint64
	out      []Outcome
}

// stage is what a runner waits for.
type stage uint8

// The stages of a runner, in the order in which an order passes them.
const (
	idle stage = iota
	readingEngine
	draining
	takingBudget
	readingRecord
	swapping
	issuing
)

// runner is one runner of this owner.
type runner struct {
	Want
	stage stage
	// dueAt is when an idle runner is looked at.
	dueAt time.Time
	// seen and seenAt are the last read of the runner.
	seen   Serving
	seenAt time.Time
	// drain says that the runner gets no new work, drained that it is empty.
	drain, drained bool
	// budget says that a load was granted and not used.
	budget bool
	// record and version are as last read or written; recordSeen says that
	// they were.
	record     Record
	version    keeper.Version
	recordSeen bool
	// highest is the highest number that the engine says it has seen, which
	// exceeds the record after the store was restored from a backup.
	highest identifier.Fence
	// peeking says that the record is read for the adapters only.
	peeking bool
	// next and nextServing are the order whose record is being taken.
	next        Record
	nextServing Serving
	attempt     uint64
	swapAt      time.Time
	// after says that the next read shows what an order has done.
	after bool
	// waited is the number of an earlier issuer's order that is waited out
	// until waitUntil.
	waited    identifier.Fence
	waitUntil time.Time
	// uncertainUntil is when an own order without an answer can't arrive
	// any more.
	uncertainUntil time.Time
	failures       int
	ordered        bool
	// gone says that the runner has another owner, but an own order may
	// still arrive.
	gone bool
}

// New returns a core without runners. The rng is owned by the core
// afterwards.
func New(vm identifier.VM, incarnation identifier.Incarnation, rng *rand.Rand) *Core {
	return &Core{vm: vm, incarnation: incarnation, rng: rng}
}

// Step advances the core. The same events at the same times give the same
// outcomes.
func (c *Core) Step(now time.Time, e Event) []Outcome {
	c.out = nil
	switch e := e.(type) {
	case Wake:
	case Wanted:
		c.wanted(now, e)
	case EngineRead:
		c.at(e.Upstream, readingEngine, func(r *runner) { c.engineRead(now, r, e) })
	case BudgetAnswered:
		c.at(e.Upstream, takingBudget, func(r *runner) { c.budgetAnswered(now, r, e) })
	case Drained:
		c.at(e.Upstream, draining, func(r *runner) { c.drained(now, r) })
	case RecordRead:
		c.at(e.Upstream, readingRecord, func(r *runner) { c.recordRead(now, r, e) })
	case RecordSwapped:
		c.at(e.Upstream, swapping, func(r *runner) { c.recordSwapped(now, r, e) })
	case Ordered:
		c.at(e.Upstream, issuing, func(r *runner) { c.answered(now, r, e) })
	}
	c.advance(now)
	return c.out
}

func (c *Core) emit(o Outcome) { c.out = append(c.out, o) }

// at calls do for a runner that waits for this kind of event; a late answer
// to an earlier question is dropped.
func (c *Core) at(id identifier.Upstream, s stage, do func(*runner)) {
	if r, ok := c.runners.Get(id); ok && r.stage == s {
		do(r)
	}
}

// wanted takes in a new configuration or set of owned runners.
func (c *Core) wanted(now time.Time, e Wanted) {
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
		r.gone = false
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

// release gives up a runner that has another owner now.
func (c *Core) release(id identifier.Upstream) {
	r, _ := c.runners.Get(id)
	if r.drain {
		r.drain, r.drained = false, false
		c.emit(Drain{Upstream: id, On: false})
	}
	r.gone = true
	if r.stage != issuing {
		c.rest(r, r.uncertainUntil)
	}
}

// advance looks at the runners that are due and asks for the next wake.
func (c *Core) advance(now time.Time) {
	var next time.Time
	for _, id := range c.runners.Keys() {
		r, _ := c.runners.Get(id)
		if r.gone && r.stage == idle && !now.Before(r.uncertainUntil) {
			c.runners.Delete(id)
		}
	}
	c.runners.Scan(func(_ identifier.Upstream, r *runner) bool {
		if r.stage == idle && !r.gone && !now.Before(r.dueAt) {
			c.read(r)
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

func (c *Core) read(r *runner) {
	r.stage = readingEngine
	c.emit(ReadEngine{Upstream: r.Upstream, Fence: r.record.Fence})
}

// rest leaves a runner alone until a time.
func (c *Core) rest(r *runner, until time.Time) {
	r.stage = idle
	r.dueAt = until
}

// wait puts a runner off and says why.
func (c *Core) wait(r *runner, reason Reason, until time.Time) {
	c.rest(r, until)
	c.emit(Deferred{Upstream: r.Upstream, Reason: reason, Until: until})
}

// fail puts a runner off for longer with each failure.
func (c *Core) fail(now time.Time, r *runner, reason Reason) {
	pause := RetryAfter << min(r.failures, 10)
	pause = min(pause, RetryMax)
	r.failures++
	c.wait(r, reason, now.Add(pause/2+time.Duration(c.rng.Int64N(int64(pause)))))
}

// matches says whether the runner serves what it should, as far as known.
func (r *runner) matches() bool {
	return r.seen.equal(r.Serving)
}

func (s Serving) equal(o Serving) bool {
	return slices.Equal(s.Models, o.Models) && slices.Equal(s.Adapters, o.Adapters) &&
		s.Version == o.Version && s.Role == o.Role
}

// disturbs says whether the order would cut off running requests.
func (r *runner) disturbs() bool {
	if r.seen.Role != r.Role || r.seen.Version != r.Version {
		return true
	}
	return slices.ContainsFunc(r.seen.Models, func(m identifier.Model) bool { return !slices.Contains(r.Models, m) })
}

// loads says whether the order makes the runner load weights.
func (r *runner) loads() bool {
	if r.seen.Version != r.Version {
		return true
	}
	return lacks(r.seen.Models, r.Models) || lacks(r.seen.Adapters, r.Adapters)
}

func lacks[T comparable](have, want []T) bool {
	return slices.ContainsFunc(want, func(v T) bool { return !slices.Contains(have, v) })
}
