package attempter

import (
	"time"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/isolator"
	"github.com/figtrack/figtrack/tracker"
)

// chooseRunner finds the runner of the next run; in a pool of engines it first
// reserves memory on one.
func (c *Core) chooseRunner(now time.Time) {
	if c.awaitProbe(now) || c.endBlocked(now) {
		return
	}
	if c.software != "" && !c.fleet.Serves(c.job.Pool, c.software) {
		c.giveUp(now, ReasonSoftware)
		return
	}
	if c.job.NeedsEngine {
		c.reserve(now)
		return
	}
	r, ok := c.choosePlain(now)
	if !ok {
		c.giveUp(now, c.reasonWithoutRunner(now))
		return
	}
	c.runner, c.isTaken = r, true
	c.run(now)
}

func (c *Core) reasonWithoutRunner(now time.Time) Reason {
	if c.fleet.PauseLeft(now, c.job.Pool) > 0 {
		return ReasonPaused
	}
	if c.fleet.RateLeft(now, c.job.Pool) > 0 {
		return ReasonRate
	}
	return ReasonNoRunner
}

// choosePlain chooses a plain service. After a server error it falls back to
// services that have already failed if there is no other.
func (c *Core) choosePlain(now time.Time) (tracker.Runner, bool) {
	r, ok := c.fleet.ChoosePlain(now, c.job.Pool, c.choice())
	if !ok && c.hasFailed && c.sends < MaxSends {
		return c.fleet.ChoosePlain(now, c.job.Pool, tracker.Choice{Software: c.software})
	}
	return r, ok
}

// reserve asks the next decode engine that may have room. A large pool always
// has an engine that was not asked recently, so only the time limit ends the
// search.
func (c *Core) reserve(now time.Time) {
	if c.reserveTries > 0 && !now.Before(c.waitUntil) {
		c.giveUp(now, ReasonNoMemory)
		return
	}
	if c.waitUntil.Sub(now) < c.memoryWait()/2 {
		c.slack = 0
	}
	c.reserveTries++
	for {
		choice := c.choice()
		choice.HasSlack = c.slack > 0
		r, ok := c.fleet.ChooseDecode(now, c.job.Pool, c.tokensNeeded()+c.slack, choice)
		if ok {
			c.runner, c.isTaken, c.phase = r, true, phaseReserving
			c.emit(Reserve{To: c.runner, Tokens: c.tokensNeeded() + c.slack, For: HoldTTL})
			return
		}
		if c.slack == 0 {
			break
		}
		c.slack = 0
	}
	if c.fleet.PauseLeft(now, c.job.Pool) > c.waitUntil.Sub(now) {
		c.giveUp(now, ReasonPaused)
		return
	}
	if c.fleet.RateLeft(now, c.job.Pool) > c.waitUntil.Sub(now) {
		c.giveUp(now, ReasonRate)
		return
	}
	c.phase = phaseResting
	c.emit(Rest{min(ReservePause, c.waitUntil.Sub(now))})
}

// tokensNeeded returns the memory that the request will fill.
func (c *Core) tokensNeeded() identifier.Tokens { return c.job.Input + c.job.Output }

// handleReserved handles a new hold. The slack only served to find an engine
// with enough room: it is given back so that other requests can use it.
func (c *Core) handleReserved(now time.Time, hold Hold) {
	if c.slack > 0 && !c.isShrunk {
		c.isShrunk = true
		c.emit(Shrink{Hold: hold, Reserve: Reserve{To: c.runner, Tokens: c.tokensNeeded(), For: HoldTTL}})
		return
	}
	c.hold = hold
	c.recordGranted(now)
	if c.source != nil {
		c.run(now)
		return
	}
	c.prefill(now)
}

// replaceRunner looks for another runner, as the chosen one has asked for a pause, begun
// to leave or got its rate in the meantime. The KV cache is kept for it.
func (c *Core) replaceRunner(now time.Time) {
	c.returnSend(now)
	if c.hold != "" {
		c.emit(Release{c.runner, c.hold})
	}
	c.hold, c.isShrunk, c.reserveTries = "", false, 0
	c.waitUntil = now.Add(c.memoryWait())
	c.chooseRunner(now)
}

