package admitter

import (
	"time"

	"github.com/figtrack/figtrack/granter"
	"github.com/figtrack/figtrack/identifier"
)

// next returns when the core has something to do without an event, or zero.
func (c *Core) next(now time.Time) time.Time {
	var at time.Time
	if c.granter.Len() > 0 {
		at = c.nextExpiry
	}
	c.granter.EachParked(func(g *grant) bool {
		at = soonest(at, c.lifeEnds(g))
		return true
	})
	if c.queue.len() > 0 {
		at = soonest(at, c.nextReady(now))
	}
	if !at.IsZero() && !at.After(now) {
		return now.Add(time.Millisecond)
	}
	return at
}

// lifeEnds is when a parked prefill result is given up.
func (c *Core) lifeEnds(g *granter.Grant) time.Time {
	least := c.granter.Transfer(g.Prompt, "", "") + 2*c.cfg.CrossDelay
	return g.PrefillEnded.Add(c.cfg.ResultLives - least)
}

// nextReady is when the next prefill engine takes work, but at least
// planEvery from now.
func (c *Core) nextReady(now time.Time) time.Time {
	b := &c.buf
	b.engines = c.granter.Engines(now, identifier.RolePrefill, b.engines[:0])
	var at time.Time
	for _, e := range b.engines {
		at = soonest(at, e.IdleAt.Add(-c.lead()))
	}
	if least := now.Add(planEvery); at.Before(least) {
		return least
	}
	return at
}

func soonest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
