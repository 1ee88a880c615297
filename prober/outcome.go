package prober

import (
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// Outcome is what the core decides. The set is sealed.
type Outcome interface{ outcome() }

// Send passes a frame to another VM. Loss is expected.
type Send struct {
	To identifier.VM
	// Address is where To was last known to listen.
	Address string
	Frame   Frame
}

// MemberChanged reports a new or changed record of another VM.
type MemberChanged struct{ Record Record }

// MemberForgotten reports that a dead VM's record was dropped.
type MemberForgotten struct{ VM identifier.VM }

// LiveChanged is the new live set, sorted by VM. It holds this VM unless it
// is leaving.
type LiveChanged struct{ Live []Member }

// Member is a VM of the live set.
type Member struct {
	VM          identifier.VM
	Address     string
	DataCentre  identifier.DataCentre
	Incarnation identifier.Incarnation
}

// NoticeChanged reports that an upstream is leaving, or no longer.
type NoticeChanged struct{ Notice Notice }

// Superseded reports that a later start of this VM's own id is live. This
// process must shut down.
type Superseded struct{ By Record }

// ListedLeaving reports that the platform's list has this VM as leaving.
type ListedLeaving struct{}

// WakeAt asks for a Wake at a time. A later WakeAt replaces it.
type WakeAt struct{ At time.Time }

func (Send) outcome()            {}
func (MemberChanged) outcome()   {}
func (MemberForgotten) outcome() {}
func (LiveChanged) outcome()     {}
func (NoticeChanged) outcome()   {}
func (Superseded) outcome()      {}
func (ListedLeaving) outcome()   {}
func (WakeAt) outcome()          {}
