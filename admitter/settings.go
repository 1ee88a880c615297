package admitter

import (
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// Settings are the limits and priors of one shard's core. Zero fields take
// the values of DefaultSettings.
type Settings struct {
	Shard identifier.Shard
	// Prefer says what weighs more where waste and goodput conflict.
	Prefer Prefer
	// DataCentre is where the owner VM runs.
	DataCentre identifier.DataCentre
	// QueueLimit bounds the waiting requests.
	QueueLimit int
	// RetryShare is the retries allowed for each fresh request of a class.
	RetryShare float64
	// LocalDelay and CrossDelay are one-way delays of a message inside and
	// between data centres.
	LocalDelay, CrossDelay time.Duration
	// PrefillBase and PrefillPerToken are the prior of a prefill's time.
	PrefillBase, PrefillPerToken time.Duration
	// StepBase and StepPerStream are the prior of a decode step's time.
	StepBase, StepPerStream time.Duration
	// TransferBase and TransferPerToken are the prior of a transfer's time.
	TransferBase, TransferPerToken time.Duration
	// ResultLives is the prior time for which a prefill result lives.
	ResultLives time.Duration
	// Output is the prior median of the output in tokens.
	Output float64
}

// DefaultSettings returns priors for one accelerator group an engine.
func DefaultSettings() Settings {
	return Settings{
		Prefer:           PreferGoodput,
		QueueLimit:       2048,
		RetryShare:       0.1,
		LocalDelay:       500 * time.Microsecond,
		CrossDelay:       4500 * time.Microsecond,
		PrefillBase:      10 * time.Millisecond,
		PrefillPerToken:  20 * time.Microsecond,
		StepBase:         18 * time.Millisecond,
		StepPerStream:    900 * time.Microsecond,
		TransferBase:     time.Millisecond,
		TransferPerToken: 10 * time.Microsecond,
		ResultLives:      800 * time.Millisecond,
		Output:           200,
	}
}

// or returns v, or d if v is zero.
func or[T comparable](v, d T) T {
	var zero T
	if v == zero {
		return d
	}
	return v
}

func (s Settings) withDefaults() Settings {
	d := DefaultSettings()
	s.Prefer = or(s.Prefer, d.Prefer)
	s.QueueLimit = or(s.QueueLimit, d.QueueLimit)
	s.RetryShare = or(s.RetryShare, d.RetryShare)
	s.LocalDelay = or(s.LocalDelay, d.LocalDelay)
	s.CrossDelay = or(s.CrossDelay, d.CrossDelay)
	s.PrefillBase = or(s.PrefillBase, d.PrefillBase)
	s.PrefillPerToken = or(s.PrefillPerToken, d.PrefillPerToken)
	s.StepBase = or(s.StepBase, d.StepBase)
	s.StepPerStream = or(s.StepPerStream, d.StepPerStream)
	s.TransferBase = or(s.TransferBase, d.TransferBase)
	s.TransferPerToken = or(s.TransferPerToken, d.TransferPerToken)
	s.ResultLives = or(s.ResultLives, d.ResultLives)
	s.Output = or(s.Output, d.Output)
	return s
}

const (
	// maxClasses bounds the classes of one shard.
	maxClasses = 256
	// maxUpstreams bounds the upstreams of one shard.
	maxUpstreams = 1024
	// maxPrefix bounds the blocks of one request's prefix that are used.
	maxPrefix = 1024
	// maxScores bounds the alternatives in a Place.
	maxScores = 4
	// readyDepth is the most prefills that are ordered from one engine.
	readyDepth = 2
	// expireEvery is the time between two searches for silent grants.
	expireEvery = 500 * time.Millisecond
	// silence is how long past its longest predicted time a grant stays.
	silence = 5 * time.Second
	// acceptedPatience is how long a request that was placed once may wait
	// for its next attempt past its target.
	acceptedPatience = 30 * time.Second
	// minRetryAfter and maxRetryAfter bound the advice in a refusal.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)
