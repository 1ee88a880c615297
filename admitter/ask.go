package admitter

import (
	"time"

	"github.com/figtrack/figtrack/granter"
	"github.com/figtrack/figtrack/identifier"
)

// ask queues a request or refuses it at once.
func (c *Core) ask(now time.Time, e Ask) {
	if c.answerRepeated(e.Key) {
		return
	}
	p := c.newPending(e)
	if reason := c.rejectReason(p); reason != "" {
		c.refuse(p, reason, 0)
		return
	}
	p.setDeadlines()
	p.prefillCost = c.minPrefillCost(now, p)
	c.countDemand(now, p)
	if c.queue.len() >= c.cfg.QueueLimit && !c.evictLate(now, p) {
		c.refuse(p, ReasonQueueFull, c.backlog())
		return
	}
	c.queue.add(p)
	c.needsPlan = true
}

// answerRepeated handles an Ask that was received before, and reports whether
// it was. It sends the Place again while the attempt is in its prefill, as the
// first Place may have been lost.
func (c *Core) answerRepeated(k Key) bool {
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
	if len(e.Prefix) > maxPrefixBlocks {
		e.Prefix = e.Prefix[:maxPrefixBlocks]
	}
	return &pending{
		Ask:    e,
		class:  c.classes[e.Class],
		pieces: identifier.PiecesFor(e.Prompt + max(e.MaxOutput, 1)),
	}
}

// rejectReason returns why a request can never be placed, or an empty reason.
// It also updates the retry budget of the class.
func (c *Core) rejectReason(p *pending) Reason {
	switch {
	case p.class == nil:
		return ReasonUnknownClass
	case !c.hasBothRoles():
		return ReasonNoUpstream
	case p.pieces > c.largestDecode:
		return ReasonPromptTooLong
	case len(p.Excluded) > 0 && !c.hasUsableEngines(p):
		return ReasonNoUpstream
	}
	if p.Attempt <= 1 {
		p.class.retries.credit()
		return ""
	}
	if !p.Continues && !p.class.retries.trySpend() {
		return ReasonRetryBudget
	}
	return ""
}

// hasUsableEngines reports whether, for each role, an open engine remains that
// the request does not exclude and that has enough memory.
func (c *Core) hasUsableEngines(p *pending) bool {
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

// evictLate refuses the last late request to make room for one that is not
// late. It reports whether there is room now.
func (c *Core) evictLate(now time.Time, p *pending) bool {
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
	c.emit(Refuse{Key: p.Key, To: p.From, Reason: reason, RetryAfter: c.withJitter(wait)})
}

// withJitter returns a random time between one and two times wait, so that
// refused callers don't all retry at the same moment.
func (c *Core) withJitter(wait time.Duration) time.Duration {
	wait = min(max(wait, minRetryAfter), maxRetryAfter/2)
	return wait + time.Duration(c.rng.Float64()*float64(wait))
}

// backlog returns the predicted time to prefill all waiting requests.
func (c *Core) backlog() time.Duration {
	var sum time.Duration
	for _, p := range c.queue.onTime {
		sum += p.prefillCost
	}
	for _, p := range c.queue.late {
		sum += p.prefillCost
	}
	return sum / time.Duration(max(1, c.openPrefills))
}

// refuseAllIfUnserved refuses all waiting requests if a role has no open
// engine.
func (c *Core) refuseAllIfUnserved() {
	if c.hasBothRoles() {
		return
	}
	c.refuseAll(c.queue.onTime)
	c.refuseAll(c.queue.late)
	c.queue = newQueue()
}

func (c *Core) refuseAll(s []*pending) {
	for _, p := range s {
		c.refuse(p, ReasonNoUpstream, 0)
	}
}

// minPrefillCost returns the predicted prefill time on the engine that has the
// longest prefix cached.
func (c *Core) minPrefillCost(now time.Time, p *pending) time.Duration {
	var longestHit identifier.Tokens
	if len(p.Prefix) > 0 {
		c.buf.engines = c.granter.Engines(now, identifier.RolePrefill, c.buf.engines[:0])
		for _, e := range c.buf.engines {
			longestHit = max(longestHit, c.placer.Hit(now, e.ID, p.Prefix))
		}
	}
	return c.placer.MeanCost(p.Prompt - min(longestHit, p.Prompt))
}
