package operator

import (
	"time"

	"github.com/figtrack/figtrack/configurer"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/syncer"
)

// Problem is the body of a failed call.
type Problem struct{ Message string }

// Submission is the result of a submitted change.
type Submission struct {
	Result   syncer.Result
	Revision identifier.Revision
	Conflict *configurer.Conflict `json:",omitempty"`
	// Behind lists the VMs on which the change wasn't in force in time. It is
	// set only for a change submitted with wait.
	Behind []identifier.VM `json:",omitempty"`
	// Everywhere is true if the change is in force on all live VMs.
	Everywhere bool
}

// Status is the state of one VM as it reports it.
type Status struct {
	VM         identifier.VM
	DataCentre identifier.DataCentre
	// Problem is the reason if the VM didn't answer; the fields other than VM
	// are then empty.
	Problem     string `json:",omitempty"`
	Incarnation identifier.Incarnation
	// NotReady is the reason why the VM gets no requests, empty if it does.
	NotReady string `json:",omitempty"`
	Revision identifier.Revision
	// Live lists the VMs that this VM considers live.
	Live []identifier.VM
	// Owned lists the shards whose ledger this VM keeps.
	Owned    []identifier.Shard
	InFlight int
	Classes  []ClassStatus
	// Impaired lists the upstreams that aren't up.
	Impaired     []UpstreamStatus
	StoreCalls   []StoreStatus
	KeysExpireAt time.Time
}

// ClassStatus counts the requests of a class on one VM since its start.
type ClassStatus struct {
	Class                         identifier.Class
	Requests, Answered, InTarget  uint64
	PrefillSeconds, WastedSeconds float64
}

// UpstreamStatus is the health of one upstream as seen by a VM.
type UpstreamStatus struct {
	Upstream identifier.Upstream
	Health   string
}

// StoreStatus counts the calls of one kind to the platform's store that were
// made for one purpose.
type StoreStatus struct {
	Purpose string
	Kind    string
	Calls   uint64
}
