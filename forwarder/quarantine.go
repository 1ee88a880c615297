package forwarder

import (
	"context"
	"time"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/looper"
	"github.com/figtrack/figtrack/outcomer"
	"github.com/figtrack/figtrack/quarantiner"
	"github.com/figtrack/figtrack/registrar"
)

const (
	// maxQuarantineChecks bounds the checks of a call that may have crashed an
	// instance, while it is not certain yet that the instance has died.
	maxQuarantineChecks = 4
	// guardRetryInterval is the interval at which a suspect call asks the guard of an
	// instance again.
	guardRetryInterval = 150 * time.Millisecond
)

// Quarantine refuses calls whose content has crashed instances.
type Quarantine interface {
	// Check returns whether the content may run.
	Check(ctx context.Context, request identifier.Request, f quarantiner.Fingerprint) quarantiner.Verdict
	// Start reports a run on an instance. It returns false if the content must run
	// alone and the instance's guard does not allow it yet.
	Start(ctx context.Context, r quarantiner.Run, f quarantiner.Fingerprint, alone bool) bool
	// End reports that a run has ended; complete is true if it was answered whole.
	End(r quarantiner.Run, complete, alone bool)
	// Withdraw reports that no byte of a run was sent.
	Withdraw(r quarantiner.Run, alone bool)
	// ConnectionLost reports that a connection to an instance broke with a call in
	// flight.
	ConnectionLost(u identifier.Upstream)
}

// fingerprintContent identifies the content of the call, unless its body is streamed.
func (c *call) fingerprintContent() {
	if c.body == nil && c.r.ContentLength != 0 {
		return
	}
	c.hasFingerprint = true
	c.fingerprint = quarantiner.NewFingerprint("", requestIdentity(c.r, c.body))
}

// checkQuarantine returns nil if the content may run.
func (c *call) checkQuarantine() outcomer.Outcome {
	if !c.hasFingerprint {
		return nil
	}
	for range maxQuarantineChecks {
		v := c.quarantine.Check(c.r.Context(), c.id, c.fingerprint)
		switch v.Kind {
		case quarantiner.KindRefuse:
			return outcomer.NewQuarantined(v.After)
		case quarantiner.KindWait:
			if !looper.Sleep(c.r.Context(), v.After) {
				return outcomer.CallerGone{}
			}
		default:
			c.isSuspect = v.Kind == quarantiner.KindRunAlone
			return nil
		}
	}
	return outcomer.NewQuarantined(retryAfter)
}

// startRun reports to the quarantine that the call is about to be sent. A suspect call
// waits until no other one runs on the instance. It returns false if the call's time is
// over first.
func (c *call) startRun(run quarantiner.Run) bool {
	for !c.quarantine.Start(c.r.Context(), run, c.fingerprint, c.isSuspect) {
		if !looper.Sleep(c.r.Context(), guardRetryInterval) {
			return false
		}
	}
	return true
}

// runOf returns the run of a try.
func (c *call) runOf(try int, u registrar.Upstream) quarantiner.Run {
	return quarantiner.Run{Request: c.id, Attempt: identifier.Attempt(try + 1), Upstream: u.ID}
}

// endRun reports the result of a try to the quarantine.
func (c *call) endRun(run quarantiner.Run, result tryResult) {
	if result == tryNotSent {
		c.quarantine.Withdraw(run, c.isSuspect)
		return
	}
	if (result == tryNoAnswer || result == tryBrokenAnswer) && c.r.Context().Err() == nil {
		c.quarantine.ConnectionLost(run.Upstream)
	}
	c.quarantine.End(run, result == tryAnswered, c.isSuspect)
}
