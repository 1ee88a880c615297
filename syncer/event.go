package syncer

import (
	"github.com/figtrack/figtrack/configurer"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/keeper"
	"github.com/figtrack/figtrack/spreader"
)

// Event is an input of the core. The set of events is sealed.
type Event interface{ event() }

// Wake lets the core run the actions whose time has come.
type Wake struct{}

// LiveSet replaces the set of live VMs. It may or may not include this VM.
type LiveSet struct{ Live []Peer }

// Peer is a live VM.
type Peer struct {
	VM         identifier.VM
	DataCentre identifier.DataCentre
}

// Token identifies a submitted change. The caller chooses it, and the outcomes
// for the change carry it.
type Token uint64

// Submit requests a change of the configuration.
type Submit struct {
	Token  Token
	Change configurer.Change
	// Wait requests a RolloutEnded outcome after the change was accepted.
	Wait bool
}

// StoreRead is the result of a ReadStore. Err is nil or of type *keeper.Error.
type StoreRead struct {
	Entry keeper.Entry
	Err   error
}

// StoreSwapped is the result of a SwapStore. The keeper.Kind of
// Err tells whether the write may have taken effect.
type StoreSwapped struct {
	// Entry is the current entry in the store, whether or not this swap wrote
	// it.
	Entry   keeper.Entry
	Written bool
	Err     error
}

// StoreChanged carries an entry that the watch received.
type StoreChanged struct{ Entry keeper.Entry }

// WatchBroken reports that a started watch has ended.
type WatchBroken struct{}

// Received carries a message from another VM.
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

// Message is a message between the cores of two VMs. The set of messages is
// sealed.
type Message interface{ message() }

// Offer announces the revision that is in force on the sender.
type Offer struct{ Revision identifier.Revision }

// DocumentCopy carries an encoded document.
type DocumentCopy struct{ Value []byte }

// Spread carries a message of the spreader protocol.
type Spread struct{ Message spreader.Message }

func (Offer) message()        {}
func (DocumentCopy) message() {}
func (Spread) message()       {}
