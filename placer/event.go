// Package placer scores where a request's prefill and decode would run, in
// seconds until its first token. It learns what prefills cost and which
// prefixes each prefill engine has cached.
package placer

import (
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// Event is what the core is told. The set is sealed.
type Event interface{ event() }

// CacheChanged is one event of an engine's prefix cache. Events may come
// late and with gaps.
type CacheChanged struct {
	Upstream       identifier.Upstream
	Sequence       identifier.Sequence
	Added, Removed []identifier.Block
}

// Placed says that a prefill was ordered, after which its blocks are cached.
type Placed struct {
	Upstream identifier.Upstream
	Prefix   []identifier.Block
}

// Prefilled reports what a prefill cost.
type Prefilled struct {
	Upstream identifier.Upstream
	Prompt   identifier.Tokens
	// Expected is the length of the cached prefix that was predicted.
	Expected identifier.Tokens
	Cached   identifier.Tokens
	Took     time.Duration
}

// Gone says that an engine's cache is lost.
type Gone struct{ Upstream identifier.Upstream }

func (CacheChanged) event() {}
func (Placed) event()       {}
func (Prefilled) event()    {}
func (Gone) event()         {}

// Outcome is what the core decides. The set is sealed.
type Outcome interface{ outcome() }

// IndexDropped says that an engine's index was dropped after a gap.
type IndexDropped struct {
	Upstream identifier.Upstream
	// Missed is the number of events that never came.
	Missed uint64
}

func (IndexDropped) outcome() {}
