package admitter

import (
	"time"

	"github.com/figtrack/figtrack/granter"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/placer"
)

// class is a class with its state.
type class struct {
	Class
	retries budget
	shares  *shares
}

func (c *Core) classChanged(e Class) {
	cl, ok := c.classes[e.Name]
	if !ok {
		if len(c.classes) >= maxClasses {
			return
		}
		cl = &class{retries: newBudget(c.cfg.RetryShare), shares: newShares()}
		c.classes[e.Name] = cl
	}
	cl.Class = e
	c.queue.reorder()
	c.stale = true
}

func (c *Core) upstreamChanged(now time.Time, u Upstream) {
	old, known := c.upstreams[u.ID]
	if !known && len(c.upstreams) >= maxUpstreams {
		return
	}
	c.upstreams[u.ID] = u
	c.ledger(now, engineChanged(u))
	if u.State == UpstreamDown || (known && old.Role != u.Role) {
		c.forgetCache(now, u.ID)
	}
	c.unstrand(now)
	c.measure()
	if u.State == UpstreamDown {
		delete(c.upstreams, u.ID)
	}
	c.refuseAllIfNone()
}

// measure sums up the open engines.
func (c *Core) measure() {
	c.capacity = capacity{}
	for _, u := range c.upstreams {
		switch {
		case u.State != UpstreamUp:
			continue
		case u.Role == identifier.RolePrefill:
			c.prefills++
		case u.Role == identifier.RoleDecode:
			c.decodes++
			c.pieces += u.Pieces
			c.largest = max(c.largest, u.Pieces)
		}
	}
}

// serves says whether both roles have an open engine.
func (c *Core) serves() bool { return c.prefills > 0 && c.decodes > 0 }

func engineChanged(u Upstream) granter.EngineChanged {
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
	c.placer.Step(now, placer.Gone{Upstream: id})
}
