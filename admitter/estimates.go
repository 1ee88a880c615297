package admitter

import (
	"time"

	"github.com/figtrack/figtrack/estimator"
)

// Estimates is a snapshot of the learned values and of the errors of
// predictions.
type Estimates struct {
	// PrefillBase and PrefillPerToken are the learned cost of a prefill.
	PrefillBase, PrefillPerToken time.Duration
	// Prefill, Transfer and FirstToken are in seconds, Pace in seconds per
	// token, Cached and Output in tokens.
	Prefill, Cached, Transfer, Pace, Output, FirstToken estimator.Deviation
	// Queue counts all waiting requests, Late those that can't meet their target
	// any more.
	Queue, Late int
	// Grants counts the placed attempts. Parked counts those whose prefill
	// result is waiting for decode memory.
	Grants, Parked int
}

// firstTokenErrors tracks the error of predicted times to the first token.
type firstTokenErrors struct {
	estimator.Deviation
	margin *estimator.Margin
}

const (
	// marginQuantile is the share of first tokens that should arrive within the
	// margin.
	marginQuantile = 0.95
	// marginStepSeconds is the largest change of the margin by one sample.
	marginStepSeconds    = 0.002
	initialMarginSeconds = 0.02
	// maxSafetyMargin keeps a burst of faults from raising the margin so far
	// that every request is refused.
	maxSafetyMargin = 150 * time.Millisecond
)

func newFirstTokenErrors() firstTokenErrors {
	return firstTokenErrors{margin: estimator.NewMargin(marginQuantile, marginStepSeconds, initialMarginSeconds)}
}

func (f *firstTokenErrors) observe(predicted, took time.Duration) {
	f.Observe(predicted.Seconds(), took.Seconds())
	f.margin.Observe((took - predicted).Seconds())
}

// safetyMargin is added to a predicted time of the first token before it is
// compared with the target.
func (c *Core) safetyMargin() time.Duration {
	s := time.Duration(c.firstTokens.margin.Value() * float64(time.Second))
	return min(max(s, 0), maxSafetyMargin)
}

// Estimates returns a snapshot for metrics.
func (c *Core) Estimates() Estimates {
	ledger, costs := c.granter.Deviations(), c.placer.Deviations()
	return Estimates{
		PrefillBase:     c.placer.MeanCost(0),
		PrefillPerToken: (c.placer.MeanCost(1000) - c.placer.MeanCost(0)) / 1000,
		Prefill:         costs.Prefill,
		Cached:          costs.Cached,
		Transfer:        ledger.Transfer,
		Pace:            ledger.Pace,
		Output:          ledger.Output,
		FirstToken:      c.firstTokens.Deviation,
		Queue:           c.queue.len(),
		Late:            len(c.queue.late),
		Grants:          c.granter.Len(),
		Parked:          c.granter.Parked(),
	}
}
