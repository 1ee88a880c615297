// Package spreader broadcasts a payload to many VMs and reports which of them
// did not acknowledge it.
//
// The payload is passed down a balanced tree of VMs, and acknowledgements are
// aggregated on the way back to the root. If a VM doesn't answer, it is
// reported as missing and its parent takes over its subtree. If the arity is
// at least the number of VMs, the tree is a direct fan-out.
package spreader

import (
	"slices"
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// Timeouts and limits of a spread.
const (
	// DefaultArity is the default number of children of each VM in the tree.
	DefaultArity = 8
	// RetryAfter is how long a VM waits for an answer before it sends again.
	RetryAfter = 60 * time.Millisecond
	// MaxTries is how often a payload is sent to a VM that doesn't answer, before
	// the VM counts as missing.
	MaxTries = 6
	// Timeout is the maximum duration of a whole spread.
	Timeout = 5 * time.Second
	// MaxTasks is the maximum number of spreads that one VM takes part in at
	// once.
	MaxTasks = 256
	// MaxTargets is the maximum number of VMs that one spread reaches.
	MaxTargets = 2048
)

// ID identifies one spread. Number tells apart the spreads of one incarnation of
// the root.
type ID struct {
	Root        identifier.VM
	Incarnation identifier.Incarnation
	Number      identifier.Sequence
}

// Core is the state of one VM's part in spreads, as the root or as a lower node
// of the tree. Its state changes only in Step.
type Core struct {
	arity int
	// tasks holds at most MaxTasks entries in the order in which they began.
	// Ended tasks are kept until their deadline, to answer repeated pushes.
	tasks []*task
	out   []Outcome
}

// task is this VM's part of one spread, as assigned by one parent.
type task struct {
	id      ID
	payload []byte
	// parent is empty at the root.
	parent   identifier.VM
	deadline time.Time
	children []*child
	// missing lists the VMs that did not answer. It is sorted when the task
	// ends.
	missing []identifier.VM
	ended   bool
}

// child is a VM to which this VM sends the payload.
type child struct {
	vm identifier.VM
	// below lists the VMs that the child passes the payload on to, directly or
	// through its own children.
	below []identifier.VM
	// unansweredSends counts the pushes since the child's last message.
	unansweredSends int
	retryAt         time.Time
}

// New returns a core that sends a payload to at most arity children. Further
// ones are added only to replace a child that doesn't answer.
func New(arity int) *Core { return &Core{arity: max(1, arity)} }

// Step processes one event and returns the resulting outcomes. It is
// deterministic: the same events at the same times give the same outcomes.
func (c *Core) Step(now time.Time, e Event) []Outcome {
	c.out = nil
	switch e := e.(type) {
	case Begin:
		c.startTask(now, "", e.ID, e.To[:min(len(e.To), MaxTargets)], e.Payload)
	case Received:
		c.handleReceived(now, e)
	case Wake:
	}
	c.runDue(now)
	c.emitWakeAt()
	return c.out
}

func (c *Core) emit(o Outcome) { c.out = append(c.out, o) }

func (c *Core) handleReceived(now time.Time, e Received) {
	switch m := e.Message.(type) {
	case Push:
		c.handlePush(now, e.From, m)
	case Working:
		c.handleWorking(now, e.From, m.ID)
	case Done:
		c.handleDone(now, e.From, m)
	}
}

// handlePush delivers a new payload and starts its task, or answers a repeated
// push.
func (c *Core) handlePush(now time.Time, from identifier.VM, m Push) {
	t := c.findTask(m.ID, from)
	switch {
	case t == nil:
		c.emit(Deliver{ID: m.ID, Payload: m.Payload})
		c.startTask(now, from, m.ID, m.Below, m.Payload)
	case t.ended:
		c.emit(Send{To: from, Message: Done{ID: t.id, Missing: t.missing}})
	default:
		c.emit(Send{To: from, Message: Working{ID: t.id}})
	}
}

func (c *Core) startTask(now time.Time, parent identifier.VM, id ID, to []identifier.VM, payload []byte) {
	if len(c.tasks) >= MaxTasks {
		return
	}
	t := &task{id: id, parent: parent, payload: payload, deadline: now.Add(Timeout)}
	c.tasks = append(c.tasks, t)
	c.addChildren(now, t, to)
	c.endIfComplete(t)
}

// addChildren divides VMs among new children and sends them the payload.
func (c *Core) addChildren(now time.Time, t *task, to []identifier.VM) {
	for _, part := range split(to, c.arity) {
		ch := &child{vm: part[0], below: part[1:]}
		t.children = append(t.children, ch)
		c.sendPush(now, t, ch)
	}
}

func (c *Core) sendPush(now time.Time, t *task, ch *child) {
	ch.unansweredSends++
	ch.retryAt = now.Add(RetryAfter)
	c.emit(Send{To: ch.vm, Message: Push{ID: t.id, Below: ch.below, Payload: t.payload}})
}

// handleWorking resets the retries of a child that waits for its own children.
func (c *Core) handleWorking(now time.Time, from identifier.VM, id ID) {
	for _, t := range c.tasks {
		for _, ch := range t.children {
			if t.id == id && ch.vm == from {
				ch.unansweredSends = 0
				ch.retryAt = now.Add(RetryAfter)
			}
		}
	}
}

func (c *Core) handleDone(now time.Time, from identifier.VM, m Done) {
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
		c.endIfComplete(t)
	}
	c.runDue(now)
}

// endIfComplete ends a task and reports its result once all children have
// answered or count as missing.
func (c *Core) endIfComplete(t *task) {
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

// runDue repeats unanswered pushes, takes over the subtrees of children that
// don't answer, and removes tasks past their deadline.
func (c *Core) runDue(now time.Time) {
	for _, t := range c.tasks {
		for _, ch := range slices.Clone(t.children) {
			if !t.ended && !now.Before(ch.retryAt) {
				c.retryOrReplace(now, t, ch)
			}
		}
		if !t.ended && !now.Before(t.deadline) {
			c.giveUp(t)
		}
		c.endIfComplete(t)
	}
	c.tasks = slices.DeleteFunc(c.tasks, func(t *task) bool { return !now.Before(t.deadline) })
}

func (c *Core) retryOrReplace(now time.Time, t *task, ch *child) {
	if ch.unansweredSends < MaxTries {
		c.sendPush(now, t, ch)
		return
	}
	t.children = slices.DeleteFunc(t.children, func(other *child) bool { return other == ch })
	t.missing = append(t.missing, ch.vm)
	c.addChildren(now, t, ch.below)
}

// giveUp marks all VMs that have not answered by the deadline as missing.
func (c *Core) giveUp(t *task) {
	for _, ch := range t.children {
		t.missing = append(t.missing, ch.vm)
		t.missing = append(t.missing, ch.below...)
	}
	t.children = nil
}

func (c *Core) findTask(id ID, parent identifier.VM) *task {
	for _, t := range c.tasks {
		if t.id == id && t.parent == parent {
			return t
		}
	}
	return nil
}

// emitWakeAt requests a Wake at the earliest retry or deadline, if there is one.
func (c *Core) emitWakeAt() {
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

// earlier returns the earlier time. A zero a counts as unset.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// split divides VMs into at most n parts of nearly equal length.
func split(to []identifier.VM, n int) [][]identifier.VM {
	n = min(n, len(to))
	parts := make([][]identifier.VM, 0, n)
	for i := range n {
		parts = append(parts, to[i*len(to)/n:(i+1)*len(to)/n])
	}
	return parts
}
