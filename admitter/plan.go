package admitter

import (
	"slices"
	"time"

	"github.com/figtrack/figtrack/granter"
	"github.com/figtrack/figtrack/identifier"
)

// minPlanInterval is the shortest time to the next planned wake while requests
// are waiting.
const minPlanInterval = 10 * time.Millisecond

// buffers holds slices that are reused between steps.
type buffers struct {
	engines  []granter.Engine
	prefills []placerPrefill
	decodes  []placerDecode
	ends     []granter.End
	idle     []time.Time
	stranded []granter.Stranded
	// workspaces and late are scratch space for fairness between workspaces.
	workspaces []workspaceLoad
	late       []*pending
}

// plan gives up requests whose predicted first token is too late. It simulates
// serving the queue in order on the prefill engines and on decode memory as it
// is predicted to become free. It reports whether the queue has changed.
func (c *Core) plan(now time.Time) bool {
	if !c.needsPlan || c.queue.len() == 0 {
		return false
	}
	c.needsPlan = false
	changed := false
	for c.planOnTime(now) {
		changed = true
	}
	return c.planLate(now) || changed
}

// planOnTime simulates the requests that can still meet their deadline. It
// returns true if it gave one up, after which the simulation has to be
// repeated.
func (c *Core) planOnTime(now time.Time) bool {
	s := c.newSchedule(now)
	for i, p := range c.queue.onTime {
		first := s.serve(now, p).Add(c.safetyMargin())
		if !first.After(p.firstTokenLimit(now)) {
			continue
		}
		victim, reason := c.victim(now, i)
		c.giveUp(now, victim, reason, first.Sub(p.deadline))
		return true
	}
	return false
}

// planLate refuses late requests that would exceed the patience of their class,
// and moves back those that can meet their deadline after all.
func (c *Core) planLate(now time.Time) bool {
	if len(c.queue.late) == 0 {
		return false
	}
	changed := false
	s := c.newSchedule(now)
	for _, p := range c.queue.onTime {
		s.serve(now, p)
	}
	for i := 0; i < len(c.queue.late); {
		p := c.queue.late[i]
		before := s.snapshot()
		first := s.serve(now, p)
		if !first.Add(c.safetyMargin()).After(p.deadline) {
			c.queue.markOnTime(p)
			changed = true
			continue
		}
		if !first.After(p.giveUpAt) {
			i++
			continue
		}
		s.restore(before)
		c.queue.remove(p)
		c.refuse(p, ReasonTargetOutOfReach, first.Sub(p.giveUpAt))
		changed = true
	}
	return changed
}

// firstTokenLimit returns the time by which the first token has to arrive.
func (p *pending) firstTokenLimit(now time.Time) time.Time {
	if p.late || (p.placedBefore() && now.Before(p.giveUpAt)) {
		return p.giveUpAt
	}
	return p.deadline
}

// giveUp marks a request as late if its class has patience left. It refuses the
// request otherwise, and if it is late already or was placed before.
func (c *Core) giveUp(now time.Time, p *pending, reason Reason, missedBy time.Duration) {
	if p.prefillCost+c.prefillToFirstToken(p) < p.class.FirstToken {
		c.demand.lastMiss = now
	}
	if !p.late && !p.placedBefore() && p.giveUpAt.After(p.deadline) && p.giveUpAt.After(now) {
		c.queue.markLate(p)
		c.demand.subtract(now, p.pieceSeconds)
		return
	}
	c.queue.remove(p)
	c.refuse(p, reason, missedBy)
}

// schedule simulates serving requests one after another.
type schedule struct {
	c *Core
	// prefillIdleAt holds the times at which the prefill engines become idle, in
	// order.
	prefillIdleAt []time.Time
	// ends holds the predicted ends of grants on decode memory, in order. It is
	// loaded only once the free memory is used up.
	ends     []granter.End
	endsRead bool
	// free is the decode memory that is free at freeAt.
	free   identifier.Pieces
	freeAt time.Time
}

type scheduleSnapshot struct {
	prefillIdleAt []time.Time
	free          identifier.Pieces
	freeAt        time.Time
}

func (c *Core) newSchedule(now time.Time) *schedule {
	s := &schedule{c: c, freeAt: now}
	c.buf.engines = c.granter.Engines(now, identifier.RolePrefill, c.buf.engines[:0])
	s.prefillIdleAt = c.buf.idle[:0]
	for _, e := range c.buf.engines {
		s.prefillIdleAt = append(s.prefillIdleAt, e.IdleAt)
	}
	slices.SortFunc(s.prefillIdleAt, time.Time.Compare)
	c.buf.idle = s.prefillIdleAt
	c.buf.engines = c.granter.Engines(now, identifier.RoleDecode, c.buf.engines[:0])
	for _, e := range c.buf.engines {
		s.free += e.Free
	}
	return s
}

func (s *schedule) readEnds(now time.Time) {
	s.endsRead = true
	s.ends = s.c.granter.PredictedEnds(now, s.c.buf.ends[:0])
	slices.SortFunc(s.ends, func(a, b granter.End) int { return a.At.Compare(b.At) })
	s.c.buf.ends = s.ends
}

func (s *schedule) snapshot() scheduleSnapshot {
	return scheduleSnapshot{slices.Clone(s.prefillIdleAt), s.free, s.freeAt}
}

func (s *schedule) restore(m scheduleSnapshot) {
	s.prefillIdleAt, s.free, s.freeAt = m.prefillIdleAt, m.free, m.freeAt
}

// serve adds a request to the schedule and returns its predicted first token.
func (s *schedule) serve(now time.Time, p *pending) time.Time {
	memory := s.takeMemory(now, p.pieces)
	start := s.prefillIdleAt[0]
	if early := memory.Add(-p.prefillCost); early.After(start) {
		start = early
	}
	prefillEnds := start.Add(p.prefillCost)
	s.prefillIdleAt[0] = prefillEnds
	slices.SortFunc(s.prefillIdleAt, time.Time.Compare)
	return prefillEnds.Add(s.c.prefillToFirstToken(p))
}

// takeMemory reserves pieces and returns when they become free.
func (s *schedule) takeMemory(now time.Time, n identifier.Pieces) time.Time {
	at := s.freeAt
	if s.free < n && !s.endsRead {
		s.readEnds(now)
	}
	for s.free < n && len(s.ends) > 0 {
		at = s.ends[0].At
		s.free += s.ends[0].Pieces
		s.ends = s.ends[1:]
	}
	s.free -= n
	s.freeAt = at
	if at.Before(now) {
		return now
	}
	return at
}

// prefillToFirstToken returns the predicted time from the end of a prefill to
// the first token at the entry VM.
func (c *Core) prefillToFirstToken(p *pending) time.Duration {
	return c.granter.TransferTime(p.Prompt, "", "") + decodeToFirstToken(c.granter.Pace(typicalBatchSize)) + messagesAfterPrefill*c.cfg.CrossDelay
}

// decodeToFirstToken returns the predicted time from the start of a decode to
// its first token: on average a stream waits half a step to join the batch.
func decodeToFirstToken(pace time.Duration) time.Duration { return pace * 3 / 2 }

// messagesAfterPrefill is the number of messages from the end of a prefill to
// the first token at the entry VM.
const messagesAfterPrefill = 5

// typicalBatchSize is the assumed batch size for rough predictions.
const typicalBatchSize = 10
