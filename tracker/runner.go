// Package tracker keeps one VM's view of the upstreams of the fleet and chooses
// among them.
//
// The view is updated from three sources: the entries by which upstreams register
// themselves, the connection to the store that holds the entries, and the results
// of this VM's own calls. The package does no I/O and reads no clock.
package tracker

import (
	"time"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/keeper"
)

// Runner describes one start of an upstream as it registered itself.
type Runner struct {
	ID identifier.Upstream
	// Start distinguishes the starts of one ID; zero if the runner doesn't state
	// it.
	Start      identifier.Incarnation
	Pool       identifier.Pool
	Role       identifier.Role
	DataCentre identifier.DataCentre
	// Address is an IP and a TCP port. Another runner may get it some time after
	// this one has ended.
	Address string
	// Software is empty if the runner doesn't state it.
	Software identifier.Software
	// Slots is the number of requests that can run at once; at least 1.
	Slots int
	// Leaving is true if the runner takes no new work.
	Leaving bool
	// Age is the age of the entry in the store.
	Age keeper.Age
	// Sequence numbers the entries that one start of the runner writes.
	Sequence identifier.Sequence
}

// Change is a change of the view. The set is sealed.
type Change interface{ change() }

// Joined reports that a runner takes work.
type Joined struct{ Runner Runner }

// Left reports that a runner registered itself as taking no new work.
type Left struct {
	Runner Runner
	Source LeavingSource
}

// LeavingSource is where a VM learned that a runner leaves. Its values are logged.
type LeavingSource string

const (
	// LeavingByEntry means the runner's entry in the store.
	LeavingByEntry LeavingSource = "Entry"
	// LeavingByAnswer means an answer of the runner.
	LeavingByAnswer LeavingSource = "Answer"
)

// Missing reports that a runner's entry is absent shortly after an outage of the
// store. The runner is used until Until, because its entry may come back.
type Missing struct {
	Runner Runner
	Until  time.Time
	Reason MissingReason
	// Removal is the age of the entry's removal; zero if the entry is absent from a
	// listing.
	Removal keeper.Age
}

// MissingReason is why a runner without an entry is used. Its values are logged.
type MissingReason string

const (
	// MissingSinceOutage means an outage of the store, in which entries expire.
	MissingSinceOutage MissingReason = "Outage"
	// MissingFromCopy means that the store came back from a copy, which may lack entries.
	MissingFromCopy MissingReason = "Copy"
)

// Gone reports that a runner was removed from the view.
type Gone struct{ Runner Runner }

// Suspected reports that a runner is avoided until Until because its calls get no
// answer.
type Suspected struct {
	Runner Runner
	Until  time.Time
	Reason string
}

// Trusted reports that a suspected runner has answered.
type Trusted struct{ Runner Runner }

// Paused reports that a runner asked this VM to send it nothing until Until.
type Paused struct {
	Runner Runner
	Until  time.Time
}

// Resumed reports that a runner is used again after a pause.
type Resumed struct{ Runner Runner }

func (Paused) change()    {}
func (Resumed) change()   {}
func (Joined) change()    {}
func (Left) change()      {}
func (Missing) change()   {}
func (Gone) change()      {}
func (Suspected) change() {}
func (Trusted) change()   {}
