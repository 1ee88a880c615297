package prober

import "github.com/figtrack/figtrack/identifier"

// State is the state of a VM as others see it.
type State uint8

// The states of a VM. The higher one wins between records of one version.
const (
	Alive State = iota
	Suspect
	Dead
)

// String names the state.
func (s State) String() string {
	switch s {
	case Alive:
		return "Alive"
	case Suspect:
		return "Suspect"
	default:
		return "Dead"
	}
}

// Record is one statement about a VM.
type Record struct {
	VM         identifier.VM
	Address    string
	DataCentre identifier.DataCentre
	// Incarnation rises with each start of the VM's process.
	Incarnation identifier.Incarnation
	// Refutation is raised only by the VM itself, within one incarnation.
	Refutation uint32
	State      State
	// Leaving says that the VM is in its graceful shutdown.
	Leaving bool
}

// newer says whether r replaces old.
func (r Record) newer(old Record) bool {
	if r.Incarnation != old.Incarnation {
		return r.Incarnation > old.Incarnation
	}
	if r.Refutation != old.Refutation {
		return r.Refutation > old.Refutation
	}
	return r.State > old.State
}

// spoken is the record as it is told to others: a VM's death is a verdict
// that each VM reaches itself.
func (r Record) spoken() Record {
	r.State = min(r.State, Suspect)
	return r
}

// Source says who stated that an upstream is leaving.
type Source string

// The sources of a leaving state.
const (
	SourceConfiguration Source = "Configuration"
	SourcePlatformList  Source = "PlatformList"
	SourceUpstream      Source = "Upstream"
	// SourceOperator is a retirement that was submitted but perhaps not
	// accepted yet, because the store is down.
	SourceOperator Source = "Operator"
)

// Notice says whether an upstream is leaving, for all VMs.
type Notice struct {
	Upstream identifier.Upstream
	// Sequence rises with each change of the state. The higher one wins.
	Sequence uint64
	Leaving  bool
	Source   Source
}

// newer says whether n replaces old.
func (n Notice) newer(old Notice) bool {
	if n.Sequence != old.Sequence {
		return n.Sequence > old.Sequence
	}
	return n.Leaving && !old.Leaving
}

// Hint names a VM that may exist: a peer of the settings or an entry of the
// platform's list.
type Hint struct {
	VM         identifier.VM
	Address    string
	DataCentre identifier.DataCentre
	Leaving    bool
}

// noticeKey is the upstream and the source of a notice: each source states
// and takes back its own.
type noticeKey string

func (n Notice) key() noticeKey {
	return noticeKey(string(n.Upstream) + "\x00" + string(n.Source))
}
