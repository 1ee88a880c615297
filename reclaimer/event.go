package reclaimer

import (
	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/identifier"
)

// Event is what Core is told. The set is sealed.
type Event interface{ event() }

// Listed is an engine's list of holds, asked for every PollEvery.
type Listed struct {
	Upstream identifier.Upstream
	Holds    driver.Holds
}

// Answered is a VM's answer to an Ask.
type Answered struct {
	From  Start
	Round uint64
	// Vouched are the holds of the question that the VM has in use.
	Vouched []identifier.Hold
}

// VMsChanged names the live VMs. One that is missing may only be cut off.
type VMsChanged struct{ Live []identifier.VM }

// EngineGone says that an upstream has left the configuration.
type EngineGone struct{ Upstream identifier.Upstream }

// Wake asks the core to act on what has become due. It is sent every
// PollEvery.
type Wake struct{}

func (Listed) event()     {}
func (Answered) event()   {}
func (VMsChanged) event() {}
func (EngineGone) event() {}
func (Wake) event()       {}

// Outcome is what Core decides. The set is sealed.
type Outcome interface{ outcome() }

// Ask asks a VM which of the holds it has in use, answered by Answered.
type Ask struct {
	To    identifier.VM
	Round uint64
	Holds []identifier.Hold
}

// Release frees a hold that nobody has in use. It is for the Canceller.
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
