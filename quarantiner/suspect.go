package quarantiner

import (
	"slices"
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// State is what a mark says of a death.
type State int

// The states of a mark. A higher one replaces a lower one.
const (
	// StateLost means that the connection broke and nothing else is known.
	StateLost State = iota + 1
	// StateAlive means that the upstream was found alive; it doesn't count.
	StateAlive
	// StateDied means that the upstream has died.
	StateDied
	// StateCleared means that the request ran whole since; it doesn't count.
	StateCleared
)

// Death names the end of one start of an upstream.
type Death struct {
	Upstream    identifier.Upstream
	Incarnation identifier.Incarnation
}

// Mark says that a fingerprint was in flight at a death.
type Mark struct {
	Fingerprint Fingerprint
	Death       Death
	// Trial is the attempt that was in flight. The deaths of its prefill and
	// decode engine count as one.
	Trial Trial
	// Alone says that the guard let it run as the only suspect.
	Alone bool
	State State
}

// Trial names one attempt.
type Trial struct {
	Request identifier.Request
	Attempt identifier.Attempt
}

// suspect is one fingerprint with its marks.
type suspect struct {
	// marks has one entry for each death, at most MaxMarks.
	marks []mark
	// last is when the last mark was made.
	last time.Time
}

type mark struct {
	Death
	Trial
	State
	// Alone is as in Mark.
	Alone bool
	// at is when this VM heard of it.
	at time.Time
}

// count returns the attempts whose upstream died and those whose upstream is
// lost.
func (s *suspect) count() (died, lost int) {
	var trials []Trial
	for _, state := range []State{StateDied, StateLost} {
		for _, m := range s.marks {
			if m.State == state && !slices.Contains(trials, m.Trial) {
				trials = append(trials, m.Trial)
			}
		}
		if state == StateDied {
			died = len(trials)
		}
	}
	return died, len(trials) - died
}

// mark returns the mark for a death, or one without a state.
func (s *suspect) mark(d Death) mark {
	for _, m := range s.marks {
		if m.Death == d {
			return m
		}
	}
	return mark{}
}

// set adds a mark. It returns false if nothing changed.
func (c *Core) set(now time.Time, m Mark) bool {
	s, ok := c.suspects.Get(m.Fingerprint)
	if !ok {
		s = &suspect{}
		c.suspects.Add(m.Fingerprint, s)
	}
	i := slices.IndexFunc(s.marks, func(old mark) bool { return old.Death == m.Death })
	if i >= 0 && s.marks[i].State >= m.State {
		return false
	}
	if m.State == StateLost || m.State == StateDied || s.last.IsZero() {
		s.last = now
	}
	if i >= 0 {
		s.marks[i].State = m.State
		return true
	}
	if len(s.marks) == MaxMarks {
		s.marks = slices.Delete(s.marks, 0, 1)
	}
	s.marks = append(s.marks, mark{Death: m.Death, Trial: m.Trial, Alone: m.Alone, State: m.State, at: now})
	return true
}

// mark marks what was in flight at a death and what others marked for it.
func (c *Core) mark(now time.Time, d Death, state State) {
	var marks []Mark
	add := func(m Mark) {
		if c.set(now, m) {
			marks = append(marks, m)
		}
	}
	for _, r := range c.runs {
		if r.Upstream == d.Upstream && r.incarnation == d.Incarnation {
			trial := Trial{Request: r.Request, Attempt: r.Attempt}
			add(Mark{Fingerprint: r.content, Death: d, Trial: trial, Alone: r.alone, State: state})
		}
	}
	for _, content := range c.marked(d, StateLost) {
		s, _ := c.suspects.Peek(content)
		add(s.mark(d).told(content, state))
	}
	if state == StateDied {
		delete(c.guards, d.Upstream)
		c.deaths = append(c.deaths, d)
		c.deaths = c.deaths[max(0, len(c.deaths)-MaxDeaths):]
	}
	c.tell(now, marks)
}

// marked returns the fingerprints whose mark for a death has a state, oldest
// use first.
func (c *Core) marked(d Death, state State) []Fingerprint {
	var prints []Fingerprint
	for _, content := range c.suspects.Keys() {
		if s, _ := c.suspects.Peek(content); s.mark(d).State == state {
			prints = append(prints, content)
		}
	}
	return prints
}

// told returns what other VMs are told of a mark, with a new state.
func (m mark) told(content Fingerprint, state State) Mark {
	return Mark{Fingerprint: content, Death: m.Death, Trial: m.Trial, Alone: m.Alone, State: state}
}

// alive clears the marks for a death that was none, and forgets the runs
// that ended before it.
func (c *Core) alive(now time.Time, d Death) {
	c.runs = slices.DeleteFunc(c.runs, func(r run) bool {
		return !r.over.IsZero() && r.Upstream == d.Upstream && r.incarnation == d.Incarnation
	})
	var marks []Mark
	for _, content := range c.marked(d, StateLost) {
		s, _ := c.suspects.Peek(content)
		m := s.mark(d).told(content, StateAlive)
		if c.set(now, m) {
			marks = append(marks, m)
		}
	}
	c.tell(now, marks)
}

// clear clears a request that ran whole.
func (c *Core) clear(now time.Time, content Fingerprint) {
	s, ok := c.suspects.Peek(content)
	if !ok {
		return
	}
	var marks []Mark
	for _, old := range slices.Clone(s.marks) {
		m := old.told(content, StateCleared)
		if c.set(now, m) {
			marks = append(marks, m)
		}
	}
	c.tell(now, marks)
}

// expireEvery is the time between two searches for what is past its time.
const expireEvery = time.Second

// expire forgets what is past its time and settles lost connections.
func (c *Core) expire(now time.Time) {
	if now.Sub(c.expired) < expireEvery {
		return
	}
	c.expired = now
	c.runs = slices.DeleteFunc(c.runs, func(r run) bool { return !r.over.IsZero() && !now.Before(r.over) })
	lost := map[Death]bool{}
	for _, content := range c.suspects.Keys() {
		s, _ := c.suspects.Peek(content)
		if now.Sub(s.last) >= Life {
			c.suspects.Remove(content)
		}
		for _, m := range s.marks {
			if m.State == StateLost {
				lost[m.Death] = true
			}
		}
	}
	if len(lost) > 0 {
		c.settle(now, len(lost))
	}
}

// settle counts connections that stay lost as deaths, unless so many are
// lost that the network is the likelier cause.
func (c *Core) settle(now time.Time, lost int) {
	state := StateDied
	if lost > MaxLost {
		state = StateAlive
	}
	for _, content := range c.suspects.Keys() {
		s, _ := c.suspects.Peek(content)
		for i := range s.marks {
			if s.marks[i].State == StateLost && now.Sub(s.marks[i].at) >= ConfirmWait {
				s.marks[i].State = state
			}
		}
	}
}
