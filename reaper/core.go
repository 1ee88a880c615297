package reaper

import (
	"fmt"
	"time"
)

// noTimeoutCheckInterval is the interval at which idle connections without a timeout
// are checked for a new one.
const noTimeoutCheckInterval = 10 * time.Second

// lateReadTime is the time for the rest of a request that had arrived when its deadline was
// found to have passed.
const lateReadTime = 100 * time.Millisecond

// abortAge tells a deadline by which net/http ends a read at once, long ago, from one that
// has passed while the process stood still.
const abortAge = time.Hour

// past is a deadline that fails reads at once.
var past = time.Unix(1, 0)

// core decides when the reads of one connection fail. It changes only in Step and performs
// no I/O.
type core struct {
	// headerTimeout bounds the time from the first byte of a request to the end of its
	// header. It may change between two events.
	headerTimeout time.Duration
	// headerDeadline is when the header that is being read has to be complete; zero while
	// none is.
	headerDeadline time.Time
	// isBusy is true from the first byte of a request to the end of its answer.
	isBusy bool
	// isReading is true from the begin of a read until what it has read is recorded.
	isReading bool
	// isIdle is true from the end of an answer until the first byte of the next request
	// is read, and not while isBusy.
	isIdle bool
	// idleSince is when the idle time began, if isIdle.
	idleSince time.Time
	// hasBegun is true once the first byte of the first request was read.
	hasBegun bool
	// isExpired is true while a read deadline in the past ends the connection. It is
	// false while isBusy.
	isExpired bool
	// isEarly is true after a request whose first bytes were read before the end of the
	// answer to the one before it, until net/http waits for the rest.
	isEarly bool
	// isDraining and isStopped are true once the connection ends when it is idle, and
	// once no further request begins on it.
	isDraining, isStopped bool
	// isAborting is true while net/http has set a deadline long ago, to end a read.
	isAborting bool
	// hasReadLate is true after readLate, until the next deadline.
	hasReadLate bool
	out         []outcome
}

// event is an input of the core. The set of events is sealed.
type event interface{ event() }

type (
	// readBegun reports that a read begins.
	readBegun struct{}
	// readEnded reports that a read has returned n bytes.
	readEnded struct{ n int }
	// readLate reports that bytes were read which had arrived when the deadline was found to
	// have passed; readEnded follows.
	readLate struct{}
	// deadlineSet reports the read deadline that net/http sets; zero for none.
	deadlineSet struct{ at time.Time }
	// requestBegun reports that the header of a request was read.
	requestBegun struct{}
	// answerEnded reports that an answer was written. hasNext is true if a byte of the next
	// request was read.
	answerEnded struct {
		hasNext     bool
		idleTimeout time.Duration
	}
	// evicted reports that an idle connection is to end, to make room.
	evicted struct{}
	// timerFired reports that the time of startTimer has passed.
	timerFired struct{ idleTimeout time.Duration }
	// drained reports that idle connections are to end.
	drained struct{}
	// stopped reports that no further request is to begin.
	stopped struct{}
	// closed reports that the connection has ended.
	closed struct{}
)

func (readBegun) event()    {}
func (readEnded) event()    {}
func (readLate) event()     {}
func (deadlineSet) event()  {}
func (requestBegun) event() {}
func (answerEnded) event()  {}
func (timerFired) event()   {}
func (drained) event()      {}
func (evicted) event()      {}
func (stopped) event()      {}
func (closed) event()       {}

// outcome is a decision of the core, which its caller carries out before the next event. The
// set of outcomes is sealed.
type outcome interface{ outcome() }

type (
	// setDeadline sets the read deadline; zero for none.
	setDeadline struct{ at time.Time }
	// startTimer starts the timer anew.
	startTimer struct{ after time.Duration }
	// stopTimer stops the timer.
	stopTimer struct{}
)

func (setDeadline) outcome() {}
func (startTimer) outcome()  {}
func (stopTimer) outcome()   {}

