// Package enroller keeps this VM's roster entry in the platform's store, by
// which the other VMs know it. The entry is bound to a lease that the VM renews
// and expires when the VM stops.
package enroller

import (
	"fmt"
	"time"

	"github.com/figtrack/figtrack/keeper"
)

// Lifetime of a roster entry and intervals between calls.
const (
	// EntryTTL is the lifetime of an entry that isn't renewed. It exceeds most
	// outages of the store, so that live VMs stay in the roster.
	EntryTTL = 15 * time.Second
	// RenewInterval is the interval between renewals; it allows three within
	// EntryTTL.
	RenewInterval = 4 * time.Second
	// RetryInterval is the pause after a failed call.
	RetryInterval = 500 * time.Millisecond
)

// Event is an input of Core.Step. Only this package implements it.
type Event interface{ event() }

// Wake starts the core and ends a Rest.
type Wake struct{}

// Granted carries the lease that Grant requested.
type Granted struct{ Lease keeper.Lease }

// Written reports that the entry was written.
type Written struct{ Version keeper.Version }

// Conflicted reports that the entry has another version than expected. It was
// written by an earlier start of the VM or by a call whose answer was lost.
type Conflicted struct{ Version keeper.Version }

// Renewed reports that the lease was renewed.
type Renewed struct{}

// Lapsed reports that the lease has expired.
type Lapsed struct{}

// Removed reports that the entry is missing although its lease may be valid.
type Removed struct{}

// Failed reports that the last call got no usable answer.
type Failed struct{}

func (Wake) event()       {}
func (Granted) event()    {}
func (Written) event()    {}
func (Conflicted) event() {}
func (Renewed) event()    {}
func (Lapsed) event()     {}
func (Removed) event()    {}
func (Failed) event()     {}

// Outcome is an action for the shell to perform. Only this package implements
// it.
type Outcome interface{ outcome() }

// Grant requests a lease.
type Grant struct{ TTL time.Duration }

// Write writes the entry under a lease if its version is Expected, which is
// zero if there is no entry.
type Write struct {
	Lease    keeper.Lease
	Expected keeper.Version
}

// Renew renews the lease.
type Renew struct{ Lease keeper.Lease }

// Rest waits for a duration.
type Rest struct{ For time.Duration }

func (Grant) outcome() {}
func (Write) outcome() {}
func (Renew) outcome() {}
func (Rest) outcome()  {}

// Core is the state machine of one VM's roster entry. Only Step changes it.
type Core struct {
	// lease is zero before the first grant and after it has expired.
	lease keeper.Lease
	// version is the version of the entry that the next write expects.
	version keeper.Version
	// isWritten is true once the entry was written under the current lease.
	isWritten bool
}

// New returns a core without a lease.
func New() *Core { return &Core{} }

// Step handles one event and returns the next action.
func (c *Core) Step(e Event) Outcome {
	switch e := e.(type) {
	case Wake:
		return c.nextCall()
	case Granted:
		c.lease, c.isWritten = e.Lease, false
		return c.nextCall()
	case Written:
		c.version, c.isWritten = e.Version, true
		return Rest{RenewInterval}
	case Conflicted:
		c.version = e.Version
		return c.nextCall()
	case Renewed:
		return Rest{RenewInterval}
	case Lapsed:
		c.lease, c.version, c.isWritten = 0, 0, false
		return c.nextCall()
	case Removed:
		c.version, c.isWritten = 0, false
		return c.nextCall()
	case Failed:
		return Rest{RetryInterval}
	default:
		panic(fmt.Sprintf("enroller: event %T", e))
	}
}

func (c *Core) nextCall() Outcome {
	switch {
	case c.lease == 0:
		return Grant{EntryTTL}
	case !c.isWritten:
		return Write{c.lease, c.version}
	default:
		return Renew{c.lease}
	}
}
