package router

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/attempter"
	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/isolator"
	"github.com/figtrack/figtrack/looper"
	"github.com/figtrack/figtrack/matcher"
	"github.com/figtrack/figtrack/splitter"
	"github.com/figtrack/figtrack/tracker"
	"github.com/figtrack/figtrack/versioner"
)

const (
	// maxBufferedBytes is the size below which an answer that is no stream is
	// read to its end before it is passed on, so that the request can be run
	// again if the answer breaks off.
	maxBufferedBytes = 64 << 10
	// maxUnboundedBytes is the size above which an answer that announces no length
	// is cut off: a faulty runner may send bytes without end. Streams of the
	// stated sites stay below 100 KB.
	maxUnboundedBytes = 16 << 20
	// readBufferBytes is the size of one read of an answer.
	readBufferBytes = 16 << 10
	// cleanupTimeout bounds the calls that release memory; the runner drops an
	// unused hold or KV cache by itself soon after.
	cleanupTimeout = time.Second
)

// Names of calls in logs and metrics.
const (
	callReserve = "Reserve"
	callPrefill = "Prefill"
	callRun     = "Run"
)

// proxiedRequest is one request from its arrival to its final answer: the
// shell of an attempter core. It is used by one goroutine.
type proxiedRequest struct {
	*Router
	q      *Request
	caller Caller
	route  matcher.Route
	job    attempter.Job
	core   *attempter.Core
	// answer is the runner's answer that is being passed on.
	answer *Answer
	// run is the run that returned answer.
	run attempter.Run
	// runSentAt is when run was sent, runBeganAt when the first part of its answer was read;
	// zero before.
	runSentAt, runBeganAt time.Time
	// reservedAt and prefilledAt are the engines of the last Reserve and
	// Prefill calls.
	reservedAt, prefilledAt tracker.Runner
	// headSent is true once the head of an answer was sent to the caller.
	headSent bool
	// mayHaveRun is true if a run of the request may have taken effect, hasEnded once
	// its final answer was made or its caller has left.
	mayHaveRun, hasEnded bool
	// isCoreLost is true once the core has panicked during a run.
	isCoreLost bool
	// hold and cache are what engines keep for the request and no run has used; nil if
	// there is none.
	hold     *attempter.Release
	held     heldLoad
	cache    *attempter.Discard
	splitter splitter.Splitter
	// timeToFirstByte is the time from the arrival to the first byte of an
	// answer, longestGap the longest pause between two parts of the answer,
	// and lastPartAt when the latest part was read.
	timeToFirstByte, longestGap time.Duration
	lastPartAt                  time.Time
}

func newProxiedRequest(r *Router, q *Request, caller Caller, route matcher.Route, job attempter.Job) *proxiedRequest {
	return &proxiedRequest{Router: r, q: q, caller: caller, route: route, job: job, core: attempter.New(attempter.DefaultSettings(), job, r.fleet)}
}

// serve performs the outcomes of the core until the request ends.
func (p *proxiedRequest) serve(parent context.Context) {
	defer p.endHold()
	if !p.fleet.steps.Call(coreRequest, p.q.ID, func() { p.serveSteps(parent) }) {
		p.endAfterPanic()
	}
}

// endAfterPanic ends a request whose core has panicked, and no other one: it frees what
// engines keep for it and sends the caller an answer that is true whatever the core had
// decided.
func (p *proxiedRequest) endAfterPanic() {
	p.dropAnswer()
	if p.hold != nil {
		p.release(*p.hold)
	}
	if p.cache != nil {
		p.discard(*p.cache)
	}
	if p.hasEnded {
		return
	}
	p.hasEnded = true
	switch {
	case p.headSent:
		p.reply(p.q, p.caller, p.route.Kind, Broken{Reason: reasonPanic})
	case p.mayHaveRun:
		p.reply(p.q, p.caller, p.route.Kind, Unknown{Reason: reasonPanic})
	default:
		p.reply(p.q, p.caller, p.route.Kind, NotRun{Reason: reasonPanic, After: defaultRetryAfter})
	}
}

// serveSteps does the work of serve. It may panic.
func (p *proxiedRequest) serveSteps(parent context.Context) {
	ctx, cancel := context.WithDeadline(parent, p.job.Deadline)
	defer cancel()
	var e attempter.Event = attempter.Begin{}
	hasLeft := false
	for e != nil {
		hasLeft = isAbandoned(e)
		var outcomes []attempter.Outcome
		if !p.fleet.steps.Call(coreAttempter, e, func() { outcomes = p.core.Step(time.Now(), e) }) {
			p.endAfterPanic()
			return
		}
		e = p.perform(ctx, outcomes)
		if p.isCoreLost {
			p.endAfterPanic()
			return
		}
		if e == nil || ctx.Err() == nil || isAbandoned(e) {
			continue
		}
		p.releaseUnused(e)
		if parent.Err() == nil {
			e = attempter.Expired{Begun: p.headSent}
			continue
		}
		p.logAbandoned()
		p.hasEnded = true
		e = attempter.Abandoned{}
	}
	if hasLeft {
		// The caller may still read, if only its context has ended.
		p.caller.Reply(Broken{Reason: attempter.ReasonAbandoned})
	}
}

