package faker

import (
	"cmp"
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// EngineLoad is what an engine says about its load.
type EngineLoad struct {
	// At is when the reading was taken.
	At time.Time
	// Running and Queued count requests. Queued counts waiting prefills or
	// imports.
	Running, Queued int
	// FreePieces is the free memory of a decode engine.
	FreePieces identifier.Pieces
}

// maxReadings bounds the readings kept within one lag.
const maxReadings = 256

// loadHistory keeps the readings of the last lag and the one before it.
type loadHistory struct {
	// readings is ordered by time and never empty.
	readings []EngineLoad
}

func (h *loadHistory) record(load EngineLoad, now time.Time, lag time.Duration) {
	load.At = now
	n := len(h.readings)
	if n > 1 && now.Sub(h.readings[n-2].At) < lag/maxReadings {
		h.readings[n-1] = load
		return
	}
	h.readings = append(h.readings, load)
	old := 0
	for old+1 < len(h.readings) && !h.readings[old+1].At.After(now.Add(-lag)) {
		old++
	}
	h.readings = h.readings[old:]
}

func (h *loadHistory) at(t time.Time) EngineLoad {
	load := h.readings[0]
	for _, reading := range h.readings[1:] {
		if reading.At.After(t) {
			break
		}
		load = reading
	}
	load.At = t
	return load
}

func compareHolds(a, b identifier.Hold) int {
	return cmp.Or(
		cmp.Compare(a.VM, b.VM),
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Request, b.Request),
		cmp.Compare(a.Attempt, b.Attempt),
	)
}
