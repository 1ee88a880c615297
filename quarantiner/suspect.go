package quarantiner

import (
	"slices"
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// State is what is known of the death that a mark is for.
type State int

// The states of a mark. A higher one replaces a lower one.
const (
	// StateLost means that the connection broke and nothing else is known.
	StateLost State = iota + 1
	// StateAlive means that the upstream was found alive. The mark does not
	// count as a death.
	StateAlive
	// StateDied means that the upstream has died.
	StateDied
	// StateCleared means that the request was answered completely afterwards.
	// The mark does not count as a death.
	StateCleared
)

// Death identifies the end of one incarnation of an upstream.
type Death struct {
	Upstream    identifier.Upstream
	Incarnation identifier.Incarnation
}

// Mark records that a fingerprint was in flight at a death.
type Mark struct {
	Fingerprint Fingerprint
	Death       Death
	// AttemptID is the attempt that was in flight. The deaths of its prefill and
	// decode engine count as one.
	AttemptID AttemptID
	// Alone is true if the guard had allowed the run as the only suspect on
	// the upstream.
	Alone bool
	State State
}

// AttemptID identifies one attempt of a request.
type AttemptID struct {
	Request identifier.Request
	Attempt identifier.Attempt
}

// suspect holds the marks of one fingerprint.
type suspect struct {
	// marks has one entry for each death, at most MaxMarksPerSuspect.
	marks []mark
	// lastMarked is when a mark was last added or raised to StateLost or
	// StateDied.
	lastMarked time.Time
}

// mark is a Mark as it is kept for its suspect.
type mark struct {
	Death
	AttemptID
	State
	// Alone is as in Mark.
	Alone bool
	// markedAt is when this VM learned of the death.
	markedAt time.Time
}

// countDeaths returns the number of attempts whose upstream died, and of
// further attempts whose upstream is only lost.
func (s *suspect) countDeaths() (died, lost int) {
	var attempts []AttemptID
	for _, state := range []State{StateDied, StateLost} {
		for _, m := range s.marks {
			if m.State == state && !slices.Contains(attempts, m.AttemptID) {
				attempts = append(attempts, m.AttemptID)
			}
		}
		if state == StateDied {
			died = len(attempts)
		}
	}
	return died, len(attempts) - died
}

// markFor returns the mark for a death, or the zero mark if there is none.
func (s *suspect) markFor(d Death) mark {
	for _, m := range s.marks {
		if m.Death == d {
			return m
		}
	}
	return mark{}
}

// setMark adds a mark or raises the state of an existing one. It returns false
// if nothing changed.
func (c *Core) setMark(now time.Time, m Mark) bool {
	s, ok := c.suspects.Get(m.Fingerprint)
	if !ok {
		s = &suspect{}
		c.suspects.Add(m.Fingerprint, s)
	}
	i := slices.IndexFunc(s.marks, func(old mark) bool { return old.Death == m.Death })
	if i >= 0 && s.marks[i].State >= m.State {
		return false
	}
	if m.State == StateLost || m.State == StateDied || s.lastMarked.IsZero() {
		s.lastMarked = now
	}
	if i >= 0 {
		s.marks[i].State = m.State
		return true
	}
	if len(s.marks) == MaxMarksPerSuspect {
		s.marks = slices.Delete(s.marks, 0, 1)
	}
	s.marks = append(s.marks, mark{Death: m.Death, AttemptID: m.AttemptID, Alone: m.Alone, State: m.State, markedAt: now})
	return true
}

// markInFlight marks the fingerprints in flight on this VM at a death, and
// updates the marks that other VMs made for that death.
func (c *Core) markInFlight(now time.Time, d Death, state State) {
	var marks []Mark
	add := func(m Mark) {
		if c.setMark(now, m) {
			marks = append(marks, m)
		}
	}
	for _, r := range c.runs {
		if r.Upstream == d.Upstream && r.incarnation == d.Incarnation {
			attempt := AttemptID{Request: r.Request, Attempt: r.Attempt}
			add(Mark{Fingerprint: r.fingerprint, Death: d, AttemptID: attempt, Alone: r.alone, State: state})
		}
	}
	for _, fingerprint := range c.fingerprintsWith(d, StateLost) {
		s, _ := c.suspects.Peek(fingerprint)
		add(s.markFor(d).withState(fingerprint, state))
	}
	if state == StateDied {
		delete(c.guardedRuns, d.Upstream)
		c.deaths = append(c.deaths, d)
		c.deaths = c.deaths[max(0, len(c.deaths)-MaxDeaths):]
	}
	c.sendMarks(now, marks)
}

// nextIncarnation returns a number for the current process of an upstream that reports
// none. VMs that know of the same deaths return the same.
func (c *Core) nextIncarnation(u identifier.Upstream) identifier.Incarnation {
	last := identifier.Incarnation(0)
	for _, d := range c.deaths {
		if d.Upstream == u {
			last = max(last, d.Incarnation)
		}
	}
	for _, f := range c.suspects.Keys() {
		s, _ := c.suspects.Peek(f)
		for _, m := range s.marks {
			if m.Death.Upstream == u && m.State == StateDied {
				last = max(last, m.Death.Incarnation)
			}
		}
	}
	return last + 1
}

// fingerprintsWith returns the fingerprints whose mark for a death has the
// given state, least recently used first.
func (c *Core) fingerprintsWith(d Death, state State) []Fingerprint {
	var fingerprints []Fingerprint
	for _, fingerprint := range c.suspects.Keys() {
		if s, _ := c.suspects.Peek(fingerprint); s.markFor(d).State == state {
			fingerprints = append(fingerprints, fingerprint)
		}
	}
	return fingerprints
}

// withState returns the mark in the form that is sent to other VMs, with a new
// state.
func (m mark) withState(fingerprint Fingerprint, state State) Mark {
	return Mark{Fingerprint: fingerprint, Death: m.Death, AttemptID: m.AttemptID, Alone: m.Alone, State: state}
}

// clearLost clears the marks for an upstream that was lost but is alive, and
// removes the runs that ended before it was found alive.
func (c *Core) clearLost(now time.Time, d Death) {
	c.runs = slices.DeleteFunc(c.runs, func(r run) bool {
		return !r.forgetAt.IsZero() && r.Upstream == d.Upstream && r.incarnation == d.Incarnation
	})
	var marks []Mark
	for _, fingerprint := range c.fingerprintsWith(d, StateLost) {
		s, _ := c.suspects.Peek(fingerprint)
		m := s.markFor(d).withState(fingerprint, StateAlive)
		if c.setMark(now, m) {
			marks = append(marks, m)
		}
	}
	c.sendMarks(now, marks)
}

// clearSuspect clears the marks of a request that was answered completely.
func (c *Core) clearSuspect(now time.Time, fingerprint Fingerprint) {
	s, ok := c.suspects.Peek(fingerprint)
	if !ok {
		return
	}
	var marks []Mark
	for _, old := range slices.Clone(s.marks) {
		m := old.withState(fingerprint, StateCleared)
		if c.setMark(now, m) {
			marks = append(marks, m)
		}
	}
	c.sendMarks(now, marks)
}

// expiryInterval is the least time between two runs of expire.
const expiryInterval = time.Second

// expire removes outdated runs and suspects and settles lost connections.
func (c *Core) expire(now time.Time) {
	if now.Sub(c.lastExpiry) < expiryInterval {
		return
	}
	c.lastExpiry = now
	c.runs = slices.DeleteFunc(c.runs, func(r run) bool { return !r.forgetAt.IsZero() && !now.Before(r.forgetAt) })
	lost := map[Death]bool{}
	for _, fingerprint := range c.suspects.Keys() {
		s, _ := c.suspects.Peek(fingerprint)
		if now.Sub(s.lastMarked) >= SuspicionLifetime {
			c.suspects.Remove(fingerprint)
		}
		for _, m := range s.marks {
			if m.State == StateLost {
				lost[m.Death] = true
			}
		}
	}
	if len(lost) > 0 {
		c.settleLost(now, len(lost))
	}
}

// settleLost counts the connections that stay lost as deaths. If more than
// MaxLostUpstreams are lost, it counts none of them, because the network is
// the likelier cause.
func (c *Core) settleLost(now time.Time, lost int) {
	state := StateDied
	if lost > MaxLostUpstreams {
		state = StateAlive
	}
	for _, fingerprint := range c.suspects.Keys() {
		s, _ := c.suspects.Peek(fingerprint)
		for i := range s.marks {
			if s.marks[i].State == StateLost && now.Sub(s.marks[i].markedAt) >= ConfirmWait {
				s.marks[i].State = state
			}
		}
	}
}
