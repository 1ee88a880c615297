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
	// RetryInterval is the pause after the first failed call. It doubles with each
	// further one up to MaxRetryInterval.
	RetryInterval    = 500 * time.Millisecond
	MaxRetryInterval = 2 * time.Second
	// MaxEraDelay bounds the delay before a VM enrols again after the store came
	// back from a copy. The VMs of a fleet spread their calls over it. It is a
	// small part of the time for which a missing VM still counts as a member.
	MaxEraDelay = 2 * time.Second
)

// Event is an input of Core.Step. Only this package implements it.
type Event interface{ event() }

// Wake starts the core and ends a Rest.
type Wake struct{}

// Granted carries the lease that Grant requested. The lease is valid in Era only.
type Granted struct {
	Lease keeper.Lease
	Era   keeper.Era
}

// Written reports that the entry was written.
type Written struct {
	Version keeper.Version
	Era     keeper.Era
}

// Conflicted reports that the entry has another version than expected. It was
// written by an earlier start of the VM or by a call whose answer was lost.
type Conflicted struct {
	Version keeper.Version
	Era     keeper.Era
}

// Renewed reports that the lease was renewed.
type Renewed struct{ Era keeper.Era }

// Lapsed reports that the lease has expired.
type Lapsed struct{ Era keeper.Era }

// Removed reports that the entry is missing although its lease may be valid.
type Removed struct{}

// Failed reports that the last call got no usable answer. Era is zero if it got
// none at all.
type Failed struct{ Era keeper.Era }

// EraChanged reports that the store has come back from a copy, as found by
// another duty of this VM.
type EraChanged struct{ Era keeper.Era }

func (Wake) event()       {}
func (Granted) event()    {}
func (Written) event()    {}
func (Conflicted) event() {}
func (Renewed) event()    {}
func (Lapsed) event()     {}
func (Removed) event()    {}
func (Failed) event()     {}
func (EraChanged) event() {}

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
	// retryDelay is the pause after the last failure; zero if the last call was
	// answered.
	retryDelay time.Duration
	// era is the latest era that an answer stated. lease and version belong to
	// it.
	era keeper.Era
	// eraDelay is the delay of this VM before it enrols again in a new era.
	eraDelay time.Duration
	// quietUntil is the end of that delay.
	quietUntil time.Time
}

// New returns a core without a lease. spread, from 0 to 1, is the place of this
// VM among those of the fleet, over which calls that all have to make are
// spread.
func New(spread float64) *Core {
	return &Core{eraDelay: time.Duration(spread * float64(MaxEraDelay))}
}

// Restarted returns a core without a lease in place of one that was lost.
func (c *Core) Restarted() *Core {
	return &Core{eraDelay: c.eraDelay, quietUntil: c.quietUntil, era: c.era}
}

// Step handles one event and returns the next action.
func (c *Core) Step(now time.Time, e Event) Outcome {
	era := eraOf(e)
	switch {
	case era > c.era:
		c.era = era
		if c.lease != 0 || c.version != 0 {
			// The store may have issued the number of the lease to another VM.
			c.lease, c.version, c.isWritten = 0, 0, false
			c.quietUntil = now.Add(c.eraDelay)
			return c.nextCall(now)
		}
	case era != 0 && era < c.era:
		return c.retry() // An answer that was sent before the copy.
	}
	return c.handle(now, e)
}

// eraOf returns the era that an event states, or zero.
func eraOf(e Event) keeper.Era {
	switch e := e.(type) {
	case Granted:
		return e.Era
	case Written:
		return e.Era
	case Conflicted:
		return e.Era
	case Renewed:
		return e.Era
	case Lapsed:
		return e.Era
	case Failed:
		return e.Era
	case EraChanged:
		return e.Era
	}
	return 0
}

// handle handles an event of the current era, or one without an era.
func (c *Core) handle(now time.Time, e Event) Outcome {
	switch e := e.(type) {
	case Wake, EraChanged:
		return c.nextCall(now)
	case Granted:
		c.lease, c.isWritten, c.retryDelay = e.Lease, false, 0
		return c.nextCall(now)
	case Written:
		c.version, c.isWritten, c.retryDelay = e.Version, true, 0
		return Rest{RenewInterval}
	case Conflicted:
		c.version = e.Version
		return c.nextCall(now)
	case Renewed:
		c.retryDelay = 0
		return Rest{RenewInterval}
	case Lapsed:
		c.lease, c.version, c.isWritten = 0, 0, false
		return c.nextCall(now)
	case Removed:
		c.version, c.isWritten = 0, false
		return c.nextCall(now)
	case Failed:
		return c.retry()
	default:
		panic(fmt.Sprintf("enroller: event %T", e))
	}
}

// retry returns the pause after a failed call.
func (c *Core) retry() Outcome {
	c.retryDelay = min(max(2*c.retryDelay, RetryInterval), MaxRetryInterval)
	return Rest{c.retryDelay}
}

func (c *Core) nextCall(now time.Time) Outcome {
	switch {
	case now.Before(c.quietUntil):
		return Rest{c.quietUntil.Sub(now)}
	case c.lease == 0:
		return Grant{EntryTTL}
	case !c.isWritten:
		return Write{c.lease, c.version}
	default:
		return Renew{c.lease}
	}
}
