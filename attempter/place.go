package attempter

import (
	"time"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/tracker"
)

// place looks for the runner of the next run.
func (c *Core) place(now time.Time) {
	if c.job.NeedsEngine {
		c.reserve(now)
		return
	}
	r, ok := c.plain(now)
	if !ok {
		c.giveUp(now, ReasonNoRunner)
		return
	}
	c.to = r
	c.run(now)
}

// plain chooses the runner of a plain call. One that failed is tried again
// where there is no other.
func (c *Core) plain(now time.Time) (tracker.Runner, bool) {
	r, ok := c.fleet.Plain(now, c.job.Pool, c.without)
	if !ok && c.hasFailed && c.sends < MaxSends {
		return c.fleet.Plain(now, c.job.Pool, nil)
	}
	return r, ok
}

// reserve asks the next decode engine that may have room. A large pool has
// always one that was not asked lately, so that time alone ends the search.
func (c *Core) reserve(now time.Time) {
	if c.reserves > 0 && !now.Before(c.waitUntil) {
		c.giveUp(now, ReasonNoMemory)
		return
	}
	if c.waitUntil.Sub(now) < c.wait()/2 {
		c.slack = 0
	}
	c.reserves++
	for {
		r, ok := c.fleet.Decode(now, c.job.Pool, c.need()+c.slack, c.without)
		if ok {
			c.to, c.phase = r, phaseReserving
			c.emit(Reserve{To: c.to, Tokens: c.need() + c.slack, For: HoldFor})
			return
		}
		if c.slack == 0 {
			break
		}
		c.slack = 0
	}
	c.phase = phaseResting
	c.emit(Rest{min(RestFor, c.waitUntil.Sub(now))})
}

// need returns the memory that the request will fill.
func (c *Core) need() identifier.Tokens { return c.job.Input + c.job.Output }

// reserved handles memory that is kept. What was asked for beyond the need has
// found the engine and is given back, as others may want it.
func (c *Core) reserved(now time.Time, hold Hold) {
	if c.slack > 0 && !c.isShrunk {
		c.isShrunk = true
		c.emit(Shrink{Hold: hold, Reserve: Reserve{To: c.to, Tokens: c.need(), For: HoldFor}})
		return
	}
	c.hold = hold
	c.read(now)
}

// read sends the prompt to a prefill engine; without one the decode engine
// reads it.
func (c *Core) read(now time.Time) {
	r, ok := c.fleet.Prefill(now, c.job.Pool, c.to.DataCentre, c.unread)
	if !ok || c.prefills >= MaxPrefills || c.prefills > 0 && !c.fleet.Spend(now, c.job.Pool) {
		// The decode engine reads the prompt itself, at half the speed.
		c.run(now)
		return
	}
	c.prefills++
	c.reading, c.phase = r, phasePrefilling
	c.emit(Prefill{To: r, Limit: PrefillLimit})
}

func (c *Core) run(now time.Time) {
	if c.sends > 0 && !c.isPaid && !c.fleet.Spend(now, c.job.Pool) {
		c.giveUp(now, ReasonBudget)
		return
	}
	c.isPaid = false
	c.sends++
	c.runs++
	c.phase = phaseRunning
	c.emit(Run{To: c.to, Source: c.source, Hold: c.hold, After: c.after, Limit: c.silence()})
}

// silence returns how long the head of an answer is waited for before the
// request goes to another runner.
func (c *Core) silence() time.Duration {
	if !c.job.Repeatable || c.job.IsStream || c.runs >= c.job.MaxAttempts {
		return 0
	}
	return max(MinSilence, time.Duration(SilenceShare*float64(c.job.Target)))
}
