package quarantiner

import (
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// Event is an input of the core. Only this package implements it.
type Event interface{ event() }

// CheckAsked asks, before each attempt of a request, whether the request may run.
// The core answers with a Verdict.
type CheckAsked struct {
	Request     identifier.Request
	Fingerprint Fingerprint
}

// Started reports that a run is about to be sent to an upstream. An attempt
// reports one run for its prefill engine and one for its decode engine.
type Started struct {
	Run
	// Incarnation is the incarnation of the upstream that gets the run.
	Incarnation identifier.Incarnation
	Fingerprint Fingerprint
	// Alone is true if the guard allowed the run as the only suspect on the
	// upstream.
	Alone bool
}

// Ended reports that a run has ended on an upstream.
type Ended struct {
	Run
	// Completed is true if the request was answered completely.
	Completed bool
}

// Withdrawn reports that no byte of a started run was sent.
type Withdrawn struct{ Run }

// UpstreamLost reports that the connection to an upstream broke while a
// request was in flight. UpstreamDied or UpstreamAlive should follow.
type UpstreamLost struct{ Death Death }

// UpstreamDied reports that an upstream has died: it has a new incarnation or
// refuses connections.
type UpstreamDied struct{ Death Death }

// UpstreamAlive reports that an upstream whose connection was lost still has
// the same incarnation and has acknowledged the release of the runs that
// ended.
type UpstreamAlive struct{ Death Death }

// MarksReceived carries the marks of another VM. It is the receiving side of
// SendMarks.
type MarksReceived struct {
	From  identifier.VM
	Marks []Mark
	// IsReply is true if the sender expects no marks in return.
	IsReply bool
}

// VMJoined reports that a VM has started. The core sends it all marks.
type VMJoined struct{ VM identifier.VM }

// GuardAsked asks for permission to run a suspect on an upstream that this VM
// guards as the owner of its shard. From is the VM that asks.
type GuardAsked struct {
	From        identifier.VM
	Run         Run
	Fingerprint Fingerprint
}

// GuardFreed reports that a run which the guard allowed has ended for certain:
// its answer is complete, its release was acknowledged, or the upstream has
// died.
type GuardFreed struct{ Run Run }

// Wake lets the core do what has become due.
type Wake struct{}

func (CheckAsked) event()    {}
func (Started) event()       {}
func (Ended) event()         {}
func (Withdrawn) event()     {}
func (UpstreamLost) event()  {}
func (UpstreamDied) event()  {}
func (UpstreamAlive) event() {}
func (MarksReceived) event() {}
func (VMJoined) event()      {}
func (GuardAsked) event()    {}
func (GuardFreed) event()    {}
func (Wake) event()          {}

// Outcome is a decision of the core. Only this package implements it.
type Outcome interface{ outcome() }

// Kind states whether and how a request may run.
type Kind string

// The kinds of verdicts.
const (
	KindRun Kind = "Run"
	// KindRunAlone means that the request may run on an upstream only if the
	// guard of the upstream allows it.
	KindRunAlone Kind = "RunAlone"
	// KindWait means that a death, or what other VMs know of it, is not
	// certain yet: check again later.
	KindWait Kind = "Wait"
	// KindRefuse means that the request is convicted and must not run.
	KindRefuse Kind = "Refuse"
)

// Verdict answers a CheckAsked.
type Verdict struct {
	Request identifier.Request
	Kind    Kind
	// After is the time until the next check for KindWait, and until the
	// conviction expires for KindRefuse.
	After time.Duration
}

// SendMarks sends marks to another VM, or to all live VMs if To is empty.
type SendMarks struct {
	To    identifier.VM
	Marks []Mark
	// IsReply is true if the receiver should send no marks in return.
	IsReply bool
}

// GuardAnswered answers a GuardAsked. If Allowed is false, the attempt is
// placed again without that upstream, or waits.
type GuardAnswered struct {
	To      identifier.VM
	Run     Run
	Allowed bool
}

// WakeAt asks for a Wake event at a time. A later WakeAt replaces it.
type WakeAt struct{ At time.Time }

func (Verdict) outcome()       {}
func (SendMarks) outcome()     {}
func (GuardAnswered) outcome() {}
func (WakeAt) outcome()        {}
