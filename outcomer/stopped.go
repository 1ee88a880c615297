package outcomer

import (
	"net/http"
	"time"
)

// Draining means that the VM is stopping and accepts no new requests.
type Draining struct{ waiting }

// CutByDrain means that the request was cut off because the time limit for
// stopping the VM has passed or an operator has ended the drain early.
type CutByDrain struct{ sealed }

func describeStopped(o Outcome) (Row, bool) {
	switch o.(type) {
	case Draining:
		return retryRow(http.StatusServiceUnavailable, "Draining",
			"The VM is stopping and takes no new work.")
	case CutByDrain:
		return newRow(http.StatusBadGateway, "CutByDrain", RanUnknown,
			"The VM stopped before the answer was whole.",
			"A repeatable request: send it again with the same key. Another: ask the service what happened.")
	default:
		return noRow()
	}
}

// NewDraining returns a Draining outcome.
func NewDraining(after time.Duration) Outcome { return Draining{waiting{After: after}} }
