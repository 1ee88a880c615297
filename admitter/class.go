package admitter

import (
	"time"

	"github.com/figtrack/figtrack/granter"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/placer"
)

// classState is a class with its retry budget and the usage of its workspaces.
type classState struct {
	Class
	retries retryBudget
	shares  *workspaceShares
}

func (c *Core) classChanged(e Class) {
	cl, ok := c.classes[e.Name]
	if !ok {
		if len(c.classes) >= maxClasses {
			return
		}
		cl = &classState{retries: newRetryBudget(c.cfg.RetryShare), shares: newWorkspaceShares()}
		c.classes[e.Name] = cl
	}
	cl.Class = e
	c.queue.reorder()
	c.needsPlan = true
}

func (c *Core) upstreamChanged(now time.Time, u Upstream) {
	old, known := c.upstreams[u.ID]
	if !known && len(c.upstreams) >= maxUpstreams {
		return
	}
	c.upstreams[u.ID] = u
	c.stepLedger(now, ledgerEngine(u))
	if u.State == UpstreamDown || (known && old.Role != u.Role) {
		c.forgetCache(now, u.ID)
	}
	c.settleStranded(now)
	c.updateCapacity()
	if u.State == UpstreamDown {
		delete(c.upstreams, u.ID)
	}
	c.refuseAllIfUnserved()
}

// updateCapacity recomputes the total capacity of the open engines.
func (c *Core) updateCapacity() {
	c.capacity = capacity{}
	for _, u := range c.upstreams {
		switch {
		case u.State != UpstreamUp:
			continue
		case u.Role == identifier.RolePrefill:
			c.openPrefills++
		case u.Role == identifier.RoleDecode:
			c.openDecodes++
			c.decodePieces += u.Pieces
			c.largestDecode = max(c.largestDecode, u.Pieces)
		}
	}
}

// hasBothRoles reports whether both the prefill and the decode role have an
// open engine.
func (c *Core) hasBothRoles() bool { return c.openPrefills > 0 && c.openDecodes > 0 }

func ledgerEngine(u Upstream) granter.EngineChanged {
	return granter.EngineChanged{
		ID:         u.ID,
		DataCentre: u.DataCentre,
		Role:       u.Role,
		Pieces:     u.Pieces,
		Streams:    u.Streams,
		Open:       u.State == UpstreamUp,
		Alive:      u.State != UpstreamDown,
	}
}

func (c *Core) forgetCache(now time.Time, id identifier.Upstream) {
	c.placer.Step(now, placer.CacheLost{Upstream: id})
}
