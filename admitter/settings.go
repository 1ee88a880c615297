package admitter

import (
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// Settings are the limits and priors of the core of one shard. Zero fields take
// the values of DefaultSettings.
type Settings struct {
	Shard identifier.Shard
	// Prefer decides between less wasted prefill and more goodput.
	Prefer Prefer
	// DataCentre is the data centre of the owner VM.
	DataCentre identifier.DataCentre
	// QueueLimit is the maximum number of waiting requests.
	QueueLimit int
	// RetryShare is the number of retries allowed per new request of a class.
	RetryShare float64
	// LocalDelay and CrossDelay are the one-way message delays within a data
	// centre and between two.
	LocalDelay, CrossDelay time.Duration
	// PrefillBase and PrefillPerToken are the prior of the prefill time.
	PrefillBase, PrefillPerToken time.Duration
	// StepBase and StepPerStream are the prior of the time of a decode step.
	StepBase, StepPerStream time.Duration
	// TransferBase and TransferPerToken are the prior of the transfer time.
	TransferBase, TransferPerToken time.Duration
	// ResultLives is the prior of how long an engine keeps a prefill result.
	ResultLives time.Duration
	// Output is the prior median of the output length in tokens.
	Output float64
}

// DefaultSettings returns priors for engines with one accelerator group each.
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

// orDefault returns v, or d if v is zero.
func orDefault[T comparable](v, d T) T {
	var zero T
	if v == zero {
		return d
	}
	return v
}

func (s Settings) withDefaults() Settings {
	d := DefaultSettings()
	s.Prefer = orDefault(s.Prefer, d.Prefer)
	s.QueueLimit = orDefault(s.QueueLimit, d.QueueLimit)
	s.RetryShare = orDefault(s.RetryShare, d.RetryShare)
	s.LocalDelay = orDefault(s.LocalDelay, d.LocalDelay)
	s.CrossDelay = orDefault(s.CrossDelay, d.CrossDelay)
	s.PrefillBase = orDefault(s.PrefillBase, d.PrefillBase)
	s.PrefillPerToken = orDefault(s.PrefillPerToken, d.PrefillPerToken)
	s.StepBase = orDefault(s.StepBase, d.StepBase)
	s.StepPerStream = orDefault(s.StepPerStream, d.StepPerStream)
	s.TransferBase = orDefault(s.TransferBase, d.TransferBase)
	s.TransferPerToken = orDefault(s.TransferPerToken, d.TransferPerToken)
	s.ResultLives = orDefault(s.ResultLives, d.ResultLives)
	s.Output = orDefault(s.Output, d.Output)
	return s
}

const (
	// maxClasses limits the classes of one shard.
	maxClasses = 256
	// maxUpstreams limits the upstreams of one shard.
	maxUpstreams = 1024
	// maxPrefixBlocks is the number of blocks of a prompt prefix that are used.
	maxPrefixBlocks = 1024
	// maxScores limits the candidates listed in a Place.
	maxScores = 4
	// maxQueuedPrefills is the most outstanding prefills per engine.
	maxQueuedPrefills = 2
	// expiryInterval is the time between searches for grants without reports.
	expiryInterval = 500 * time.Millisecond
	// grantGrace is how long a grant is kept after its longest predicted time.
	grantGrace = 5 * time.Second
	// nextAttemptPatience is the minimum patience for a request that was placed
	// before: how long past its target it may wait for its next attempt.
	nextAttemptPatience = 30 * time.Second
	// minRetryAfter and maxRetryAfter limit RetryAfter in a refusal.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)
