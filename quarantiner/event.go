package quarantiner

import (
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// Event is what the core is told. The set is sealed.
type Event interface{ event() }

// Checked asks whether a request may run, before each of its attempts. It is
// answered by a Verdict.
type Checked struct {
	Request     identifier.Request
	Fingerprint Fingerprint
}

// Started says that a run is about to be sent to an upstream. It comes for
// the prefill and for the decode engine.
type Started struct {
	Run
	// Incarnation is the start of the upstream.
	Incarnation identifier.Incarnation
	Fingerprint Fingerprint
	// Alone says that the guard has allowed it as the only suspect.
	Alone bool
}

// Ended says that a run has ended on an upstream.
type Ended struct {
	Run
	// Whole says that the whole request has been answered.
	Whole bool
}

// UpstreamLost says that the connection to an upstream broke with a request
// in flight. UpstreamDied or UpstreamAlive should follow.
type UpstreamLost struct{ Death Death }

// UpstreamDied says that an upstream has died: it has a new incarnation, or
// refuses connections.
type UpstreamDied struct{ Death Death }

// UpstreamAlive says that an upstream whose connection was lost still has
// the same incarnation and has acknowledged the release of the runs that
// ended.
type UpstreamAlive struct{ Death Death }

// Told is a Tell of another VM.
type Told struct {
	From  identifier.VM
	Marks []Mark
	// Answer says that no answer is wanted.
	Answer bool
}

// VMJoined says that a VM has started.
type VMJoined struct{ VM identifier.VM }

// GuardAsked comes from a VM that wants to run a suspect on an upstream that
// this VM guards as the owner of its shard.
type GuardAsked struct {
	From        identifier.VM
	Run         Run
	Fingerprint Fingerprint
}

// GuardFreed says that such a run has ended for certain: its answer is whole,
// its release was acknowledged, or the upstream has died.
type GuardFreed struct{ Run Run }

// Wake asks the core to act on what has become due.
type Wake struct{}

func (Checked) event()       {}
func (Started) event()       {}
func (Ended) event()         {}
func (UpstreamLost) event()  {}
func (UpstreamDied) event()  {}
func (UpstreamAlive) event() {}
func (Told) event()          {}
func (VMJoined) event()      {}
func (GuardAsked) event()    {}
func (GuardFreed) event()    {}
func (Wake) event()          {}

// Outcome is what the core decides. The set is sealed.
type Outcome interface{ outcome() }

// Kind is the kind of a verdict.
type Kind string

// The kinds of verdicts.
const (
	KindRun Kind = "Run"
	// KindRunAlone means that the guard of each upstream must allow it.
	KindRunAlone Kind = "RunAlone"
	// KindWait means that a death is not certain yet: check again later.
	KindWait Kind = "Wait"
	// KindRefuse means that the request is convicted.
	KindRefuse Kind = "Refuse"
)

// Verdict answers a Checked.
type Verdict struct {
	Request identifier.Request
	Kind    Kind
	// After is when to check again, or when the conviction expires.
	After time.Duration
}

// Tell gives marks to another VM, or to all if To is empty.
type Tell struct {
	To     identifier.VM
	Marks  []Mark
	Answer bool
}

// GuardAnswered answers a GuardAsked. If not allowed, the attempt is placed
// again without that upstream, or waits.
type GuardAnswered struct {
	To      identifier.VM
	Run     Run
	Allowed bool
}

// WakeAt asks for a Wake event at a time. A later WakeAt replaces it.
type WakeAt struct{ At time.Time }

func (Verdict) outcome()       {}
func (Tell) outcome()          {}
func (GuardAnswered) outcome() {}
func (WakeAt) outcome()        {}
