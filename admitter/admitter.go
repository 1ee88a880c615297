// Package admitter decides which requests of one shard run, when and where.
//
// The owner VM of a shard keeps one core. Entry VMs send it Ask events and
// what becomes of each attempt; it answers with placements and refusals.
package admitter

import "time"

// Core is the state of one shard. It is advanced only by Step.
type Core struct{}

// Step advances the core. The same events at the same times give the same
// outcomes.
func (c *Core) Step(_ time.Time, _ Event) []Outcome { return nil }
