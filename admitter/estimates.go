package admitter

import (
	"time"

	"github.com/figtrack/figtrack/estimator"
)

// Estimates is a snapshot of what the core has learned and how wrong it was.
type Estimates struct {
	// PrefillBase and PrefillPerToken are the learned cost of a prefill.
	PrefillBase, PrefillPerToken time.Duration
	// Prefill and Transfer are in seconds, Pace in seconds a token, Cached
	// and Output in tokens, FirstToken in seconds.
	Prefill, Cached, Transfer, Pace, Output, FirstToken estimator.Deviation
	// Queue counts the waiting requests, Late those of them that are late.
	Queue, Late int
	// Grants counts the placed attempts, Parked those of them that wait for
	// decode memory with a live prefill result.
	Grants, Parked int
}

// firstTokens compares predicted with actual times to the first token.
type firstTokens struct {
	estimator.Deviation
	margin *estimator.Margin
}

const (
	// marginShare is the share of first tokens that come within the margin.
	marginShare = 0.95
	// marginStep and firstMargin are in seconds.
	marginStep  = 0.002
	firstMargin = 0.02
	// maxMargin keeps a spell of faults from closing the queue.
	maxMargin = 150 * time.Millisecond
)

func newFirstTokens() firstTokens {
	return firstTokens{margin: estimator.NewMargin(marginShare, marginStep, firstMargin)}
}

func (f *firstTokens) observe(predicted, took time.Duration) {
	f.Observe(predicted.Seconds(), took.Seconds())
	f.margin.Observe((took - predicted).Seconds())
}

// safety is added to a predicted first token before it is compared with a
// target.
func (c *Core) safety() time.Duration {
	s := time.Duration(c.firsts.margin.Value() * float64(time.Second))
	return min(max(s, 0), maxMargin)
}

// Estimates returns a snapshot for metrics.
func (c *Core) Estimates() Estimates {
	ledger, costs := c.granter.Deviations(), c.placer.Deviations()
	return Estimates{
		PrefillBase:     c.placer.Cost(0),
		PrefillPerToken: (c.placer.Cost(1000) - c.placer.Cost(0)) / 1000,
		Prefill:         costs.Prefill,
		Cached:          costs.Cached,
		Transfer:        ledger.Transfer,
		Pace:            ledger.Pace,
		Output:          ledger.Output,
		FirstToken:      c.firsts.Deviation,
		Queue:           c.queue.len(),
		Late:            len(c.queue.late),
		Grants:          c.granter.Len(),
		Parked:          c.granter.Parked(),
	}
}
