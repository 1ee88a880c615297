package syncer

import (
	"time"

	"github.com/figtrack/figtrack/configurer"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/keeper"
)

// Outcome is what the core decides. The set is sealed.
type Outcome interface{ outcome() }

// InForce is the new configuration of this VM. Its revision is higher than
// that of each one before.
type InForce struct {
	Document configurer.Document
	// From says where it came from.
	From Origin
	// Changes says in words what changed.
	Changes []string
}

// Origin is where a configuration came from.
type Origin string

// The origins of configurations.
const (
	OriginStore  Origin = "Store"
	OriginPeer   Origin = "Peer"
	OriginSubmit Origin = "Submit"
)

// Result is what became of a submitted change.
type Result string

// The results of changes.
const (
	// ResultAccepted means that the change stands in the store.
	ResultAccepted Result = "Accepted"
	// ResultConflict means that it was refused; nothing changed.
	ResultConflict Result = "Conflict"
	// ResultBusy means that too many changes wait here; nothing changed.
	ResultBusy Result = "Busy"
	// ResultStoreDown means that the store did not answer; nothing changed.
	ResultStoreDown Result = "StoreDown"
	// ResultUnknown means that the change may stand. It can be submitted
	// again under its id.
	ResultUnknown Result = "Unknown"
)

// Submitted answers a Submit.
type Submitted struct {
	Token    Token
	Result   Result
	Revision identifier.Revision
	Conflict *configurer.Conflict
}

// Everywhere follows an accepted Submit that asked for it: the change is in
// force on all live VMs but those named, sorted.
type Everywhere struct {
	Token    Token
	Revision identifier.Revision
	Behind   []identifier.VM
}

// Ready reports once that this VM has a configuration to serve with.
type Ready struct{}

// Mended reports that the store had an older document than this VM, so that
// the newer one is being written back.
type Mended struct{ Store, Own identifier.Revision }

// Rejected reports a document that could not be read.
type Rejected struct{ Err error }

// ReadStore asks for the entry of the configuration.
type ReadStore struct{}

// SwapStore asks to write the entry if its version is the expected one.
type SwapStore struct {
	Expected keeper.Version
	Value    []byte
}

// StartWatch asks for a watch on the entry.
type StartWatch struct{ After keeper.Version }

// StopWatch ends the watch; no WatchBroken follows.
type StopWatch struct{}

// Send passes a message to another VM. Loss is expected.
type Send struct {
	To      identifier.VM
	Message Message
}

// WakeAt asks for a Wake at a time. A later WakeAt replaces it.
type WakeAt struct{ At time.Time }

func (InForce) outcome()    {}
func (Submitted) outcome()  {}
func (Everywhere) outcome() {}
func (Ready) outcome()      {}
func (Mended) outcome()     {}
func (Rejected) outcome()   {}
func (ReadStore) outcome()  {}
func (SwapStore) outcome()  {}
func (StartWatch) outcome() {}
func (StopWatch) outcome()  {}
func (Send) outcome()       {}
func (WakeAt) outcome()     {}
