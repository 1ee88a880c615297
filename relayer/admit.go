package relayer

import (
	"context"
	"slices"
	"time"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/looper"
	"github.com/figtrack/figtrack/outcomer"
	"github.com/figtrack/figtrack/quarantiner"
)

// maxWaits is how often a request waits for the certainty of a death.
const maxWaits = 4

const (
	// guardWait is the time before a suspect asks the guard again.
	guardWait = 150 * time.Millisecond
	// longestGoOnWait bounds the wait of an answer that was begun.
	longestGoOnWait = 2 * time.Second
)

// admit asks whether the content may run. It returns nil where it may.
func (r *run) admit(ctx context.Context) outcomer.Outcome {
	for range maxWaits {
		v := r.quarantine.Check(ctx, r.job.Request, r.print)
		switch v.Kind {
		case quarantiner.KindRefuse:
			return outcomer.NewQuarantined(v.After)
		case quarantiner.KindWait:
			if !looper.Sleep(ctx, v.After) {
				return outcomer.CallerGone{}
			}
		default:
			r.alone = v.Kind == quarantiner.KindRunAlone
			return nil
		}
	}
	return outcomer.NewQuarantined(retryAfter)
}

// begin says that the attempt goes to an upstream. A suspect waits until no
// other runs there. Prefill is begun before decode, so that two suspects can't
// wait for each other. It returns false when the caller is gone.
func (a *attempt) begin(ctx context.Context, u identifier.Upstream) bool {
	run := quarantiner.Run{Request: a.key.Request, Attempt: a.key.Attempt, Upstream: u}
	if slices.Contains(a.begun, run) {
		return true
	}
	for !a.quarantine.Start(ctx, run, a.print, a.alone) {
		if !looper.Sleep(ctx, guardWait) {
			return false
		}
	}
	a.begun = append(a.begun, run)
	return true
}

// goesOn says that an answer which was begun is not given up for a refusal: it
// waits as it is told and asks again.
func (a *attempt) goesOn(ctx context.Context, out admitter.Refuse) bool {
	if a.written == 0 || out.Reason == admitter.ReasonPromptTooLong {
		return false
	}
	looper.Sleep(ctx, min(out.RetryAfter, longestGoOnWait))
	a.again = true
	return true
}

// overOn ends the run of a suspect on an upstream that the attempt has left, so
// that another suspect may go there.
func (a *attempt) overOn(u identifier.Upstream) {
	if !a.alone {
		return
	}
	for _, run := range a.begun {
		if run.Upstream == u {
			a.quarantine.End(run, false, a.alone)
		}
	}
}

// over ends what begin began.
func (a *attempt) over(out outcomer.Outcome) {
	_, whole := out.(outcomer.Answered)
	for _, run := range a.begun {
		a.quarantine.End(run, whole, a.alone)
	}
}
