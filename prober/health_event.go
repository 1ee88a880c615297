package prober

import (
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// HealthEvent is what the health core is told. The set is sealed.
type HealthEvent interface{ healthEvent() }

// Succeeded reports a call of live traffic, or a probe, that was answered.
type Succeeded struct {
	Upstream identifier.Upstream
	// Incarnation is the engine's start; zero if the answer did not say.
	Incarnation identifier.Incarnation
}

// Failed reports a call of live traffic, or a probe, that found no upstream.
// A refusal by the upstream itself is a success.
type Failed struct{ Upstream identifier.Upstream }

// AnsweredLeaving reports an upstream's own answer on whether it is leaving.
type AnsweredLeaving struct {
	Upstream identifier.Upstream
	Leaving  bool
}

// Noticed reports what another source says of an upstream.
type Noticed struct {
	Upstream identifier.Upstream
	Leaving  bool
	Source   Source
}

// Assigned replaces the set of upstreams of the configuration, and names
// those that this VM probes when they are idle.
type Assigned struct {
	All []identifier.Upstream
	// Probed are the upstreams whose owner is this VM. It is part of All.
	Probed []identifier.Upstream
	// Retired are the upstreams that the configuration has as leaving.
	Retired []identifier.Upstream
}

// HealthWake lets the core act on what has become due.
type HealthWake struct{}

func (Succeeded) healthEvent()       {}
func (Failed) healthEvent()          {}
func (AnsweredLeaving) healthEvent() {}
func (Noticed) healthEvent()         {}
func (Assigned) healthEvent()        {}
func (HealthWake) healthEvent()      {}

// HealthOutcome is what the health core decides. The set is sealed.
type HealthOutcome interface{ healthOutcome() }

// Health is the usability of an upstream.
type Health string

// The states of an upstream.
const (
	HealthUp      Health = "Up"
	HealthLeaving Health = "Leaving"
	HealthDown    Health = "Down"
)

// HealthChanged is the new state of an upstream.
type HealthChanged struct {
	Upstream identifier.Upstream
	Health   Health
	// Sources name who states that it is leaving, sorted.
	Sources []Source
}

// ProbeUpstream asks for one cheap call to an upstream, whose result comes
// back as Succeeded or Failed.
type ProbeUpstream struct{ Upstream identifier.Upstream }

// Announce asks to tell all VMs what the upstream answered, by an
// UpstreamLeaving event of the membership.
type Announce struct {
	Upstream identifier.Upstream
	Leaving  bool
}

// HealthWakeAt asks for a HealthWake at a time. A later one replaces it.
type HealthWakeAt struct{ At time.Time }

func (HealthChanged) healthOutcome() {}
func (ProbeUpstream) healthOutcome() {}
func (Announce) healthOutcome()      {}
func (HealthWakeAt) healthOutcome()  {}