// prefill sends the prompt to a prefill engine. If none is usable, or the
// limit of calls or the retry budget is reached, the decode engine computes the
// prefill itself.
func (c *Core) prefill(now time.Time) {
	if c.endBlocked(now) {
		return
	}
	isProbe := false
	if c.fleet.BlockedFor(now, c.job.PrefillTraits) > 0 {
		isProbe = c.prefills == 0 && c.probe != isolator.Probing && c.fleet.TakeProbe(now, c.job.PrefillTraits) == isolator.Probing
		if !isProbe {
			c.run(now)
			return
		}
	}
	if c.prefills >= MaxPrefills {
		c.run(now)
		return
	}
	r, ok := c.fleet.ChoosePrefill(now, c.job.Pool, c.runner.DataCentre, c.excludedPrefills)
	if ok && c.prefills > 0 && !c.fleet.TryCharge(now, c.job.Pool) {
		c.fleet.ReturnSend(now, r)
		ok = false
	}
	if !ok {
		if isProbe {
			c.fleet.ReturnProbe(c.job.PrefillTraits)
		}
		// The decode engine computes the prefill itself, at half the speed.
		c.run(now)
		return
	}
	c.prefills++
	c.prefillRunner, c.phase = r, phasePrefilling
	c.emit(Prefill{To: r, Limit: PrefillTimeout})
}

// run sends the request to the chosen runner and charges the retry budget for
// every send after the first.
func (c *Core) run(now time.Time) {
	if c.endBlocked(now) {
		return
	}
	if c.fleet.RefusesNew(now, c.runner) || !c.isTaken && !c.fleet.TakeSend(now, c.runner) {
		c.replaceRunner(now)
		return
	}
	if c.sends > 0 && !c.isCharged && !c.fleet.TryCharge(now, c.job.Pool) {
		c.giveUp(now, ReasonBudget)
		return
	}
	c.isCharged, c.isTaken = false, false
	c.sends++
	c.runs++
	c.phase = phaseRunning
	isProbe := c.probe == isolator.Probing
	c.probe = isolator.Refused
	c.emit(Run{To: c.runner, Source: c.source, Hold: c.hold, After: c.lastEvent, Limit: c.headTimeout(), IsProbe: isProbe})
}

// awaitProbe lets a request whose traits are blocked become a probe. It reports whether the request
// has to wait until that is claimed.
func (c *Core) awaitProbe(now time.Time) bool {
	if c.probe == isolator.Probing || c.sends > 0 || c.headSent || c.fleet.BlockedFor(now, c.job.Traits) <= 0 {
		return false
	}
	c.probe = c.fleet.TakeProbe(now, c.job.Traits)
	if c.probe != isolator.Awaited {
		return false
	}
	if c.probeUntil.IsZero() {
		c.probeUntil = now.Add(MaxProbeWait)
	}
	if !now.Before(c.probeUntil) {
		return false
	}
	c.phase = phaseResting
	c.emit(Rest{ProbePause})
	return true
}

// returnProbe gives back a probe that was not sent.
func (c *Core) returnProbe() {
	if c.probe == isolator.Probing {
		c.fleet.ReturnProbe(c.job.Traits)
	}
	c.probe = isolator.Refused
}

// check returns which runners may be chosen if nothing is sent to them yet.
func (c *Core) check() tracker.Choice {
	choice := c.choice()
	choice.IsCheck = true
	return choice
}

// hasAnotherRunner reports whether a runner is usable that isn't excluded.
func (c *Core) hasAnotherRunner(now time.Time) bool {
	var next tracker.Runner
	var ok bool
	if c.job.NeedsEngine {
		next, ok = c.fleet.ChooseDecode(now, c.job.Pool, c.tokensNeeded(), c.check())
	} else {
		next, ok = c.fleet.ChoosePlain(now, c.job.Pool, c.choice())
	}
	if ok {
		c.fleet.ReturnSend(now, next) // It is chosen again, or another one.
	}
	return ok
}

// handleOverdue cancels a run without an answer if the request can go to another
// runner at once and the retry budget is charged for it. Else the run goes on: its
// runner may still answer.
func (c *Core) handleOverdue(now time.Time) {
	if c.phase != phaseRunning {
		return
	}
	wasExcluded := c.excluded[c.runner.ID]
	c.excluded[c.runner.ID] = true
	isFree := c.fleet.BlockedFor(now, c.job.Traits) <= 0 && c.hasAnotherRunner(now)
	if isFree && c.fleet.TryCharge(now, c.job.Pool) {
		c.isCharged = true
		c.emit(Withdraw{})
		return
	}
	if !wasExcluded {
		delete(c.excluded, c.runner.ID)
	}
	c.emit(Await{OverdueInterval})
}

// headTimeout returns how long the head of an answer is awaited before the
// request may go to another runner; zero for no limit. Only repeatable requests
// that aren't streams and have a run left get one.
func (c *Core) headTimeout() time.Duration {
	if !c.job.IsRepeatable || c.job.IsStream || c.runs >= c.job.MaxAttempts {
		return 0
	}
	return max(MinHeadTimeout, time.Duration(HeadTimeoutShare*float64(c.job.Target)))
}
