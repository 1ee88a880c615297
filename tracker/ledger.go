package tracker

import (
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// Limits of what is learned from calls.
const (
	// SuspectFirst is the first time that a runner is passed over after a
	// call that got no answer; it doubles up to SuspectMost.
	SuspectFirst = 500 * time.Millisecond
	// SuspectMost bounds the time for which a runner that is back stays unused.
	SuspectMost = 2 * time.Second
	// FullFor is how long a refusal for want of room counts. A decode engine
	// of the stated sizes frees a request's memory about that often.
	FullFor = 60 * time.Millisecond
	// LapseFor is how long a prefill engine whose handles lapse at once is
	// used last.
	LapseFor = 3 * time.Second
	// failureWeight is the weight of one call in the mean of failures: the
	// last ten or so calls count.
	failureWeight = 0.1
	// latencyWeight is the weight of one call in the mean latency.
	latencyWeight = 0.1
)

// ledger is what this VM has in flight at a runner and has learned of it.
type ledger struct {
	// calls counts the calls in flight.
	calls int
	// reading is the prompt tokens that this VM has in the prefill queue.
	reading identifier.Tokens
	// holding is the decode memory that this VM's requests will fill.
	holding identifier.Tokens
	// failures is the mean of failed calls, from 0 to 1.
	failures float64
	// latency is the mean time of a call without its transport, zero at first.
	latency time.Duration
	// silences counts the calls without an answer since the last answer.
	silences int
	// suspectUntil, fullUntil and lapseUntil say how long a finding holds.
	suspectUntil time.Time
	fullUntil    time.Time
	// fullFrom is the size from which on a request found no room.
	fullFrom   identifier.Tokens
	lapseUntil time.Time
}

// Load is what one call puts on a runner until it ends.
type Load struct {
	// Reading is the prompt tokens that a prefill engine has to read.
	Reading identifier.Tokens
	// Holding is the memory of a decode engine, in tokens.
	Holding identifier.Tokens
}

// Began counts a call to a runner.
func (t *Tracker) Began(r Runner, load Load) {
	if u := t.same(r); u != nil {
		u.calls++
		u.reading += load.Reading
		u.holding += load.Holding
	}
}

// Ended takes a call back that Began has counted.
func (t *Tracker) Ended(r Runner, load Load) {
	if u := t.same(r); u != nil {
		u.calls--
		u.reading -= load.Reading
		u.holding -= load.Holding
	}
}

// Answered says that a runner has given an answer, failed or not.
func (t *Tracker) Answered(r Runner, isFailure bool, took time.Duration) []Change {
	u := t.same(r)
	if u == nil {
		return nil
	}
	u.fail(isFailure)
	if !isFailure && took > 0 {
		if u.latency == 0 {
			u.latency = took
		}
		u.latency += time.Duration(latencyWeight * float64(took-u.latency))
	}
	wasSuspect := !u.suspectUntil.IsZero()
	u.silences, u.suspectUntil = 0, time.Time{}
	if !wasSuspect {
		return nil
	}
	return []Change{Trusted{u.Runner}}
}

// Silent says that a call got no answer, or could not even be sent. The first
// call without an answer may have been a long one; the second in a row, one
// that could not be sent or one that takes no work makes the runner suspect.
func (t *Tracker) Silent(now time.Time, r Runner, mayBeLong bool, reason string) []Change {
	u := t.same(r)
	if u == nil {
		return nil
	}
	u.fail(true)
	u.silences++
	if mayBeLong && u.silences < 2 {
		return nil
	}
	pass := min(SuspectFirst<<min(u.silences-1, 8), SuspectMost)
	u.suspectUntil = now.Add(pass)
	return []Change{Suspected{u.Runner, u.suspectUntil, reason}}
}

// Full says that a runner had no room for some tokens at now; zero stands for
// a request of any size.
func (t *Tracker) Full(now time.Time, r Runner, tokens identifier.Tokens) {
	u := t.same(r)
	if u == nil {
		return
	}
	if now.Before(u.fullUntil) {
		tokens = min(tokens, u.fullFrom)
	}
	u.fullUntil, u.fullFrom = now.Add(FullFor), tokens
}

// Freed says that a request of this VM has left a runner, so that there may be
// room again.
func (t *Tracker) Freed(r Runner) {
	if u := t.same(r); u != nil {
		u.fullUntil = time.Time{}
	}
}

// Lapsed says that a handle of a prefill engine was gone before its time.
func (t *Tracker) Lapsed(now time.Time, r Runner) {
	if u := t.same(r); u != nil {
		u.lapseUntil = now.Add(LapseFor)
	}
}

// Misdirected says that another runner has the address.
func (t *Tracker) Misdirected(r Runner) []Change {
	u := t.same(r)
	if u == nil {
		return nil
	}
	t.drop(u)
	return []Change{Gone{u.Runner}}
}

// same returns the entry of a runner if it is still that start of it.
func (t *Tracker) same(r Runner) *upstream {
	u := t.upstreams[r.ID]
	if u == nil || u.Start != r.Start {
		return nil
	}
	return u
}

func (u *upstream) fail(isFailure bool) {
	value := 0.0
	if isFailure {
		value = 1
	}
	u.failures += failureWeight * (value - u.failures)
}
