package admitter

import (
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// Event is an input of the core. Only this package implements it.
type Event interface{ event() }

// Key identifies one attempt of a request.
type Key struct {
	Request identifier.Request
	Attempt identifier.Attempt
}

// Ask requests a placement for one attempt.
type Ask struct {
	Key
	Class     identifier.Class
	Workspace identifier.Workspace
	Model     identifier.Model
	// From is the entry VM that will run the attempt.
	From identifier.VM
	// FromDataCentre is the data centre of that VM.
	FromDataCentre identifier.DataCentre
	// Prompt is the length of the prompt in tokens.
	Prompt identifier.Tokens
	// MaxOutput is the maximum number of generated tokens, at least 1.
	MaxOutput identifier.Tokens
	// Prefix holds the hashes of the full blocks of the prompt, in order.
	Prefix []identifier.Block
	// Arrived is when the caller's request reached its entry VM.
	Arrived time.Time
	// Excluded lists the upstreams on which this request has failed.
	Excluded []identifier.Upstream
	// Continues is true if part of the answer was already sent to the caller.
	// Such a request was accepted before and does not count against the retry
	// budget.
	Continues bool
}

// Stage is the progress of a placed attempt.
type Stage string

// The stages of a placed attempt.
const (
	StagePrefilling   Stage = "Prefilling"
	StageTransferring Stage = "Transferring"
	StageDecoding     Stage = "Decoding"
)

// Adopt informs a new owner of the shard of an attempt that an earlier owner
// placed.
type Adopt struct {
	Ask
	Prefill identifier.Upstream
	Decode  identifier.Upstream
	// Pieces is the reserved decode memory.
	Pieces identifier.Pieces
	Stage  Stage
}

// Withdraw ends an attempt, at any stage, after its caller has disconnected.
type Withdraw struct{ Key }

// PrefillEnded reports a completed prefill.
type PrefillEnded struct {
	Key
	// Cached is the length of the prompt prefix that the engine found in its
	// cache.
	Cached identifier.Tokens
	// Took is the prefill time measured by the engine, without queueing.
	Took time.Duration
}

// TransferEnded reports that the decode engine has received the KV cache.
type TransferEnded struct {
	Key
	Took time.Duration
}

// TransferFailed reports a transfer that stalled or that the decode engine
// refused. The prefill result may still be available for another transfer.
type TransferFailed struct {
	Key
	// Full is true if the decode engine had no free memory.
	Full bool
}

// FirstToken reports that the first token reached the entry VM.
type FirstToken struct{ Key }

// Ended reports that an attempt has ended and holds no resources any more.
type Ended struct {
	Key
	// Output is the number of generated tokens.
	Output identifier.Tokens
	// Failed is true if the attempt ended before its answer was complete.
	Failed bool
}

// LoadReport is the load reported by an engine itself; it lags behind.
type LoadReport struct {
	Upstream identifier.Upstream
	// At is when the engine sampled the values.
	At time.Time
	// Running and Queued count the requests on the engine.
	Running, Queued int
	// FreePieces is the free memory of a decode engine.
	FreePieces identifier.Pieces
}

// CacheReport is one change of an engine's prefix cache. Reports may arrive
// late and with gaps in Sequence.
type CacheReport struct {
	Upstream identifier.Upstream
	Sequence identifier.Sequence
	Added    []identifier.Block
	Removed  []identifier.Block
}

// UpstreamState is whether an upstream accepts new work (Up), only finishes its
// current work (Leaving) or is unavailable (Down).
type UpstreamState string

// The states of an upstream.
const (
	UpstreamUp      UpstreamState = "Up"
	UpstreamLeaving UpstreamState = "Leaving"
	UpstreamDown    UpstreamState = "Down"
)

// Upstream describes one runner of the shard.
type Upstream struct {
	ID         identifier.Upstream
	DataCentre identifier.DataCentre
	Role       identifier.Role
	// Pieces is the total memory of a decode engine.
	Pieces identifier.Pieces
	// Streams is the maximum number of requests that a decode engine runs
	// concurrently.
	Streams int
	State   UpstreamState
}

// UpstreamChanged adds an upstream or changes its state or role.
type UpstreamChanged struct{ Upstream Upstream }

// ClassChanged adds a class or changes its targets.
type ClassChanged struct{ Class Class }

// Class is a class of requests with its latency targets.
type Class struct {
	Name identifier.Class
	// FirstToken is the target from arrival to the first token.
	FirstToken time.Duration
	// PerToken is the target for the mean time between later tokens.
	PerToken time.Duration
	// Patience is how long after FirstToken an answer is still useful. Zero
	// means that a late answer is useless.
	Patience time.Duration
}

// Wake lets the core handle whatever has become due.
type Wake struct{}

func (Ask) event()             {}
func (Withdraw) event()        {}
func (PrefillEnded) event()    {}
func (TransferEnded) event()   {}
func (TransferFailed) event()  {}
func (FirstToken) event()      {}
func (Ended) event()           {}
func (LoadReport) event()      {}
func (CacheReport) event()     {}
func (UpstreamChanged) event() {}
func (ClassChanged) event()    {}
func (Wake) event()            {}
