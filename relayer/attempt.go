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

// moveWait is the longest wait for another decode engine.
const moveWait = 2 * time.Second

// attempt is one attempt of a request. Its methods return nil where another
// attempt may be made.
type attempt struct {
	*run
	key    admitter.Key
	hold   identifier.Hold
	ticket *dispatcher.Ticket
	place  admitter.Place
	// begun are the runs that the quarantine knows of.
	begun []quarantiner.Run
	// again says that nothing was sent and the attempt may be made anew.
	again bool
	// output is the number of tokens that this attempt has generated.
	output identifier.Tokens
}

// attempt makes one attempt. An answer that was begun asks again as the same
// attempt where it was refused: nothing was sent.
func (r *run) attempt(ctx context.Context, n identifier.Attempt) outcomer.Outcome {
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

func (r *run) attemptOnce(ctx context.Context, n identifier.Attempt) (out outcomer.Outcome, again bool) {
	key := admitter.Key{Request: r.job.Request, Attempt: n}
	ticket := r.dispatcher.Open(r.ask(key))
	if ticket == nil {
		return outcomer.NewBusy(retryAfter), false
	}
	defer ticket.Close()
	a := &attempt{run: r, key: key, hold: r.hold(n), ticket: ticket}
	r.releaser.Vouch(a.hold)
	defer r.releaser.Disown(a.hold)
	out = a.decision(ctx)
	a.over(out)
	return out, a.again
}

func (r *run) ask(key admitter.Key) admitter.Ask {
	return admitter.Ask{
		Key:            key,
		Class:          r.job.Class,
		Workspace:      r.job.Workspace,
		Model:          r.job.Model,
		From:           r.vm,
		FromDataCentre: r.dataCentre,
		Prompt:         r.job.Tokens + r.written,
		MaxOutput:      max(1, r.job.MaxOutput-r.written),
		Prefix:         r.job.Prefix,
		Arrived:        r.since(),
		Excluded:       r.excluded,
		Continues:      r.written > 0,
	}
}

// since is when the wait for the next token began. The target of the first
// token is over once it was sent.
func (r *run) since() time.Time {
	if r.written == 0 {
		return r.job.Arrived
	}
	return r.lastAt
}

// decision waits for the owner's first answer.
func (a *attempt) decision(ctx context.Context) outcomer.Outcome {
	select {
	case <-ctx.Done():
		return a.withdraw()
	case out := <-a.ticket.Decisions():
		switch out := out.(type) {
		case admitter.Place:
			a.place = out
			if !a.begin(ctx, a.place.Prefill) || !a.begin(ctx, a.place.Decode) {
				return a.withdraw()
			}
			return a.prefill(ctx)
		case admitter.Refuse:
			if a.goesOn(ctx, out) {
				return nil
			}
			return outcomer.FromAdmission(out.Reason, out.RetryAfter)
		default:
			return nil
		}
	}
}

func (a *attempt) withdraw() outcomer.Outcome {
	a.ticket.Report(admitter.Withdraw{Key: a.key})
	return outcomer.CallerGone{}
}

// end reports a failed attempt.
func (a *attempt) end() outcomer.Outcome {
	a.ticket.Report(admitter.Ended{Key: a.key, Output: a.output, Failed: true})
	return nil
}

// stop ends an attempt after an error of an upstream or of the caller.
func (a *attempt) stop(ctx context.Context, u identifier.Upstream, err error) outcomer.Outcome {
	if leavesStream(ctx) {
		return outcomer.CallerGone{}
	}
	a.releaser.Release(u, a.hold)
	if ctx.Err() != nil {
		return a.withdraw()
	}
	a.fail(u, driver.KindOf(err))
	return a.end()
}

// leavesStream says that the stream is read on elsewhere: what the engine holds
// stays.
func leavesStream(ctx context.Context) bool {
	_, leaves := context.Cause(ctx).(interface{ LeavesStream() })
	return leaves
}

func (a *attempt) prefill(ctx context.Context) outcomer.Outcome {
	engine, ok := a.registrar.Catalog().Engine(a.place.Prefill)
	if !ok {
		a.excluded = append(a.excluded, a.place.Prefill)
		return a.end()
	}
	result, err := engine.Prefill(ctx, driver.PrefillOrder{
		Hold:      a.hold,
		Model:     a.job.Model,
		Prompt:    a.job.Prompt,
		Generated: string(a.text),
		Tokens:    a.job.Tokens + a.written,
		Prefix:    a.job.Prefix,
		MaxOutput: a.job.MaxOutput,
	})
	if err != nil {
		return a.stop(ctx, a.place.Prefill, err)
	}
	a.health.Succeeded(a.place.Prefill)
	a.ran = outcomer.RanYes
	a.prefilled += result.Took
	a.lastPrefill = result.Took
	a.ticket.Report(admitter.PrefillEnded{Key: a.key, Cached: result.Cached, Took: result.Took})
	return a.transfer(ctx)
}

// transfer brings the KV cache to a decode engine, to another one where the
// owner names it.
func (a *attempt) transfer(ctx context.Context) outcomer.Outcome {
	for {
		if !a.begin(ctx, a.place.Decode) {
			a.releaser.Release(a.place.Prefill, a.hold)
			return a.withdraw()
		}
		result, err := a.importOnce(ctx)
		if err == nil {
			a.releaser.Release(a.place.Prefill, a.hold)
			a.overOn(a.place.Prefill)
			a.health.Succeeded(a.place.Decode)
			a.ticket.Report(admitter.TransferEnded{Key: a.key, Took: result.Took})
			return a.decode(ctx)
		}
		if driver.KindOf(err) == driver.KindGone {
			return a.lost(ctx, err)
		}
		if !a.move(ctx, err) {
			a.releaser.Release(a.place.Prefill, a.hold)
			return a.afterMove(ctx)
		}
	}
}

// lost ends an attempt whose prefill result was evicted: no upstream failed.
func (a *attempt) lost(ctx context.Context, _ error) outcomer.Outcome {
	a.releaser.Release(a.place.Prefill, a.hold)
	if ctx.Err() != nil {
		return a.withdraw()
	}
	return a.end()
}

func (a *attempt) importOnce(ctx context.Context) (driver.ImportResult, error) {
	catalog := a.registrar.Catalog()
	engine, ok := catalog.Engine(a.place.Decode)
	from, known := catalog.Upstream(a.place.Prefill)
	if !ok || !known {
		return driver.ImportResult{}, errors.New("the upstream is not configured any more")
	}
	ctx, cancel := context.WithTimeout(ctx, a.place.TransferWithin)
	defer cancel()
	return engine.Import(ctx, driver.ImportOrder{
		Hold:   a.hold,
		From:   from.Address,
		Tokens: a.job.Tokens + a.written,
		Pieces: a.place.Pieces,
	})
}

// move asks the owner for another decode engine. It returns false where there
// is none.
func (a *attempt) move(ctx context.Context, err error) bool {
	full := driver.KindOf(err) == driver.KindFull
	if !full {
		a.releaser.Release(a.place.Decode, a.hold)
	}
	if ctx.Err() != nil {
		return false
	}
	switch {
	case full:
		a.last = driver.KindFull
	case errors.Is(err, context.DeadlineExceeded):
		a.excluded = append(a.excluded, a.place.Decode)
	default:
		a.fail(a.place.Decode, driver.KindOf(err))
	}
	a.log.Info().
		Str("Request", string(a.key.Request)).
		Uint32("Attempt", uint32(a.key.Attempt)).
		Str("Upstream", string(a.place.Decode)).
		Str("Kind", string(driver.KindOf(err))).
		Dur("WithinMs", a.place.TransferWithin).
		Msg("TransferFailed")
	a.ticket.Report(admitter.TransferFailed{Key: a.key, Full: full})
	// The owner may die with the question: a prefill result does not live for
	// long, so neither does the wait.
	timer := time.NewTimer(moveWait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return false
	case out := <-a.ticket.Decisions():
		moved, ok := out.(admitter.Move)
		if ok {
			a.place.Decode = moved.Decode
			a.place.Pieces = moved.Pieces
			a.place.TransferWithin = moved.TransferWithin
		}
		return ok
	}
}

// afterMove ends an attempt that found no decode engine.
func (a *attempt) afterMove(ctx context.Context) outcomer.Outcome {
	if ctx.Err() != nil {
		return a.withdraw()
	}
	return a.end()
}

func (a *attempt) decode(ctx context.Context) outcomer.Outcome {
	engine, ok := a.registrar.Catalog().Engine(a.place.Decode)
	if !ok {
		return a.end()
	}
	stream, err := engine.Decode(ctx, driver.DecodeOrder{
		Hold:      a.hold,
		From:      a.written,
		MaxOutput: a.job.MaxOutput,
		Stop:      a.job.Stop,
	})
	if err != nil {
		return a.stop(ctx, a.place.Decode, err)
	}
	defer stream.Close()
	if s, ok := a.sink.(interface {
		Streaming(hold identifier.Hold, u identifier.Upstream)
	}); ok {
		s.Streaming(a.hold, a.place.Decode)
	}
	return a.copy(ctx, stream)
}

// copy sends the stream's tokens to the caller.
func (a *attempt) copy(ctx context.Context, stream driver.Stream) outcomer.Outcome {
	for {
		token, err := stream.Next()
		if errors.Is(err, io.EOF) {
			a.health.Succeeded(a.place.Decode)
			a.ticket.Report(admitter.Ended{Key: a.key, Output: a.output})
			return outcomer.Answered{}
		}
		if err != nil {
			_ = Flush(a.sink)
			return a.stop(ctx, a.place.Decode, err)
		}
		if token.Index < a.written {
			continue
		}
		if token.Index > a.written {
			return a.stop(ctx, a.place.Decode, errors.New("a token is missing"))
		}
		if a.send(token, stream) != nil {
			if leavesStream(ctx) {
				return outcomer.CallerGone{}
			}
			a.releaser.Release(a.place.Decode, a.hold)
			return a.withdraw()
		}
		a.wrote(token)
	}
}

// send gives a token to the caller. Tokens that have come together go out
// together.
func (a *attempt) send(token driver.Token, stream driver.Stream) error {
	if err := a.sink.Token(token); err != nil {
		return err
	}
	if s, ok := stream.(interface{ Ready() bool }); ok && s.Ready() {
		return nil
	}
	return Flush(a.sink)
}

func (a *attempt) wrote(token driver.Token) {
	if a.output == 0 {
		a.ticket.Report(admitter.FirstToken{Key: a.key})
	}
	a.lastAt = time.Now()
	if a.written == 0 {
		a.firstAt = a.lastAt
	}
	a.output++
	a.written++
	a.text = append(a.text, token.Text...)
}
