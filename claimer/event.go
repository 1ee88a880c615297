package claimer

import (
	"time"

	"github.com/figtrack/figtrack/keeper"
)

// Event is what the core is told. The set is sealed.
type Event interface{ event() }

// ClaimAsked asks for a claim. The same holder may ask again when an answer
// was lost; a holder must act on at most one grant.
type ClaimAsked struct {
	Claim Claim
	// Minted is the time inside the key; zero if it has none.
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
	// Entry stands afterwards.
	Entry keeper.Entry
	// Done says that this call wrote it.
	Done bool
	// Failed is empty if the call was answered.
	Failed keeper.Kind
}

// Wake asks the core to act on what has become due.
type Wake struct{}

func (ClaimAsked) event() {}
func (Listed) event()     {}
func (Swapped) event()    {}
func (Wake) event()       {}
