// Package accounter tells from the logs of VMs what became of each request and,
// for those that were not answered in time, which step took the time or which
// decision ended them.
package accounter

import (
	"slices"
	"time"

	"github.com/figtrack/figtrack/explainer"
	"github.com/figtrack/figtrack/identifier"
)

// Cause is what became of a request: InTime, or why it was not in time.
type Cause string

// The causes. Those from MemoryWait to Pause are of answers that came late, the
// others of requests without an answer.
const (
	InTime Cause = "InTime"
	// MemoryWait is the wait for an engine with room, including refused calls.
	MemoryWait Cause = "MemoryWait"
	// PrefillQueue is the time at prefill engines.
	PrefillQueue Cause = "PrefillQueue"
	// FirstToken is the time from the call to a decode engine, or to a plain
	// service, to its first byte: the transfer of the KV cache and the queue there.
	FirstToken Cause = "FirstToken"
	// Repeated is a late answer of which more than one run was needed.
	Repeated Cause = "Repeated"
	// Pause is a stream with a longer pause than its route allows: it was
	// preempted, or its runner or a link stood still.
	Pause Cause = "Pause"

	// NoRoom: each engine that was asked was full.
	NoRoom Cause = "NoRoom"
	// NoRunner: the view had no usable runner.
	NoRunner Cause = "NoRunner"
	// BudgetEmpty: the retry budget or the route's attempts were used up.
	BudgetEmpty Cause = "BudgetEmpty"
	// ViewTooOld: the VM had no configuration or couldn't rely on it.
	ViewTooOld Cause = "ViewTooOld"
	// RunnerFailed: the runner itself answered with a failure.
	RunnerFailed Cause = "RunnerFailed"
	// RunnerLost: the runner's answer broke off or never came.
	RunnerLost Cause = "RunnerLost"
	// Blocked: engines crash on a trait of the request.
	Blocked Cause = "Blocked"
	// OverQuota: the request's workspace had used up its quota.
	OverQuota Cause = "OverQuota"
	// Timeout: the deadline or the route's timeout passed first.
	Timeout Cause = "Timeout"
	// CallerLeft: the caller closed its connection before the end.
	CallerLeft Cause = "CallerLeft"
	// Panicked: the VM's handler of the request panicked.
	Panicked Cause = "Panicked"
	// VMStopped: the log of the VM has no last line of the request.
	VMStopped Cause = "VMStopped"
)

// Causes are all causes in the order of tables.
var Causes = []Cause{
	InTime, MemoryWait, PrefillQueue, FirstToken, Repeated, Pause,
	NoRoom, NoRunner, BudgetEmpty, ViewTooOld, RunnerFailed, RunnerLost, Blocked, OverQuota, Timeout, CallerLeft, Panicked, VMStopped,
}

// Request is the account of one request, as one VM handled it.
type Request struct {
	ID         identifier.Request
	VM         identifier.VM
	DataCentre identifier.DataCentre
	Route      string
	// Workspace is empty if the request has none.
	Workspace identifier.Workspace
	// Input is the number of prompt tokens; zero for a plain service.
	Input identifier.Tokens
	// ArrivedAt is the time of arrival by the VM's clock, corrected for jumps.
	ArrivedAt time.Time
	Cause     Cause
	// Memory, Prefill and Run are the times of the calls that ask for memory, that
	// prefill and that run the request until its first byte.
	Memory, Prefill, Run time.Duration

	target, gap time.Duration
}

// Read reads the logs of VMs and returns the account of each request that
// matched a route, in the order of arrival.
func Read(entries []explainer.Entry) []Request {
	centres := map[string]identifier.DataCentre{}
	open := map[openKey]*Request{}
	var all []*Request
	for _, e := range entries {
		key := openKey{e.VM, e.Request}
		switch {
		case e.Message == "Started":
			centres[e.VM] = identifier.DataCentre(e.DataCentre)
		case e.Message == "Arrived":
			r := &Request{
				ID: identifier.Request(e.Request), VM: identifier.VM(e.VM), DataCentre: centres[e.VM],
				Route: e.Route, Workspace: identifier.Workspace(e.Workspace), Input: identifier.Tokens(e.Input), ArrivedAt: e.At, Cause: VMStopped,
				target: milliseconds(e.Target), gap: milliseconds(e.Gap),
			}
			open[key] = r
			all = append(all, r)
		case open[key] != nil:
			if open[key].apply(e) {
				delete(open, key)
			}
		}
	}
	out := make([]Request, 0, len(all))
	for _, r := range all {
		out = append(out, *r)
	}
	slices.SortStableFunc(out, func(a, b Request) int { return a.ArrivedAt.Compare(b.ArrivedAt) })
	return out
}

// openKey identifies a request at one VM: a caller may send an id to two.
type openKey struct{ vm, request string }

// apply updates the account by a line of the request, and reports whether it is the
// last one.
func (r *Request) apply(e explainer.Entry) bool {
	switch e.Message {
	case "Called":
		took := milliseconds(e.Took)
		switch e.Call {
		case "Reserve":
			r.Memory += took
		case "Prefill":
			r.Prefill += took
		case "Run":
			r.Run += took
		}
		return false
	case "Answered":
		r.Cause = r.causeOfAnswer(e)
	case "NotRun":
		r.Cause = causeOfRefusal(e.Reason)
	case "OverQuota":
		r.Cause = OverQuota
	case "Unknown", "Broken":
		r.Cause = RunnerLost
		if e.Reason == "Timeout" {
			r.Cause = Timeout
		}
	case "Abandoned":
		r.Cause = CallerLeft
	case "Panicked":
		r.Cause = Panicked
	default:
		return false
	}
	return true
}

// causeOfAnswer returns InTime or the step that took the longest time.
func (r *Request) causeOfAnswer(e explainer.Entry) Cause {
	isLate := r.target > 0 && milliseconds(e.First) > r.target
	hasPause := r.gap > 0 && milliseconds(e.LongestGap) > r.gap
	switch {
	case e.Status < 200 || e.Status >= 300:
		return RunnerFailed
	case !isLate && !hasPause:
		return InTime
	case e.Runs > 1:
		return Repeated
	case !isLate:
		return Pause
	case r.Memory >= r.Prefill && r.Memory >= r.Run:
		return MemoryWait
	case r.Prefill >= r.Run:
		return PrefillQueue
	default:
		return FirstToken
	}
}

func causeOfRefusal(reason string) Cause {
	switch reason {
	case "NoMemory", "Busy", "Throttled":
		return NoRoom
	case "NoRunner", "Paused", "RateReached", "SoftwareGone":
		return NoRunner
	case "RetryBudget", "Attempts":
		return BudgetEmpty
	case "NotReady", "OldView":
		return ViewTooOld
	case "AnswerLost", "UnmarkedRefusal":
		return RunnerLost
	case "Blocked":
		return Blocked
	default:
		return Timeout
	}
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
