package prober

import (
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// Outcome is an action or report that the core asks of the shell. The set is
// sealed.
type Outcome interface{ outcome() }

// Send requests that a frame be sent to another VM. The frame may be lost.
type Send struct {
	To identifier.VM
	// Address is the last known address of To, empty if none is known.
	Address string
	Frame   Frame
}

// MemberChanged reports a new or changed record of another VM.
type MemberChanged struct{ Record Record }

// MemberForgotten reports that a dead VM's record was dropped.
type MemberForgotten struct{ VM identifier.VM }

// LiveChanged reports the live set, sorted by VM, after a change. It contains
// this VM unless this VM is leaving.
type LiveChanged struct{ Live []Member }

// Member is a VM of the live set.
type Member struct {
	VM          identifier.VM
	Address     string
	DataCentre  identifier.DataCentre
	Incarnation identifier.Incarnation
}

// NoticeChanged reports that a source's notice about an upstream has changed:
// the upstream is leaving, or no longer.
type NoticeChanged struct{ Notice Notice }

// Superseded reports that a later process with this VM's ID has started. This
// process must shut down.
type Superseded struct{ By Record }

// ListedLeaving reports that the platform's list marks this VM as leaving.
type ListedLeaving struct{}

// WakeAt requests a Wake at a given time. It replaces earlier requests.
type WakeAt struct{ At time.Time }

func (Send) outcome()            {}
func (MemberChanged) outcome()   {}
func (MemberForgotten) outcome() {}
func (LiveChanged) outcome()     {}
func (NoticeChanged) outcome()   {}
func (Superseded) outcome()      {}
func (ListedLeaving) outcome()   {}
func (WakeAt) outcome()          {}
