// Package enroller keeps this VM's entry in the platform's store while the VM
// lives, so that the others know of it. The entry goes with its lease.
package enroller

import (
	"fmt"
	"time"

	"github.com/figtrack/figtrack/keeper"
)

// Times of an entry.
const (
	// TTL is how long an entry outlives its VM. Longer than most outages of
	// the store, so that the others don't forget a VM that lives.
	TTL = 15 * time.Second
	// RenewEvery leaves three tries within TTL.
	RenewEvery = 4 * time.Second
	// RetryEvery is the pause after a failed call.
	RetryEvery = 500 * time.Millisecond
)

// Event is an input. The set is sealed.
type Event interface{ event() }

// Wake says that a Rest is over, and starts the core.
type Wake struct{}

// Granted carries a new lease.
type Granted struct{ Lease keeper.Lease }

// Written says that the entry stands.
type Written struct{ Version keeper.Version }

// Conflicted carries the version of an entry that stands already, by an
// earlier start or a call whose answer was lost.
type Conflicted struct{ Version keeper.Version }

// Renewed says that the lease lives on.
type Renewed struct{}

// Lapsed says that the lease has ended.
type Lapsed struct{}

// Removed says that the entry is gone though the lease may live.
type Removed struct{}

// Failed says that the last call got no usable answer.
type Failed struct{}

func (Wake) event()       {}
func (Granted) event()    {}
func (Written) event()    {}
func (Conflicted) event() {}
func (Renewed) event()    {}
func (Lapsed) event()     {}
func (Removed) event()    {}
func (Failed) event()     {}

// Outcome is what the shell has to do. The set is sealed.
type Outcome interface{ outcome() }

// Grant asks for a lease.
type Grant struct{ TTL time.Duration }

// Write asks to write the entry over a version; zero where there is none.
type Write struct {
	Lease    keeper.Lease
	Expected keeper.Version
}

// Renew asks to renew the lease.
type Renew struct{ Lease keeper.Lease }

// Rest asks for a pause.
type Rest struct{ For time.Duration }

func (Grant) outcome() {}
func (Write) outcome() {}
func (Renew) outcome() {}
func (Rest) outcome()  {}

// Core is the state of one VM's entry. It is advanced only by Step.
type Core struct {
	// lease is zero before the first grant and after a lapse.
	lease keeper.Lease
	// version is the entry that the next write replaces.
	version keeper.Version
	// isWritten says that the entry stands under the lease.
	isWritten bool
}

// New returns a core without a lease.
func New() *Core { return &Core{} }

// Step takes in one event and returns the one thing to do.
func (c *Core) Step(e Event) Outcome {
	switch e := e.(type) {
	case Wake:
		return c.next()
	case Granted:
		c.lease, c.isWritten = e.Lease, false
		return c.next()
	case Written:
		c.version, c.isWritten = e.Version, true
		return Rest{RenewEvery}
	case Conflicted:
		c.version = e.Version
		return c.next()
	case Renewed:
		return Rest{RenewEvery}
	case Lapsed:
		c.lease, c.version, c.isWritten = 0, 0, false
		return c.next()
	case Removed:
		c.version, c.isWritten = 0, false
		return c.next()
	case Failed:
		return Rest{RetryEvery}
	default:
		panic(fmt.Sprintf("enroller: event %T", e))
	}
}

func (c *Core) next() Outcome {
	switch {
	case c.lease == 0:
		return Grant{TTL}
	case !c.isWritten:
		return Write{c.lease, c.version}
	default:
		return Renew{c.lease}
	}
}
