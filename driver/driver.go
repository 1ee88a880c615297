// Package driver is the client side of the engines' protocol.
//
// Other packages use an engine only through the interface Engine. NewHTTP
// implements it over HTTP; an implementation for another protocol would be one
// more file.
package driver

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/identifier"
)

// Engine is a client of one LLM engine. Its methods are safe for concurrent use
// and return when ctx ends. Their errors are of type *Error.
type Engine interface {
	// Load returns the load that the engine reports, which lags behind its
	// actual load.
	Load(ctx context.Context) (Load, error)
	// CacheEvents returns the cache events with sequence numbers above after.
	CacheEvents(ctx context.Context, after identifier.Sequence) ([]CacheEvent, error)
	// Prefill computes the KV cache of a prompt and keeps it for a short time.
	Prefill(ctx context.Context, request PrefillRequest) (PrefillResult, error)
	// Import makes a decode engine reserve memory and pull the KV cache from
	// the prefill engine. The KV cache does not pass through figtrack.
	Import(ctx context.Context, request ImportRequest) (ImportResult, error)
	// Decode starts the token stream of a hold whose KV cache was imported.
	Decode(ctx context.Context, request DecodeRequest) (Stream, error)
	// Resume reads a stream that was started before, from the token with the
	// index from on.
	Resume(ctx context.Context, hold identifier.Hold, from identifier.Tokens) (Stream, error)
	// Release frees all that the engine holds for an attempt, at any stage. It
	// is idempotent.
	Release(ctx context.Context, hold identifier.Hold) error
	// Holds lists the engine's holds and returns its incarnation.
	Holds(ctx context.Context) (Holds, error)
	// Order changes the models, adapters, version or role of the engine.
	Order(ctx context.Context, order Order) (OrderResult, error)
}

// Load is the load that an engine reports.
type Load struct {
	Incarnation identifier.Incarnation
	// At is the time that the load refers to, by the engine's clock.
	At              time.Time
	Running, Queued int
	FreePieces      identifier.Pieces
	// Leaving is true if the engine accepts no new work.
	Leaving bool
	Role    identifier.Role
	Models  []identifier.Model
}

// CacheEvent lists the blocks that one change added to an engine's prefix cache
// or removed from it.
type CacheEvent struct {
	Sequence       identifier.Sequence
	Added, Removed []identifier.Block
}

// PrefillRequest is a request to compute the KV cache of a prompt.
type PrefillRequest struct {
	Hold   identifier.Hold
	Model  identifier.Model
	Prompt string
	// Generated is the part of the answer that earlier attempts generated. The
	// KV cache covers the prompt and then Generated.
	Generated string
	// Tokens is the length of the prompt and Generated together.
	Tokens    identifier.Tokens
	Prefix    []identifier.Block
	MaxOutput identifier.Tokens
	// Priority orders the engine's queue; lower runs first.
	Priority int
}

// PrefillResult describes a finished prefill. The engine keeps its KV cache for
// a short time.
type PrefillResult struct {
	// Cached is how many tokens were found in the prefix cache.
	Cached identifier.Tokens
	// Took is the duration of the prefill without the time in the engine's
	// queue.
	Took time.Duration
}

// ImportRequest is a request to a decode engine to reserve memory and pull a KV
// cache.
type ImportRequest struct {
	Hold identifier.Hold
	// From is the address (host:port) of the prefill engine.
	From   string
	Tokens identifier.Tokens
	Pieces identifier.Pieces
}

// ImportResult holds the duration of a transfer.
type ImportResult struct{ Took time.Duration }

// DecodeRequest is a request to start a stream.
type DecodeRequest struct {
	Hold identifier.Hold
	// From is the index of the first token to generate; earlier attempts
	// generated those before it.
	From identifier.Tokens
	// MaxOutput is the maximum length of the whole answer, including the tokens
	// before From.
	MaxOutput identifier.Tokens
	Stop      []string
}

// Token is one token of an answer.
type Token struct {
	// Index is the position in the answer, from 0.
	Index identifier.Tokens
	Text  string
	// Finish is "stop" or "length" for the last token of the answer, otherwise
	// empty.
	Finish string
}

// Stream reads the tokens of one attempt in order. Next returns io.EOF after
// the last token; any other error means that the answer is incomplete.
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
	// Read is when a client last read tokens of the hold's stream, by the
	// engine's clock; zero before the first read.
	Read time.Time
}

// Holds is an engine's list of holds.
type Holds struct {
	Incarnation identifier.Incarnation
	Holds       []HoldState
	// TellsRead is true if the engine sets HoldState.Read.
	TellsRead bool
}

// Order changes what an engine serves. Empty fields change nothing.
type Order struct {
	Fence    identifier.Fence
	Models   []identifier.Model
	Adapters []string
	Version  string
	Role     identifier.Role
}

// OrderResult is what the engine serves after an order.
type OrderResult struct {
	// Refused is true if the engine had seen a higher fencing number before and
	// did not apply the order.
	Refused bool
	// Highest is the highest fencing number that the engine has seen; zero if
	// it doesn't check them.
	Highest identifier.Fence
	Models  []identifier.Model
	Version string
	Role    identifier.Role
}

// Kind classifies a failed call by what is known about the engine's state.
type Kind string

// The kinds of errors.
const (
	// KindNotRun means that the engine did not act: the request was not sent,
	// or the engine refused it.
	KindNotRun Kind = "NotRun"
	// KindFull means that the engine had no room and holds nothing.
	KindFull Kind = "Full"
	// KindGone means that the engine has no such hold, or no longer has it.
	KindGone Kind = "Gone"
	// KindLeaving means that the engine accepts no new work.
	KindLeaving Kind = "Leaving"
	// KindUnknown means that the engine may have acted.
	KindUnknown Kind = "Unknown"
)

// Error is the error of a failed call.
type Error struct {
	Kind     Kind
	Upstream identifier.Upstream
	Err      error
}

// Error returns the upstream, the kind and the cause.
func (e *Error) Error() string {
	return "engine " + string(e.Upstream) + ": " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of the *Error in err's chain, or KindUnknown if there
// is none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindUnknown
}
