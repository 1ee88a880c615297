package isolator

import (
	"time"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/keeper"
)

// Trait is what requests may have in common, such as a part of their prompts.
type Trait string

// Crash is the end of one process of an engine. Several VMs may report the same.
type Crash struct {
	Upstream identifier.Upstream
	Start    identifier.Incarnation
}

// Suspect is a trait on which engines have crashed.
type Suspect struct {
	Trait Trait
	// Depth is the position of the trait in the requests: a deeper one is more
	// specific.
	Depth int
	// Crashes holds each crash once, in the order of the reports.
	Crashes []Crash
	// Probes is how many probes VMs have claimed since the trait was blocked, Returned how many of
	// these were not sent. Both only grow.
	Probes, Returned int
}

// Record is the list of suspects that all VMs share, ordered by trait. Its zero
// value lists none.
type Record []Suspect

// Event is an input of Core.Step. Only this package implements it.
type Event interface{ event() }

// RunBroken reports that the connection of a run was closed early, which counts as a
// crash once EngineEnded follows. Traits are those of the request, the deepest last.
type RunBroken struct {
	Traits []Trait
	On     Crash
	// Lived is the time from the first to the last event of the run; zero without an
	// event.
	Lived time.Duration
}

// EngineEnded reports that a process of an engine has ended: it refuses connections,
// or the engine has a later start.
type EngineEnded struct{ By Crash }

// RunCompleted reports that a run with these traits was answered whole.
type RunCompleted struct{ Traits []Trait }

// EngineAnswered reports an answer of an engine, of whatever kind, to a call that
// began at SentAt. An engine that answers a later call has not crashed: its
// connection was closed for another reason.
type EngineAnswered struct {
	By     Crash
	SentAt time.Time
}

// RecordRead carries the shared record as it is in the store.
type RecordRead struct {
	Record Record
	// Version is that of the record or, without one, that at which it was missing.
	Version keeper.Version
	Era     keeper.Era
	// IsMissing is true if the store has no record.
	IsMissing bool
}

// Written reports that the record of the last Write is in the store.
type Written struct {
	Version keeper.Version
	Era     keeper.Era
}

// Conflicted reports that the last Write had no effect, as the store has another
// version of the record.
type Conflicted struct{ RecordRead }

// WriteFailed reports that the last Write may have had no effect.
type WriteFailed struct{}

// Wake reports that time has passed.
type Wake struct{}

func (RunBroken) event()      {}
func (EngineEnded) event()    {}
func (RunCompleted) event()   {}
func (EngineAnswered) event() {}
func (RecordRead) event()     {}
func (Written) event()        {}
func (Conflicted) event()     {}
func (WriteFailed) event()    {}
func (Wake) event()           {}

// Outcome is what a Step has led to. Only this package implements it.
type Outcome interface{ outcome() }

// Write asks for a write of the shared record if its version is Expected, which is
// zero for a record that is missing. No other Write follows before Written,
// Conflicted or WriteFailed.
type Write struct {
	Record   Record
	Expected keeper.Version
}

// Check asks whether a process of an engine has ended, after a run on it has broken.
// EngineEnded or EngineAnswered follows, or neither if that can't be told.
type Check struct{ On Crash }

// Suspected reports that a crash was added to a trait, by this VM.
type Suspected struct {
	Trait   Trait
	On      Crash
	Crashes int
}

// Blocked reports that requests with a trait are refused from now on.
type Blocked struct {
	Trait   Trait
	Crashes int
}

// Unblocked reports that requests with a trait are no longer refused.
type Unblocked struct{ Trait Trait }

// ProbeClaimed reports that this VM may let one request with a blocked trait through.
type ProbeClaimed struct {
	Trait  Trait
	Probes int
}

func (Write) outcome()        {}
func (Check) outcome()        {}
func (Suspected) outcome()    {}
func (Blocked) outcome()      {}
func (Unblocked) outcome()    {}
func (ProbeClaimed) outcome() {}
