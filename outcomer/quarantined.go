package outcomer

import (
	"net/http"
	"time"
)

// Quarantined means that the same content crashed upstreams before.
type Quarantined struct {
	waiting
}

// Crashed means that the upstream died while it ran this request, whose
// content is therefore quarantined from now on.
type Crashed struct{ sealed }

func describeQuarantined(o Outcome) (Row, bool) {
	switch o.(type) {
	case Quarantined:
		r, _ := retryRow(http.StatusUnprocessableEntity, "Quarantined",
			"Upstreams died of this content before. It was not sent this time.")
		r.Advice = "Change the content, or send it again after Retry-After."
		return r, true
	case Crashed:
		return newRow(http.StatusBadGateway, "Crashed", RanYes,
			"Upstreams died of this request.", "Change the content.")
	default:
		return noRow()
	}
}

// NewQuarantined returns the refusal of a request with quarantined content;
// after is the time until the quarantine expires.
func NewQuarantined(after time.Duration) Outcome { return Quarantined{waiting{After: after}} }
