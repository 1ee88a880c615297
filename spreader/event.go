package spreader

import (
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// Event is what the core is told. The set is sealed.
type Event interface{ event() }

// Begin starts a spread with this VM as the root. VMs that are neighbours in
// To share a branch of the tree, so To is best sorted by data centre.
type Begin struct {
	ID      ID
	To      []identifier.VM
	Payload []byte
}

// Received is one message of another VM.
type Received struct {
	From    identifier.VM
	Message Message
}

// Wake lets the core act on what has become due.
type Wake struct{}

func (Begin) event()    {}
func (Received) event() {}
func (Wake) event()     {}

// Message is what the cores send each other. The set is sealed.
type Message interface{ message() }

// Push passes a payload on.
type Push struct {
	ID ID
	// Below are the VMs that the receiver passes it on to.
	Below   []identifier.VM
	Payload []byte
}

// Working answers a repeated Push before the VMs below have answered.
type Working struct{ ID ID }

// Done says that the sender and all VMs below it but the missing ones have
// the payload.
type Done struct {
	ID      ID
	Missing []identifier.VM
}

func (Push) message()    {}
func (Working) message() {}
func (Done) message()    {}

// Outcome is what the core decides. The set is sealed.
type Outcome interface{ outcome() }

// Send passes a message to another VM. Loss is expected.
type Send struct {
	To      identifier.VM
	Message Message
}

// Deliver hands out a payload. The same payload may come again through
// another parent.
type Deliver struct {
	ID      ID
	Payload []byte
}

// Completed ends a spread at its root.
type Completed struct {
	ID ID
	// Missing are the VMs that didn't acknowledge in time, sorted.
	Missing []identifier.VM
}

// WakeAt asks for a Wake at a time. A later WakeAt replaces it.
type WakeAt struct{ At time.Time }

func (Send) outcome()      {}
func (Deliver) outcome()   {}
func (Completed) outcome() {}
func (WakeAt) outcome()    {}
