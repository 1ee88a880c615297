package syncer

import (
	"time"

	"github.com/figtrack/figtrack/configurer"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/keeper"
)

// Outcome is an output of the core, to be executed by the shell. The set of
// outcomes is sealed.
type Outcome interface{ outcome() }

// InForce reports that this VM now uses the given configuration. Revisions only
// increase from one InForce to the next.
type InForce struct {
	Document configurer.Document
	From     Origin
	// Changes describes each difference from the previous configuration.
	Changes []string
}

// Origin is the source of a configuration.
type Origin string

// The origins of configurations.
const (
	OriginStore  Origin = "Store"
	OriginPeer   Origin = "Peer"
	OriginSubmit Origin = "Submit"
)

// Result is the final result of a submitted change.
type Result string

// The results of changes.
const (
	// ResultAccepted means that the change is in the store.
	ResultAccepted Result = "Accepted"
	// ResultConflict means that the change was refused; nothing changed.
	ResultConflict Result = "Conflict"
	// ResultBusy means that this VM's queue of changes is full; nothing changed.
	ResultBusy Result = "Busy"
	// ResultStoreDown means that the store did not answer; nothing changed.
	ResultStoreDown Result = "StoreDown"
	// ResultUnknown means that the change may have been written. It is safe to
	// submit it again with the same ID.
	ResultUnknown Result = "Unknown"
)

// SubmitEnded reports the result of a Submit. Revision is set if the change was
// accepted, Conflict if it was refused.
type SubmitEnded struct {
	Token    Token
	Result   Result
	Revision identifier.Revision
	Conflict *configurer.Conflict
}

// RolloutEnded reports the end of the wait of an accepted Submit with Wait set:
// the change is in force on all live VMs except those in Behind.
type RolloutEnded struct {
	Token    Token
	Revision identifier.Revision
	// Behind is sorted.
	Behind []identifier.VM
}

// Ready reports that this VM has a configuration to serve with. It is emitted
// once.
type Ready struct{}

// WriteBackStarted reports that the store has an older document than this VM,
// and that the VM is writing its newer one back. Store and Own are the two
// revisions.
type WriteBackStarted struct{ Store, Own identifier.Revision }

// Rejected reports a document that could not be decoded.
type Rejected struct{ Err error }

// ReadStore reads the configuration's entry in the store.
type ReadStore struct{}

// SwapStore writes the entry if the store's version equals Expected.
type SwapStore struct {
	Expected keeper.Version
	Value    []byte
}

// StartWatch starts a watch for versions of the entry after After.
type StartWatch struct{ After keeper.Version }

// StopWatch ends the watch. No WatchBroken follows.
type StopWatch struct{}

// Send sends a message to another VM. Messages may be lost.
type Send struct {
	To      identifier.VM
	Message Message
}

// WakeAt schedules a Wake. It replaces the previous WakeAt.
type WakeAt struct{ At time.Time }

func (InForce) outcome()          {}
func (SubmitEnded) outcome()      {}
func (RolloutEnded) outcome()     {}
func (Ready) outcome()            {}
func (WriteBackStarted) outcome() {}
func (Rejected) outcome()         {}
func (ReadStore) outcome()        {}
func (SwapStore) outcome()        {}
func (StartWatch) outcome()       {}
func (StopWatch) outcome()        {}
func (Send) outcome()             {}
func (WakeAt) outcome()           {}