// isAbandoned reports whether deliver has noticed, and logged, that the caller has left.
func isAbandoned(e attempter.Event) bool {
	_, ok := e.(attempter.Abandoned)
	return ok
}

// logAbandoned logs that the caller has left.
func (p *proxiedRequest) logAbandoned() {
	p.log.Info().
		Str("Request", string(p.q.ID)).
		Dur("Took", time.Since(p.q.Arrived)).
		Str("LastEvent", p.splitter.LastID()).
		Dur("LongestGap", p.longestGap).
		Msg("Abandoned")
	p.metrics.requests.WithLabelValues(string(p.route.Kind), "Abandoned").Inc()
}

// releaseUnused releases the hold or KV cache of a call that succeeded after
// the request had expired or its caller had left. The core doesn't receive the
// event of that call and can't release them.
func (p *proxiedRequest) releaseUnused(e attempter.Event) {
	switch e := e.(type) {
	case attempter.Reserved:
		p.release(attempter.Release{To: p.reservedAt, Hold: e.Hold})
	case attempter.Prefilled:
		p.discard(attempter.Discard{Source: attempter.Source{Runner: p.prefilledAt, Handle: e.Handle}})
	}
}

// perform performs outcomes and returns the event that results from the last
// one; nil at the end of the request.
func (p *proxiedRequest) perform(ctx context.Context, outcomes []attempter.Outcome) attempter.Event {
	var next attempter.Event
	for _, o := range outcomes {
		if _, ok := o.(attempter.Deliver); !ok {
			p.dropAnswer()
		}
		switch o := o.(type) {
		case attempter.Reserve:
			next = p.recordReserved(o, p.reserve(ctx, o))
		case attempter.Shrink:
			next = p.shrink(ctx, o)
		case attempter.Prefill:
			next = p.prefill(ctx, o)
		case attempter.Run:
			next = p.send(ctx, o)
		case attempter.Deliver:
			next = p.deliver(ctx)
		case attempter.Rest:
			next = p.pause(ctx, o)
		case attempter.Release:
			p.release(o)
		case attempter.Discard:
			p.discard(o)
		case attempter.Refuse:
			p.hasEnded = true
			p.reply(p.q, p.caller, p.route.Kind, NotRun{Reason: o.Reason, After: o.After})
		case attempter.Fail:
			p.hasEnded = true
			p.reply(p.q, p.caller, p.route.Kind, Unknown{Reason: o.Reason, Late: o.Late})
		case attempter.Break:
			p.hasEnded = true
			p.reply(p.q, p.caller, p.route.Kind, Broken{Reason: o.Reason})
		}
	}
	return next
}

func (p *proxiedRequest) pause(ctx context.Context, o attempter.Rest) attempter.Event {
	looper.Sleep(ctx, o.For)
	return attempter.Rested{}
}

func (p *proxiedRequest) reserve(ctx context.Context, o attempter.Reserve) attempter.Event {
	p.reservedAt = o.To
	p.beginHold(o)
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	began := time.Now()
	hold, err := p.runners.Reserve(ctx, o.To, p.q, o.Tokens, o.For)
	p.recordCall(callReserve, o.To, began, err)
	if err != nil && driver.KindOf(err) == driver.KindFull {
		p.fleet.updateView(func(now time.Time, view *tracker.Tracker) []tracker.Change {
			view.RecordFull(now, o.To, o.Tokens)
			return nil
		})
	}
	if err != nil {
		p.endHold()
		return failedEvent(err)
	}
	p.metrics.memoryWaits.Observe(time.Since(p.q.Arrived).Seconds())
	p.hold = &attempter.Release{To: o.To, Hold: hold}
	return attempter.Reserved{Hold: hold}
}

// shrink releases a hold before it reserves a smaller one, as the engine may
// not have room for both.
func (p *proxiedRequest) shrink(ctx context.Context, o attempter.Shrink) attempter.Event {
	p.hold = nil
	releaseCtx, cancel := context.WithTimeout(ctx, reserveTimeout)
	err := p.runners.Release(releaseCtx, o.To, o.Hold)
	cancel()
	if err != nil {
		p.log.Info().Str("Request", string(p.q.ID)).Str("Upstream", string(o.To.ID)).AnErr("Error", err).Msg("HoldNotReleased")
	}
	return p.reserve(ctx, o.Reserve)
}

