package admitter

import (
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// Event is what the core is told. The set is sealed.
type Event interface{ event() }

// Key is the identity of one attempt of a request.
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
	// MaxOutput is the most tokens that may be generated, at least 1.
	MaxOutput identifier.Tokens
	// Prefix holds the hashes of the prompt's whole blocks, first to last.
	Prefix []identifier.Block
	// Arrived is when the caller's request reached its entry VM.
	Arrived time.Time
	// Excluded lists the upstreams that failed this request before.
	Excluded []identifier.Upstream
	// Continues says that a part of the answer has gone to the caller. Such a
	// request was accepted: it is no retry that a budget may refuse.
	Continues bool
}

// Stage is how far a placed attempt has come.
type Stage string

// The stages of a placed attempt.
const (
	StagePrefilling   Stage = "Prefilling"
	StageTransferring Stage = "Transferring"
	StageDecoding     Stage = "Decoding"
)

// Adopt tells a new owner of the shard of an attempt that an earlier owner has
// placed.
type Adopt struct {
	Ask
	Prefill identifier.Upstream
	Decode  identifier.Upstream
	// Pieces is the decode memory that was reserved.
	Pieces identifier.Pieces
	Stage  Stage
}

// Withdraw ends an attempt whose caller is gone, at any stage.
type Withdraw struct{ Key }

// PrefillEnded reports a finished prefill.
type PrefillEnded struct {
	Key
	// Cached is the length of the prefix that the engine found in its cache.
	Cached identifier.Tokens
	// Took is the engine's own time for the prefill, without its queue.
	Took time.Duration
}

// TransferEnded reports that the decode engine holds the KV cache.
type TransferEnded struct {
	Key
	Took time.Duration
}

// TransferFailed reports a transfer that stalled or was refused by the
// decode engine. The prefill result may still live.
type TransferFailed struct {
	Key
	// Full says that the decode engine had no memory.
	Full bool
}

// FirstToken reports the first token at the entry VM.
type FirstToken struct{ Key }

// Ended reports that the attempt holds nothing any more.
type Ended struct {
	Key
	// Output is the count of generated tokens.
	Output identifier.Tokens
	// Failed says that an upstream broke off the attempt.
	Failed bool
}

// LoadReport is an engine's own, lagging statement of its load.
type LoadReport struct {
	Upstream identifier.Upstream
	// At is when the engine took the reading.
	At time.Time
	// Running and Queued count requests on the engine.
	Running, Queued int
	// FreePieces is the free memory of a decode engine.
	FreePieces identifier.Pieces
}

// CacheReport is one event of an engine's prefix cache. Reports may come
// late and with gaps in Sequence.
type CacheReport struct {
	Upstream identifier.Upstream
	Sequence identifier.Sequence
	Added    []identifier.Block
	Removed  []identifier.Block
}

// UpstreamState is the usability of an upstream.
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
	// Pieces is the whole memory of a decode engine.
	Pieces identifier.Pieces
	// Streams is the most requests that a decode engine runs at once.
	Streams int
	State   UpstreamState
}

// UpstreamChanged adds an upstream or changes its state or role.
type UpstreamChanged struct{ Upstream Upstream }

// ClassChanged adds a class or changes its targets.
type ClassChanged struct{ Class Class }

// Class is a class of work with its targets.
type Class struct {
	Name identifier.Class
	// FirstToken is the target from arrival to the first token.
	FirstToken time.Duration
	// PerToken is the target for the mean time between later tokens.
	PerToken time.Duration
	// Patience is how long past FirstToken a late answer is still wanted.
	// Zero means that a late answer has no worth.
	Patience time.Duration
}

// Wake asks the core to act on what has become due.
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
