package spreader

import (
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// Event is an input of Core. The set is sealed.
type Event interface{ event() }

// Begin starts a spread with this VM as the root. VMs that are adjacent in To
// share a subtree, so To should be sorted by data centre.
type Begin struct {
	ID      ID
	To      []identifier.VM
	Payload []byte
}

// Received is a message from another VM.
type Received struct {
	From    identifier.VM
	Message Message
}

// Wake makes the core handle the retries and deadlines that are due.
type Wake struct{}

func (Begin) event()    {}
func (Received) event() {}
func (Wake) event()     {}

// Message is a message between the cores of two VMs. The set is sealed.
type Message interface{ message() }

// Push passes a payload from a parent to a child.
type Push struct {
	ID ID
	// Below lists the VMs that the receiver passes the payload on to, directly
	// or through its own children.
	Below   []identifier.VM
	Payload []byte
}

// Working answers a repeated Push while the receiver still waits for the VMs
// below it.
type Working struct{ ID ID }

// Done reports that the sender and all VMs below it, except the missing ones,
// have the payload.
type Done struct {
	ID      ID
	Missing []identifier.VM
}

func (Push) message()    {}
func (Working) message() {}
func (Done) message()    {}

// Outcome is an action that Core requests. The set is sealed.
type Outcome interface{ outcome() }

// Send sends a message to another VM. The message may be lost; cores repeat it.
type Send struct {
	To      identifier.VM
	Message Message
}

// Deliver passes a received payload to the user of Core. The same payload may be
// delivered again if it arrives from another parent.
type Deliver struct {
	ID      ID
	Payload []byte
}

// Completed reports the end of a spread at its root.
type Completed struct {
	ID ID
	// Missing lists the VMs that didn't acknowledge in time, sorted.
	Missing []identifier.VM
}

// WakeAt requests a Wake event at a time. A later WakeAt replaces it.
type WakeAt struct{ At time.Time }

func (Send) outcome()      {}
func (Deliver) outcome()   {}
func (Completed) outcome() {}
func (WakeAt) outcome()    {}
