package admitter

import (
	"time"

	"github.com/figtrack/figtrack/granter"
	"github.com/figtrack/figtrack/identifier"
)

// ask queues a request or refuses it at once.
func (c *Core) ask(now time.Time, e Ask) {
	if c.repeated(e.Key) {
		return
	}
	p := c.newPending(e)
	if reason := c.reject(p); reason != "" {
		c.refuse(p, reason, 0)
		return
	}
	p.setTimes()
	p.cost = c.leastCost(now, p)
	c.countDemand(now, p)
	if c.queue.len() >= c.cfg.QueueLimit && !c.makeRoom(now, p) {
		c.refuse(p, ReasonQueueFull, c.backlog())
		return
	}
	c.queue.add(p)
	c.stale = true
}

// repeated answers an Ask that came before: a lost Place is sent again.
func (c *Core) repeated(k Key) bool {
	if c.queue.find(k) != nil {
		return true
	}
	a, ok := c.active[k]
	if ok && c.granter.Find(granter.Key(k)).Stage == granter.StagePrefill {
		c.emit(a.place)
	}
	return ok
}

func (c *Core) newPending(e Ask) *pending {
	if len(e.Prefix) > maxPrefix {
		e.Prefix = e.Prefix[:maxPrefix]
	}
	return &pending{
		Ask:    e,
		class:  c.classes[e.Class],
		pieces: identifier.PiecesFor(e.Prompt + max(e.MaxOutput, 1)),
	}
}

// reject returns why a request can never be placed, or an empty reason.
func (c *Core) reject(p *pending) Reason {
	switch {
	case p.class == nil:
		return ReasonUnknownClass
	case !c.serves():
		return ReasonNoUpstream
	case p.pieces > c.largest:
		return ReasonPromptTooLong
	case len(p.Excluded) > 0 && !c.reachable(p):
		return ReasonNoUpstream
	}
	if p.Attempt <= 1 {
		p.class.retries.fresh()
		return ""
	}
	if !p.Continues && !p.class.retries.take() {
		return ReasonRetryBudget
	}
	return ""
}

// reachable says whether an open engine of each role is left that the request
// does not exclude.
func (c *Core) reachable(p *pending) bool {
	prefill, decode := false, false
	for _, u := range c.upstreams {
		if u.State != UpstreamUp || p.excludes(u.ID) {
			continue
		}
		prefill = prefill || u.Role == identifier.RolePrefill
		decode = decode || (u.Role == identifier.RoleDecode && u.Pieces >= p.pieces)
	}
	return prefill && decode
}

// makeRoom gives up the last late request for one that is not late.
func (c *Core) makeRoom(now time.Time, p *pending) bool {
	n := len(c.queue.late)
	if n == 0 || p.late || now.After(p.deadline) {
		return false
	}
	last := c.queue.late[n-1]
	c.queue.remove(last)
	c.refuse(last, ReasonQueueFull, c.backlog())
	return true
}

func (c *Core) refuse(p *pending, reason Reason, wait time.Duration) {
	c.emit(Refuse{Key: p.Key, To: p.From, Reason: reason, RetryAfter: c.spread(wait)})
}

// spread returns a time between one and two times wait, so that refused
// callers don't come back together.
func (c *Core) spread(wait time.Duration) time.Duration {
	wait = min(max(wait, minRetryAfter), maxRetryAfter/2)
	return wait + time.Duration(c.rng.Float64()*float64(wait))
}

// backlog is the predicted time to serve all that waits.
func (c *Core) backlog() time.Duration {
	var sum time.Duration
	for _, p := range c.queue.due {
		sum += p.cost
	}
	for _, p := range c.queue.late {
		sum += p.cost
	}
	return sum / time.Duration(max(1, c.prefills))
}

// refuseAllIfNone empties the queue when nothing can serve it.
func (c *Core) refuseAllIfNone() {
	if c.serves() {
		return
	}
	c.refuseAll(c.queue.due)
	c.refuseAll(c.queue.late)
	c.queue = newQueue()
}

func (c *Core) refuseAll(s []*pending) {
	for _, p := range s {
		c.refuse(p, ReasonNoUpstream, 0)
	}
}

// leastCost is the time of the prefill on the engine that has most cached.
func (c *Core) leastCost(now time.Time, p *pending) time.Duration {
	var most identifier.Tokens
	if len(p.Prefix) > 0 {
		c.buf.engines = c.granter.Engines(now, identifier.RolePrefill, c.buf.engines[:0])
		for _, e := range c.buf.engines {
			most = max(most, c.placer.Hit(now, e.ID, p.Prefix))
		}
	}
	return c.placer.Cost(p.Prompt - min(most, p.Prompt))
}
