package outcomer

import (
	"net/http"
	"time"
)

// Draining means that the VM takes no new work because it stops.
type Draining struct{ waiting }

// CutByDrain means that the VM's limit for stopping has passed, or that an
// operator ended it early.
type CutByDrain struct{ sealed }

func describeStopped(o Outcome) (Row, bool) {
	switch o.(type) {
	case Draining:
		return again(http.StatusServiceUnavailable, "Draining",
			"The VM is stopping and takes no new work.")
	case CutByDrain:
		return row(http.StatusBadGateway, "CutByDrain", RanUnknown,
			"The VM stopped before the answer was whole.",
			"A repeatable request: send it again with the same key. Another: ask the service what happened.")
	default:
		return none()
	}
}

// NewDraining returns a Draining outcome.
func NewDraining(after time.Duration) Outcome { return Draining{waiting{After: after}} }
