package granter

import (
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// load corrects the ledger where reports disagree with it for long.
func (c *Core) load(now time.Time, ev Load) {
	e := c.engines[ev.ID]
	if e == nil || e.role != identifier.RoleDecode {
		return
	}
	surplus := e.drift.observe(ev.At, e.pieces-ev.FreePieces)
	if surplus < 0 {
		c.dropSilent(now, e, -surplus)
	}
	e.foreign = max(0, surplus)
}

// dropSilent expires streams that ran past their predicted end on an engine
// that holds less than the ledger says, oldest first.
func (c *Core) dropSilent(now time.Time, e *engine, surplus identifier.Pieces) {
	for i := 0; i < len(e.grants) && surplus > 0; {
		g := e.grants[i]
		if g.Stage != StageDecode || g.Pieces > surplus || !c.overdue(now, e, g) {
			i++
			continue
		}
		surplus -= g.Pieces
		c.expired(now, g)
	}
}

// overdue says that a stream has outlived the median of its kind.
func (c *Core) overdue(now time.Time, e *engine, g *Grant) bool {
	made := c.made(now, e, g)
	return made > c.Lengths(g.Class).Quantile(0.5) || made >= float64(g.MaxOutput)
}

func (c *Core) expire(now time.Time) {
	for i := 0; i < len(c.byAge); {
		g := c.byAge[i]
		if g.expires.After(now) {
			i++
			continue
		}
		c.expired(now, g)
	}
}

func (c *Core) expired(now time.Time, g *Grant) {
	c.drop(now, g)
	c.out = append(c.out, Expired{Key: g.Key, VM: g.VM})
}
