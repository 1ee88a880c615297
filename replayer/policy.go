// Package replayer runs a trace in virtual time: the decisions of a policy
// against stand-in engines, with a fixed delay for each message.
//
// One queue of events in order of time drives everything. The same trace,
// policy and seed give the same result.
package replayer

import (
	"time"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/tracer"
)

// Policy decides placements. An admitter.Core is one.
type Policy interface {
	Step(now time.Time, event admitter.Event) []admitter.Outcome
}

// Maker makes the policies of one replay.
type Maker struct {
	Name string
	// PerVM says that each entry VM decides for itself. Else one owner VM
	// decides for the whole site.
	PerVM bool
	New   func(header tracer.Header, seed uint64) Policy
	// Fleet, if set, stands for New: it begins one replay, whose policies share
	// what the engines keep.
	Fleet func(header tracer.Header) func(seed uint64) Policy
}

// begin returns the maker of the policies of one replay.
func (m Maker) begin(header tracer.Header) func(seed uint64) Policy {
	if m.Fleet != nil {
		return m.Fleet(header)
	}
	return func(seed uint64) Policy { return m.New(header, seed) }
}
