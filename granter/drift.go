package granter

import (
	"time"

	"github.com/figtrack/figtrack/identifier"
)

const (
	// maxSnapshots is how many past states of the ledger are kept for one
	// engine.
	maxSnapshots = 64
	// agreeingReports is how many consecutive load reports must agree before
	// the ledger is corrected.
	agreeingReports = 4
)

// driftDetector compares the load reports of one engine with the ledger. As
// reports arrive late, each is compared with the ledger as it was when the
// report was made.
type driftDetector struct {
	// snapshots is a ring buffer. next is the index to write next, which holds
	// the oldest snapshot once the buffer is full; count is its fill level.
	snapshots [maxSnapshots]ledgerSnapshot
	next      int
	count     int
	// surpluses is a ring buffer of the pieces that the engine used beyond the
	// ledger in the last reports; negative if it used fewer.
	surpluses [agreeingReports]identifier.Pieces
	// reports counts the reports in surpluses since the start.
	reports int
	// newest is the time of the latest report; earlier ones are ignored.
	newest time.Time
}

// ledgerSnapshot is the ledger's pieces on the engine from a time on.
type ledgerSnapshot struct {
	at     time.Time
	pieces identifier.Pieces
}

// record stores that the ledger has p pieces on the engine from at on.
func (d *driftDetector) record(at time.Time, p identifier.Pieces) {
	d.snapshots[d.next] = ledgerSnapshot{at, p}
	d.next = (d.next + 1) % maxSnapshots
	d.count = min(d.count+1, maxSnapshots)
}

// piecesAt returns the ledger's pieces at a time; false if the snapshots don't
// reach back that far.
func (d *driftDetector) piecesAt(at time.Time) (identifier.Pieces, bool) {
	for i := 1; i <= d.count; i++ {
		n := d.snapshots[(d.next-i+maxSnapshots)%maxSnapshots]
		if !n.at.After(at) {
			return n.pieces, true
		}
	}
	return 0, d.count < maxSnapshots
}

// observe adds one report and returns the pieces that the engine uses beyond
// the ledger according to each of the last reports: the smallest of their
// surpluses. It is negative if the ledger holds more than the engine, and zero
// while the reports disagree on the sign.
func (d *driftDetector) observe(at time.Time, used identifier.Pieces) identifier.Pieces {
	if !at.After(d.newest) {
		return 0
	}
	d.newest = at
	was, ok := d.piecesAt(at)
	if !ok {
		return 0
	}
	d.surpluses[d.reports%agreeingReports] = used - was
	d.reports++
	if d.reports < agreeingReports {
		return 0
	}
	low, high := d.surpluses[0], d.surpluses[0]
	for _, v := range d.surpluses {
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
