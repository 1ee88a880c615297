package granter

import "time"

// Settings are the limits and priors of the ledger.
type Settings struct {
	// StepBase and StepPerStream are the prior of the time of one decode
	// step.
	StepBase, StepPerStream time.Duration
	// TransferBase and TransferPerToken are the prior of a transfer's time.
	TransferBase, TransferPerToken time.Duration
	// CrossDelay is added to a transfer between data centres.
	CrossDelay time.Duration
	// Output is the prior median of the output in tokens.
	Output float64
	// ResultLives is the prior time for which a prefill result lives.
	ResultLives time.Duration
	// Grace is how long past its longest predicted time a grant may be
	// silent.
	Grace time.Duration
}

const (
	// priorWeight is the weight of the priors in samples.
	priorWeight = 8
	// batchSpan is the span of batch sizes of the prior.
	batchSpan = 20
	// tokenSpan is the span of prompt tokens of the prior.
	tokenSpan = 20000
	// maxClasses bounds the classes whose lengths are learned.
	maxClasses = 256
	// maxEngines bounds the engines of one shard.
	maxEngines = 1024
	// maxStalls caps the doubling of a stalled link's pause.
	maxStalls = 1
	// stallPause is the pause of a link after its first stall.
	stallPause = 500 * time.Millisecond
)
