package syncer

import (
	"github.com/figtrack/figtrack/configurer"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/keeper"
	"github.com/figtrack/figtrack/spreader"
)

// Event is what the core is told. The set is sealed.
type Event interface{ event() }

// Wake lets the core act on what has become due.
type Wake struct{}

// LiveSet replaces the live VMs, this one included or not.
type LiveSet struct{ Live []Peer }

// Peer is a live VM.
type Peer struct {
	VM         identifier.VM
	DataCentre identifier.DataCentre
}

// Token is the caller's number for a submitted change.
type Token uint64

// Submit asks for a change of the configuration.
type Submit struct {
	Token  Token
	Change configurer.Change
	// Wait asks for an Everywhere outcome after the change was accepted.
	Wait bool
}

// StoreRead answers a ReadStore. Err is nil or of type *keeper.Error.
type StoreRead struct {
	Entry keeper.Entry
	Err   error
}

// StoreSwapped answers a SwapStore with the entry that stands.
type StoreSwapped struct {
	Entry   keeper.Entry
	Written bool
	Err     error
}

// StoreChanged is an entry that a watch sent.
type StoreChanged struct{ Entry keeper.Entry }

// WatchBroken ends a watch that was started.
type WatchBroken struct{}

// Received is one message of another VM.
type Received struct {
	From    identifier.VM
	Message Message
}

func (Wake) event()         {}
func (LiveSet) event()      {}
func (Submit) event()       {}
func (StoreRead) event()    {}
func (StoreSwapped) event() {}
func (StoreChanged) event() {}
func (WatchBroken) event()  {}
func (Received) event()     {}

// Message is what the cores send each other. The set is sealed.
type Message interface{ message() }

// Offer says which revision is in force on the sender.
type Offer struct{ Revision identifier.Revision }

// Copy carries an encoded document.
type Copy struct{ Value []byte }

// Spread carries a message of the spreader.
type Spread struct{ Message spreader.Message }

func (Offer) message()  {}
func (Copy) message()   {}
func (Spread) message() {}
