// Package granter keeps the exact ledger of the engines of one shard: the
// memory and streams of decode engines, the queues of prefill engines and
// the links over which KV cache moves.
package granter

import (
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// Key is the identity of one attempt of a request.
type Key struct {
	Request identifier.Request
	Attempt identifier.Attempt
}

// Event is what the core is told. The set is sealed.
type Event interface{ event() }

// EngineChanged adds an engine or changes it.
type EngineChanged struct {
	ID         identifier.Upstream
	DataCentre identifier.DataCentre
	Role       identifier.Role
	Pieces     identifier.Pieces
	Streams    int
	// Open says that the engine takes new work.
	Open bool
	// Alive says that work on the engine goes on.
	Alive bool
}

// Reserve books a prefill and decode memory for an attempt.
type Reserve struct {
	Key
	VM        identifier.VM
	Class     identifier.Class
	Prefill   identifier.Upstream
	Decode    identifier.Upstream
	Pieces    identifier.Pieces
	Prompt    identifier.Tokens
	MaxOutput identifier.Tokens
	// PerToken is the class's target for the token pace.
	PerToken time.Duration
	// Reaches is when the order reaches the prefill engine.
	Reaches time.Time
	// Cost is the predicted time of the prefill.
	Cost time.Duration
	// Transfer is the predicted time of the transfer.
	Transfer time.Duration
	// Promised says that the memory is expected, not yet free.
	Promised bool
}

// PrefillEnded reports a finished prefill; its result lives from At.
type PrefillEnded struct {
	Key
	At time.Time
}

// TransferEnded reports that the decode engine holds the KV cache.
type TransferEnded struct {
	Key
	Took time.Duration
}

// FirstToken reports the first token of a stream.
type FirstToken struct{ Key }

// Release frees all that an attempt holds.
type Release struct {
	Key
	// Output is the count of generated tokens if Whole.
	Output identifier.Tokens
	// Whole says that the stream came to its own end.
	Whole bool
}

// Reassign books decode memory on another engine.
type Reassign struct {
	Key
	Decode   identifier.Upstream
	Transfer time.Duration
}

// Park gives back the decode memory of an attempt whose prefill result lives.
type Park struct {
	Key
	// Stalled says that the transfer stalled.
	Stalled bool
}

// Load is an engine's lagging statement of its load.
type Load struct {
	ID         identifier.Upstream
	At         time.Time
	FreePieces identifier.Pieces
	Running    int
}

// Expire looks for grants that were never reported on again.
type Expire struct{}

func (EngineChanged) event() {}
func (Reserve) event()       {}
func (PrefillEnded) event()  {}
func (TransferEnded) event() {}
func (FirstToken) event()    {}
func (Release) event()       {}
func (Reassign) event()      {}
func (Park) event()          {}
func (Load) event()          {}
func (Expire) event()        {}

// Outcome is what the core decides. The set is sealed.
type Outcome interface{ outcome() }

// Expired says that a grant was dropped because its VM went silent.
type Expired struct {
	Key
	VM identifier.VM
}

// Stranded says that the engine which a grant needs is gone.
type Stranded struct {
	Key
	// Decode says that the decode engine is gone and the prefill is not.
	Decode bool
}

func (Expired) outcome()  {}
func (Stranded) outcome() {}
