package admitter

import (
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// Outcome is a decision of the core. Only this package implements it.
type Outcome interface{ outcome() }

// Reason is a one-word code for why an attempt was refused or abandoned.
type Reason string

// The reasons of refusals and abandoned attempts.
const (
	ReasonTargetOutOfReach Reason = "TargetOutOfReach"
	ReasonQueueFull        Reason = "QueueFull"
	ReasonNoUpstream       Reason = "NoUpstream"
	ReasonPromptTooLong    Reason = "PromptTooLong"
	ReasonUnknownClass     Reason = "UnknownClass"
	ReasonRetryBudget      Reason = "RetryBudget"
	ReasonWorkspaceShare   Reason = "WorkspaceShare"
)

// Score is the predicted result on one candidate engine.
type Score struct {
	Upstream identifier.Upstream
	// FirstToken is the predicted time from now to the first token.
	FirstToken time.Duration
}

// Place assigns a prefill engine and decode memory to an attempt. The entry VM
// starts the prefill when it receives the message.
type Place struct {
	Key
	// To is the entry VM that asked.
	To      identifier.VM
	Prefill identifier.Upstream
	Decode  identifier.Upstream
	// Pieces is the reserved decode memory.
	Pieces identifier.Pieces
	// TransferWithin is the time limit after which a transfer counts as stalled.
	TransferWithin time.Duration
	// Promised is true if the decode memory is not free yet but expected to
	// become free in time.
	Promised bool
	// Predicted is the predicted time from arrival to the first token.
	Predicted time.Duration
	// Scores lists the best candidates for the prefill, best first, at most
	// maxScores.
	Scores []Score
}

// Move assigns another decode engine to an attempt whose prefill is running or
// whose prefill result is still available.
type Move struct {
	Key
	To             identifier.VM
	Decode         identifier.Upstream
	Pieces         identifier.Pieces
	TransferWithin time.Duration
}

// Refuse ends an attempt before any work was done for it.
type Refuse struct {
	Key
	To     identifier.VM
	Reason Reason
	// RetryAfter is the suggested wait before a retry, with jitter.
	RetryAfter time.Duration
}

// Abandon ends an attempt whose prefill result can't be used any more. The
// entry VM may send an Ask for the next attempt.
type Abandon struct {
	Key
	To     identifier.VM
	Reason Reason
}

// WakeAt requests a Wake event at a given time. It replaces earlier WakeAt
// outcomes.
type WakeAt struct{ At time.Time }

func (Place) outcome()   {}
func (Move) outcome()    {}
func (Refuse) outcome()  {}
func (Abandon) outcome() {}
func (WakeAt) outcome()  {}

// KeyOf returns the attempt that an outcome belongs to, or the zero Key for a
// WakeAt.
func KeyOf(o Outcome) Key {
	switch o := o.(type) {
	case Place:
		return o.Key
	case Move:
		return o.Key
	case Refuse:
		return o.Key
	case Abandon:
		return o.Key
	}
	return Key{}
}
