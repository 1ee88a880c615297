package granter

import "time"

// Settings are the limits of the ledger and the priors of its estimates.
type Settings struct {
	// StepBase and StepPerStream are the prior of the duration of one decode
	// step: a constant and a part for each stream in the batch.
	StepBase, StepPerStream time.Duration
	// TransferBase and TransferPerToken are the prior of the duration of a
	// transfer.
	TransferBase, TransferPerToken time.Duration
	// CrossDelay is added to a transfer between data centres.
	CrossDelay time.Duration
	// Output is the prior median of the output length, in tokens.
	Output float64
	// ResultLives is how long an engine is expected to keep a prefill result.
	ResultLives time.Duration
	// Grace is how long after its latest predicted end a grant may stay without
	// a report before it is dropped.
	Grace time.Duration
}

const (
	// priorWeight is the weight of the priors, in samples.
	priorWeight = 8
	// priorBatchSpan is the largest batch size of the pace prior, in streams.
	priorBatchSpan = 20
	// priorTokenSpan is the longest prompt of the transfer prior, in tokens.
	priorTokenSpan = 20000
	// maxClasses is the maximum number of classes whose output lengths are
	// learned.
	maxClasses = 256
	// maxEngines is the maximum number of engines of one shard.
	maxEngines = 1024
	// maxPauseDoublings is the maximum number of times that the pause of a stalled
	// link doubles.
	maxPauseDoublings = 1
	// firstStallPause is the pause of a link after its first stall.
	firstStallPause = 500 * time.Millisecond
)
