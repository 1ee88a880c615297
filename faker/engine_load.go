package faker

import (
	"cmp"
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// EngineLoad is the load of an engine at a time.
type EngineLoad struct {
	// At is the time that the load refers to.
	At time.Time
	// Running is the number of running prefills or streams, Queued of waiting
	// prefills or unfinished imports.
	Running, Queued int
	// FreePieces is the free memory of a decode engine.
	FreePieces identifier.Pieces
}

// maxReadingsPerLag bounds the loads that are kept for the duration of one lag.
const maxReadingsPerLag = 256

// loadHistory keeps the loads of the last lag and the latest one before them.
type loadHistory struct {
	// loads are ordered by time and never empty.
	loads []EngineLoad
}

// record adds a load. It replaces the last one if that is too recent to keep both.
func (h *loadHistory) record(load EngineLoad, now time.Time, lag time.Duration) {
	load.At = now
	n := len(h.loads)
	if n > 1 && now.Sub(h.loads[n-2].At) < lag/maxReadingsPerLag {
		h.loads[n-1] = load
		return
	}
	h.loads = append(h.loads, load)
	old := 0
	for old+1 < len(h.loads) && !h.loads[old+1].At.After(now.Add(-lag)) {
		old++
	}
	h.loads = h.loads[old:]
}

// loadAt returns the load at a time, which becomes its At.
func (h *loadHistory) loadAt(t time.Time) EngineLoad {
	load := h.loads[0]
	for _, reading := range h.loads[1:] {
		if reading.At.After(t) {
			break
		}
		load = reading
	}
	load.At = t
	return load
}

// compareHolds orders holds by VM, incarnation, request and attempt.
func compareHolds(a, b identifier.Hold) int {
	return cmp.Or(
		cmp.Compare(a.VM, b.VM),
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Request, b.Request),
		cmp.Compare(a.Attempt, b.Attempt),
	)
}
