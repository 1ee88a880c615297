package attempter

import (
	"time"

	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/tracker"
)

// Hold names memory and a slot that a decode engine keeps for a request.
type Hold string

// Handle names a KV cache that a prefill engine keeps for a request.
type Handle string

// Source is where a decode engine gets a KV cache from.
type Source struct {
	Runner tracker.Runner
	Handle Handle
}

// Event is an input. The set is sealed.
type Event interface{ event() }

// Begin starts the request.
type Begin struct{}

// Reserved says that the decode engine keeps memory.
type Reserved struct{ Hold Hold }

// Prefilled says that the prompt was read.
type Prefilled struct{ Handle Handle }

// Failed says that the last call was not answered as hoped for.
type Failed struct{ Kind driver.Kind }

// Answered says that a runner's whole answer, or its first byte, is there.
type Answered struct{ Status int }

// Broken says that an answer ended early after a part of it was passed on.
type Broken struct {
	// LastEvent is the id of the last event that the caller has; empty if it
	// has none.
	LastEvent string
	// Begun says that the caller has the head of an answer.
	Begun bool
}

// Rested says that a Rest is over.
type Rested struct{}

// Expired says that the request's time is up.
type Expired struct {
	// Begun says that the caller has the head of an answer.
	Begun bool
}

// Abandoned says that the caller has left.
type Abandoned struct{}

func (Begin) event()     {}
func (Reserved) event()  {}
func (Prefilled) event() {}
func (Failed) event()    {}
func (Answered) event()  {}
func (Broken) event()    {}
func (Rested) event()    {}
func (Expired) event()   {}
func (Abandoned) event() {}

// Outcome is what the shell has to do. The set is sealed.
type Outcome interface{ outcome() }

// Reserve asks a decode engine for memory.
type Reserve struct {
	To     tracker.Runner
	Tokens identifier.Tokens
	For    time.Duration
}

// Shrink gives a hold back and asks the same engine for less memory.
type Shrink struct {
	Hold Hold
	Reserve
}

// Prefill sends the request to a prefill engine.
type Prefill struct {
	To tracker.Runner
	// Limit is how long its answer is waited for.
	Limit time.Duration
}

// Run sends the request to the runner that answers it.
type Run struct {
	To tracker.Runner
	// Source is nil where the runner reads the prompt itself.
	Source *Source
	// Hold is empty where no memory is kept.
	Hold Hold
	// After is the id of the last event that the caller has.
	After string
	// Limit is how long the head of the answer is waited for; zero without a
	// limit of its own.
	Limit time.Duration
}

// Rest asks for a pause until room may be free.
type Rest struct{ For time.Duration }

// Deliver passes the answer on.
type Deliver struct{}

// Release gives a hold back.
type Release struct {
	To   tracker.Runner
	Hold Hold
}

// Discard frees a KV cache that nobody will use.
type Discard struct{ Source Source }

// Refuse ends the request, which has not run.
type Refuse struct {
	Reason Reason
	// After is when the caller may come back; zero where no time is left.
	After time.Duration
}

// Fail ends the request, which may have run.
type Fail struct {
	Reason Reason
	// Late says that its time was up.
	Late bool
}

// Break ends an answer that can't be made whole.
type Break struct{ Reason Reason }

func (Reserve) outcome() {}
func (Prefill) outcome() {}
func (Run) outcome()     {}
func (Rest) outcome()    {}
func (Deliver) outcome() {}
func (Release) outcome() {}
func (Discard) outcome() {}
func (Refuse) outcome()  {}
func (Fail) outcome()    {}
func (Break) outcome()   {}

// Reason says in logs and metrics why a request ended.
type Reason string

// The reasons.
const (
	// ReasonNoRunner means that the pool has no usable runner.
	ReasonNoRunner Reason = "NoRunner"
	// ReasonNoMemory means that no decode engine had room in time.
	ReasonNoMemory Reason = "NoMemory"
	// ReasonBusy means that the runners had no room.
	ReasonBusy Reason = "Busy"
	// ReasonBudget means that the retry budget allows no further send.
	ReasonBudget Reason = "RetryBudget"
	// ReasonAttempts means that the route allows no further run.
	ReasonAttempts Reason = "Attempts"
	// ReasonLost means that the answer of a run was lost.
	ReasonLost Reason = "AnswerLost"
	// ReasonTimeout means that the request's time was up.
	ReasonTimeout Reason = "Timeout"
	// ReasonAbandoned means that the caller has left.
	ReasonAbandoned Reason = "Abandoned"
)
