package reclaimer

import (
	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/identifier"
)

// Event is an input of Core. The set is sealed.
type Event interface{ event() }

// Listed carries an engine's list of its holds, requested every PollEvery.
type Listed struct {
	Upstream identifier.Upstream
	Holds    driver.Holds
}

// Answered carries a VM's answer to an Ask.
type Answered struct {
	From  Start
	Round uint64
	// Vouched are the holds of the Ask that the VM uses.
	Vouched []identifier.Hold
}

// VMsChanged carries the live VMs. A VM that is not among them may still run and
// only be unreachable.
type VMsChanged struct{ Live []identifier.VM }

// EngineGone reports that an upstream was removed from the configuration.
type EngineGone struct{ Upstream identifier.Upstream }

// Wake has the core act on what has become due. It is sent every PollEvery.
type Wake struct{}

func (Listed) event()     {}
func (Answered) event()   {}
func (VMsChanged) event() {}
func (EngineGone) event() {}
func (Wake) event()       {}

// Outcome is a decision of Core. The set is sealed.
type Outcome interface{ outcome() }

// Ask asks a VM which of the holds it uses, answered by Answered.
type Ask struct {
	To    identifier.VM
	Round uint64
	Holds []identifier.Hold
}

// Release releases a hold that no VM uses. It is passed to the Canceller.
type Release struct {
	Upstream identifier.Upstream
	// Incarnation is the start of the engine that listed the hold.
	Incarnation identifier.Incarnation
	Hold        identifier.Hold
	// Silent names the VMs that did not answer.
	Silent []identifier.VM
}

func (Ask) outcome()     {}
func (Release) outcome() {}
