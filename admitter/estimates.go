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
type firstTokens struct{ estimator.Deviation }

func (f *firstTokens) observe(predicted, took time.Duration) {
	f.Observe(predicted.Seconds(), took.Seconds())
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
