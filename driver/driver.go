// Package driver speaks the protocol of the engines.
//
// Engine is all that the other packages know of an engine. The HTTP form of
// the protocol is one implementation; another protocol is one more file.
package driver

import (
	"context"
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// Engine is one runner as figtrack uses it. All methods are safe for use by
// several goroutines and end when ctx ends. Errors are of type *Error.
type Engine interface {
	// Load returns the engine's own, lagging statement of its load.
	Load(ctx context.Context) (Load, error)
	// CacheEvents returns the cache events after a sequence number.
	CacheEvents(ctx context.Context, after identifier.Sequence) ([]CacheEvent, error)
	// Prefill computes the KV cache of a prompt and keeps it for a short time.
	Prefill(ctx context.Context, order PrefillOrder) (PrefillResult, error)
	// Import reserves memory on a decode engine and pulls the KV cache from
	// the prefill engine. The KV cache does not pass through figtrack.
	Import(ctx context.Context, order ImportOrder) (ImportResult, error)
	// Decode starts the stream of an imported hold.
	Decode(ctx context.Context, order DecodeOrder) (Stream, error)
	// Resume reads a running stream again from the token numbered from.
	Resume(ctx context.Context, hold identifier.Hold, from identifier.Tokens) (Stream, error)
	// Release drops what the engine holds for an attempt, at any stage. It is
	// idempotent.
	Release(ctx context.Context, hold identifier.Hold) error
	// Holds lists what the engine holds and the engine's incarnation.
	Holds(ctx context.Context) (Holds, error)
	// Order changes models, adapters, versions or the role.
	Order(ctx context.Context, order Order) (OrderResult, error)
}

// Load is an engine's statement of its load.
type Load struct {
	Incarnation identifier.Incarnation
	// At is when the engine took the reading.
	At              time.Time
	Running, Queued int
	FreePieces      identifier.Pieces
	// Leaving says that the engine wants no new work.
	Leaving bool
	Role    identifier.Role
	Models  []identifier.Model
}

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	Sequence       identifier.Sequence
	Added, Removed []identifier.Block
}

// PrefillOrder asks for the KV cache of a prompt.
type PrefillOrder struct {
	Hold      identifier.Hold
	Model     identifier.Model
	Prompt    string
	Tokens    identifier.Tokens
	Prefix    []identifier.Block
	MaxOutput identifier.Tokens
	// Priority orders the engine's queue; lower runs first.
	Priority int
}

// PrefillResult names a KV cache that lives for a short time.
type PrefillResult struct {
	Cached identifier.Tokens
	// Took is the engine's time for the prefill without its queue.
	Took time.Duration
}

// ImportOrder asks a decode engine to reserve memory and pull a KV cache.
type ImportOrder struct {
	Hold identifier.Hold
	// From is the address (host:port) of the prefill engine.
	From   string
	Tokens identifier.Tokens
	Pieces identifier.Pieces
}

// ImportResult tells how long the transfer took.
type ImportResult struct{ Took time.Duration }

// DecodeOrder starts a stream.
type DecodeOrder struct {
	Hold      identifier.Hold
	MaxOutput identifier.Tokens
	Stop      []string
}

// Token is one part of an answer.
type Token struct {
	// Index counts from 0.
	Index identifier.Tokens
	Text  string
	// Finish is empty but for the last token: "stop" or "length".
	Finish string
}

// Stream gives the tokens of one attempt in order. Next returns io.EOF after
// the last token; any other error means that the answer is not whole.
type Stream interface {
	Next() (Token, error)
	Close() error
}

// HoldState is one entry of an engine's list of holds.
type HoldState struct {
	Hold   identifier.Hold
	Pieces identifier.Pieces
	// Since is when the hold began.
	Since time.Time
}

// Holds is what an engine holds.
type Holds struct {
	Incarnation identifier.Incarnation
	Holds       []HoldState
}

// Order changes what an engine serves. Empty fields are left as they are.
type Order struct {
	Fence    identifier.Fence
	Models   []identifier.Model
	Adapters []string
	Version  string
	Role     identifier.Role
}

// OrderResult is what the engine serves after the order.
type OrderResult struct {
	// Refused says that the fencing number was older than one seen before.
	Refused bool
	// Highest is the highest fencing number seen; zero if not checked.
	Highest identifier.Fence
	Models  []identifier.Model
	Version string
	Role    identifier.Role
}

// Kind says what is known after a failed call.
type Kind string

// The kinds of errors.
const (
	// KindNotRun means that the engine did not act: nothing was sent, or the
	// engine said so itself.
	KindNotRun Kind = "NotRun"
	// KindFull means that the engine had no room and holds nothing.
	KindFull Kind = "Full"
	// KindGone means that the engine does not know the hold (any more).
	KindGone Kind = "Gone"
	// KindLeaving means that the engine takes no new work.
	KindLeaving Kind = "Leaving"
	// KindUnknown means that the engine may have acted.
	KindUnknown Kind = "Unknown"
)

// Error is the outcome of a failed call.
type Error struct {
	Kind     Kind
	Upstream identifier.Upstream
	Err      error
}

// Error describes the failure.
func (e *Error) Error() string {
	return "engine " + string(e.Upstream) + ": " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
