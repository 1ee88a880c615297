package faker

import (
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// EngineSettings are the costs and limits of a fake engine.
type EngineSettings struct {
	ID   identifier.Upstream
	Role identifier.Role
	// Models are the models that the engine serves until an order changes them.
	Models []identifier.Model
	// PrefillBase is the fixed cost of one prefill.
	PrefillBase time.Duration
	// PrefillPerToken is the cost of one uncached prompt token.
	PrefillPerToken time.Duration
	// ResultLives is how long a prefill result is kept until its eviction.
	ResultLives time.Duration
	// CacheBlocks is the size of the prefix cache in blocks.
	CacheBlocks int
	// StepBase and StepPerStream give the duration of a decode step, which
	// generates one token for each running stream: StepBase plus StepPerStream
	// for each of them.
	StepBase, StepPerStream time.Duration
	// Pieces is the memory of a decode engine.
	Pieces identifier.Pieces
	// Streams is the maximum number of attempts on a decode engine at once.
	Streams int
	// LinkTokensPerSecond is the rate at which KV cache is imported, in tokens
	// per second.
	LinkTokensPerSecond float64
	// LoadLag is the age of a load report.
	LoadLag time.Duration
	// CacheLag is the delay between a change of the prefix cache and its event.
	CacheLag time.Duration
	// CacheLoss is the probability that a cache event is lost, from 0 to 1.
	CacheLoss float64
	// Jitter varies the duration of each prefill and decode step uniformly by up
	// to this fraction in both directions, from 0 to 1.
	Jitter float64
	// EdgeTokens makes a decode engine report only the first and the last
	// token of each stream.
	EdgeTokens bool
	// ChecksFence is true if the engine refuses orders with a lower fencing
	// number than the highest one it has seen.
	ChecksFence bool
}

// EngineEvent is an event that Engine.Step applies. Only the types of this
// package implement it.
type EngineEvent interface{ engineEvent() }

// StartPrefill queues a prefill. A lower Priority runs first.
type StartPrefill struct {
	Hold identifier.Hold
	// PromptTokens is the length of the prompt.
	PromptTokens identifier.Tokens
	Prefix       []identifier.Block
	Priority     int
}

// StartImport reserves memory and pulls KV cache from a prefill engine.
type StartImport struct {
	Hold   identifier.Hold
	Tokens identifier.Tokens
	Pieces identifier.Pieces
	// Delay is added to the transfer time for the network distance between the
	// engines.
	Delay time.Duration
}

// StartDecode starts a stream whose KV cache was imported.
type StartDecode struct {
	Hold identifier.Hold
	// OutputTokens is the number of tokens to generate.
	OutputTokens identifier.Tokens
}

// Release frees all that is held for an attempt, at any stage. It is idempotent.
// A prefill engine also gets it when the result was exported.
type Release struct{ Hold identifier.Hold }

// StallLink stops the imports of a decode engine until a time.
type StallLink struct{ Until time.Time }

// Advance changes nothing itself: Step first does all work that is due.
type Advance struct{}

func (StartPrefill) engineEvent() {}
func (StartImport) engineEvent()  {}
func (StartDecode) engineEvent()  {}
func (Release) engineEvent()      {}
func (StallLink) engineEvent()    {}
func (Advance) engineEvent()      {}

// EngineOutcome is a result of Engine.Step. Only the types of this package
// implement it.
type EngineOutcome interface{ engineOutcome() }

// PrefillDone reports that a prefill has ended and its result can be exported.
type PrefillDone struct {
	Hold identifier.Hold
	// Cached is how many tokens were found in the prefix cache.
	Cached identifier.Tokens
	// Took is the duration of the prefill without the time in the queue.
	Took time.Duration
}

// PrefillRefused reports that the prefill queue is full or that the engine is a
// decode engine. Nothing is held.
type PrefillRefused struct{ Hold identifier.Hold }

// PrefillStopped reports that a Release stopped a running prefill.
type PrefillStopped struct {
	Hold identifier.Hold
	// Spent is how long the prefill had run.
	Spent time.Duration
}

// ResultEvicted reports that a prefill result expired before its release.
type ResultEvicted struct{ Hold identifier.Hold }

// ImportDone reports that the decode engine has imported the KV cache.
type ImportDone struct {
	Hold identifier.Hold
	// Took is the time since StartImport, including the wait for earlier imports.
	Took time.Duration
}

// ImportRefused reports that the decode engine has no free memory or stream, or
// that the engine is a prefill engine. Nothing is held.
type ImportRefused struct{ Hold identifier.Hold }

// DecodeRefused reports that the engine has no imported KV cache of the attempt.
type DecodeRefused struct{ Hold identifier.Hold }

// StreamDropped reports that a stream ended because it needed more memory than it
// had reserved and none was free. Nothing is held.
type StreamDropped struct{ Hold identifier.Hold }

// TokenGenerated reports that a token of a stream was generated.
type TokenGenerated struct {
	Hold identifier.Hold
	// Index counts the tokens of this stream from 0.
	Index identifier.Tokens
	// Last is true if the stream has ended and its memory is free.
	Last bool
}

// CacheChanged is a cache event: the blocks that one prefill added to the prefix
// cache or removed from it.
type CacheChanged struct {
	Sequence       identifier.Sequence
	Added, Removed []identifier.Block
}

// AdvanceAt requests an Advance event at a time. It replaces earlier requests.
type AdvanceAt struct{ At time.Time }

func (PrefillDone) engineOutcome()    {}
func (PrefillRefused) engineOutcome() {}
func (PrefillStopped) engineOutcome() {}
func (DecodeRefused) engineOutcome()  {}
func (ResultEvicted) engineOutcome()  {}
func (ImportDone) engineOutcome()     {}
func (ImportRefused) engineOutcome()  {}
func (StreamDropped) engineOutcome()  {}
func (TokenGenerated) engineOutcome() {}
func (CacheChanged) engineOutcome()   {}
func (AdvanceAt) engineOutcome()      {}
