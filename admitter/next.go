package admitter

import (
	"time"

	"github.com/figtrack/figtrack/granter"
	"github.com/figtrack/figtrack/identifier"
)

// nextWake returns when the core has to act even if no event arrives, or the
// zero time.
func (c *Core) nextWake(now time.Time) time.Time {
	var at time.Time
	if c.granter.Len() > 0 {
		at = c.nextExpiry
	}
	c.granter.EachParked(func(g *grant) bool {
		at = earliest(at, c.parkedGiveUpAt(g))
		return true
	})
	if c.queue.len() > 0 {
		at = earliest(at, c.nextReady(now))
	}
	if !at.IsZero() && !at.After(now) {
		return now.Add(time.Millisecond)
	}
	return at
}

// parkedGiveUpAt returns when a parked prefill result has to be abandoned, as
// too little of its life is left for a transfer.
func (c *Core) parkedGiveUpAt(g *granter.Grant) time.Time {
	minTransfer := c.granter.TransferTime(g.Prompt, "", "") + 2*c.cfg.CrossDelay
	return g.PrefillEnded.Add(c.cfg.ResultLives - minTransfer)
}

// nextReady returns when the next prefill engine can be sent work, at least
// minPlanInterval from now.
func (c *Core) nextReady(now time.Time) time.Time {
	b := &c.buf
	b.engines = c.granter.Engines(now, identifier.RolePrefill, b.engines[:0])
	var at time.Time
	for _, e := range b.engines {
		at = earliest(at, e.IdleAt.Add(-c.dispatchLead()))
	}
	if earliestPlan := now.Add(minPlanInterval); at.Before(earliestPlan) {
		return earliestPlan
	}
	return at
}

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
