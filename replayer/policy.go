// Package replayer replays a trace in virtual time. A policy places the
// requests on simulated engines, and messages take the delays that the header
// of the trace states.
//
// A replay is single-threaded and runs its tasks in order of time, so that the
// same trace, policy and seed give the same result.
package replayer

import (
	"time"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/tracer"
)

// Policy places requests on engines. An admitter.Core is a Policy.
type Policy interface {
	Step(now time.Time, event admitter.Event) []admitter.Outcome
}

// PolicyFactory is a named policy that makes its instances for a replay.
type PolicyFactory struct {
	Name string
	// PerVM is true if each entry VM runs an instance of its own. Otherwise one
	// owner VM decides for the whole site.
	PerVM bool
	New   func(header tracer.Header, seed uint64) Policy
	// NewShared, if set, is used instead of New. It is called once for each
	// replay and returns a constructor whose instances share the state of the
	// engines.
	NewShared func(header tracer.Header) func(seed uint64) Policy
}

// policyFunc returns the constructor of the policy instances of one replay.
func (m PolicyFactory) policyFunc(header tracer.Header) func(seed uint64) Policy {
	if m.NewShared != nil {
		return m.NewShared(header)
	}
	return func(seed uint64) Policy { return m.New(header, seed) }
}
