// Package reclaimer frees engine memory that is held for requests which no
// longer exist.
//
// Core runs on the owner VM of a shard. It compares the holds that the engines
// list with those that the VMs use: a VM vouches for a hold that it uses and
// disowns any other. A hold that every VM disowns is released after Grace, within
// ReleaseWithin of the end of its use. A VM that doesn't answer may still run
// and only be unreachable, so its holds stay while their streams are read. Every
// answer refers to a numbered question that was asked after the hold was listed,
// so that a late answer can't disown a newer use.
//
// Canceller repeats the releases of one VM until they are acknowledged.
//
// An entry VM must vouch for a hold from before it sends the first order until
// the release was acknowledged or passed to a Canceller.
package reclaimer

import (
	"fmt"
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// Times of a Core.
const (
	// PollEvery is the interval between two listings of an engine.
	PollEvery = time.Second
	// AskEvery is the interval after which a VM must vouch for a hold again.
	AskEvery = 5 * time.Second
	// AnswerWait is how long after a question a VM without an answer counts as
	// silent.
	AnswerWait = 2 * time.Second
	// Grace is how long a hold is kept that no VM vouches for, so that a caller
	// can reconnect through another VM.
	Grace = 6 * time.Second
	// ReadRecency is how long a stream counts as in use after its last token was
	// read.
	ReadRecency = 3 * time.Second
	// SilentGrace is how long a stream that isn't read is kept while a VM that
	// may use it is silent.
	SilentGrace = 30 * time.Second
	// SilentLimit replaces SilentGrace for engines that don't report reads.
	SilentLimit = 10 * time.Minute
	// RepeatReleaseInterval is the interval after which a released hold that is
	// still listed is released again.
	RepeatReleaseInterval = 5 * time.Second
)

// Bounds of the time from the end of the last use of a hold to the order that
// releases it, for reachable engines.
const (
	// ReleaseWithin applies if all live VMs answer. It is the sum of a listing,
	// a question to one VM, a question to all VMs, the grace and another
	// question to all VMs.
	ReleaseWithin = PollEvery + AskEvery + AnswerWait + Grace + AnswerWait + PollEvery
	// ReleaseSilentWithin applies if a VM is silent and the engine reports
	// reads.
	ReleaseSilentWithin = ReleaseWithin + SilentGrace + AskEvery
	// ReleaseUnreadWithin applies if a VM is silent and the engine doesn't
	// report reads.
	ReleaseUnreadWithin = ReleaseWithin + SilentLimit + AskEvery
)

// Limits of a Core.
const (
	// MaxHolds is the maximum number of holds of one engine that are tracked;
	// further ones in a listing are ignored.
	MaxHolds = 4096
	// MaxHoldsPerQuestion is the maximum number of holds in one question.
	MaxHoldsPerQuestion = 256
	// MaxQuestions is the maximum number of unanswered questions.
	MaxQuestions = 8192
	// MaxVMs is the number of VMs with a known incarnation beyond which those
	// that aren't live are forgotten.
	MaxVMs = 1024
)

// Start identifies one start of a VM.
type Start struct {
	VM          identifier.VM
	Incarnation identifier.Incarnation
}

// Core finds the unused holds of one shard for its owner. Its state changes only
// in Step.
type Core struct {
	// engines are sorted by the time of their first listing.
	engines []*engine
	// live are the live VMs, which are asked about contested holds.
	live []identifier.VM
	// incarnations holds the highest incarnation seen of each VM. Earlier starts
	// of the VM have ended.
	incarnations map[identifier.VM]identifier.Incarnation
	// questions are the unanswered questions, oldest first.
	questions []question
	// rounds counts the questions; the count is the round of the last one.
	rounds uint64
	out    []Outcome
}

// engine is one engine with its last listing.
type engine struct {
	id          identifier.Upstream
	incarnation identifier.Incarnation
	// reportsReads is true if the engine reports when a stream was last read.
	reportsReads bool
	// holds are in the order of the listing.
	holds []*hold
}

// question is a set of holds that a VM is asked about.
type question struct {
	to identifier.VM
	// round is the number of the question.
	round uint64
	at    time.Time
	holds []*hold
}

// New returns a core without engines.
func New() *Core {
	return &Core{incarnations: map[identifier.VM]identifier.Incarnation{}}
}

// Step applies one event and returns what is to be done.
func (c *Core) Step(now time.Time, e Event) []Outcome {
	c.out = nil
	switch e := e.(type) {
	case Listed:
		c.applyListing(now, e)
	case Answered:
		c.handleAnswer(now, e)
	case VMsChanged:
		c.setLive(e.Live)
	case EngineGone:
		c.removeEngine(e.Upstream)
	case Wake:
	default:
		panic(fmt.Sprintf("reclaimer: event %T", e))
	}
	c.forgetQuestions(now)
	c.processHolds(now)
	return c.out
}

func (c *Core) emit(o Outcome) { c.out = append(c.out, o) }

// engineOf returns the engine with an ID and adds it if it is new.
func (c *Core) engineOf(id identifier.Upstream) *engine {
	for _, e := range c.engines {
		if e.id == id {
			return e
		}
	}
	e := &engine{id: id}
	c.engines = append(c.engines, e)
	return e
}

func (c *Core) removeEngine(id identifier.Upstream) {
	for i, e := range c.engines {
		if e.id == id {
			c.engines = append(c.engines[:i:i], c.engines[i+1:]...)
			return
		}
	}
}

// applyListing replaces the holds of an engine by its listing. An engine that was
// started again has lost its earlier holds.
func (c *Core) applyListing(now time.Time, l Listed) {
	e := c.engineOf(l.Upstream)
	if e.incarnation != l.Holds.Incarnation {
		e.holds = nil
	}
	e.incarnation, e.reportsReads = l.Holds.Incarnation, l.Holds.TellsRead
	known := make(map[identifier.Hold]*hold, len(e.holds))
	for _, h := range e.holds {
		known[h.id] = h
	}
	e.holds = e.holds[:0:0]
	for _, state := range l.Holds.Holds[:min(len(l.Holds.Holds), MaxHolds)] {
		h, ok := known[state.Hold]
		if !ok {
			h = &hold{id: state.Hold, likelyVM: state.Hold.VM, readChangedAt: now}
		}
		if !state.Read.Equal(h.lastRead) {
			h.lastRead, h.readChangedAt = state.Read, now
		}
		e.holds = append(e.holds, h)
	}
}

// processHolds takes the next step for all holds and sends the questions that
// result.
func (c *Core) processHolds(now time.Time) {
	asks := newQuestionBatch()
	for _, e := range c.engines {
		for _, h := range e.holds {
			c.processHold(now, e, h, asks)
		}
	}
	c.sendQuestions(now, asks)
}

// processHold takes the next step for one hold if it is due.
func (c *Core) processHold(now time.Time, e *engine, h *hold, asks *questionBatch) {
	switch {
	case h.stage == stageVouched && now.Sub(h.vouchedAt) >= AskEvery:
		c.askOne(now, h, asks)
	case h.stage == stageAsked && now.Sub(h.askedAt) >= AnswerWait:
		c.contest(now, h, asks)
	case h.stage == stageContested && now.Sub(h.contestedAt) >= Grace:
		c.askAll(now, h, asks)
	case h.stage == stageFinal:
		c.processFinal(now, e, h, asks)
	}
}

// processFinal releases a hold that all VMs have disowned after its grace. While
// a VM is silent all are asked again, because another one may have taken the
// stream over.
func (c *Core) processFinal(now time.Time, e *engine, h *hold, asks *questionBatch) {
	if len(h.waiting) == 0 && h.hasRecentAnswers(now) && !h.wasReadRecently(now, e) {
		c.release(now, e, h)
		return
	}
	if now.Sub(h.askedAt) < AnswerWait {
		return
	}
	if len(h.waiting) > 0 && c.isSilentTooLong(now, e, h) {
		c.release(now, e, h)
		return
	}
	if now.Sub(h.askedAt) >= AskEvery {
		c.askAll(now, h, asks)
	}
}

// hasRecentAnswers reports whether the questions of stageFinal are recent enough
// for their answers to be still valid.
func (h *hold) hasRecentAnswers(now time.Time) bool {
	return now.Sub(h.askedAt) <= AnswerWait+PollEvery
}

// wasReadRecently reports whether the stream is being read. If all asked VMs have
// disowned it, the reader is a VM that isn't known to be live.
func (h *hold) wasReadRecently(now time.Time, e *engine) bool {
	return e.reportsReads && !h.lastRead.IsZero() && now.Sub(h.readChangedAt) < ReadRecency
}

// isSilentTooLong reports whether a hold with a silent VM was contested and unread
// for so long that it can't be in use.
func (c *Core) isSilentTooLong(now time.Time, e *engine, h *hold) bool {
	patience := SilentLimit
	if e.reportsReads {
		patience = SilentGrace
	}
	return now.Sub(h.contestedAt) >= patience && now.Sub(h.readChangedAt) >= patience
}

// release emits a Release unless the last one is more recent than
// RepeatReleaseInterval.
func (c *Core) release(now time.Time, e *engine, h *hold) {
	if !h.releasedAt.IsZero() && now.Sub(h.releasedAt) < RepeatReleaseInterval {
		return
	}
	h.releasedAt = now
	c.emit(Release{Upstream: e.id, Incarnation: e.incarnation, Hold: h.id, Silent: h.waiting})
}
