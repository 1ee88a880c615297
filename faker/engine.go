package faker

import (
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// EngineSettings are the costs and limits of a stand-in engine.
type EngineSettings struct {
	ID   identifier.Upstream
	Role identifier.Role
	// Models are served from the start, before any order.
	Models []identifier.Model
	// PrefillBase is the fixed cost of one prefill.
	PrefillBase time.Duration
	// PrefillPerToken is the cost of one uncached prompt token.
	PrefillPerToken time.Duration
	// ResultLives is how long a prefill result stays before its eviction.
	ResultLives time.Duration
	// CacheBlocks is the size of the prefix cache in blocks.
	CacheBlocks int
	// StepBase and StepPerStream give the time of one decode step: every
	// running stream gets one token a step.
	StepBase, StepPerStream time.Duration
	// Pieces is the memory of a decode engine.
	Pieces identifier.Pieces
	// Streams is the most streams at once.
	Streams int
	// LinkTokensPerSecond is the rate at which KV cache is imported.
	LinkTokensPerSecond float64
	// LoadLag is the age of a load report.
	LoadLag time.Duration
	// CacheLag is how late cache events come out.
	CacheLag time.Duration
	// CacheLoss is the share of cache events that get lost, from 0 to 1.
	CacheLoss float64
	// Jitter spreads the time of each prefill and decode step evenly by this
	// share to both sides, from 0 to 1.
	Jitter float64
	// EdgeTokens makes a decode engine report only the first and the last
	// token of each stream.
	EdgeTokens bool
	// ChecksFence says that orders with an old fencing number are refused.
	ChecksFence bool
}

// EngineEvent is what a stand-in engine is told. The set is sealed.
type EngineEvent interface{ engineEvent() }

// StartPrefill queues a prefill. Lower Priority runs first.
type StartPrefill struct {
	Hold     identifier.Hold
	Prompt   identifier.Tokens
	Prefix   []identifier.Block
	Priority int
}

// StartImport reserves memory and pulls KV cache from a prefill engine.
type StartImport struct {
	Hold   identifier.Hold
	Tokens identifier.Tokens
	Pieces identifier.Pieces
	// Delay is added to the transfer for the distance between the engines.
	Delay time.Duration
}

// StartDecode runs a stream whose KV cache is imported.
type StartDecode struct {
	Hold identifier.Hold
	// Output is how many tokens the stream will have.
	Output identifier.Tokens
}

// Release drops whatever is held for an attempt, at any stage. It is
// idempotent. A prefill engine gets it when the export has ended.
type Release struct{ Hold identifier.Hold }

// StallLink stops the import link of a decode engine until a time.
type StallLink struct{ Until time.Time }

// Advance lets the engine act on what has become due.
type Advance struct{}

func (StartPrefill) engineEvent() {}
func (StartImport) engineEvent()  {}
func (StartDecode) engineEvent()  {}
func (Release) engineEvent()      {}
func (StallLink) engineEvent()    {}
func (Advance) engineEvent()      {}

// EngineOutcome is what a stand-in engine does. The set is sealed.
type EngineOutcome interface{ engineOutcome() }

// PrefillDone says that a prefill result lives from now on.
type PrefillDone struct {
	Hold   identifier.Hold
	Cached identifier.Tokens
	Took   time.Duration
}

// PrefillRefused says that the prefill queue is full; nothing is held.
type PrefillRefused struct{ Hold identifier.Hold }

// PrefillStopped says that a Release broke off a running prefill.
type PrefillStopped struct {
	Hold identifier.Hold
	// Spent is the engine's time that went into it.
	Spent time.Duration
}

// ResultEvicted says that a prefill result is gone without use.
type ResultEvicted struct{ Hold identifier.Hold }

// ImportDone says that the KV cache is on the decode engine.
type ImportDone struct {
	Hold identifier.Hold
	// Took is the time since StartImport, the link's queue included.
	Took time.Duration
}

// ImportRefused says that the decode engine has no room; nothing is held.
type ImportRefused struct{ Hold identifier.Hold }

// DecodeRefused says that no KV cache of the attempt is on the engine.
type DecodeRefused struct{ Hold identifier.Hold }

// StreamDropped says that a stream outgrew its reserved memory while none
// was free; nothing is held.
type StreamDropped struct{ Hold identifier.Hold }

// TokenMade is one token of a stream, numbered from 0.
type TokenMade struct {
	Hold  identifier.Hold
	Index identifier.Tokens
	// Last says that the stream has ended and its memory is free.
	Last bool
}

// CacheChanged is one event of the prefix cache.
type CacheChanged struct {
	Sequence       identifier.Sequence
	Added, Removed []identifier.Block
}

// AdvanceAt asks for an Advance event at a time. A later one replaces it.
type AdvanceAt struct{ At time.Time }

func (PrefillDone) engineOutcome()    {}
func (PrefillRefused) engineOutcome() {}
func (PrefillStopped) engineOutcome() {}
func (DecodeRefused) engineOutcome()  {}
func (ResultEvicted) engineOutcome()  {}
func (ImportDone) engineOutcome()     {}
func (ImportRefused) engineOutcome()  {}
func (StreamDropped) engineOutcome()  {}
func (TokenMade) engineOutcome()      {}
func (CacheChanged) engineOutcome()   {}
func (AdvanceAt) engineOutcome()      {}
