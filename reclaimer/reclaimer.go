// Package reclaimer frees engine memory that is held for requests which are
// gone.
//
// Core is kept by the owner VM of a shard. It compares what the engines say
// they hold with what the VMs vouch for. A hold that every VM disowns is
// released after Grace, within ReleaseWithin of its first listing. A VM that
// doesn't answer may only be cut off: then its holds stay while their streams
// are read. Every answer is for a numbered question that was asked after the
// hold had been listed, so that a late answer can't disown a newer hold.
//
// Canceller repeats the releases of one VM until they are acknowledged.
//
// An entry VM must vouch for a hold from before it sends the first order
// until its release was acknowledged or left to a Canceller.
package reclaimer

import (
	"fmt"
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// Times of a reclaimer.
const (
	// PollEvery is the time between two listings of an engine.
	PollEvery = time.Second
	// AskEvery is the time after which a vouch is asked for again.
	AskEvery = 5 * time.Second
	// AnswerWait is when a VM that has not answered counts as silent.
	AnswerWait = 2 * time.Second
	// Grace is how long a hold lives that no VM vouches for. It lets a caller
	// come back through another VM.
	Grace = 6 * time.Second
	// ReadLately is how long after its last token a stream counts as read.
	ReadLately = 3 * time.Second
	// SilentGrace is how long a stream lives that is not read, where a VM
	// that may have it is silent.
	SilentGrace = 30 * time.Second
	// SilentLimit is SilentGrace for engines that don't tell reads.
	SilentLimit = 10 * time.Minute
	// ReleaseAgain is when a hold that is still listed is released again.
	ReleaseAgain = 5 * time.Second
)

// Bounds of the time from the end of the last claim on a hold to the order
// that releases it, for reachable engines.
const (
	// ReleaseWithin holds where all live VMs answer: listing, question to the
	// VM, question to all VMs, grace, question to all VMs.
	ReleaseWithin = PollEvery + AskEvery + AnswerWait + Grace + AnswerWait + PollEvery
	// ReleaseSilentWithin holds where a VM is silent and the engine tells
	// reads.
	ReleaseSilentWithin = ReleaseWithin + SilentGrace + AskEvery
	// ReleaseUnreadWithin holds where a VM is silent and the engine doesn't
	// tell reads.
	ReleaseUnreadWithin = ReleaseWithin + SilentLimit + AskEvery
)

// Limits of a reclaimer.
const (
	// MaxHolds is the most holds of one engine that are followed.
	MaxHolds = 4096
	// MaxAsked is the most holds in one question.
	MaxAsked = 256
	// MaxQuestions is the most questions without an answer.
	MaxQuestions = 8192
	// MaxVMs is the number of VMs beyond which those that aren't live are
	// forgotten.
	MaxVMs = 1024
)

// Start is one start of a VM.
type Start struct {
	VM          identifier.VM
	Incarnation identifier.Incarnation
}

// Core is the state of one shard's owner. It is advanced only by Step.
type Core struct {
	// engines is in the order in which they were first listed.
	engines []*engine
	// live are the VMs that are asked when a hold is contested.
	live []identifier.VM
	// incarnations holds the highest seen; earlier starts have ended.
	incarnations map[identifier.VM]identifier.Incarnation
	// questions are those without an answer, oldest first.
	questions []question
	rounds    uint64
	out       []Outcome
}

// engine is one engine with what it listed last.
type engine struct {
	id          identifier.Upstream
	incarnation identifier.Incarnation
	tellsRead   bool
	// holds is in the order of the listing.
	holds []*hold
}

// question is a set of holds that a VM is asked about.
type question struct {
	to    identifier.VM
	round uint64
	at    time.Time
	holds []*hold
}

// New returns a core that knows no engine.
func New() *Core {
	return &Core{incarnations: map[identifier.VM]identifier.Incarnation{}}
}

// Step advances the core.
func (c *Core) Step(now time.Time, e Event) []Outcome {
	c.out = nil
	switch e := e.(type) {
	case Listed:
		c.listed(now, e)
	case Answered:
		c.answered(now, e)
	case VMsChanged:
		c.changed(e.Live)
	case EngineGone:
		c.remove(e.Upstream)
	case Wake:
	default:
		panic(fmt.Sprintf("reclaimer: event %T", e))
	}
	c.forgetQuestions(now)
	c.act(now)
	return c.out
}

func (c *Core) emit(o Outcome) { c.out = append(c.out, o) }

func (c *Core) engine(id identifier.Upstream) *engine {
	for _, e := range c.engines {
		if e.id == id {
			return e
		}
	}
	e := &engine{id: id}
	c.engines = append(c.engines, e)
	return e
}

func (c *Core) remove(id identifier.Upstream) {
	for i, e := range c.engines {
		if e.id == id {
			c.engines = append(c.engines[:i:i], c.engines[i+1:]...)
			return
		}
	}
}

// listed takes over an engine's list. An engine that was started again holds
// nothing of before.
func (c *Core) listed(now time.Time, l Listed) {
	e := c.engine(l.Upstream)
	if e.incarnation != l.Holds.Incarnation {
		e.holds = nil
	}
	e.incarnation, e.tellsRead = l.Holds.Incarnation, l.Holds.TellsRead
	known := make(map[identifier.Hold]*hold, len(e.holds))
	for _, h := range e.holds {
		known[h.id] = h
	}
	e.holds = e.holds[:0:0]
	for _, state := range l.Holds.Holds[:min(len(l.Holds.Holds), MaxHolds)] {
		h, ok := known[state.Hold]
		if !ok {
			h = &hold{id: state.Hold, ask: state.Hold.VM, readAt: now}
		}
		if !state.Read.Equal(h.read) {
			h.read, h.readAt = state.Read, now
		}
		e.holds = append(e.holds, h)
	}
}

// act asks about, contests and releases the holds that are due.
func (c *Core) act(now time.Time) {
	asks := newAsks()
	for _, e := range c.engines {
		for _, h := range e.holds {
			c.judge(now, e, h, asks)
		}
	}
	c.ask(now, asks)
}

// judge does what is due for one hold.
func (c *Core) judge(now time.Time, e *engine, h *hold, asks *asks) {
	switch {
	case h.stage == stageVouched && now.Sub(h.vouched) >= AskEvery:
		c.askOne(now, h, asks)
	case h.stage == stageAsked && now.Sub(h.askedAt) >= AnswerWait:
		c.contest(now, h, asks)
	case h.stage == stageContested && now.Sub(h.since) >= Grace:
		c.askAll(now, h, asks)
	case h.stage == stageFinal:
		c.judgeFinal(now, e, h, asks)
	}
}

// judgeFinal releases a hold that all VMs have disowned after its grace. The
// VMs are asked anew while one is silent, because another may take the
// stream over.
func (c *Core) judgeFinal(now time.Time, e *engine, h *hold, asks *asks) {
	if len(h.waiting) == 0 && h.fresh(now) && !h.readLately(now, e) {
		c.release(now, e, h)
		return
	}
	if now.Sub(h.askedAt) < AnswerWait {
		return
	}
	if len(h.waiting) > 0 && c.silentTooLong(now, e, h) {
		c.release(now, e, h)
		return
	}
	if now.Sub(h.askedAt) >= AskEvery {
		c.askAll(now, h, asks)
	}
}

// fresh says that the questions are recent, so that what was answered still
// holds.
func (h *hold) fresh(now time.Time) bool {
	return now.Sub(h.askedAt) <= AnswerWait+PollEvery
}

// readLately says that somebody reads the stream: if all VMs have disowned
// it, one that isn't known to be live.
func (h *hold) readLately(now time.Time, e *engine) bool {
	return e.tellsRead && !h.read.IsZero() && now.Sub(h.readAt) < ReadLately
}

// silentTooLong says that nobody can be reading a hold whose VM is silent.
func (c *Core) silentTooLong(now time.Time, e *engine, h *hold) bool {
	patience := SilentLimit
	if e.tellsRead {
		patience = SilentGrace
	}
	return now.Sub(h.since) >= patience && now.Sub(h.readAt) >= patience
}

func (c *Core) release(now time.Time, e *engine, h *hold) {
	if !h.released.IsZero() && now.Sub(h.released) < ReleaseAgain {
		return
	}
	h.released = now
	c.emit(Release{Upstream: e.id, Incarnation: e.incarnation, Hold: h.id, Silent: h.waiting})
}
