// Package apportioner divides the rate of requests that a runner in need takes from
// all VMs together.
//
// In a large fleet each VM sends such a runner far less than one request a second, and
// an equal part of its rate is less than that too. If each VM might save up a single
// request, a surge could bring one of each VM at the same moment. So only as many VMs
// send to the runner as may do that together, each an equal part; which ones follows
// from a hash, without messages. One record in the store tells the limit to the VMs
// that the runner hasn't told, and its end to those that no longer send.
package apportioner

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/keeper"
)

const (
	// MaxWriteDelay bounds the random time from a change of a limit to its write, so
	// that VMs that notice it at the same time don't all write it.
	MaxWriteDelay = 300 * time.Millisecond
	// RetryInterval is the time from a failed write to the next one.
	RetryInterval = 250 * time.Millisecond
	// StaleTime is how long the end of a limit is remembered, so that an earlier answer
	// that arrives late doesn't bring it back.
	StaleTime = 15 * time.Second
	// MaxLimits is the most limits that are kept.
	MaxLimits = 1024
	// EndAnswers is how many answers without a rate end a limit: a faulty runner may
	// spoil one.
	EndAnswers = 2
	// rateTolerance is the relative difference up to which two rates count as the same:
	// a rate that drifts would be written again and again.
	rateTolerance = 0.1
)

// Core is what one VM knows of limits. Only Step, TakeSend and
// ReturnSend change it.
type Core struct {
	random *rand.Rand
	self   identifier.VM
	// vms are the VMs of the roster; self counts even if it isn't one of them.
	vms []identifier.VM
	// limits holds the limits in force, and those that ended less than StaleTime ago
	// with the rate zero.
	limits map[Process]*limit
	// shared is the record in the store, as last read or written, at version and era.
	// It is empty if the record isMissing.
	shared    map[Process]identifier.Rate
	version   keeper.Version
	era       keeper.Era
	isMissing bool
	// unshared holds the rates that this VM has heard and shared lacks; zero for a limit
	// that has ended. It outlives the limit, which is dropped StaleTime after its end.
	unshared map[Process]identifier.Rate
	// ended holds the processes in shared that have ended. They are left out of the next
	// Write.
	ended map[Process]bool
	// writing is the record of the Write in progress; nil without one.
	writing map[Process]identifier.Rate
	// writeAt is when the next Write is due; zero while none is.
	writeAt  time.Time
	outcomes []Outcome
}

// New returns a core without limits. random spreads the writes of VMs.
func New(random *rand.Rand) *Core {
	return &Core{
		random: random, limits: map[Process]*limit{}, shared: map[Process]identifier.Rate{},
		unshared: map[Process]identifier.Rate{}, ended: map[Process]bool{}, isMissing: true,
	}
}

// Limits returns the processes with a limit.
func (c *Core) Limits() []Process {
	var all []Process
	for p, l := range c.limits {
		if l.rate > 0 {
			all = append(all, p)
		}
	}
	return all
}

// HasLimits reports whether a process has a limit, without an allocation.
func (c *Core) HasLimits() bool {
	for _, l := range c.limits {
		if l.rate > 0 {
			return true
		}
	}
	return false
}

// SendAfter returns the time until this VM may send a process one more request; zero
// if it may now.
func (c *Core) SendAfter(now time.Time, p Process) time.Duration {
	l := c.limits[p]
	if l == nil || l.rate == 0 {
		return 0
	}
	return l.sendAfter(now)
}

// TakeSend reports whether this VM may send a process one more request now. It has to
// do so then, or call ReturnSend.
func (c *Core) TakeSend(now time.Time, p Process) bool {
	l := c.limits[p]
	return l == nil || l.rate == 0 || l.take(now)
}

// ReturnSend gives back what TakeSend took for a request that wasn't sent.
func (c *Core) ReturnSend(now time.Time, p Process) {
	if l := c.limits[p]; l != nil && l.rate > 0 {
		l.fill(now)
		l.saved = min(l.burst, l.saved+1)
	}
}

// Step handles one event and returns the outcomes, in order.
func (c *Core) Step(now time.Time, e Event) []Outcome {
	c.outcomes = nil
	switch e := e.(type) {
	case Named:
		c.handleNamed(now, e)
	case RosterChanged:
		c.self, c.vms = e.Self, e.VMs
		for p, l := range c.limits {
			l.divide(now, c.senders(p, l.rate))
		}
	case Ended:
		delete(c.limits, e.Process)
		delete(c.unshared, e.Process)
		if _, ok := c.shared[e.Process]; ok {
			c.ended[e.Process] = true
		}
	case RecordRead:
		c.handleRead(now, e)
	case Written:
		c.handleWritten(e)
	case Conflicted:
		c.writing = nil
		if e.IsMissing && e.Era == c.era {
			c.version = 0 // The record was removed at an unknown version.
		}
		c.handleRead(now, e.RecordRead)
	case WriteFailed:
		c.writing, c.writeAt = nil, now.Add(RetryInterval)
	case Wake:
		maps.DeleteFunc(c.limits, func(_ Process, l *limit) bool { return l.rate == 0 && now.Sub(l.changedAt) >= StaleTime })
	default:
		panic(fmt.Sprintf("apportioner: unknown event %T", e))
	}
	c.startWrite(now)
	return c.outcomes
}

