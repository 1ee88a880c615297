// Package outcomer defines the outcomes of a request and, for each of them,
// the reply to the caller.
//
// Ran is No only if it is proved that no upstream acted on the request.
package outcomer

import (
	"fmt"
	"net/http"
	"time"
)

// Outcome is the final result of a request. The set is sealed.
type Outcome interface{ outcome() }

// sealed makes the type that embeds it an Outcome.
type sealed struct{}

func (sealed) outcome() {}

// waiting is embedded by outcomes that advise the caller to try again later.
type waiting struct {
	sealed
	// After is the time until another attempt may succeed, varied between
	// callers so that they don't all return at once.
	After time.Duration
}

func (w waiting) after() time.Duration { return w.After }

// Ran states whether an upstream acted on the request.
type Ran string

// Values of Ran.
const (
	// RanNo means that it is proved that the request did not run: nothing was
	// sent, or the upstream says so itself.
	RanNo Ran = "No"
	// RanUnknown means that the request may have run.
	RanUnknown Ran = "Unknown"
	// RanYes means that an upstream ran the request, at least in part.
	RanYes Ran = "Yes"
)

// MeansNotRun reports whether callers may read an HTTP status as the statement that their
// request has not run and won't. An upstream may send it after it ran the request.
func MeansNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// Row describes the reply to the caller for one outcome.
type Row struct {
	// Status is the HTTP status. It is sent only if no byte of an answer was
	// sent.
	Status int
	// Reason is the outcome's name in logs and in the body.
	Reason string
	Ran    Ran
	// RetryAfter is true if the reply has a Retry-After header.
	RetryAfter bool
	// Meaning and Advice are texts for the caller's developers.
	Meaning, Advice string
}

// Describe returns the row of an outcome. It panics if the outcome has none.
func Describe(o Outcome) Row {
	if f, ok := o.(Following); ok {
		return f.describe()
	}
	for _, describe := range describers {
		if row, ok := describe(o); ok {
			return row
		}
	}
	panic(fmt.Sprintf("outcomer: outcome %T has no row", o))
}

// describers holds one function for each file of outcomes. Each returns the
// rows of its own outcomes and false for any other outcome.
var describers = []func(Outcome) (Row, bool){
	describeAnswered,
	describeRejected,
	describeRefused,
	describeClaimed,
	describeLost,
	describeQuarantined,
	describeStopped,
}

// All returns one value of every outcome but Following, in the order of the
// documentation.
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
		OverQuota{},
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

// RetryAfter returns the time of the Retry-After header, rounded up to whole
// seconds; zero for an outcome without one.
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

// StatusClientClosed is logged if the caller has closed the connection; it is
// never sent.
const StatusClientClosed = 499

func newRow(status int, reason string, ran Ran, meaning, advice string) (Row, bool) {
	return Row{Status: status, Reason: reason, Ran: ran, Meaning: meaning, Advice: advice}, true
}

// retryRow returns the row of an outcome that embeds waiting.
func retryRow(status int, reason string, meaning string) (Row, bool) {
	r, _ := newRow(status, reason, RanNo, meaning, "Send it again after Retry-After. A request that may not be repeated needs a new key, because its own may be spent.")
	r.RetryAfter = true
	return r, true
}

func noRow() (Row, bool) { return Row{Status: http.StatusInternalServerError}, false }
