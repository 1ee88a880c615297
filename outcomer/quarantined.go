package outcomer

import (
	"net/http"
	"time"
)

// Quarantined means that the same content crashed upstreams before.
type Quarantined struct {
	waiting
}

// Crashed means that this request was sent and its upstream died, so that it
// is convicted.
type Crashed struct{ sealed }

func describeQuarantined(o Outcome) (Row, bool) {
	switch o.(type) {
	case Quarantined:
		r, _ := again(http.StatusUnprocessableEntity, "Quarantined",
			"Upstreams died of this content before. It was not sent this time.")
		r.Advice = "Change the content, or send it again after Retry-After."
		return r, true
	case Crashed:
		return row(http.StatusBadGateway, "Crashed", RanYes,
			"Upstreams died of this request.", "Change the content.")
	default:
		return none()
	}
}

// NewQuarantined returns the refusal of a convicted request; after is the
// time until its conviction expires.
func NewQuarantined(after time.Duration) Outcome { return Quarantined{waiting{After: after}} }