func (c *Core) emit(o Outcome) { c.outcomes = append(c.outcomes, o) }

// handleNamed applies what this VM has heard itself. An answer to a call from before
// the last change may be older than that.
func (c *Core) handleNamed(now time.Time, e Named) {
	l := c.limits[e.By]
	if l == nil && (e.Rate == 0 || len(c.limits) >= MaxLimits) {
		return
	}
	if l != nil && !l.isChanged(e) {
		return
	}
	c.setLimit(now, e.By, e.Rate)
	c.noteUnshared(e.By, e.Rate)
}

// isSame reports whether two rates are so near that one stands for the other.
func isSame(a, b identifier.Rate) bool {
	if a == 0 || b == 0 {
		return a == b
	}
	return max(a, b)-min(a, b) <= rateTolerance*max(a, b)
}

func (c *Core) setLimit(now time.Time, p Process, rate identifier.Rate) {
	l := c.limits[p]
	if l == nil {
		l = &limit{filledAt: now}
		c.limits[p] = l
	}
	l.rate, l.changedAt, l.unnamed = rate, now, 0
	l.divide(now, c.senders(p, rate))
	if rate == 0 {
		c.emit(Unlimited{p})
		return
	}
	c.emit(Limited{Limit{p, rate}, l.share})
}

// noteUnshared notes whether the store lacks the rate of a process that this VM has
// heard.
func (c *Core) noteUnshared(p Process, heard identifier.Rate) {
	if isSame(c.shared[p], heard) {
		delete(c.unshared, p)
		return
	}
	c.unshared[p] = heard
}

// updateUnshared removes the rates from unshared that the store has by now.
func (c *Core) updateUnshared() {
	maps.DeleteFunc(c.unshared, func(p Process, heard identifier.Rate) bool { return isSame(c.shared[p], heard) })
}

// handleRead takes over the shared record, but for what this VM has heard and not yet
// written. A store that came back from a copy may lack what it once had, which is
// written again.
func (c *Core) handleRead(now time.Time, e RecordRead) {
	if e.Era < c.era || e.Era == c.era && e.Version < c.version {
		return
	}
	isCopy := e.Era > c.era && c.era != 0
	c.version, c.era, c.isMissing = e.Version, e.Era, e.IsMissing
	c.shared = map[Process]identifier.Rate{}
	for _, l := range e.Record {
		c.shared[l.Of] = l.Rate
	}
	if isCopy {
		for p, l := range c.limits {
			c.noteUnshared(p, l.rate)
		}
	}
	c.applyShared(now)
	maps.DeleteFunc(c.ended, func(p Process, _ bool) bool { _, ok := c.shared[p]; return !ok })
}

// applyShared puts the limits of the shared record in force.
func (c *Core) applyShared(now time.Time) {
	c.updateUnshared()
	for _, p := range slices.SortedFunc(maps.Keys(c.shared), compareProcesses) {
		l := c.limits[p]
		isKnown := l != nil && isSame(l.rate, c.shared[p])
		if _, isUnshared := c.unshared[p]; !isKnown && !isUnshared && !c.ended[p] && len(c.limits) < MaxLimits {
			c.setLimit(now, p, c.shared[p])
		}
	}
	for _, p := range slices.SortedFunc(maps.Keys(c.limits), compareProcesses) {
		_, isShared := c.shared[p]
		_, isUnshared := c.unshared[p]
		if !isShared && !isUnshared && c.limits[p].rate > 0 {
			c.setLimit(now, p, 0)
		}
	}
}

func compareProcesses(a, b Process) int {
	return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Start, b.Start))
}

// handleWritten takes over the record that was written, unless RecordRead has
// brought it or a later one.
func (c *Core) handleWritten(e Written) {
	shared := c.writing
	c.writing = nil
	if e.Era != c.era || e.Version <= c.version {
		return
	}
	c.version, c.isMissing, c.shared = e.Version, false, shared
	c.updateUnshared()
	clear(c.ended)
}

// startWrite asks for a write if the store lacks a limit that this VM has heard.
func (c *Core) startWrite(now time.Time) {
	if len(c.unshared) == 0 {
		c.writeAt = time.Time{}
		return
	}
	if c.writeAt.IsZero() {
		c.writeAt = now.Add(time.Duration(c.random.Int64N(int64(MaxWriteDelay))))
	}
	if c.writing != nil || now.Before(c.writeAt) {
		return
	}
	c.writing, c.writeAt = map[Process]identifier.Rate{}, time.Time{}
	for p, rate := range c.shared {
		if !c.ended[p] {
			c.writing[p] = rate
		}
	}
	for p, heard := range c.unshared {
		if c.writing[p] = heard; heard == 0 {
			delete(c.writing, p)
		}
	}
	var r Record
	for _, p := range slices.SortedFunc(maps.Keys(c.writing), compareProcesses) {
		r = append(r, Limit{p, c.writing[p]})
	}
	expected := c.version
	if c.isMissing {
		expected = 0
	}
	c.emit(Write{Record: r, Expected: expected})
}
