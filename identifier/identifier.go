// Package identifier names the ids and units that the duties share.
//
// Every id is a named string or number, so that a VM cannot be passed where
// an upstream is meant. Units are part of the type's name or doc comment.
package identifier

// VM is the id of one entry VM, unique inside a deployment.
type VM string

// Incarnation numbers the starts of one process. A later start has a higher
// number.
type Incarnation uint64

// DataCentre is the id of one data centre.
type DataCentre string

// Upstream is the id of a runner or of a plain service instance.
type Upstream string

// Pool is the id of the upstreams that serve one group of models.
type Pool string

// Shard is the id of a part of a pool that one owner VM keeps the ledger of.
type Shard string

// Class is the name of a class of work with its own latency targets.
type Class string

// Workspace is the id of the caller's organisation or seat.
type Workspace string

// Model is the name of a model as callers write it.
type Model string

// Request is the key of one caller's request: the caller's idempotency key
// or a UUIDv7 made by the entry VM.
type Request string

// Attempt numbers the attempts of one request from 1.
type Attempt uint32

// Revision numbers the accepted configurations. It only rises.
type Revision uint64

// Fence is the fencing number of an order to an engine. It only rises.
type Fence uint64

// Sequence numbers the events or messages of one source.
type Sequence uint64

// Block is the hash of a prompt from its first token to the end of one
// block of BlockTokens tokens.
type Block uint64

// Tokens counts tokens.
type Tokens int

// Pieces counts the pieces of PieceTokens tokens in which engine memory is
// allotted.
type Pieces int

// BlockTokens is the length of one prefix block in tokens.
const BlockTokens Tokens = 256

// PieceTokens is the length of one piece of engine memory in tokens.
const PieceTokens Tokens = 2000

// PiecesFor returns the pieces that hold n tokens.
func PiecesFor(n Tokens) Pieces {
	return Pieces((n + PieceTokens - 1) / PieceTokens)
}

// Hold is the identity of one attempt's memory on an engine.
type Hold struct {
	// VM is the entry VM that runs the attempt.
	VM VM
	// Incarnation is the start of that VM in which the attempt began.
	Incarnation Incarnation
	// Request and Attempt are never both reused.
	Request Request
	// Attempt is at least 1.
	Attempt Attempt
}

// Role is the duty of a runner in a pool, or Plain for a plain service.
type Role string

// The roles of upstreams.
const (
	RolePrefill Role = "Prefill"
	RoleDecode  Role = "Decode"
	RolePlain   Role = "Plain"
)
