package relayer

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/dispatcher"
	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/outcomer"
	"github.com/figtrack/figtrack/quarantiner"
)

// moveTimeout bounds the wait for the owner's answer to a failed transfer.
const moveTimeout = 2 * time.Second

// attempt is one attempt of a request. Its methods that return an outcome
// return nil if another attempt may be made.
type attempt struct {
	*run
	key       admitter.Key
	hold      identifier.Hold
	ticket    *dispatcher.Ticket
	placement admitter.Place
	// startedRuns holds the runs that were reported to the quarantine.
	startedRuns []quarantiner.Run
	// askAgain is set if the attempt was refused with nothing sent and is to be
	// asked for once more under the same number.
	askAgain bool
	// output is the number of tokens that this attempt has sent to the caller.
	output identifier.Tokens
}

// makeAttempt makes one attempt. If a part of the answer has been sent and the
// owner refuses, it asks again under the same attempt number, since nothing was
// sent to an engine.
func (r *run) makeAttempt(ctx context.Context, n identifier.Attempt) outcomer.Outcome {
	for {
		out, again := r.attemptOnce(ctx, n)
		if !again {
			return out
		}
		if ctx.Err() != nil {
			return outcomer.CallerGone{}
		}
	}
}

// attemptOnce asks for one placement and runs it. again reports whether the
// same attempt is to be asked for once more.
func (r *run) attemptOnce(ctx context.Context, n identifier.Attempt) (out outcomer.Outcome, again bool) {
	key := admitter.Key{Request: r.job.Request, Attempt: n}
	ticket := r.dispatcher.Open(r.newAsk(key))
	if ticket == nil {
		return outcomer.NewBusy(retryAfter), false
	}
	defer ticket.Close()
	a := &attempt{run: r, key: key, hold: r.newHold(n), ticket: ticket}
	r.releaser.Vouch(a.hold)
	defer r.releaser.Disown(a.hold)
	out = a.awaitDecision(ctx)
	a.endRuns(out)
	return out, a.askAgain
}

// newAsk returns the ask for a placement. An attempt that continues an answer
// takes the tokens sent so far as a part of the prompt.
func (r *run) newAsk(key admitter.Key) admitter.Ask {
	return admitter.Ask{
		Key:            key,
		Class:          r.job.Class,
		Workspace:      r.job.Workspace,
		Model:          r.job.Model,
		From:           r.vm,
		FromDataCentre: r.dataCentre,
		Prompt:         r.job.Tokens + r.sentTokens,
		MaxOutput:      max(1, r.job.MaxOutput-r.sentTokens),
		Prefix:         r.job.Prefix,
		Arrived:        r.waitStart(),
		Excluded:       r.excluded,
		Continues:      r.sentTokens > 0,
	}
}

// waitStart returns when the wait for the next token began: at the arrival of
// the request, or at the last token sent. The target for the first token no
// longer applies once a token has been sent.
func (r *run) waitStart() time.Time {
	if r.sentTokens == 0 {
		return r.job.Arrived
	}
	return r.lastTokenAt
}

// awaitDecision waits for the owner's first decision and carries it out.
func (a *attempt) awaitDecision(ctx context.Context) outcomer.Outcome {
	select {
	case <-ctx.Done():
		return a.withdraw()
	case out := <-a.ticket.Decisions():
		switch out := out.(type) {
		case admitter.Place:
			a.placement = out
			if !a.startRun(ctx, a.placement.Prefill) || !a.startRun(ctx, a.placement.Decode) {
				return a.withdraw()
			}
			return a.prefill(ctx)
		case admitter.Refuse:
			if a.waitToContinue(ctx, out) {
				return nil
			}
			return outcomer.FromAdmission(out.Reason, out.RetryAfter)
		default:
			return nil
		}
	}
}

// withdraw ends the attempt of a caller that has gone.
func (a *attempt) withdraw() outcomer.Outcome {
	a.ticket.Report(admitter.Withdraw{Key: a.key})
	return outcomer.CallerGone{}
}

// endFailed reports to the owner that the attempt failed.
func (a *attempt) endFailed() outcomer.Outcome {
	a.ticket.Report(admitter.Ended{Key: a.key, Output: a.output, Failed: true})
	return nil
}

