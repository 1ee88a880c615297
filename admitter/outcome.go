package admitter

import (
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// Outcome is what the core decides. The set is sealed.
type Outcome interface{ outcome() }

// Reason says in one word why a decision was made.
type Reason string

// The reasons of refusals.
const (
	ReasonTargetOutOfReach Reason = "TargetOutOfReach"
	ReasonQueueFull        Reason = "QueueFull"
	ReasonNoUpstream       Reason = "NoUpstream"
	ReasonPromptTooLong    Reason = "PromptTooLong"
	ReasonUnknownClass     Reason = "UnknownClass"
	ReasonRetryBudget      Reason = "RetryBudget"
	ReasonWorkspaceShare   Reason = "WorkspaceShare"
)

// Score is what one candidate would have cost.
type Score struct {
	Upstream identifier.Upstream
	// FirstToken is the predicted time from now to the first token.
	FirstToken time.Duration
}

// Place grants an attempt a prefill engine and decode memory. The entry VM
// starts the prefill when it hears of it.
type Place struct {
	Key
	// To is the entry VM that asked.
	To      identifier.VM
	Prefill identifier.Upstream
	Decode  identifier.Upstream
	// Pieces is the decode memory that is reserved.
	Pieces identifier.Pieces
	// TransferWithin is the time after which a transfer counts as stalled.
	TransferWithin time.Duration
	// Promised says that the decode memory is expected, not yet free.
	Promised bool
	// Predicted is the predicted time from arrival to the first token.
	Predicted time.Duration
	// Scores are the alternatives that were weighed, best first, capped.
	Scores []Score
}

// Move names another decode engine for a prefill result that still lives.
type Move struct {
	Key
	To             identifier.VM
	Decode         identifier.Upstream
	Pieces         identifier.Pieces
	TransferWithin time.Duration
}

// Refuse ends an attempt for which nothing was run by this placement.
type Refuse struct {
	Key
	To     identifier.VM
	Reason Reason
	// RetryAfter is when a new try may succeed, spread between callers.
	RetryAfter time.Duration
}

// Abandon ends an attempt whose prefill result can't be used any more. The
// entry VM may ask again with the next attempt.
type Abandon struct {
	Key
	To     identifier.VM
	Reason Reason
}

// WakeAt asks for a Wake event at a time. A later WakeAt replaces it.
type WakeAt struct{ At time.Time }

func (Place) outcome()   {}
func (Move) outcome()    {}
func (Refuse) outcome()  {}
func (Abandon) outcome() {}
func (WakeAt) outcome()  {}

// KeyOf returns the attempt that an outcome is for; the zero Key for a WakeAt.
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
