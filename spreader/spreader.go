// Package spreader carries one payload to many VMs and reports who has it.
//
// The payload goes down a balanced tree and the acknowledgements are reduced
// on the way back. A VM that doesn't answer is left out and named, and its
// part of the tree is taken over by its parent. With an arity of at least
// the number of VMs the tree is a direct fan-out.
package spreader

import (
	"slices"
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// Times and bounds of a spread.
const (
	// DefaultArity is the number of VMs that one VM passes a payload to.
	DefaultArity = 8
	// RetryAfter is how long a VM waits for an answer before it repeats.
	RetryAfter = 60 * time.Millisecond
	// Tries is how often a VM is tried before it counts as missing.
	Tries = 6
	// Deadline is how long a spread may take as a whole.
	Deadline = 5 * time.Second
	// MaxTasks bounds the spreads that one VM takes part in at once.
	MaxTasks = 256
	// MaxTargets bounds the VMs of one spread.
	MaxTargets = 2048
)

// ID is the identity of one spread.
type ID struct {
	Root        identifier.VM
	Incarnation identifier.Incarnation
	Number      identifier.Sequence
}

// Core takes part in spreads, as the root or below it. It is advanced only
// by Step.
type Core struct {
	arity int
	// tasks are in the order in which they began. Ended tasks stay until
	// their deadline, to answer repeats.
	tasks []*task
	out   []Outcome
}

// task is this VM's part of one spread, as given by one parent.
type task struct {
	id      ID
	payload []byte
	// parent is empty at the root.
	parent   identifier.VM
	deadline time.Time
	children []*child
	// missing are the VMs that were given up, sorted at the end.
	missing []identifier.VM
	ended   bool
}

// child is a VM that the payload was passed to.
type child struct {
	vm identifier.VM
	// below are the VMs that the child passes the payload to.
	below []identifier.VM
	// tries counts the sends since the child was last heard.
	tries   int
	retryAt time.Time
}

// New returns a core that passes payloads on to arity VMs.
func New(arity int) *Core { return &Core{arity: max(1, arity)} }

// Step advances the core. The same events at the same times give the same
// outcomes.
func (c *Core) Step(now time.Time, e Event) []Outcome {
	c.out = nil
	switch e := e.(type) {
	case Begin:
		c.begin(now, "", e.ID, e.To[:min(len(e.To), MaxTargets)], e.Payload)
	case Received:
		c.receive(now, e)
	case Wake:
	}
	c.expire(now)
	c.wake()
	return c.out
}

func (c *Core) emit(o Outcome) { c.out = append(c.out, o) }

func (c *Core) receive(now time.Time, e Received) {
	switch m := e.Message.(type) {
	case Push:
		c.push(now, e.From, m)
	case Working:
		c.working(now, e.From, m.ID)
	case Done:
		c.done(now, e.From, m)
	}
}

// push takes in a payload, or answers a repeat.
func (c *Core) push(now time.Time, from identifier.VM, m Push) {
	t := c.find(m.ID, from)
	switch {
	case t == nil:
		c.emit(Deliver{ID: m.ID, Payload: m.Payload})
		c.begin(now, from, m.ID, m.Below, m.Payload)
	case t.ended:
		c.emit(Send{To: from, Message: Done{ID: t.id, Missing: t.missing}})
	default:
		c.emit(Send{To: from, Message: Working{ID: t.id}})
	}
}

func (c *Core) begin(now time.Time, parent identifier.VM, id ID, to []identifier.VM, payload []byte) {
	if len(c.tasks) >= MaxTasks {
		return
	}
	t := &task{id: id, parent: parent, payload: payload, deadline: now.Add(Deadline)}
	c.tasks = append(c.tasks, t)
	c.pass(now, t, to)
	c.end(t)
}

// pass splits VMs between new children.
func (c *Core) pass(now time.Time, t *task, to []identifier.VM) {
	for _, part := range split(to, c.arity) {
		ch := &child{vm: part[0], below: part[1:]}
		t.children = append(t.children, ch)
		c.try(now, t, ch)
	}
}

func (c *Core) try(now time.Time, t *task, ch *child) {
	ch.tries++
	ch.retryAt = now.Add(RetryAfter)
	c.emit(Send{To: ch.vm, Message: Push{ID: t.id, Below: ch.below, Payload: t.payload}})
}

// working notes that a child lives and waits for its own children.
func (c *Core) working(now time.Time, from identifier.VM, id ID) {
	for _, t := range c.tasks {
		for _, ch := range t.children {
			if t.id == id && ch.vm == from {
				ch.tries = 0
				ch.retryAt = now.Add(RetryAfter)
			}
		}
	}
}

func (c *Core) done(now time.Time, from identifier.VM, m Done) {
	for _, t := range c.tasks {
		if t.id != m.ID {
			continue
		}
		i := slices.IndexFunc(t.children, func(ch *child) bool { return ch.vm == from })
		if i < 0 {
			continue
		}
		t.children = slices.Delete(t.children, i, i+1)
		t.missing = append(t.missing, m.Missing...)
		c.end(t)
	}
	c.expire(now)
}

// end reports a task whose children have all answered or were given up.
func (c *Core) end(t *task) {
	if len(t.children) > 0 || t.ended {
		return
	}
	t.ended = true
	slices.Sort(t.missing)
	t.missing = slices.Compact(t.missing)
	if t.parent == "" {
		c.emit(Completed{ID: t.id, Missing: t.missing})
		return
	}
	c.emit(Send{To: t.parent, Message: Done{ID: t.id, Missing: t.missing}})
}

// expire repeats what was not answered, takes over from silent children and
// drops old tasks.
func (c *Core) expire(now time.Time) {
	for _, t := range c.tasks {
		for _, ch := range slices.Clone(t.children) {
			if !t.ended && !now.Before(ch.retryAt) {
				c.retry(now, t, ch)
			}
		}
		if !t.ended && !now.Before(t.deadline) {
			c.abandon(t)
		}
		c.end(t)
	}
	c.tasks = slices.DeleteFunc(c.tasks, func(t *task) bool { return !now.Before(t.deadline) })
}

func (c *Core) retry(now time.Time, t *task, ch *child) {
	if ch.tries < Tries {
		c.try(now, t, ch)
		return
	}
	t.children = slices.DeleteFunc(t.children, func(other *child) bool { return other == ch })
	t.missing = append(t.missing, ch.vm)
	c.pass(now, t, ch.below)
}

// abandon names all that has not answered by the deadline.
func (c *Core) abandon(t *task) {
	for _, ch := range t.children {
		t.missing = append(t.missing, ch.vm)
		t.missing = append(t.missing, ch.below...)
	}
	t.children = nil
}

func (c *Core) find(id ID, parent identifier.VM) *task {
	for _, t := range c.tasks {
		if t.id == id && t.parent == parent {
			return t
		}
	}
	return nil
}

// wake asks for the next wake.
func (c *Core) wake() {
	var at time.Time
	for _, t := range c.tasks {
		at = earlier(at, t.deadline)
		for _, ch := range t.children {
			at = earlier(at, ch.retryAt)
		}
	}
	if !at.IsZero() {
		c.emit(WakeAt{At: at})
	}
}

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// split cuts VMs into at most n parts of nearly equal length.
func split(to []identifier.VM, n int) [][]identifier.VM {
	n = min(n, len(to))
	parts := make([][]identifier.VM, 0, n)
	for i := range n {
		parts = append(parts, to[i*len(to)/n:(i+1)*len(to)/n])
	}
	return parts
}
