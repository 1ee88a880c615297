package quarantiner

import (
	"slices"
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// retellAfter are the times at which a mark is told again after the first.
var retellAfter = []time.Duration{time.Second, 3 * time.Second, 10 * time.Second}

// MaxRetells is the most sets of marks that are told again.
const MaxRetells = 256

type retell struct {
	marks []Mark
	at    time.Time
	times int
}

// tell gives marks to all VMs, now and a few times more.
func (c *Core) tell(now time.Time, marks []Mark) {
	if len(marks) == 0 {
		return
	}
	c.emit(Tell{Marks: marks})
	if len(c.retells) < MaxRetells {
		c.retells = append(c.retells, retell{marks: marks, at: now.Add(retellAfter[0])})
	}
}

func (c *Core) retell(now time.Time) {
	for i := range c.retells {
		r := &c.retells[i]
		if now.Before(r.at) {
			continue
		}
		c.emit(Tell{Marks: r.marks})
		r.times++
		if r.times < len(retellAfter) {
			r.at = now.Add(retellAfter[r.times])
		}
	}
	c.retells = slices.DeleteFunc(c.retells, func(r retell) bool { return r.times == len(retellAfter) })
}

// told merges the marks of another VM and answers with what it lacks.
func (c *Core) told(now time.Time, e Told) {
	heard := map[Mark]bool{}
	var prints []Fingerprint
	var certain []Mark
	for _, m := range e.Marks {
		heard[m] = true
		if c.set(now, m) && m.State == StateLost && slices.Contains(c.deaths, m.Death) {
			m.State = StateDied
			c.set(now, m)
			certain = append(certain, m)
		}
		if !slices.Contains(prints, m.Fingerprint) {
			prints = append(prints, m.Fingerprint)
		}
	}
	c.tell(now, certain)
	if e.Answer {
		return
	}
	var lacks []Mark
	for _, content := range prints {
		for _, m := range c.marksOf(content) {
			if !heard[m] {
				lacks = append(lacks, m)
			}
		}
	}
	if len(lacks) > 0 {
		c.emit(Tell{To: e.From, Answer: true, Marks: lacks})
	}
}

func (c *Core) marksOf(content Fingerprint) []Mark {
	s, ok := c.suspects.Peek(content)
	if !ok {
		return nil
	}
	var marks []Mark
	for _, m := range s.marks {
		marks = append(marks, m.told(content, m.State))
	}
	return marks
}

// MaxTold is the most marks in one message.
const MaxTold = 512

// tellAll gives all marks to a VM that has joined.
func (c *Core) tellAll(vm identifier.VM) {
	var marks []Mark
	for _, content := range c.suspects.Keys() {
		marks = append(marks, c.marksOf(content)...)
	}
	for part := range slices.Chunk(marks, MaxTold) {
		c.emit(Tell{To: vm, Answer: true, Marks: part})
	}
}

// schedule asks for a Wake when the next marks are to be told.
func (c *Core) schedule() {
	var at time.Time
	for _, r := range c.retells {
		if at.IsZero() || r.at.Before(at) {
			at = r.at
		}
	}
	if !at.IsZero() {
		c.emit(WakeAt{At: at})
	}
}