// handleError ends the attempt after a failed call. If the caller has gone, the
// failure is not counted against the upstream.
func (a *attempt) handleError(ctx context.Context, u identifier.Upstream, err error) outcomer.Outcome {
	if leavesStream(ctx) {
		return outcomer.CallerGone{}
	}
	a.releaser.Release(u, a.hold)
	if ctx.Err() != nil {
		return a.withdraw()
	}
	a.recordFailure(u, driver.KindOf(err))
	return a.endFailed()
}

// leavesStream reports whether ctx ended because the stream is read by another
// reader from now on. The engine's hold must not be released then.
func leavesStream(ctx context.Context) bool {
	_, leaves := context.Cause(ctx).(interface{ LeavesStream() })
	return leaves
}

// prefill runs the prefill and the stages after it.
func (a *attempt) prefill(ctx context.Context) outcomer.Outcome {
	engine, ok := a.registrar.Catalog().Engine(a.placement.Prefill)
	if !ok {
		a.excluded = append(a.excluded, a.placement.Prefill)
		return a.endFailed()
	}
	result, err := engine.Prefill(ctx, driver.PrefillRequest{
		Hold:      a.hold,
		Model:     a.job.Model,
		Prompt:    a.job.Prompt,
		Generated: string(a.sentText),
		Tokens:    a.job.Tokens + a.sentTokens,
		Prefix:    a.job.Prefix,
		MaxOutput: a.job.MaxOutput,
	})
	if err != nil {
		return a.handleError(ctx, a.placement.Prefill, err)
	}
	a.health.Succeeded(a.placement.Prefill)
	a.ran = outcomer.RanYes
	a.prefillTime += result.Took
	a.lastPrefillTime = result.Took
	a.ticket.Report(admitter.PrefillEnded{Key: a.key, Cached: result.Cached, Took: result.Took})
	return a.transfer(ctx)
}

// transfer imports the KV cache into the decode engine. After a failure it
// tries the engine that the owner names next.
func (a *attempt) transfer(ctx context.Context) outcomer.Outcome {
	for {
		if !a.startRun(ctx, a.placement.Decode) {
			a.releaser.Release(a.placement.Prefill, a.hold)
			return a.withdraw()
		}
		result, err := a.importKV(ctx)
		if err == nil {
			a.releaser.Release(a.placement.Prefill, a.hold)
			a.endRunOn(a.placement.Prefill)
			a.health.Succeeded(a.placement.Decode)
			a.ticket.Report(admitter.TransferEnded{Key: a.key, Took: result.Took})
			return a.decode(ctx)
		}
		if driver.KindOf(err) == driver.KindGone {
			return a.endEvicted(ctx, err)
		}
		if !a.awaitMove(ctx, err) {
			a.releaser.Release(a.placement.Prefill, a.hold)
			return a.endUnmoved(ctx)
		}
	}
}

// endEvicted ends an attempt whose prefill result was evicted. That is not a
// failure of an upstream, so none is excluded.
func (a *attempt) endEvicted(ctx context.Context, _ error) outcomer.Outcome {
	a.releaser.Release(a.placement.Prefill, a.hold)
	if ctx.Err() != nil {
		return a.withdraw()
	}
	return a.endFailed()
}

// importKV imports the KV cache into the decode engine of the placement.
func (a *attempt) importKV(ctx context.Context) (driver.ImportResult, error) {
	catalog := a.registrar.Catalog()
	engine, ok := catalog.Engine(a.placement.Decode)
	from, known := catalog.Upstream(a.placement.Prefill)
	if !ok || !known {
		return driver.ImportResult{}, errors.Errorf("prefill upstream %s or decode upstream %s is no longer in the configuration",
			a.placement.Prefill, a.placement.Decode)
	}
	ctx, cancel := context.WithTimeout(ctx, a.placement.TransferWithin)
	defer cancel()
	return engine.Import(ctx, driver.ImportRequest{
		Hold:   a.hold,
		From:   from.Address,
		Tokens: a.job.Tokens + a.sentTokens,
		Pieces: a.placement.Pieces,
	})
}

