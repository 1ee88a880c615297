package attempter

import (
	"time"

	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/tracker"
)

// Hold identifies memory and a slot that a decode engine reserves for a
// request.
type Hold string

// Handle identifies a KV cache that a prefill engine keeps for a request.
type Handle string

// Source is the prefill engine from which a decode engine fetches a KV cache.
type Source struct {
	Runner tracker.Runner
	Handle Handle
}

// Event is an input of Core.Step: the result of the last outcome, the expiry of
// the request's deadline, or the disconnection of its caller. The set is sealed.
type Event interface{ event() }

// Begin starts the request.
type Begin struct{}

// Reserved reports that the decode engine has reserved memory.
type Reserved struct{ Hold Hold }

// Prefilled reports that a prefill engine has computed the prefill and keeps its
// KV cache.
type Prefilled struct{ Handle Handle }

// Failed reports that the last call to a runner failed.
type Failed struct{ Kind driver.Kind }

// Answered reports that the head of a runner's answer has arrived.
type Answered struct{ Status int }

// Unmarked reports that the head of an answer has arrived by which callers would take the
// request for not run, though the runner has not stated that.
type Unmarked struct{ Status int }

// Overdue reports that a run has no head of an answer after the Limit of its Run, or
// after the For of the last Await.
type Overdue struct{}

// Broken reports that an answer broke off while it was passed on to the
// caller.
type Broken struct {
	// LastEvent is the id of the last event that the caller has; empty if it
	// has none.
	LastEvent string
	// Begun is true if the caller has the head of an answer.
	Begun bool
}

// Rested reports that the pause of a Rest is over.
type Rested struct{}

// Expired reports that the request's deadline has passed.
type Expired struct {
	// Begun is true if the caller has the head of an answer.
	Begun bool
}

// Abandoned reports that the caller has closed its connection.
type Abandoned struct{}

func (Begin) event()     {}
func (Reserved) event()  {}
func (Prefilled) event() {}
func (Failed) event()    {}
func (Answered) event()  {}
func (Unmarked) event()  {}
func (Overdue) event()   {}
func (Broken) event()    {}
func (Rested) event()    {}
func (Expired) event()   {}
func (Abandoned) event() {}

// Outcome is an action that Core.Step asks of the shell. The set is sealed.
type Outcome interface{ outcome() }

// Reserve asks a decode engine to reserve memory and a slot.
type Reserve struct {
	To     tracker.Runner
	Tokens identifier.Tokens
	For    time.Duration
}

// Shrink releases a hold and reserves less memory on the same engine.
type Shrink struct {
	Hold Hold
	Reserve
}

// Prefill sends the request to a prefill engine.
type Prefill struct {
	To tracker.Runner
	// Limit is the timeout of the call.
	Limit time.Duration
}

// Run sends the request to the runner that answers it.
type Run struct {
	To tracker.Runner
	// Source is nil if the runner computes the prefill itself.
	Source *Source
	// Hold is empty if no memory is reserved.
	Hold Hold
	// After is the id of the last event that the caller has.
	After string
	// Limit is the time without the head of an answer after which Overdue is
	// expected; zero for never.
	Limit time.Duration
	// IsProbe is true if the request runs though its traits are blocked.
	IsProbe bool
}

// Await lets an overdue run go on and asks for Overdue again after For.
type Await struct{ For time.Duration }

// Withdraw cancels an overdue run, which then ends by its own event.
type Withdraw struct{}

// Rest asks for a pause before the next attempt to reserve memory.
type Rest struct{ For time.Duration }

// Deliver passes the runner's answer on to the caller.
type Deliver struct{}

// Release releases a hold.
type Release struct {
	To   tracker.Runner
	Hold Hold
}

// Discard frees a KV cache that no run will use.
type Discard struct{ Source Source }

// Refuse ends the request, which has not run.
type Refuse struct {
	Reason Reason
	// After is the time after which the caller may try again; zero if none is
	// left.
	After time.Duration
}

// Fail ends the request, which may have run.
type Fail struct {
	Reason Reason
	// Late is true if the request's deadline has passed.
	Late bool
}

// Break ends an answer of which the caller has a part and which can't be
// completed.
type Break struct{ Reason Reason }

func (Reserve) outcome()  {}
func (Prefill) outcome()  {}
func (Run) outcome()      {}
func (Await) outcome()    {}
func (Withdraw) outcome() {}
func (Rest) outcome()     {}
func (Deliver) outcome()  {}
func (Release) outcome()  {}
func (Discard) outcome()  {}
func (Refuse) outcome()   {}
func (Fail) outcome()     {}
func (Break) outcome()    {}

// Reason is the cause of a request's end in logs and metrics.
type Reason string

// The reasons.
const (
	// ReasonNoRunner means that the pool has no usable runner.
	ReasonNoRunner Reason = "NoRunner"
	// ReasonNoMemory means that no decode engine had room before the wait for
	// memory ended.
	ReasonNoMemory Reason = "NoMemory"
	// ReasonSoftware means that no runner serves of the version that began the stream.
	ReasonSoftware Reason = "SoftwareGone"
	// ReasonBusy means that the request was sent MaxSends times and the last
	// runner refused it.
	ReasonBusy Reason = "Busy"
	// ReasonPaused means that all runners of the pool asked for a pause.
	ReasonPaused Reason = "Paused"
	// ReasonRate means that this VM has sent the pool's runners all that their rates
	// allow.
	ReasonRate Reason = "RateReached"
	// ReasonThrottled means that the pool's plain services lately rejected too many calls,
	// so that the request was not sent.
	ReasonThrottled Reason = "Throttled"
	// ReasonBudget means that the retry budget allows no further send.
	ReasonBudget Reason = "RetryBudget"
	// ReasonAttempts means that the route allows no further run.
	ReasonAttempts Reason = "Attempts"
	// ReasonLost means that the answer of a run was lost.
	ReasonLost Reason = "AnswerLost"
	// ReasonUnmarked means that the runner's answer has a status that promises callers
	// that the request has not run, which the runner has not stated.
	ReasonUnmarked Reason = "UnmarkedRefusal"
	// ReasonBlocked means that engines crash on what the request has in common with
	// others.
	ReasonBlocked Reason = "Blocked"
	// ReasonTimeout means that the request's deadline has passed.
	ReasonTimeout Reason = "Timeout"
	// ReasonAbandoned means that the caller has closed its connection.
	ReasonAbandoned Reason = "Abandoned"
)
