// Package tracker keeps what one VM knows of the fleet's upstreams and chooses
// among them.
//
// Three sources feed it: the entries by which upstreams register themselves,
// the contact with the store that holds them, and what becomes of this VM's
// own calls. Nothing here does I/O or reads a clock.
package tracker

import (
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// Runner is what an upstream says of itself.
type Runner struct {
	ID identifier.Upstream
	// Start tells the starts of one ID apart; zero if the runner doesn't say.
	Start      identifier.Incarnation
	Pool       identifier.Pool
	Role       identifier.Role
	DataCentre identifier.DataCentre
	// Address is an IP and a TCP port. It is given to another runner some
	// time after this one has ended.
	Address string
	// Slots is the number of requests that run at once; at least 1.
	Slots int
	// Leaving says that the runner takes no new work.
	Leaving bool
	// Version is the store's version of the entry.
	Version int64
	// Sequence numbers what one start of the runner says of itself.
	Sequence identifier.Sequence
}

// Change is what has changed in the view. The set is sealed.
type Change interface{ change() }

// Joined says that a runner takes work.
type Joined struct{ Runner Runner }

// Left says that a runner takes no new work, by its own word.
type Left struct{ Runner Runner }

// Missing says that a runner's entry is gone shortly after an outage of the
// store. It is used until Until, as its entry may come back.
type Missing struct {
	Runner Runner
	Until  time.Time
}

// Gone says that a runner's entry was removed.
type Gone struct{ Runner Runner }

// Suspected says that a runner is passed over until Until because its calls
// fail.
type Suspected struct {
	Runner Runner
	Until  time.Time
	Reason string
}

// Trusted says that a suspected runner has answered.
type Trusted struct{ Runner Runner }

func (Joined) change()    {}
func (Left) change()      {}
func (Missing) change()   {}
func (Gone) change()      {}
func (Suspected) change() {}
func (Trusted) change()   {}
