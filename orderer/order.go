package orderer

import (
	"slices"
	"time"

	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/identifier"
)

// engineRead compares what a runner serves with what it should.
func (c *Core) engineRead(now time.Time, r *runner, e EngineRead) {
	if e.Err != nil {
		c.fail(now, r, ReasonEngineDown)
		return
	}
	r.seen = r.served(e.Result)
	r.seen.Adapters = r.record.Adapters
	r.seenAt = now
	r.highest = max(r.highest, e.Result.Highest)
	if r.after {
		r.after = false
		c.check(now, r)
		return
	}
	if !r.recordSeen && len(r.Adapters) > 0 {
		r.peeking = true
		c.readRecord(r)
		return
	}
	c.proceed(now, r)
}

// check looks at what an order has done.
func (c *Core) check(now time.Time, r *runner) {
	if !r.matches() {
		c.fail(now, r, ReasonNoEffect)
		return
	}
	c.settle(now, r)
}

// served is what the runner serves, without what the configuration leaves to
// the runner.
func (r *runner) served(o driver.OrderResult) Serving {
	s := Serving{Models: slices.Clone(o.Models), Version: o.Version, Role: o.Role}
	slices.Sort(s.Models)
	if len(r.Models) == 0 {
		s.Models = nil
	}
	if r.Version == "" {
		s.Version = ""
	}
	return s
}

// proceed takes the next step towards an order, or none if there is no need.
func (c *Core) proceed(now time.Time, r *runner) {
	switch {
	case r.matches():
		c.settle(now, r)
	case r.disturbs() && !r.drain:
		c.drain(now, r)
	case r.disturbs() && !r.drained:
		r.stage = draining
	case r.loads() && !r.budget:
		r.stage = takingBudget
		c.emit(TakeBudget{Upstream: r.Upstream})
	case now.Sub(r.seenAt) > FreshFor:
		c.read(r)
	default:
		c.readRecord(r)
	}
}

func (c *Core) settle(now time.Time, r *runner) {
	r.failures = 0
	r.drained = false
	if r.drain {
		r.drain = false
		c.emit(Drain{Upstream: r.Upstream, On: false})
	}
	c.emit(Settled{Upstream: r.Upstream, Revision: c.revision, Ordered: r.ordered})
	r.ordered = false
	spread := time.Duration(c.rng.Int64N(int64(VerifyEvery / 5)))
	c.rest(r, now.Add(VerifyEvery-spread))
}

// drain keeps new work from a runner, if not too many of its pool drain.
func (c *Core) drain(now time.Time, r *runner) {
	others := 0
	c.runners.Scan(func(_ identifier.Upstream, o *runner) bool {
		if o.drain && o.Pool == r.Pool {
			others++
		}
		return true
	})
	if others >= MaxDraining {
		c.wait(r, ReasonDraining, now.Add(RetryAfter+time.Duration(c.rng.Int64N(int64(RetryAfter)))))
		return
	}
	r.drain = true
	r.stage = draining
	c.emit(Drain{Upstream: r.Upstream, On: true})
}

func (c *Core) drained(now time.Time, r *runner) {
	r.drained = true
	c.proceed(now, r)
}

func (c *Core) budgetAnswered(now time.Time, r *runner, e BudgetAnswered) {
	switch {
	case e.Err != nil:
		c.fail(now, r, ReasonStoreDown)
	case !e.Granted:
		spread := time.Duration(c.rng.Int64N(int64(BudgetWindow / 2)))
		c.wait(r, ReasonBudget, e.Retry.Add(spread))
	default:
		r.budget = true
		c.proceed(now, r)
	}
}

func (c *Core) readRecord(r *runner) {
	r.stage = readingRecord
	c.emit(ReadRecord{Upstream: r.Upstream})
}

// recordRead takes the record, if no earlier issuer may still act.
func (c *Core) recordRead(now time.Time, r *runner, e RecordRead) {
	if e.Err != nil {
		c.fail(now, r, ReasonStoreDown)
		return
	}
	r.record, r.version, r.recordSeen = e.Record, e.Version, true
	r.seen.Adapters = r.record.Adapters
	if r.peeking || r.matches() {
		r.peeking = false
		c.proceed(now, r)
		return
	}
	if r.record.Revision > c.revision {
		c.fail(now, r, ReasonOlderRevision)
		return
	}
	if until := c.waitOut(now, r); now.Before(until) {
		c.wait(r, ReasonEarlierIssuer, until)
		return
	}
	c.swap(now, r)
}

// waitOut returns until when an earlier order may still arrive at an engine
// that ignores the number.
func (c *Core) waitOut(now time.Time, r *runner) time.Time {
	if r.ChecksFence || r.record.Fence == 0 {
		return now
	}
	if r.record.Issuer == c.vm && r.record.Incarnation == c.incarnation {
		return r.uncertainUntil
	}
	if r.waited != r.record.Fence {
		r.waited = r.record.Fence
		r.waitUntil = now.Add(LongestPause)
	}
	return r.waitUntil
}

func (c *Core) swap(now time.Time, r *runner) {
	r.nextServing = r.Serving
	r.next = Record{
		Issuer:      c.vm,
		Incarnation: c.incarnation,
		Fence:       max(r.record.Fence, r.highest) + 1,
		Revision:    c.revision,
		Adapters:    r.Adapters,
	}
	r.swapAt = now
	r.stage = swapping
	c.attempts++
	r.attempt = c.attempts
	c.emit(SwapRecord{Upstream: r.Upstream, Attempt: r.attempt, Expected: r.version, Record: r.next})
}

// recordSwapped sends the order. After a lost reply the number is given up:
// an order is sent only by a VM that knows that it holds the record.
func (c *Core) recordSwapped(now time.Time, r *runner, e RecordSwapped) {
	switch {
	case e.Attempt != r.attempt:
	case e.Err != nil:
		c.fail(now, r, ReasonStoreDown)
	case !e.Written:
		c.fail(now, r, ReasonRaced)
	case now.Sub(r.swapAt) > OrderValidity:
		c.fail(now, r, ReasonPaused)
	case !r.nextServing.equal(r.Serving):
		c.read(r)
	default:
		r.record = r.next
		c.issue(r)
	}
}

func (c *Core) issue(r *runner) {
	r.stage = issuing
	r.budget = false
	c.emit(Issue{Upstream: r.Upstream, Order: driver.Order{
		Fence:    r.record.Fence,
		Models:   r.Models,
		Adapters: r.Adapters,
		Version:  r.Version,
		Role:     r.Role,
	}})
}

// answered reads the runner again after an order.
func (c *Core) answered(now time.Time, r *runner, e Ordered) {
	if e.Err != nil {
		c.unanswered(now, r, e.Err)
		return
	}
	if e.Result.Refused {
		r.recordSeen = false
		r.highest = max(r.highest, e.Result.Highest)
		c.fail(now, r, ReasonRefused)
		return
	}
	r.ordered = true
	r.after = true
	c.read(r)
}

// unanswered notes that an order may still arrive.
func (c *Core) unanswered(now time.Time, r *runner, err error) {
	if driver.KindOf(err) == driver.KindUnknown {
		r.uncertainUntil = now.Add(LongestPause)
	}
	c.fail(now, r, ReasonEngineDown)
}