// reserveTimeout bounds the call that reserves memory: it takes one round trip
// and doesn't wait for a slot.
const reserveTimeout = 250 * time.Millisecond

func (p *proxiedRequest) prefill(ctx context.Context, o attempter.Prefill) attempter.Event {
	p.prefilledAt = o.To
	ctx, cancel := context.WithTimeout(ctx, o.Limit)
	defer cancel()
	load := tracker.Load{PrefillTokens: p.job.Input}
	p.addLoad(o.To, load)
	defer p.removeLoad(o.To, load)
	began := time.Now()
	handle, err := p.runners.Prefill(ctx, o.To, p.q, p.timeLeft())
	p.recordCall(callPrefill, o.To, began, err)
	if err != nil {
		p.recordIfBroken(o.To, p.job.PrefillTraits, err)
		return failedEvent(err)
	}
	p.fleet.recordCompleted(p.job.PrefillTraits)
	p.cache = &attempter.Discard{Source: attempter.Source{Runner: o.To, Handle: handle}}
	return attempter.Prefilled{Handle: handle}
}

// recordIfBroken records that a runner closed the connection of a prefill or run
// before its answer.
func (p *proxiedRequest) recordIfBroken(by tracker.Runner, traits []isolator.Trait, err error) {
	if driver.KindOf(err) == driver.KindUnknown && isClosedByPeer(err) {
		p.fleet.recordBroken(traits, by, 0)
	}
}

// send sends the request to its runner and waits for the head of the answer.
func (p *proxiedRequest) send(ctx context.Context, o attempter.Run) attempter.Event {
	p.run = o
	sent := time.Now()
	p.runBeganAt = time.Time{}
	if p.route.Resumable {
		p.fleet.stepVersions(versioner.Begun{Pool: p.job.Pool, Stream: p.q.stream(), At: o.To.Software})
	}
	load := tracker.Load{DecodeTokens: p.job.Input + p.job.Output}
	ctx, cancel := context.WithCancel(ctx)
	p.endHold()
	p.addLoad(o.To, load)
	couldHaveRun := p.mayHaveRun
	p.mayHaveRun = true
	head := p.watchHead(o.Limit, cancel)
	answer, err := p.runners.Run(ctx, p.q, RunOptions{Run: o, TimeLeft: p.timeLeft()})
	p.isCoreLost = !head.stop()
	if err != nil && driver.KindOf(err) != driver.KindUnknown {
		p.mayHaveRun = couldHaveRun
	} else {
		p.hold, p.cache = nil, nil // The engine uses them, or may.
	}
	p.recordCall(callRun, o.To, sent, err)
	if err != nil {
		cancel()
		p.removeLoad(o.To, load)
		p.recordIfBroken(o.To, p.job.Traits, err)
		if o.Source != nil && driver.KindOf(err) == driver.KindFull {
			p.fleet.updateView(func(now time.Time, view *tracker.Tracker) []tracker.Change {
				view.RecordDroppedHandle(now, o.Source.Runner)
				return nil
			})
		}
		return failedEvent(err)
	}
	answer.Cancel = cancel
	answer.Body = &closeHook{ReadCloser: answer.Body, onClose: func() {
		cancel()
		p.removeLoad(o.To, load)
	}}
	p.runSentAt = sent
	if !answer.isSuccess() {
		p.recordRunAnswered()
	}
	if answer.IsUnmarkedRefusal {
		p.metrics.unmarkedRefusals.WithLabelValues(strconv.Itoa(answer.Status)).Inc()
	}
	if p.headSent && answer.Status != http.StatusOK {
		drainBody(answer)
		return attempter.Failed{Kind: driver.KindUnknown}
	}
	p.answer = answer
	if answer.IsUnmarkedRefusal {
		return attempter.Unmarked{Status: answer.Status}
	}
	return attempter.Answered{Status: answer.Status}
}

// drainTimeout bounds the read of an answer that is not passed on: the request goes
// on only afterwards.
const drainTimeout = 20 * time.Millisecond

// drainBody reads a short answer that is not passed on, so that its connection
// can be reused, and closes it.
func drainBody(a *Answer) {
	if a.Length >= 0 && a.Length <= maxBufferedBytes {
		limit := time.AfterFunc(drainTimeout, a.Cancel)
		_, _ = io.Copy(io.Discard, a.Body) // After an error the connection is not reused.
		limit.Stop()
	}
	a.Body.Close()
}

// closeHook calls onClose when the body is closed for the first time.
type closeHook struct {
	io.ReadCloser
	onClose func()
}

// Close implements io.Closer.
func (e *closeHook) Close() error {
	err := e.ReadCloser.Close()
	if e.onClose != nil {
		e.onClose()
		e.onClose = nil
	}
	return err
}

