package prober

import (
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// HealthEvent is an input of the health core. The set is sealed.
type HealthEvent interface{ healthEvent() }

// Succeeded reports that an upstream answered a call of live traffic or a probe.
// A refusal is an answer.
type Succeeded struct {
	Upstream identifier.Upstream
	// Incarnation identifies the engine's start; zero if the answer lacks it.
	Incarnation identifier.Incarnation
}

// Failed reports a call of live traffic, or a probe, that didn't reach the
// upstream. A refusal by the upstream itself is reported as Succeeded.
type Failed struct{ Upstream identifier.Upstream }

// AnsweredLeaving reports an upstream's own answer on whether it is leaving.
type AnsweredLeaving struct {
	Upstream identifier.Upstream
	Leaving  bool
}

// LeavingNoticed reports whether an upstream is leaving according to another
// source.
type LeavingNoticed struct {
	Upstream identifier.Upstream
	Leaving  bool
	Source   Source
}

// Assigned replaces the set of upstreams of the configuration, and those that
// this VM probes when they are idle.
type Assigned struct {
	All []identifier.Upstream
	// Probed are the upstreams owned by this VM, a subset of All.
	Probed []identifier.Upstream
	// Retired are the upstreams that the configuration marks as leaving.
	Retired []identifier.Upstream
}

// HealthWake makes the health core run what has become due.
type HealthWake struct{}

func (Succeeded) healthEvent()       {}
func (Failed) healthEvent()          {}
func (AnsweredLeaving) healthEvent() {}
func (LeavingNoticed) healthEvent()  {}
func (Assigned) healthEvent()        {}
func (HealthWake) healthEvent()      {}

// HealthOutcome is an action or report that the health core asks of its caller.
// The set is sealed.
type HealthOutcome interface{ healthOutcome() }

// Health is the usability of an upstream.
type Health string

// The states of an upstream.
const (
	HealthUp      Health = "Up"
	HealthLeaving Health = "Leaving"
	HealthDown    Health = "Down"
)

// HealthChanged reports the new state of an upstream.
type HealthChanged struct {
	Upstream identifier.Upstream
	Health   Health
	// Sources are the sources that report it as leaving, sorted.
	Sources []Source
}

// ProbeUpstream requests one cheap call to an upstream, whose result is returned
// as Succeeded or Failed.
type ProbeUpstream struct{ Upstream identifier.Upstream }

// AnnounceLeaving requests that the upstream's answer be sent to all VMs, by an
// UpstreamLeaving event to the membership core.
type AnnounceLeaving struct {
	Upstream identifier.Upstream
	Leaving  bool
}

// HealthWakeAt requests a HealthWake at a given time. It replaces earlier
// requests.
type HealthWakeAt struct{ At time.Time }

func (HealthChanged) healthOutcome()   {}
func (ProbeUpstream) healthOutcome()   {}
func (AnnounceLeaving) healthOutcome() {}
func (HealthWakeAt) healthOutcome()    {}
