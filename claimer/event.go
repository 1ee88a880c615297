package claimer

import (
	"time"

	"github.com/figtrack/figtrack/keeper"
)

// Event is an input of the core. Only this package implements it.
type Event interface{ event() }

// ClaimAsked asks for a claim. The same holder may ask again if the answer was
// lost, but must act on at most one grant.
type ClaimAsked struct {
	Claim Claim
	// Minted is the time that the caller's key contains; zero if it has none.
	Minted time.Time
}

// Listed is the reply to a List outcome.
type Listed struct {
	Call    uint64
	Entries []keeper.Entry
	// Failed is empty if the call was answered.
	Failed keeper.Kind
}

// Swapped is the reply to a Swap outcome.
type Swapped struct {
	Call uint64
	// Entry is the entry of the key after the call.
	Entry keeper.Entry
	// Done is true if this call wrote Entry.
	Done bool
	// Failed is empty if the call was answered.
	Failed keeper.Kind
}

// Wake lets the core do what has become due.
type Wake struct{}

func (ClaimAsked) event() {}
func (Listed) event()     {}
func (Swapped) event()    {}
func (Wake) event()       {}
