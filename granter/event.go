// Package granter keeps the ledger of the engines of one shard: the memory and
// streams of decode engines, the queues of prefill engines and the links over
// which KV cache moves.
//
// Pace is the time per output token of a stream.
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

// Event is an input of Core. The set is sealed.
type Event interface{ event() }

// EngineChanged adds an engine or changes it.
type EngineChanged struct {
	ID         identifier.Upstream
	DataCentre identifier.DataCentre
	Role       identifier.Role
	Pieces     identifier.Pieces
	Streams    int
	// Open is true if the engine takes new work.
	Open bool
	// Alive is true if work on the engine goes on.
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
	// PerToken is the class's target for the time per output token; zero if it
	// has none.
	PerToken time.Duration
	// ArrivesAt is when the request is expected to arrive at the prefill engine.
	ArrivesAt time.Time
	// Cost is the predicted duration of the prefill.
	Cost time.Duration
	// Transfer is the predicted duration of the transfer.
	Transfer time.Duration
	// Promised is true if the memory isn't free yet but expected to be when it
	// is needed.
	Promised bool
}

// PrefillEnded reports a finished prefill. The engine keeps its result for a
// limited time from At on.
type PrefillEnded struct {
	Key
	At time.Time
}

// TransferEnded reports that the decode engine has received the KV cache.
type TransferEnded struct {
	Key
	// Took is the measured duration; zero if it is not known.
	Took time.Duration
}

// FirstToken reports the first output token of a stream.
type FirstToken struct{ Key }

// Release frees all that an attempt holds.
type Release struct {
	Key
	// Output is the number of generated tokens; valid only if Completed.
	Output identifier.Tokens
	// Completed is true if the stream completed.
	Completed bool
}

// Reassign moves the booked decode memory of an attempt to another engine.
type Reassign struct {
	Key
	Decode identifier.Upstream
	// Transfer is the predicted duration of the transfer.
	Transfer time.Duration
}

// Park frees the decode memory of an attempt whose prefill result still exists.
// The attempt then waits for memory on another engine.
type Park struct {
	Key
	// Stalled is true if the transfer made no progress; the link is then paused.
	Stalled bool
}

// Load is an engine's report of its load at At, which arrives later.
type Load struct {
	ID         identifier.Upstream
	At         time.Time
	FreePieces identifier.Pieces
	Running    int
}

// Expire drops the grants that had no report for too long.
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

// Outcome is a decision of Core. The set is sealed.
type Outcome interface{ outcome() }

// Expired reports that a grant was dropped because its VM sent no report in
// time, or because the engine no longer holds its overdue stream.
type Expired struct {
	Key
	VM identifier.VM
}

// Stranded reports that an engine which a grant needs is no longer alive.
type Stranded struct {
	Key
	// Decode is true if only the decode engine is lost, before the stream
	// began, so that the prefill can be used with another one.
	Decode bool
}

func (Expired) outcome()  {}
func (Stranded) outcome() {}
