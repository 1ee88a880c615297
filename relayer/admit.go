package relayer

import (
	"context"
	"time"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/outcomer"
	"github.com/figtrack/figtrack/quarantiner"
)

// maxWaits is how often a request waits for the certainty of a death.
const maxWaits = 4

// admit asks whether the content may run. It returns nil where it may.
func (r *run) admit(ctx context.Context) outcomer.Outcome {
	for range maxWaits {
		v := r.quarantine.Check(ctx, r.job.Request, r.print)
		switch v.Kind {
		case quarantiner.KindRefuse:
			return outcomer.NewQuarantined(v.After)
		case quarantiner.KindWait:
			if !sleep(ctx, v.After) {
				return outcomer.CallerGone{}
			}
		default:
			r.alone = v.Kind == quarantiner.KindRunAlone
			return nil
		}
	}
	return outcomer.NewQuarantined(retryAfter)
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// begin says that the attempt goes to an upstream. It returns false where
// another suspect runs there.
func (a *attempt) begin(ctx context.Context, u identifier.Upstream) bool {
	run := quarantiner.Run{Request: a.key.Request, Attempt: a.key.Attempt, Upstream: u}
	if !a.quarantine.Start(ctx, run, a.print, a.alone) {
		a.excluded = append(a.excluded, u)
		return false
	}
	a.begun = append(a.begun, run)
	return true
}

// over ends what begin began.
func (a *attempt) over(out outcomer.Outcome) {
	_, whole := out.(outcomer.Answered)
	for _, run := range a.begun {
		a.quarantine.End(run, whole, a.alone)
	}
}
