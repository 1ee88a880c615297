// Package identifier defines the ids and units that the packages share.
//
// Each id has its own string or number type, so that a VM can't be passed
// where an upstream is expected. Units are part of the type's name or doc
// comment.
package identifier

import "cmp"

// VM is the id of an entry VM, a process that accepts requests of callers. It
// is unique inside a deployment.
type VM string

// Incarnation numbers the starts of one process. A later start has a higher
// number.
type Incarnation uint64

// DataCentre is the id of one data centre.
type DataCentre string

// Upstream is the id of a server that requests are sent to: a runner, which
// runs an LLM engine, or an instance of a plain service, which is any other
// HTTP service.
type Upstream string

// Pool is the id of a pool, the upstreams that serve one group of models.
type Pool string

// Shard is the id of a part of a pool. One VM, its owner, keeps the ledger of
// the engines in it.
type Shard string

// Class is the name of a class of requests that have the same latency targets.
type Class string

// Workspace is the id of the caller's organisation or seat.
type Workspace string

// Model is the name of a model as callers send it.
type Model string

// Request is the id of a caller's request: the caller's idempotency key or a
// UUIDv7 made by the entry VM.
type Request string

// Attempt is the number of one attempt to run a request, from 1.
type Attempt uint32

// Revision is the number of an accepted configuration. It only increases.
type Revision uint64

// Software is the version of a runner's software. Versions have no order. As a choice of
// runners it is empty for any version.
type Software string

// SoftwareUnstated is the version of all runners that state none.
const SoftwareUnstated Software = "unstated"

// Stated returns the version of a runner by what it states.
func (s Software) Stated() Software { return cmp.Or(s, SoftwareUnstated) }

// Fence is the fencing token of an order to an engine. It only increases.
type Fence uint64

// Sequence numbers the events or messages of one source.
type Sequence uint64

// Block is the hash of a prompt from its first token to the end of one
// block of BlockTokens tokens.
type Block uint64

// Rate is a number of requests a second.
type Rate float64

// Tokens is a number of tokens.
type Tokens int

// Pieces is a number of pieces. A piece is the unit in which engine memory is
// allocated; it holds PieceTokens tokens.
type Pieces int

// BlockTokens is the length of one prefix block in tokens.
const BlockTokens Tokens = 256

// PieceTokens is the length of one piece of engine memory in tokens.
const PieceTokens Tokens = 2000

// PiecesFor returns the number of pieces that n tokens need.
func PiecesFor(n Tokens) Pieces {
	return Pieces((n + PieceTokens - 1) / PieceTokens)
}

// Hold identifies the memory that one attempt uses on an engine.
type Hold struct {
	// VM is the entry VM that runs the attempt.
	VM VM
	// Incarnation is the start of that VM in which the attempt began.
	Incarnation Incarnation
	// Request and Attempt together are never reused.
	Request Request
	// Attempt is at least 1.
	Attempt Attempt
}

// Role is what an upstream does in its pool: a runner prefills or decodes, a
// plain service is RolePlain.
type Role string

// The roles of upstreams.
const (
	RolePrefill Role = "Prefill"
	RoleDecode  Role = "Decode"
	RolePlain   Role = "Plain"
)
