package admitter

import (
	"slices"
	"time"

	"github.com/figtrack/figtrack/granter"
	"github.com/figtrack/figtrack/identifier"
)

// planEvery is the least time between two plans without a new request.
const planEvery = 10 * time.Millisecond

// buffers are reused between steps.
type buffers struct {
	engines  []granter.Engine
	prefills []placerPrefill
	decodes  []placerDecode
	ends     []granter.End
	idle     []time.Time
	stranded []granter.Stranded
	// claimants and late are used by the fairness between workspaces.
	claimants []claimant
	late      []*pending
}

// plan gives up the requests whose predicted first token is too late. It
// serves the queue in order on the prefill engines and on the memory as it
// is predicted to become free. It returns true if the queue has changed.
func (c *Core) plan(now time.Time) bool {
	if !c.stale || c.queue.len() == 0 {
		return false
	}
	c.stale = false
	changed := false
	for c.planDue(now) {
		changed = true
	}
	return c.planLate(now) || changed
}

// planDue walks the requests that can still be in time. It gives one up and
// returns true if the walk has to start again.
func (c *Core) planDue(now time.Time) bool {
	s := c.newSchedule(now)
	for i, p := range c.queue.due {
		first := s.serve(now, p).Add(c.safety())
		if !first.After(p.due(now)) {
			continue
		}
		victim, reason := c.victim(now, i)
		c.giveUp(now, victim, reason, first.Sub(p.deadline))
		return true
	}
	return false
}

// planLate refuses the late requests that won't be served in time for their
// class's patience, and takes back those that can be in time after all.
func (c *Core) planLate(now time.Time) bool {
	if len(c.queue.late) == 0 {
		return false
	}
	changed := false
	s := c.newSchedule(now)
	for _, p := range c.queue.due {
		s.serve(now, p)
	}
	for i := 0; i < len(c.queue.late); {
		p := c.queue.late[i]
		mark := s.mark()
		first := s.serve(now, p)
		if !first.Add(c.safety()).After(p.deadline) {
			c.queue.restore(p)
			changed = true
			continue
		}
		if !first.After(p.given) {
			i++
			continue
		}
		s.undo(mark)
		c.queue.remove(p)
		c.refuse(p, ReasonTargetOutOfReach, first.Sub(p.given))
		changed = true
	}
	return changed
}

// due is the time by which the first token has to come.
func (p *pending) due(now time.Time) time.Time {
	if p.late || (p.accepted() && now.Before(p.given)) {
		return p.given
	}
	return p.deadline
}

// giveUp refuses a request, or lets it wait if late beats lost.
func (c *Core) giveUp(now time.Time, p *pending, reason Reason, over time.Duration) {
	if p.cost+c.tail(p) < p.class.FirstToken {
		c.demand.strained = now
	}
	if !p.late && !p.accepted() && p.given.After(p.deadline) && p.given.After(now) {
		c.queue.postpone(p)
		c.demand.leave(now, p.memory)
		return
	}
	c.queue.remove(p)
	c.refuse(p, reason, over)
}

// schedule predicts when requests are served one after another.
type schedule struct {
	c *Core
	// idle holds the times at which prefill engines are free, in order.
	idle []time.Time
	// ends holds the predicted ends of holds on decode memory, in order. It
	// is read when the free memory is used up.
	ends []granter.End
	read bool
	// free is the memory that is free when the last request was served.
	free  identifier.Pieces
	since time.Time
}

type scheduleMark struct {
	idle  []time.Time
	free  identifier.Pieces
	since time.Time
}

func (c *Core) newSchedule(now time.Time) *schedule {
	s := &schedule{c: c, since: now}
	c.buf.engines = c.granter.Engines(now, identifier.RolePrefill, c.buf.engines[:0])
	s.idle = c.buf.idle[:0]
	for _, e := range c.buf.engines {
		s.idle = append(s.idle, e.IdleAt)
	}
	slices.SortFunc(s.idle, time.Time.Compare)
	c.buf.idle = s.idle
	c.buf.engines = c.granter.Engines(now, identifier.RoleDecode, c.buf.engines[:0])
	for _, e := range c.buf.engines {
		s.free += e.Free
	}
	return s
}

func (s *schedule) readEnds(now time.Time) {
	s.read = true
	s.ends = s.c.granter.Ends(now, s.c.buf.ends[:0])
	slices.SortFunc(s.ends, func(a, b granter.End) int { return a.At.Compare(b.At) })
	s.c.buf.ends = s.ends
}

func (s *schedule) mark() scheduleMark {
	return scheduleMark{slices.Clone(s.idle), s.free, s.since}
}

func (s *schedule) undo(m scheduleMark) { s.idle, s.free, s.since = m.idle, m.free, m.since }

// serve books a request and returns its predicted first token.
func (s *schedule) serve(now time.Time, p *pending) time.Time {
	memory := s.memory(now, p.pieces)
	start := s.idle[0]
	if early := memory.Add(-p.cost); early.After(start) {
		start = early
	}
	ends := start.Add(p.cost)
	s.idle[0] = ends
	slices.SortFunc(s.idle, time.Time.Compare)
	return ends.Add(s.c.tail(p))
}

// memory takes pieces and returns when they are free.
func (s *schedule) memory(now time.Time, n identifier.Pieces) time.Time {
	at := s.since
	if s.free < n && !s.read {
		s.readEnds(now)
	}
	for s.free < n && len(s.ends) > 0 {
		at = s.ends[0].At
		s.free += s.ends[0].Pieces
		s.ends = s.ends[1:]
	}
	s.free -= n
	s.since = at
	if at.Before(now) {
		return now
	}
	return at
}

// tail is the predicted time from the end of a prefill to the first token at
// the entry VM.
func (c *Core) tail(p *pending) time.Duration {
	return c.granter.Transfer(p.Prompt, "", "") + firstSteps(c.granter.Pace(typicalBatch)) + tailMessages*c.cfg.CrossDelay
}

// firstSteps is the predicted time from the start of a decode to its first
// token: half a step passes before a stream joins the batch.
func firstSteps(pace time.Duration) time.Duration { return pace * 3 / 2 }

// tailMessages is the number of messages from the end of a prefill to the
// first token at the entry VM.
const tailMessages = 5

// typicalBatch is the batch size for rough predictions.
const typicalBatch = 10
