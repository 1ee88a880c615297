// Package outcomer holds the sealed set of what can become of a request and
// says for each what the caller is told.
//
// Ran is No only where it is proved that no upstream acted on the request.
package outcomer

import (
	"fmt"
	"net/http"
	"time"
)

// Outcome is what became of a request. The set is sealed.
type Outcome interface{ outcome() }

// sealed makes a type an Outcome by embedding.
type sealed struct{}

func (sealed) outcome() {}

// waiting is embedded by outcomes that tell the caller when to try again.
type waiting struct {
	sealed
	// After is the time until a new try may succeed, spread between callers.
	After time.Duration
}

func (w waiting) after() time.Duration { return w.After }

// Ran says whether an upstream acted on the request.
type Ran string

// The values of Ran.
const (
	// RanNo is proved: nothing was sent, or the upstream says so itself.
	RanNo Ran = "No"
	// RanUnknown means that the request may have run.
	RanUnknown Ran = "Unknown"
	// RanYes means that an upstream ran it, at least in part.
	RanYes Ran = "Yes"
)

// Row is what the caller is told of an outcome.
type Row struct {
	// Status is the HTTP status. It is sent only if no byte of an answer was.
	Status int
	// Reason is the outcome's name in logs and in the body.
	Reason string
	Ran    Ran
	// RetryAfter says that the header Retry-After is set.
	RetryAfter bool
	// Meaning and Advice are for the caller's developers.
	Meaning, Advice string
}

// Describe returns what the caller is told.
func Describe(o Outcome) Row {
	if f, ok := o.(Following); ok {
		return f.describe()
	}
	for _, describe := range concerns {
		if row, ok := describe(o); ok {
			return row
		}
	}
	panic(fmt.Sprintf("outcomer: outcome %T has no row", o))
}

// concerns lists the descriptions, one for each file of outcomes.
var concerns = []func(Outcome) (Row, bool){
	describeAnswered,
	describeRejected,
	describeRefused,
	describeClaimed,
	describeLost,
	describeQuarantined,
	describeStopped,
}

// All returns one value of every outcome in the order of the documentation.
func All() []Outcome {
	return []Outcome{
		Answered{},
		CallerGone{},
		TakenOver{},
		Malformed{},
		Unauthorised{},
		UnknownRoute{},
		UnknownModel{},
		TooLarge{},
		TargetOutOfReach{},
		QueueFull{},
		WorkspaceShare{},
		NoUpstream{},
		RetriesSpent{},
		Busy{},
		UpstreamRefused{},
		KeyTaken{},
		KeyTakenOtherBody{},
		KeyExpired{},
		ClaimUnavailable{},
		UpstreamLost{},
		UpstreamTimeout{},
		BrokenOff{},
		Quarantined{},
		Crashed{},
		Draining{},
		CutByDrain{},
	}
}

// RetryAfter returns the wait that the caller is told, rounded up to whole
// seconds, or zero where there is none.
func RetryAfter(o Outcome) time.Duration {
	if f, ok := o.(Following); ok {
		o = f.Last
	}
	w, ok := o.(interface{ after() time.Duration })
	if !ok {
		return 0
	}
	return max(time.Second, (w.after() + time.Second - 1).Truncate(time.Second))
}

// StatusClientClosed is logged where the caller has gone; it is never sent.
const StatusClientClosed = 499

func row(status int, reason string, ran Ran, meaning, advice string) (Row, bool) {
	return Row{Status: status, Reason: reason, Ran: ran, Meaning: meaning, Advice: advice}, true
}

// again is a row of an outcome that embeds waiting.
func again(status int, reason string, meaning string) (Row, bool) {
	r, _ := row(status, reason, RanNo, meaning, "Send it again after Retry-After. A request that may not be repeated needs a new key, because its own may be spent.")
	r.RetryAfter = true
	return r, true
}

func none() (Row, bool) { return Row{Status: http.StatusInternalServerError}, false }
