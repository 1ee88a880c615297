package syncer

import (
	"time"

	"github.com/figtrack/figtrack/configurer"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/keeper"
)

// pendingSubmit is a queued change. Only the first of the queue makes store calls.
type pendingSubmit struct {
	Submit
	// deadline is set when the change becomes first in the queue.
	deadline time.Time
	retryAt  time.Time
	failures int
	// lostRaces counts the swaps that failed on an outdated version, up to
	// MaxCountedRaces.
	lostRaces int
	// swapPending is true while a swap is in progress.
	swapPending bool
	// uncertain is true once a swap failed that may have taken effect.
	uncertain bool
	// needsRead is true if the store must be read before the next swap.
	needsRead bool
}

// queueSubmit queues a change, or reports ResultBusy if the queue is full.
func (c *Core) queueSubmit(e Submit) {
	if len(c.submits) >= MaxQueuedSubmits {
		c.emit(SubmitEnded{Token: e.Token, Result: ResultBusy})
		return
	}
	c.submits = append(c.submits, &pendingSubmit{Submit: e})
}

// advanceSubmits makes the next call of the first change in the queue, or ends
// it and goes on to the next change.
func (c *Core) advanceSubmits(now time.Time) {
	for len(c.submits) > 0 {
		s := c.submits[0]
		if s.deadline.IsZero() {
			s.deadline = now.Add(SubmitTimeout)
			s.needsRead = !c.versionKnown
		}
		if s.swapPending || c.writingBack {
			return
		}
		if !now.Before(s.deadline) {
			c.expireSubmit(s)
			continue
		}
		if now.Before(s.retryAt) || !c.trySubmit(now, s) {
			return
		}
	}
}

// trySubmit makes the next store call of a change, or ends the change if it needs
// none. It reports whether the change has ended.
func (c *Core) trySubmit(now time.Time, s *pendingSubmit) bool {
	if s.needsRead {
		c.requestRead(now)
		return false
	}
	if c.document.HasAccepted(s.Change.ID) {
		c.acceptSubmit(now, s)
		return true
	}
	next, conflict := configurer.ApplyChange(c.document, s.Change)
	if conflict != nil {
		c.endSubmit(SubmitEnded{Token: s.Token, Result: ResultConflict, Conflict: conflict})
		return true
	}
	value, err := configurer.Encode(next)
	if err != nil {
		c.endSubmit(SubmitEnded{Token: s.Token, Result: ResultConflict, Conflict: documentTooLarge(err)})
		return true
	}
	s.swapPending = true
	c.emit(SwapStore{Expected: c.version, Value: value})
	return false
}

func documentTooLarge(err error) *configurer.Conflict {
	return &configurer.Conflict{
		Kind: configurer.ConflictInvalid, Field: "Document", Theirs: err.Error(),
		Next: "remove retired upstreams or unused classes first",
	}
}

// requestRead makes the next read due now.
func (c *Core) requestRead(now time.Time) {
	if c.poll.readAt.After(now) {
		c.poll.readAt = now
	}
}

// resumeSubmit lets the first change continue after a successful read.
func (c *Core) resumeSubmit(now time.Time) {
	if len(c.submits) == 0 {
		return
	}
	s := c.submits[0]
	s.needsRead = false
	s.retryAt = now
}

// retrySubmitRead schedules another read for the first change after a failed one.
func (c *Core) retrySubmitRead(now time.Time) {
	if len(c.submits) > 0 && c.submits[0].needsRead {
		c.scheduleSubmitRetry(now, c.submits[0])
	}
}

// scheduleSubmitRetry schedules a retry of a change, which starts with a read.
func (c *Core) scheduleSubmitRetry(now time.Time, s *pendingSubmit) {
	s.needsRead = true
	s.failures++
	s.retryAt = now.Add(c.backoff(SubmitBackoff, WatcherPollInterval, s.failures))
}

// handleStoreSwapped handles the result of a swap. If the swap was not written or
// its reply was lost, an earlier attempt may still have taken effect; the
// document then contains the ID of the change.
func (c *Core) handleStoreSwapped(now time.Time, e StoreSwapped) {
	if c.writingBack {
		c.handleWriteBack(now, e)
		return
	}
	if len(c.submits) == 0 || !c.submits[0].swapPending {
		return
	}
	s := c.submits[0]
	s.swapPending = false
	switch {
	case e.Err != nil:
		s.uncertain = s.uncertain || mayHaveTakenEffect(e.Err)
		c.scheduleSubmitRetry(now, s)
	case !e.Written:
		s.retryAt = now.Add(SubmitBackoff * time.Duration(s.lostRaces) * c.randomBelow(time.Second) / time.Second)
		s.lostRaces = min(s.lostRaces+1, MaxCountedRaces)
		c.applyStored(now, e.Entry)
	default:
		c.applyWritten(now, e.Entry)
	}
}

func mayHaveTakenEffect(err error) bool {
	return keeper.KindOf(err) == keeper.KindUnknown
}

// applyWritten applies a document that this VM wrote to the store.
func (c *Core) applyWritten(now time.Time, e keeper.Entry) {
	c.versionKnown = true
	c.version = e.Version
	d, err := configurer.Decode(e.Value)
	if err != nil {
		c.emit(Rejected{Err: err})
		return
	}
	c.submits[0].retryAt = now
	c.applyIfNewer(d, e.Value, OriginSubmit)
}

// acceptSubmit reports a change that the document in force contains, and spreads
// the document.
func (c *Core) acceptSubmit(now time.Time, s *pendingSubmit) {
	c.endSubmit(SubmitEnded{Token: s.Token, Result: ResultAccepted, Revision: c.document.Revision})
	c.spreadAt = time.Time{}
	id := c.startSpread(now)
	if s.Wait {
		c.trackRollout(now, s.Token, id)
	}
}

// expireSubmit ends a change that has reached its deadline.
func (c *Core) expireSubmit(s *pendingSubmit) {
	result := ResultStoreDown
	if s.uncertain {
		result = ResultUnknown
	}
	c.endSubmit(SubmitEnded{Token: s.Token, Result: result})
}

func (c *Core) endSubmit(o SubmitEnded) {
	c.submits = c.submits[1:]
	c.emit(o)
}

// nextSubmitWake returns the next time at which the first change is due, or zero
// if it waits for a swap or there is none.
func (c *Core) nextSubmitWake() time.Time {
	if len(c.submits) == 0 || c.submits[0].swapPending || c.writingBack {
		return time.Time{}
	}
	s := c.submits[0]
	if s.retryAt.After(s.deadline) || (s.needsRead && c.poll.readPending) {
		return s.deadline
	}
	return s.retryAt
}

// revisionOf returns the revision of an encoded document, or 0 if it cannot be
// decoded.
func revisionOf(value []byte) identifier.Revision {
	d, err := configurer.Decode(value)
	if err != nil {
		return 0
	}
	return d.Revision
}
