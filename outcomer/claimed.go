package outcomer

import (
	"fmt"
	"net/http"
	"time"

	"github.com/figtrack/figtrack/claimer"
)

// KeyTaken means that the same request was claimed before.
type KeyTaken struct{ sealed }

// KeyTakenOtherBody means that the key was claimed for another request.
type KeyTakenOtherBody struct{ sealed }

// KeyExpired means that the time inside the key is too old or in the future.
type KeyExpired struct{ sealed }

// ClaimUnavailable means that the key could not be claimed.
type ClaimUnavailable struct {
	waiting
	// Cause is the claimer's reason, for the log.
	Cause claimer.Reason
}

func describeClaimed(o Outcome) (Row, bool) {
	switch o.(type) {
	case KeyTaken:
		return row(http.StatusConflict, "KeyTaken", RanUnknown,
			"The same request was sent before with this key and may have run. It is not run again.",
			"Ask the service what happened. If an earlier reply to this key said that it did not run, use a new key.")
	case KeyTakenOtherBody:
		return row(http.StatusUnprocessableEntity, "KeyTakenOtherBody", RanNo,
			"The key belongs to another request.", "Use a new key for each request.")
	case KeyExpired:
		return row(http.StatusGone, "KeyExpired", RanUnknown,
			fmt.Sprintf("The time inside the key is more than %v old, or in the future. It is refused for ever.", claimer.Retention),
			"Ask the service what happened, then use a new key.")
	case ClaimUnavailable:
		return again(http.StatusServiceUnavailable, "ClaimUnavailable",
			"The record of keys can't be written, so that nothing was sent.")
	default:
		return none()
	}
}

// FromClaim returns the outcome of a claim that was not granted.
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
		panic("outcomer: a claim with verdict " + string(r.Verdict) + " is no refusal")
	}
}
