package granter

import (
	"time"

	"github.com/figtrack/figtrack/identifier"
)

const (
	// driftNotes is how many past ledger states are kept for one engine.
	driftNotes = 64
	// driftReports is how many reports in a row must agree before the ledger
	// is corrected.
	driftReports = 4
)

// drift compares lagging reports with the ledger as it was at their time.
type drift struct {
	// notes is a ring; next is the index of the oldest once it is full.
	notes [driftNotes]note
	next  int
	count int
	// last holds the engine's surplus over the ledger in the last reports.
	last  [driftReports]identifier.Pieces
	seen  int
	newst time.Time
}

type note struct {
	at     time.Time
	pieces identifier.Pieces
}

// note remembers the ledger's pieces from a time on.
func (d *drift) note(at time.Time, p identifier.Pieces) {
	d.notes[d.next] = note{at, p}
	d.next = (d.next + 1) % driftNotes
	d.count = min(d.count+1, driftNotes)
}

// before returns the ledger's pieces at a time and whether it reaches back.
func (d *drift) before(at time.Time) (identifier.Pieces, bool) {
	for i := 1; i <= d.count; i++ {
		n := d.notes[(d.next-i+driftNotes)%driftNotes]
		if !n.at.After(at) {
			return n.pieces, true
		}
	}
	return 0, d.count < driftNotes
}

// observe takes one report and returns the surplus of the engine over the
// ledger that the last reports all agree on; negative if the ledger holds
// more than the engine.
func (d *drift) observe(at time.Time, used identifier.Pieces) identifier.Pieces {
	if !at.After(d.newst) {
		return 0
	}
	d.newst = at
	was, ok := d.before(at)
	if !ok {
		return 0
	}
	d.last[d.seen%driftReports] = used - was
	d.seen++
	if d.seen < driftReports {
		return 0
	}
	low, high := d.last[0], d.last[0]
	for _, v := range d.last {
		low, high = min(low, v), max(high, v)
	}
	switch {
	case low > 0:
		return low
	case high < 0:
		return high
	}
	return 0
}
