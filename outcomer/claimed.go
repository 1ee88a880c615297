package outcomer

import (
	"fmt"
	"net/http"
	"time"

	"github.com/figtrack/figtrack/claimer"
)

// KeyTaken means that the same request was claimed before with this key.
type KeyTaken struct{ sealed }

// KeyTakenOtherBody means that the key was claimed for a different request.
type KeyTakenOtherBody struct{ sealed }

// KeyExpired means that the time inside the key is too far in the past or in
// the future.
type KeyExpired struct{ sealed }

// ClaimUnavailable means that the claim of the key could not be written.
type ClaimUnavailable struct {
	waiting
	// Cause is the claimer's reason, for the log.
	Cause claimer.Reason
}

func describeClaimed(o Outcome) (Row, bool) {
	switch o.(type) {
	case KeyTaken:
		return newRow(http.StatusConflict, "KeyTaken", RanUnknown,
			"The same request was sent before with this key and may have run. It is not run again.",
			"Ask the service what happened. If an earlier reply to this key said that it did not run, use a new key.")
	case KeyTakenOtherBody:
		return newRow(http.StatusUnprocessableEntity, "KeyTakenOtherBody", RanNo,
			"The key belongs to another request.", "Use a new key for each request.")
	case KeyExpired:
		return newRow(http.StatusGone, "KeyExpired", RanUnknown,
			fmt.Sprintf("The time inside the key is more than %v old, or in the future. It is refused for ever.", claimer.Retention),
			"Ask the service what happened, then use a new key.")
	case ClaimUnavailable:
		return retryRow(http.StatusServiceUnavailable, "ClaimUnavailable",
			"The record of keys can't be written, so that nothing was sent.")
	default:
		return noRow()
	}
}

// FromClaim returns the outcome of a request whose claim was not granted.
func FromClaim(r claimer.Result, after time.Duration) Outcome {
	switch r.Verdict {
	case claimer.VerdictTaken:
		return KeyTaken{}
	case claimer.VerdictTakenOtherBody:
		return KeyTakenOtherBody{}
	case claimer.VerdictExpired:
		return KeyExpired{}
	case claimer.VerdictUnavailable:
		return ClaimUnavailable{waiting: waiting{After: after}, Cause: r.Reason}
	default:
		panic("outcomer: claim verdict " + string(r.Verdict) + " is not a refusal")
	}
}
