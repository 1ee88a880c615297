package granter

import (
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// correctDrift corrects the ledger of a decode engine if its last reports all
// contradict it.
func (c *Core) correctDrift(now time.Time, ev Load) {
	e := c.engines[ev.ID]
	if e == nil || e.role != identifier.RoleDecode {
		return
	}
	surplus := e.drift.observe(ev.At, e.pieces-ev.FreePieces)
	if surplus < 0 {
		c.expireOverdue(now, e, -surplus)
	}
	e.usedByOthers = max(0, surplus)
}

// expireOverdue expires streams past their predicted end, oldest first, on an
// engine that uses less memory than the ledger has booked on it; surplus is the
// difference.
func (c *Core) expireOverdue(now time.Time, e *engine, surplus identifier.Pieces) {
	for i := 0; i < len(e.grants) && surplus > 0; {
		g := e.grants[i]
		if g.Stage != StageDecode || g.Pieces > surplus || !c.isOverdue(now, e, g) {
			i++
			continue
		}
		surplus -= g.Pieces
		c.expireGrant(now, g)
	}
}

// isOverdue reports whether a stream is estimated to have generated more tokens
// than the median of its class, or as many as it may.
func (c *Core) isOverdue(now time.Time, e *engine, g *Grant) bool {
	generated := c.generatedTokens(now, e, g)
	return generated > c.Lengths(g.Class).Quantile(0.5) || generated >= float64(g.MaxOutput)
}

// expireSilent drops the grants whose expiry has passed without a report.
func (c *Core) expireSilent(now time.Time) {
	for i := 0; i < len(c.grantsByAge); {
		g := c.grantsByAge[i]
		if g.expires.After(now) {
			i++
			continue
		}
		c.expireGrant(now, g)
	}
}

// expireGrant drops a grant and reports it.
func (c *Core) expireGrant(now time.Time, g *Grant) {
	c.removeGrant(now, g)
	c.out = append(c.out, Expired{Key: g.Key, VM: g.VM})
}
