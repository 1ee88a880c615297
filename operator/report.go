package operator

import (
	"time"

	"github.com/figtrack/figtrack/configurer"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/syncer"
)

// Problem is the body of a failed call.
type Problem struct{ Message string }

// Submission is what became of a change.
type Submission struct {
	Result   syncer.Result
	Revision identifier.Revision
	Conflict *configurer.Conflict `json:",omitempty"`
	// Behind are the VMs on which the change was not in force in time. It is
	// filled only for a change that waits.
	Behind []identifier.VM `json:",omitempty"`
	// Everywhere says that the change is in force on all live VMs.
	Everywhere bool
}

// Status is what one VM tells of itself.
type Status struct {
	VM         identifier.VM
	DataCentre identifier.DataCentre
	// Problem says why the VM did not answer; then the rest is empty.
	Problem     string `json:",omitempty"`
	Incarnation identifier.Incarnation
	// NotReady says why the VM gets no requests; empty if it does.
	NotReady string `json:",omitempty"`
	Revision identifier.Revision
	// Live lists the VMs that this one takes for live.
	Live []identifier.VM
	// Owned lists the shards whose ledger is here.
	Owned    []identifier.Shard
	InFlight int
	Classes  []ClassStatus
	// Upstreams lists the upstreams that are not up.
	Impaired     []UpstreamStatus
	StoreCalls   []StoreStatus
	KeysExpireAt time.Time
}

// ClassStatus is what became of the requests of a class on one VM since its
// start.
type ClassStatus struct {
	Class                         identifier.Class
	Requests, Answered, InTarget  uint64
	PrefillSeconds, WastedSeconds float64
}

// UpstreamStatus is the state of one upstream as a VM sees it.
type UpstreamStatus struct {
	Upstream identifier.Upstream
	Health   string
}

// StoreStatus counts the calls of the platform's store by purpose.
type StoreStatus struct {
	Purpose string
	Kind    string
	Calls   uint64
}