// Step handles an event that occurs at now and returns the resulting outcomes.
func (c *core) Step(now time.Time, e event) []outcome {
	c.out = c.out[:0]
	switch e := e.(type) {
	case readBegun:
		c.isReading = true
		if c.isStopped && !c.isBusy {
			c.failReads()
		}
	case readEnded:
		c.isReading = false
		if e.n > 0 {
			// net/http bounds the header of a request only after its fourth byte.
			c.beginRequest(now.Add(c.headerTimeout))
		}
	case readLate:
		c.hasReadLate = true
		c.emit(setDeadline{now.Add(lateReadTime)})
	case deadlineSet:
		c.setDeadline(now, e.at)
	case requestBegun:
		c.beginRequest(time.Time{})
	case answerEnded:
		c.endAnswer(now, e)
	case timerFired:
		if c.isIdle && !c.isExpired {
			c.endOrWait(now, e.idleTimeout)
		}
	case evicted:
		if c.isIdle {
			c.failReads()
		}
	case drained:
		c.isDraining = true
		if c.isIdle {
			c.failReads()
		}
	case stopped:
		c.isStopped = true
		if !c.isBusy {
			c.failReads()
		}
	case closed:
		c.isBusy, c.isReading, c.isIdle = false, false, false
		c.emit(stopTimer{})
	default:
		panic(fmt.Sprintf("reaper: unknown event %T", e))
	}
	return c.out
}

func (c *core) emit(o outcome) { c.out = append(c.out, o) }

// failReads sets a read deadline in the past. It fails the read that waits for a request
// and leaves what arrives afterwards unread. A close from here could hit a request that
// was read already.
func (c *core) failReads() {
	c.isExpired = true
	c.emit(setDeadline{past})
}

// beginRequest sets the read deadline for what follows if the connection was new, idle or
// expired.
func (c *core) beginRequest(deadline time.Time) {
	c.isBusy = true
	if c.hasBegun && !c.isIdle && !c.isExpired {
		return
	}
	c.hasBegun, c.isIdle, c.isExpired, c.hasReadLate = true, false, false, false
	c.headerDeadline = deadline
	c.emit(stopTimer{})
	c.emit(setDeadline{deadline})
}

// setDeadline handles a deadline of net/http. It sets none for an idle connection, which
// must not revive one that is expired.
func (c *core) setDeadline(now, at time.Time) {
	if c.isExpired {
		return
	}
	switch {
	case c.isEarly && at.IsZero():
		at = now.Add(c.headerTimeout)
		c.headerDeadline = at
	case at.IsZero():
		c.headerDeadline = at
	case !c.hasBegun && at.Sub(now) > c.headerTimeout:
		at = now.Add(c.headerTimeout)
	case !c.headerDeadline.IsZero() && at.After(c.headerDeadline):
		at = c.headerDeadline // The header timeout of net/http doesn't change.
	}
	c.isEarly, c.hasReadLate = false, false
	c.isAborting = !at.IsZero() && now.Sub(at) > abortAge
	c.emit(setDeadline{at})
}

// endAnswer begins the idle time unless a byte of the next request was read: net/http reads
// a byte ahead while it serves a request.
func (c *core) endAnswer(now time.Time, e answerEnded) {
	if e.hasNext {
		c.isEarly = true
		return
	}
	c.isBusy, c.isIdle, c.idleSince = false, true, now
	if c.isDraining || c.isStopped {
		c.failReads()
		return
	}
	c.endOrWait(now, e.idleTimeout)
}

// endOrWait ends the idle connection, or starts the timer if its timeout hasn't passed.
// A timeout that has become longer holds for it, too, as callers go by the newest one.
func (c *core) endOrWait(now time.Time, idleTimeout time.Duration) {
	wait := noTimeoutCheckInterval
	if idleTimeout > 0 {
		wait = c.idleSince.Add(idleTimeout).Sub(now)
	}
	if wait <= 0 {
		c.failReads()
		return
	}
	c.emit(startTimer{wait})
}

// mayReadLate reports whether bytes that have arrived may be read though the deadline has
// passed. A process that stood still, or had no processor time, finds that its deadlines
// have passed before it has read what came in time.
func (c *core) mayReadLate() bool {
	return !c.hasReadLate && !c.isAborting && (c.isBusy || !c.isStopped)
}

// isUnsettled reports whether a request has begun, or may have.
func (c *core) isUnsettled() bool { return c.isBusy || c.isStopped && c.isReading }
