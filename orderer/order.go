package orderer

import (
	"slices"
	"time"

	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/identifier"
)

// handleEngineRead records what a runner serves and compares it with what it
// should serve.
func (c *Core) handleEngineRead(now time.Time, r *runner, e EngineRead) {
	if e.Err != nil {
		c.backOff(now, r, ReasonEngineDown)
		return
	}
	r.observed = r.servingOf(e.Result)
	r.observed.Adapters = r.record.Adapters
	r.observedAt = now
	r.highestFence = max(r.highestFence, e.Result.Highest)
	if r.verifying {
		r.verifying = false
		c.verifyOrder(now, r)
		return
	}
	if !r.recordKnown && len(r.Adapters) > 0 {
		r.adaptersOnly = true
		c.readRecord(r)
		return
	}
	c.proceed(now, r)
}

// verifyOrder checks that the last order has taken effect.
func (c *Core) verifyOrder(now time.Time, r *runner) {
	if !r.matches() {
		c.backOff(now, r, ReasonNoEffect)
		return
	}
	c.settle(now, r)
}

// servingOf converts an engine's answer. It leaves out the models and the
// version if the configuration doesn't specify them.
func (r *runner) servingOf(o driver.OrderResult) Serving {
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

// proceed starts the next step towards an order, or settles the runner if it
// needs none.
func (c *Core) proceed(now time.Time, r *runner) {
	switch {
	case r.matches():
		c.settle(now, r)
	case r.interruptsRequests() && !r.isDraining:
		c.startDrain(now, r)
	case r.interruptsRequests() && !r.isDrained:
		r.stage = draining
	case r.needsLoad() && !r.loadGranted:
		r.stage = takingBudget
		c.emit(TakeBudget{Upstream: r.Upstream})
	case now.Sub(r.observedAt) > MaxReadAge:
		c.readEngine(r)
	default:
		c.readRecord(r)
	}
}

func (c *Core) settle(now time.Time, r *runner) {
	r.failures = 0
	r.isDrained = false
	if r.isDraining {
		r.isDraining = false
		c.emit(Drain{Upstream: r.Upstream, On: false})
	}
	c.emit(Settled{Upstream: r.Upstream, Revision: c.revision, Ordered: r.ordered})
	r.ordered = false
	spread := time.Duration(c.rng.Int64N(int64(VerifyInterval / 5)))
	c.idleUntil(r, now.Add(VerifyInterval-spread))
}

// startDrain stops new work for a runner, or defers it while MaxDraining
// runners of its pool are draining.
func (c *Core) startDrain(now time.Time, r *runner) {
	others := 0
	c.runners.Scan(func(_ identifier.Upstream, o *runner) bool {
		if o.isDraining && o.Pool == r.Pool {
			others++
		}
		return true
	})
	if others >= MaxDraining {
		c.deferUntil(r, ReasonDraining, now.Add(InitialRetryDelay+time.Duration(c.rng.Int64N(int64(InitialRetryDelay)))))
		return
	}
	r.isDraining = true
	r.stage = draining
	c.emit(Drain{Upstream: r.Upstream, On: true})
}

func (c *Core) handleDrained(now time.Time, r *runner) {
	r.isDrained = true
	c.proceed(now, r)
}

func (c *Core) handleBudgetAnswered(now time.Time, r *runner, e BudgetAnswered) {
	switch {
	case e.Err != nil:
		c.backOff(now, r, ReasonStoreDown)
	case !e.Granted:
		spread := time.Duration(c.rng.Int64N(int64(BudgetWindow / 2)))
		c.deferUntil(r, ReasonBudget, e.Retry.Add(spread))
	default:
		r.loadGranted = true
		c.proceed(now, r)
	}
}

func (c *Core) readRecord(r *runner) {
	r.stage = readingRecord
	c.emit(ReadRecord{Upstream: r.Upstream})
}

// handleRecordRead requests the swap of the record, unless an order of an
// earlier issuer may still arrive.
func (c *Core) handleRecordRead(now time.Time, r *runner, e RecordRead) {
	if e.Err != nil {
		c.backOff(now, r, ReasonStoreDown)
		return
	}
	r.record, r.recordVersion, r.recordKnown = e.Record, e.Version, true
	r.observed.Adapters = r.record.Adapters
	if r.adaptersOnly || r.matches() {
		r.adaptersOnly = false
		c.proceed(now, r)
		return
	}
	if r.record.Revision > c.revision {
		c.backOff(now, r, ReasonOlderRevision)
		return
	}
	if until := c.earlierOrderUntil(now, r); now.Before(until) {
		c.deferUntil(r, ReasonEarlierIssuer, until)
		return
	}
	c.swapRecord(now, r)
}

// earlierOrderUntil returns the time until which an earlier order may still
// arrive at an engine that ignores the fencing token.
func (c *Core) earlierOrderUntil(now time.Time, r *runner) time.Time {
	if r.ChecksFence || r.record.Fence == 0 {
		return now
	}
	if r.record.Issuer == c.vm && r.record.Incarnation == c.incarnation {
		return r.uncertainUntil
	}
	if r.waitedFence != r.record.Fence {
		r.waitedFence = r.record.Fence
		r.waitUntil = now.Add(MaxOrderDelay)
	}
	return r.waitUntil
}

func (c *Core) swapRecord(now time.Time, r *runner) {
	r.nextServing = r.Serving
	r.nextRecord = Record{
		Issuer:      c.vm,
		Incarnation: c.incarnation,
		Fence:       max(r.record.Fence, r.highestFence) + 1,
		Revision:    c.revision,
		Adapters:    r.Adapters,
	}
	r.swapRequestedAt = now
	r.stage = swappingRecord
	c.attempts++
	r.attempt = c.attempts
	c.emit(SwapRecord{Upstream: r.Upstream, Attempt: r.attempt, Expected: r.recordVersion, Record: r.nextRecord})
}

// handleRecordSwapped sends the order. If the reply was lost, it abandons the
// fencing token: only a VM that knows that its record was written may send the
// order.
func (c *Core) handleRecordSwapped(now time.Time, r *runner, e RecordSwapped) {
	switch {
	case e.Attempt != r.attempt:
	case e.Err != nil:
		c.backOff(now, r, ReasonStoreDown)
	case !e.Written:
		c.backOff(now, r, ReasonRaced)
	case now.Sub(r.swapRequestedAt) > OrderValidity:
		c.backOff(now, r, ReasonPaused)
	case !r.nextServing.equal(r.Serving):
		c.readEngine(r)
	default:
		r.record = r.nextRecord
		c.issue(r)
	}
}

func (c *Core) issue(r *runner) {
	r.stage = issuing
	r.loadGranted = false
	c.emit(Issue{Upstream: r.Upstream, Order: driver.Order{
		Fence:    r.record.Fence,
		Models:   r.Models,
		Adapters: r.Adapters,
		Version:  r.Version,
		Role:     r.Role,
	}})
}

// handleOrdered reads the runner again after an order, to verify it.
func (c *Core) handleOrdered(now time.Time, r *runner, e Ordered) {
	if e.Err != nil {
		c.handleOrderError(now, r, e.Err)
		return
	}
	if e.Result.Refused {
		r.recordKnown = false
		r.highestFence = max(r.highestFence, e.Result.Highest)
		c.backOff(now, r, ReasonRefused)
		return
	}
	r.ordered = true
	r.verifying = true
	c.readEngine(r)
}

// handleOrderError defers the runner. If the outcome of the order is unknown,
// it records that the order may still arrive.
func (c *Core) handleOrderError(now time.Time, r *runner, err error) {
	if driver.KindOf(err) == driver.KindUnknown {
		r.uncertainUntil = now.Add(MaxOrderDelay)
	}
	c.backOff(now, r, ReasonEngineDown)
}
