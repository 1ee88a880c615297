// Package exchanger exchanges reports and digests between VMs over UDP: each VM reports to
// a coordinator, which answers with what follows from the reports of all VMs.
package exchanger

import (
	"time"

	"github.com/figtrack/figtrack/wire"
)

// Section is one subject of the exchange. Its methods are called by one goroutine and
// don't block.
type Section interface {
	// IsActive reports whether the VM has anything to exchange. Nothing is sent while no
	// section is active.
	IsActive(now time.Time) bool
	// Report adds what this VM tells to a report.
	Report(now time.Time, to *wire.ExchangeReport)
	// Collect takes in a report at the coordinator and adds to its answer, in which
	// Reporting and Members are set. Each report is collected once, however often it is
	// sent.
	Collect(now time.Time, from *wire.ExchangeReport, answer *wire.ExchangeDigest)
	// Apply takes in the digest that answers the latest report, which was sent at sentAt.
	Apply(now, sentAt time.Time, digest *wire.ExchangeDigest)
	// Lost is called when no coordinator answers.
	Lost(now time.Time)
}