// awaitMove reports a failed transfer and waits until the owner names another
// decode engine. It returns false if the owner names none in time.
func (a *attempt) awaitMove(ctx context.Context, err error) bool {
	full := driver.KindOf(err) == driver.KindFull
	if !full {
		a.releaser.Release(a.placement.Decode, a.hold)
	}
	if ctx.Err() != nil {
		return false
	}
	switch {
	case full:
		a.lastFailure = driver.KindFull
	case errors.Is(err, context.DeadlineExceeded):
		a.excluded = append(a.excluded, a.placement.Decode)
	default:
		a.recordFailure(a.placement.Decode, driver.KindOf(err))
	}
	a.log.Info().
		Str("Request", string(a.key.Request)).
		Uint32("Attempt", uint32(a.key.Attempt)).
		Str("Upstream", string(a.placement.Decode)).
		Str("Kind", string(driver.KindOf(err))).
		Dur("WithinMs", a.placement.TransferWithin).
		Msg("TransferFailed")
	a.ticket.Report(admitter.TransferFailed{Key: a.key, Full: full})
	// The owner may fail before it answers. The wait is short because the engine
	// keeps a prefill result only for a short time.
	timer := time.NewTimer(moveTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return false
	case out := <-a.ticket.Decisions():
		moved, ok := out.(admitter.Move)
		if ok {
			a.placement.Decode = moved.Decode
			a.placement.Pieces = moved.Pieces
			a.placement.TransferWithin = moved.TransferWithin
		}
		return ok
	}
}

// endUnmoved ends an attempt that found no decode engine.
func (a *attempt) endUnmoved(ctx context.Context) outcomer.Outcome {
	if ctx.Err() != nil {
		return a.withdraw()
	}
	return a.endFailed()
}

// decode runs the decode and copies its tokens to the caller.
func (a *attempt) decode(ctx context.Context) outcomer.Outcome {
	engine, ok := a.registrar.Catalog().Engine(a.placement.Decode)
	if !ok {
		return a.endFailed()
	}
	stream, err := engine.Decode(ctx, driver.DecodeRequest{
		Hold:      a.hold,
		From:      a.sentTokens,
		MaxOutput: a.job.MaxOutput,
		Stop:      a.job.Stop,
	})
	if err != nil {
		return a.handleError(ctx, a.placement.Decode, err)
	}
	defer stream.Close()
	if s, ok := a.sink.(interface {
		Streaming(hold identifier.Hold, u identifier.Upstream)
	}); ok {
		s.Streaming(a.hold, a.placement.Decode)
	}
	return a.copyTokens(ctx, stream)
}

// copyTokens sends the stream's tokens to the caller. It skips tokens that the
// caller has already been sent.
func (a *attempt) copyTokens(ctx context.Context, stream driver.Stream) outcomer.Outcome {
	for {
		token, err := stream.Next()
		if errors.Is(err, io.EOF) {
			a.health.Succeeded(a.placement.Decode)
			a.ticket.Report(admitter.Ended{Key: a.key, Output: a.output})
			return outcomer.Answered{}
		}
		if err != nil {
			_ = Flush(a.sink)
			return a.handleError(ctx, a.placement.Decode, err)
		}
		if token.Index < a.sentTokens {
			continue
		}
		if token.Index > a.sentTokens {
			return a.handleError(ctx, a.placement.Decode, errors.Errorf("the stream skipped from token %d to %d", a.sentTokens, token.Index))
		}
		if a.sendToken(token, stream) != nil {
			if leavesStream(ctx) {
				return outcomer.CallerGone{}
			}
			a.releaser.Release(a.placement.Decode, a.hold)
			return a.withdraw()
		}
		a.recordToken(token)
	}
}

// sendToken writes a token to the sink, and flushes the sink unless the next
// token is there already: tokens that arrive together are sent together.
func (a *attempt) sendToken(token driver.Token, stream driver.Stream) error {
	if err := a.sink.WriteToken(token); err != nil {
		return err
	}
	if s, ok := stream.(interface{ Ready() bool }); ok && s.Ready() {
		return nil
	}
	return Flush(a.sink)
}

// recordToken updates the counts and times after a token was sent.
func (a *attempt) recordToken(token driver.Token) {
	if a.output == 0 {
		a.ticket.Report(admitter.FirstToken{Key: a.key})
	}
	a.lastTokenAt = time.Now()
	if a.sentTokens == 0 {
		a.firstTokenAt = a.lastTokenAt
	}
	a.output++
	a.sentTokens++
	a.sentText = append(a.sentText, token.Text...)
}
