package tracker

import (
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// Limits of what is learned from the results of calls.
const (
	// FirstSuspectTime is how long a runner stays suspected after a call
	// without an answer; it doubles with each further one up to MaxSuspectTime.
	FirstSuspectTime = 500 * time.Millisecond
	// MaxSuspectTime bounds how long a runner that has recovered stays unused.
	MaxSuspectTime = 2 * time.Second
	// FullFor is how long an engine counts as full after it refused a call for
	// lack of room. In the specified fleets a decode engine frees the memory of a
	// request about that often.
	FullFor = 60 * time.Millisecond
	// DroppedHandlePenalty is how long a prefill engine is the last choice after
	// it dropped a handle before its time.
	DroppedHandlePenalty = 3 * time.Second
	// failureWeight is the weight of the latest call in the moving average of
	// failures, which covers about the last ten calls.
	failureWeight = 0.1
	// latencyWeight is the weight of the latest call in the moving average of
	// the latency.
	latencyWeight = 0.1
)

// ledger is what this VM has in flight at a runner and what it has learned from
// earlier calls.
type ledger struct {
	// calls counts the calls in flight.
	calls int
	// prefillTokens is the number of prompt tokens that this VM has in the
	// engine's prefill queue.
	prefillTokens identifier.Tokens
	// decodeTokens is the decode memory that this VM's requests occupy when they
	// are complete, in tokens.
	decodeTokens identifier.Tokens
	// failures is the moving average of the share of failed calls, from 0 to 1.
	failures float64
	// latency is the moving average of the duration of a call without its
	// transport; zero before the first one.
	latency time.Duration
	// unanswered counts the calls without an answer since the last answer.
	unanswered int
	// suspectUntil, fullUntil and droppedHandleUntil are when the runner stops
	// being treated as suspected, as full and as dropping handles.
	suspectUntil time.Time
	fullUntil    time.Time
	// smallestRefused is the smallest request size that was refused; valid until
	// fullUntil.
	smallestRefused    identifier.Tokens
	droppedHandleUntil time.Time
	pause
}

// Load is the load of one call on a runner until the call ends.
type Load struct {
	// PrefillTokens is the number of prompt tokens to prefill.
	PrefillTokens identifier.Tokens
	// DecodeTokens is the memory needed on a decode engine, in tokens.
	DecodeTokens identifier.Tokens
}

// BeginCall adds the load of a call to a runner. EndCall must follow.
func (t *Tracker) BeginCall(r Runner, load Load) {
	if u := t.current(r); u != nil {
		u.calls++
		u.prefillTokens += load.PrefillTokens
		u.decodeTokens += load.DecodeTokens
	}
}

// EndCall removes the load of a call that BeginCall has added.
func (t *Tracker) EndCall(r Runner, load Load) {
	if u := t.current(r); u != nil {
		u.calls--
		u.prefillTokens -= load.PrefillTokens
		u.decodeTokens -= load.DecodeTokens
	}
}

// RecordAnswer records that a runner has answered a call, with a failure or
// not. A suspected runner is trusted again. took is the call's duration without
// its transport; zero if it wasn't measured.
func (t *Tracker) RecordAnswer(r Runner, isFailure bool, took time.Duration) []Change {
	u := t.current(r)
	if u == nil {
		return nil
	}
	u.updateFailures(isFailure)
	if !isFailure && took > 0 {
		if u.latency == 0 {
			u.latency = took
		}
		u.latency += time.Duration(latencyWeight * float64(took-u.latency))
	}
	wasSuspect := !u.suspectUntil.IsZero()
	u.unanswered, u.suspectUntil = 0, time.Time{}
	if !wasSuspect {
		return nil
	}
	return []Change{Trusted{u.Runner}}
}

// RecordNoAnswer records that a call got no answer or could not be sent. The
// runner becomes suspected, except after the first unanswered call in a row if
// mayBeLong: that call may just have taken longer than the caller waited.
func (t *Tracker) RecordNoAnswer(now time.Time, r Runner, mayBeLong bool, reason string) []Change {
	u := t.current(r)
	if u == nil {
		return nil
	}
	u.updateFailures(true)
	u.unanswered++
	if mayBeLong && u.unanswered < 2 {
		return nil
	}
	pause := min(FirstSuspectTime<<min(u.unanswered-1, 8), MaxSuspectTime)
	u.suspectUntil = now.Add(pause)
	return []Change{Suspected{u.Runner, u.suspectUntil, reason}}
}

// RecordFull records that a runner had no room for a request of a size in tokens;
// zero means that it had no room for any size.
func (t *Tracker) RecordFull(now time.Time, r Runner, tokens identifier.Tokens) {
	u := t.current(r)
	if u == nil {
		return
	}
	if tokens > 0 {
		t.recordRefused(now, u, tokens)
	}
	if now.Before(u.fullUntil) {
		tokens = min(tokens, u.smallestRefused)
	}
	u.fullUntil, u.smallestRefused = now.Add(FullFor), tokens
}

// RecordFreed records that a request of this VM has left a runner, which then no
// longer counts as full.
func (t *Tracker) RecordFreed(r Runner) {
	if u := t.current(r); u != nil {
		u.fullUntil = time.Time{}
	}
}

// RecordDroppedHandle records that a prefill engine dropped a handle before its
// time.
func (t *Tracker) RecordDroppedHandle(now time.Time, r Runner) {
	if u := t.current(r); u != nil {
		u.droppedHandleUntil = now.Add(DroppedHandlePenalty)
	}
}

// RecordLeaving records that a runner has said in an answer that it leaves. That
// holds for this start of the runner, whatever its entry says.
func (t *Tracker) RecordLeaving(r Runner) []Change {
	u := t.current(r)
	if u == nil || u.Leaving {
		return nil
	}
	u.Leaving = true
	return []Change{Left{u.Runner, LeavingByAnswer}}
}

// RemoveMisdirected removes a runner whose address now belongs to another one.
func (t *Tracker) RemoveMisdirected(r Runner) []Change {
	u := t.current(r)
	if u == nil {
		return nil
	}
	t.remove(u)
	return []Change{Gone{u.Runner}}
}

// current returns the entry of a runner, or nil if the runner is unknown or was
// started again since.
func (t *Tracker) current(r Runner) *upstream {
	u := t.upstreams[r.ID]
	if u == nil || u.Start != r.Start {
		return nil
	}
	return u
}

// updateFailures adds the result of one call to the moving average.
func (u *upstream) updateFailures(isFailure bool) {
	value := 0.0
	if isFailure {
		value = 1
	}
	u.failures += failureWeight * (value - u.failures)
}
