package prober

import "github.com/figtrack/figtrack/identifier"

// State is the state of a VM as seen by another VM.
type State uint8

// The states of a VM. Between records of the same incarnation and refutation,
// the higher state wins.
const (
	Alive State = iota
	Suspect
	Dead
)

// String returns the name of the state.
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

// Record describes a VM and its state, as exchanged between VMs.
type Record struct {
	VM         identifier.VM
	Address    string
	DataCentre identifier.DataCentre
	// Incarnation increases with each start of the VM's process.
	Incarnation identifier.Incarnation
	// Refutation is increased only by the VM itself, when it refutes a
	// suspicion or begins to leave, within one incarnation.
	Refutation uint32
	State      State
	// Leaving is true if the VM is in its graceful shutdown.
	Leaving bool
}

// isNewer reports whether r replaces old.
func (r Record) isNewer(old Record) bool {
	if r.Incarnation != old.Incarnation {
		return r.Incarnation > old.Incarnation
	}
	if r.Refutation != old.Refutation {
		return r.Refutation > old.Refutation
	}
	return r.State > old.State
}

// shared returns the record as it is sent to other VMs, where a dead VM is only
// suspect: each VM decides by itself whether another one is dead.
func (r Record) shared() Record {
	r.State = min(r.State, Suspect)
	return r
}

// Source identifies who reported that an upstream is leaving.
type Source string

// The sources of leaving notices.
const (
	SourceConfiguration Source = "Configuration"
	SourcePlatformList  Source = "PlatformList"
	SourceUpstream      Source = "Upstream"
	// SourceOperator is an operator's retirement of an upstream that may not
	// be in the configuration yet because the store is down.
	SourceOperator Source = "Operator"
)

// Notice reports to all VMs whether an upstream is leaving, by one source.
type Notice struct {
	Upstream identifier.Upstream
	// Sequence increases with each change of the state. The higher one wins.
	Sequence uint64
	Leaving  bool
	Source   Source
}

// isNewer reports whether n replaces old.
func (n Notice) isNewer(old Notice) bool {
	if n.Sequence != old.Sequence {
		return n.Sequence > old.Sequence
	}
	return n.Leaving && !old.Leaving
}

// Hint names a VM that may exist: a peer from the settings or an entry of the
// platform's list.
type Hint struct {
	VM         identifier.VM
	Address    string
	DataCentre identifier.DataCentre
	Leaving    bool
}

// noticeKey combines the upstream and the source of a notice, as each source
// makes and withdraws its own notices.
type noticeKey string

func (n Notice) key() noticeKey {
	return noticeKey(string(n.Upstream) + "\x00" + string(n.Source))
}
