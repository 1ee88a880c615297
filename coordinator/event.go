package coordinator

import (
	"github.com/figtrack/figtrack/clocker"
	"github.com/figtrack/figtrack/identifier"
)

// Member is a VM of the roster.
type Member struct {
	VM          identifier.VM
	Incarnation identifier.Incarnation
	// IsReachable is false for a VM without an address. It never answers.
	IsReachable bool
}

// Event is an input of Core.Step. Only this package implements it.
type Event interface{ event() }

// RosterChanged replaces the roster. Count is the number of VMs that share quotas; it may
// exceed the number of members, as VMs that left count for some time.
type RosterChanged struct {
	Members []Member
	Count   int
	// IsResumed is true if an earlier start of this VM was in the roster when it was read
	// first. All VMs that shared quotas with that start are in it, too.
	IsResumed bool
}

// Wake handles what has become due. IsActive is true if the VM has anything to exchange.
type Wake struct{ IsActive bool }

// Requested asks for a report soon.
type Requested struct{}

// ReportReceived reports a report of another VM, or of this one.
type ReportReceived struct {
	VM          identifier.VM
	Incarnation identifier.Incarnation
	Sequence    identifier.Sequence
	// Accepted is the sequence of the report whose digest by this VM the sender accepted
	// last, or zero. Share is the part for which it counts here.
	Accepted identifier.Sequence
	Share    float64
}

// DigestReceived reports the answer of a coordinator.
type DigestReceived struct {
	VM          identifier.VM
	Incarnation identifier.Incarnation
	Sequence    identifier.Sequence
}

func (RosterChanged) event()  {}
func (Wake) event()           {}
func (Requested) event()      {}
func (ReportReceived) event() {}
func (DigestReceived) event() {}

// Outcome is an action for the shell. Only this package implements it.
type Outcome interface{ outcome() }

// SendReport makes a new report and sends it. A report to this VM itself is handled
// without a datagram.
type SendReport struct {
	To       Member
	Sequence identifier.Sequence
	Accepted identifier.Sequence
	Share    float64
}

// ResendReport sends the latest report again.
type ResendReport struct{ To Member }

// Collect takes in a report, and answers it.
type Collect struct {
	From     Member
	Sequence identifier.Sequence
}

// ResendDigest sends the digest of the latest report of a VM again.
type ResendDigest struct {
	To       Member
	Sequence identifier.Sequence
}

// Apply takes in a digest, the answer to the latest report.
type Apply struct{}

// Drop drops the message of the event.
type Drop struct{ Reason Reason }

// Lose tells the sections that no coordinator answers and that none counts this VM any
// more.
type Lose struct{ Since clocker.Moment }

// Change reports that another VM coordinates. From is empty at first.
type Change struct{ From, To identifier.VM }

func (SendReport) outcome()   {}
func (ResendReport) outcome() {}
func (Collect) outcome()      {}
func (ResendDigest) outcome() {}
func (Apply) outcome()        {}
func (Drop) outcome()         {}
func (Lose) outcome()         {}
func (Change) outcome()       {}

// Reason tells why a message is dropped.
type Reason string

// Reasons to drop a message.
const (
	// UnknownSender: the sender's start isn't in the roster.
	UnknownSender Reason = "UnknownSender"
	// Outdated: a later report of the sender was received, or the digest isn't that of
	// the latest report.
	Outdated Reason = "Outdated"
	// Starting: this VM has read the roster too recently to coordinate.
	Starting Reason = "Starting"
	// Late: the digest came more than staleAfter after the report was sent.
	Late Reason = "Late"
)
