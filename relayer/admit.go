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

// maxQuarantineChecks bounds the checks of a request that may have crashed an
// upstream, while it is not certain yet that the upstream has died.
const maxQuarantineChecks = 4

const (
	// guardRetryInterval is the interval at which a suspect request asks the
	// guard of an upstream again.
	guardRetryInterval = 150 * time.Millisecond
	// maxContinueDelay bounds the wait between the asks of a request whose
	// answer has been sent in part.
	maxContinueDelay = 2 * time.Second
)

// checkQuarantine asks the quarantine whether the content may run, and returns
// nil if it may.
func (r *run) checkQuarantine(ctx context.Context) outcomer.Outcome {
	for range maxQuarantineChecks {
		v := r.quarantine.Check(ctx, r.job.Request, r.fingerprint)
		switch v.Kind {
		case quarantiner.KindRefuse:
			return outcomer.NewQuarantined(v.After)
		case quarantiner.KindWait:
			if !looper.Sleep(ctx, v.After) {
				return outcomer.CallerGone{}
			}
		default:
			r.isSuspect = v.Kind == quarantiner.KindRunAlone
			return nil
		}
	}
	return outcomer.NewQuarantined(retryAfter)
}

// startRun reports to the quarantine that the attempt runs on an upstream. A
// suspect request waits until no other suspect runs there. Prefill is started
// before decode, so that two suspects can't wait for each other. It returns
// false if the caller has gone.
func (a *attempt) startRun(ctx context.Context, u identifier.Upstream) bool {
	run := quarantiner.Run{Request: a.key.Request, Attempt: a.key.Attempt, Upstream: u}
	if slices.Contains(a.startedRuns, run) {
		return true
	}
	for !a.quarantine.Start(ctx, run, a.fingerprint, a.isSuspect) {
		if !looper.Sleep(ctx, guardRetryInterval) {
			return false
		}
	}
	a.startedRuns = append(a.startedRuns, run)
	return true
}

// waitToContinue handles a refusal. If a part of the answer has been sent, it
// waits as long as the refusal says, up to a limit, and returns true: the same
// attempt is to be asked for again, unless the prompt is too long.
func (a *attempt) waitToContinue(ctx context.Context, out admitter.Refuse) bool {
	if a.sentTokens == 0 || out.Reason == admitter.ReasonPromptTooLong {
		return false
	}
	looper.Sleep(ctx, min(out.RetryAfter, maxContinueDelay))
	a.askAgain = true
	return true
}

// endRunOn ends the run of a suspect request on an upstream that the attempt no
// longer uses, so that another suspect may run there.
func (a *attempt) endRunOn(u identifier.Upstream) {
	if !a.isSuspect {
		return
	}
	for _, run := range a.startedRuns {
		if run.Upstream == u {
			a.quarantine.End(run, false, a.isSuspect)
		}
	}
}

// endRuns ends all runs that startRun has reported.
func (a *attempt) endRuns(out outcomer.Outcome) {
	_, complete := out.(outcomer.Answered)
	for _, run := range a.startedRuns {
		a.quarantine.End(run, complete, a.isSuspect)
	}
}
