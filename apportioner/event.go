package apportioner

import (
	"time"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/keeper"
)

// Process is one process of a runner, from its start to its end.
type Process struct {
	Upstream identifier.Upstream
	Start    identifier.Incarnation
}

// Limit is the rate that a process takes from all VMs together.
type Limit struct {
	Of   Process
	Rate identifier.Rate
}

// Record is the list of limits that all VMs share, ordered by upstream and start. Its
// zero value lists none.
type Record []Limit

// Event is an input of Core.Step. Only this package implements it.
type Event interface{ event() }

// Named reports the rate that a process named in its answer to a call that began at
// SentAt; zero if it named none.
type Named struct {
	By     Process
	Rate   identifier.Rate
	SentAt time.Time
}

// RosterChanged carries the VMs that may send requests. Self is the VM of this core.
type RosterChanged struct {
	Self identifier.VM
	VMs  []identifier.VM
}

// Ended reports that a process has ended.
type Ended struct{ Process Process }

// RecordRead carries the shared record as it is in the store.
type RecordRead struct {
	Record Record
	// Version is that of the record or, without one, that at which it was missing.
	Version keeper.Version
	Era     keeper.Era
	// IsMissing is true if the store has no record.
	IsMissing bool
}

// Written reports that the record of the last Write is in the store.
type Written struct {
	Version keeper.Version
	Era     keeper.Era
}

// Conflicted reports that the last Write had no effect, as the store has another
// version of the record.
type Conflicted struct{ RecordRead }

// WriteFailed reports that the last Write may have had no effect.
type WriteFailed struct{}

// Wake reports that time has passed.
type Wake struct{}

func (Named) event()         {}
func (RosterChanged) event() {}
func (Ended) event()         {}
func (RecordRead) event()    {}
func (Written) event()       {}
func (Conflicted) event()    {}
func (WriteFailed) event()   {}
func (Wake) event()          {}

// Outcome is what a Step has led to. Only this package implements it.
type Outcome interface{ outcome() }

// Write asks for a write of the shared record if its version is Expected, which is
// zero for a record that is missing. No other Write follows before Written,
// Conflicted or WriteFailed.
type Write struct {
	Record   Record
	Expected keeper.Version
}

// Limited reports a new limit of a process and the part of it that this VM has.
type Limited struct {
	Limit
	Share identifier.Rate
}

// Unlimited reports that a process takes any number of requests again.
type Unlimited struct{ Of Process }

func (Write) outcome()     {}
func (Limited) outcome()   {}
func (Unlimited) outcome() {}
