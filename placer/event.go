// Package placer scores the engines on which a request's prefill and decode
// could run, by the predicted time to the first token. It learns the cost of
// prefills and which prefixes each prefill engine has cached.
package placer

import (
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// Event is an input of the core. Only this package implements it.
type Event interface{ event() }

// CacheChanged is one change of an engine's prefix cache. Events may arrive
// late and with gaps in Sequence.
type CacheChanged struct {
	Upstream       identifier.Upstream
	Sequence       identifier.Sequence
	Added, Removed []identifier.Block
}

// Placed reports that a prefill was ordered. Its blocks are then assumed to be
// cached.
type Placed struct {
	Upstream identifier.Upstream
	Prefix   []identifier.Block
}

// Prefilled reports the cost of a completed prefill.
type Prefilled struct {
	Upstream identifier.Upstream
	Prompt   identifier.Tokens
	// Expected is the predicted length of the cached prefix.
	Expected identifier.Tokens
	Cached   identifier.Tokens
	Took     time.Duration
}

// CacheLost reports that an engine has lost its cache.
type CacheLost struct{ Upstream identifier.Upstream }

func (CacheChanged) event() {}
func (Placed) event()       {}
func (Prefilled) event()    {}
func (CacheLost) event()    {}

// Outcome is a decision of the core. Only this package implements it.
type Outcome interface{ outcome() }

// IndexDropped reports that the index of an engine was dropped because too many
// events were missing.
type IndexDropped struct {
	Upstream identifier.Upstream
	// Missed is the number of events that did not arrive.
	Missed uint64
}

func (IndexDropped) outcome() {}