func failedEvent(err error) attempter.Failed { return attempter.Failed{Kind: driver.KindOf(err)} }

// timeLeft returns the time until the request's deadline.
func (p *proxiedRequest) timeLeft() time.Duration { return time.Until(p.job.Deadline) }

func (p *proxiedRequest) addLoad(r tracker.Runner, load tracker.Load) {
	p.fleet.updateView(func(now time.Time, view *tracker.Tracker) []tracker.Change {
		view.BeginTrial(now, r)
		view.BeginCall(r, load)
		return nil
	})
}

func (p *proxiedRequest) removeLoad(r tracker.Runner, load tracker.Load) {
	p.fleet.updateView(func(_ time.Time, view *tracker.Tracker) []tracker.Change {
		view.EndCall(r, load)
		if load.DecodeTokens > 0 {
			view.RecordFreed(r)
		}
		return nil
	})
}

// recordCall records the result of a call in the view, the log and the
// metrics.
func (p *proxiedRequest) recordCall(call string, to tracker.Runner, began time.Time, err error) {
	took := time.Since(began)
	kind := "Done"
	if err != nil {
		kind = string(driver.KindOf(err))
	}
	p.metrics.recordCall(call, kind, took)
	p.log.Info().
		Str("Request", string(p.q.ID)).
		Str("Call", call).
		Str("Upstream", string(to.ID)).
		Str("Outcome", kind).
		Dur("Took", took).
		AnErr("Error", err).
		Msg("Called")
	switch {
	case err == nil && call == callRun: // recordRunAnswered follows.
	case err == nil || driver.KindOf(err) == driver.KindFull:
		p.fleet.recordAnswered(to, began)
	case errors.Is(err, syscall.ECONNREFUSED):
		p.fleet.recordEnded(to)
	}
	p.fleet.updateView(func(now time.Time, view *tracker.Tracker) []tracker.Change {
		return applyCallResult(now, view, to, call != callReserve, err, took)
	})
}

// recordRunAnswered records that the runner has answered the run with more than a head. It may
// crash right after that, and the head may be of a new process that has taken its id.
func (p *proxiedRequest) recordRunAnswered() { p.fleet.recordAnswered(p.run.To, p.runSentAt) }

// applyCallResult updates the view with the result of a call to a runner.
// mayBeLong is true for calls that include work on the prompt: a single one
// without an answer doesn't make the runner suspect.
func applyCallResult(now time.Time, view *tracker.Tracker, to tracker.Runner, mayBeLong bool, err error, took time.Duration) []tracker.Change {
	if err == nil {
		view.RecordCalled(now, to, true)
		return append(view.RecordAccepted(now, to), view.RecordAnswer(to, false, took)...)
	}
	if errors.Is(err, context.Canceled) {
		return nil
	}
	switch driver.KindOf(err) {
	case driver.KindFull:
		if mayBeLong {
			view.RecordFull(now, to, 0)
			view.RecordCalled(now, to, false)
		}
		return view.RecordAnswer(to, false, 0)
	case driver.KindLeaving:
		return view.RemoveMisdirected(to)
	default:
		wasSent := driver.KindOf(err) != driver.KindNotRun
		return view.RecordNoAnswer(now, to, mayBeLong && wasSent, err.Error())
	}
}

// release and discard make no call to a runner that wants none: it frees what it
// keeps soon.
func (p *proxiedRequest) release(o attempter.Release) {
	p.hold = nil
	p.endHold()
	if p.fleet.isPaused(time.Now(), o.To) {
		return
	}
	p.cleanUp(o, func(ctx context.Context) {
		if err := p.runners.Release(ctx, o.To, o.Hold); err != nil {
			p.log.Info().Str("Request", string(p.q.ID)).Str("Upstream", string(o.To.ID)).AnErr("Error", err).Msg("HoldNotReleased")
		}
	})
}

func (p *proxiedRequest) discard(o attempter.Discard) {
	p.cache = nil
	if p.fleet.isPaused(time.Now(), o.Source.Runner) {
		return
	}
	p.cleanUp(o, func(ctx context.Context) {
		if err := p.runners.Discard(ctx, o.Source); err != nil {
			p.log.Info().Str("Request", string(p.q.ID)).Str("Upstream", string(o.Source.Runner.ID)).AnErr("Error", err).Msg("CacheNotDiscarded")
		}
	})
}

// cleanUp makes a call that the request doesn't wait for.
func (p *proxiedRequest) cleanUp(o attempter.Outcome, call func(ctx context.Context)) {
	ctx, cancel := context.WithTimeout(context.Background(), cleanupTimeout)
	go func() {
		defer cancel()
		p.fleet.steps.Call(coreCleanup, o, func() { call(ctx) })
	}()
}
