package router

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/attempter"
	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/looper"
	"github.com/figtrack/figtrack/matcher"
	"github.com/figtrack/figtrack/tracker"
)

const (
	// wholeUpTo is the longest plain answer that is read to its end before it
	// is passed on, so that one that breaks off can be asked for again.
	wholeUpTo = 64 << 10
	// readSize is the size of one read of an answer.
	readSize = 16 << 10
	// tidyLimit is how long giving back memory may take; the runner drops it
	// by itself soon after.
	tidyLimit = time.Second
)

// The calls, in logs and metrics.
const (
	callReserve = "Reserve"
	callPrefill = "Prefill"
	callRun     = "Run"
)

// passage is one request on its way. It belongs to one goroutine.
type passage struct {
	*Router
	q      *Request
	caller Caller
	route  matcher.Route
	job    attempter.Job
	core   *attempter.Core
	// answer is the runner's answer that is being passed on.
	answer *Answer
	// run is the run that gave it.
	run attempter.Run
	// reservedAt and prefilledAt are the engines of the last such calls.
	reservedAt, prefilledAt tracker.Runner
	// begun says that the caller has the head of an answer.
	begun  bool
	events splitter
	// first is the time from the arrival to the first byte of an answer, gap
	// the longest pause between two reads after it, last the latest read.
	first, gap time.Duration
	last       time.Time
}

func newPassage(r *Router, q *Request, caller Caller, route matcher.Route, job attempter.Job) *passage {
	return &passage{Router: r, q: q, caller: caller, route: route, job: job, core: attempter.New(attempter.DefaultSettings(), job, r.fleet)}
}

// serve takes the request to its end.
func (p *passage) serve(parent context.Context) {
	ctx, cancel := context.WithDeadline(parent, p.job.Deadline)
	defer cancel()
	var e attempter.Event = attempter.Begin{}
	for e != nil {
		e = p.advance(ctx, p.core.Step(time.Now(), e))
		if e == nil || ctx.Err() == nil {
			continue
		}
		p.giveBack(e)
		if parent.Err() == nil {
			e = attempter.Expired{Begun: p.begun}
			continue
		}
		p.abandoned(e)
		e = attempter.Abandoned{}
	}
}

// abandoned logs that the caller has left, unless the relay has done so.
func (p *passage) abandoned(e attempter.Event) {
	if _, isLogged := e.(attempter.Abandoned); isLogged {
		return
	}
	p.log.Info().
		Str("Request", string(p.q.ID)).
		Dur("Took", time.Since(p.q.Arrived)).
		Str("LastEvent", p.events.last).
		Dur("LongestGap", p.gap).
		Msg("Abandoned")
	p.metrics.requests.WithLabelValues(string(p.route.Kind), "Abandoned").Inc()
}

// giveBack frees what a call has kept for a request whose time is up or whose
// caller has left, as the core won't hear of it.
func (p *passage) giveBack(e attempter.Event) {
	switch e := e.(type) {
	case attempter.Reserved:
		p.release(attempter.Release{To: p.reservedAt, Hold: e.Hold})
	case attempter.Prefilled:
		p.discard(attempter.Discard{Source: attempter.Source{Runner: p.prefilledAt, Handle: e.Handle}})
	}
}

// advance performs outcomes and returns the event that the last one gave; nil
// at the end of the request.
func (p *passage) advance(ctx context.Context, outcomes []attempter.Outcome) attempter.Event {
	var next attempter.Event
	for _, o := range outcomes {
		if _, ok := o.(attempter.Deliver); !ok {
			p.dropAnswer()
		}
		switch o := o.(type) {
		case attempter.Reserve:
			next = p.reserve(ctx, o)
		case attempter.Shrink:
			next = p.shrink(ctx, o)
		case attempter.Prefill:
			next = p.prefill(ctx, o)
		case attempter.Run:
			next = p.send(ctx, o)
		case attempter.Deliver:
			next = p.deliver()
		case attempter.Rest:
			next = p.rest(ctx, o)
		case attempter.Release:
			p.release(o)
		case attempter.Discard:
			p.discard(o)
		case attempter.Refuse:
			p.reply(p.q, p.caller, p.route.Kind, NotRun{Reason: o.Reason, After: o.After})
		case attempter.Fail:
			p.reply(p.q, p.caller, p.route.Kind, Unknown{Reason: o.Reason, Late: o.Late})
		case attempter.Break:
			p.reply(p.q, p.caller, p.route.Kind, Broken{Reason: o.Reason})
		}
	}
	return next
}

func (p *passage) rest(ctx context.Context, o attempter.Rest) attempter.Event {
	looper.Sleep(ctx, o.For)
	return attempter.Rested{}
}

func (p *passage) reserve(ctx context.Context, o attempter.Reserve) attempter.Event {
	p.reservedAt = o.To
	ctx, cancel := context.WithTimeout(ctx, reserveLimit)
	defer cancel()
	began := time.Now()
	hold, err := p.runners.Reserve(ctx, o.To, o.Tokens, o.For)
	p.called(callReserve, o.To, began, err)
	if err != nil && driver.KindOf(err) == driver.KindFull {
		p.fleet.with(func(now time.Time, view *tracker.Tracker) []tracker.Change {
			view.Full(now, o.To, o.Tokens)
			return nil
		})
	}
	if err != nil {
		return failed(err)
	}
	p.metrics.waits.Observe(time.Since(p.q.Arrived).Seconds())
	return attempter.Reserved{Hold: hold}
}

// shrink gives a hold back before it asks for a smaller one, as the engine may
// not have room for both.
func (p *passage) shrink(ctx context.Context, o attempter.Shrink) attempter.Event {
	short, cancel := context.WithTimeout(ctx, reserveLimit)
	err := p.runners.Release(short, o.To, o.Hold)
	cancel()
	if err != nil {
		p.log.Info().Str("Request", string(p.q.ID)).Str("Upstream", string(o.To.ID)).AnErr("Error", err).Msg("HoldNotReleased")
	}
	return p.reserve(ctx, o.Reserve)
}

// reserveLimit bounds the call that reserves memory: it needs one round trip
// and no slot.
const reserveLimit = 250 * time.Millisecond

func (p *passage) prefill(ctx context.Context, o attempter.Prefill) attempter.Event {
	p.prefilledAt = o.To
	ctx, cancel := context.WithTimeout(ctx, o.Limit)
	defer cancel()
	load := tracker.Load{Reading: p.job.Input}
	p.begin(o.To, load)
	defer p.end(o.To, load)
	began := time.Now()
	handle, err := p.runners.Prefill(ctx, o.To, p.q, p.left())
	p.called(callPrefill, o.To, began, err)
	if err != nil {
		return failed(err)
	}
	return attempter.Prefilled{Handle: handle}
}

// send sends the request to its runner and waits for the head of the answer.
func (p *passage) send(ctx context.Context, o attempter.Run) attempter.Event {
	p.run = o
	sent := time.Now()
	load := tracker.Load{Holding: p.job.Input + p.job.Output}
	ctx, cancel := context.WithCancel(ctx)
	silence := timer(o.Limit, cancel)
	p.begin(o.To, load)
	answer, err := p.runners.Run(ctx, p.q, RunOptions{Run: o, Left: p.left()})
	if silence != nil {
		silence.Stop()
	}
	p.called(callRun, o.To, sent, err)
	if err != nil {
		cancel()
		p.end(o.To, load)
		if o.Source != nil && driver.KindOf(err) == driver.KindFull {
			p.fleet.with(func(now time.Time, view *tracker.Tracker) []tracker.Change {
				view.Lapsed(now, o.Source.Runner)
				return nil
			})
		}
		return failed(err)
	}
	answer.Body = &ender{ReadCloser: answer.Body, end: func() {
		cancel()
		p.end(o.To, load)
	}}
	if p.begun && answer.Status != http.StatusOK {
		drain(answer)
		return attempter.Failed{Kind: driver.KindUnknown}
	}
	p.answer = answer
	return attempter.Answered{Status: answer.Status}
}

// drain reads a short answer that is not passed on, so that its connection can
// be used again.
func drain(a *Answer) {
	if a.Length >= 0 && a.Length <= wholeUpTo {
		_, _ = io.Copy(io.Discard, a.Body) // A failure only costs the connection.
	}
	a.Body.Close()
}

// ender tells when a body is closed, once.
type ender struct {
	io.ReadCloser
	end func()
}

// Close implements io.Closer.
func (e *ender) Close() error {
	err := e.ReadCloser.Close()
	if e.end != nil {
		e.end()
		e.end = nil
	}
	return err
}

func timer(d time.Duration, f func()) *time.Timer {
	if d <= 0 {
		return nil
	}
	return time.AfterFunc(d, f)
}

func failed(err error) attempter.Failed { return attempter.Failed{Kind: driver.KindOf(err)} }

// left returns how long the request may still take.
func (p *passage) left() time.Duration { return time.Until(p.job.Deadline) }

func (p *passage) begin(r tracker.Runner, load tracker.Load) {
	p.fleet.with(func(_ time.Time, view *tracker.Tracker) []tracker.Change {
		view.Began(r, load)
		return nil
	})
}

func (p *passage) end(r tracker.Runner, load tracker.Load) {
	p.fleet.with(func(_ time.Time, view *tracker.Tracker) []tracker.Change {
		view.Ended(r, load)
		if load.Holding > 0 {
			view.Freed(r)
		}
		return nil
	})
}

// called tells the view and the log what came of a call.
func (p *passage) called(call string, to tracker.Runner, began time.Time, err error) {
	took := time.Since(began)
	kind := "Done"
	if err != nil {
		kind = string(driver.KindOf(err))
	}
	p.metrics.called(call, kind, took)
	p.log.Info().
		Str("Request", string(p.q.ID)).
		Str("Call", call).
		Str("Upstream", string(to.ID)).
		Str("Outcome", kind).
		Dur("Took", took).
		AnErr("Error", err).
		Msg("Called")
	p.fleet.with(func(now time.Time, view *tracker.Tracker) []tracker.Change {
		return learn(now, view, to, call != callReserve, err, took)
	})
}

// learn tells the view what a call says of its runner.
func learn(now time.Time, view *tracker.Tracker, to tracker.Runner, mayBeLong bool, err error, took time.Duration) []tracker.Change {
	if err == nil {
		return view.Answered(to, false, took)
	}
	if errors.Is(err, context.Canceled) {
		return nil
	}
	switch driver.KindOf(err) {
	case driver.KindFull:
		if mayBeLong {
			view.Full(now, to, 0)
		}
		return view.Answered(to, false, 0)
	case driver.KindLeaving:
		return view.Misdirected(to)
	default:
		wasSent := driver.KindOf(err) != driver.KindNotRun
		return view.Silent(now, to, mayBeLong && wasSent, err.Error())
	}
}

func (p *passage) release(o attempter.Release) {
	ctx, cancel := context.WithTimeout(context.Background(), tidyLimit)
	go func() {
		defer cancel()
		if err := p.runners.Release(ctx, o.To, o.Hold); err != nil {
			p.log.Info().Str("Request", string(p.q.ID)).Str("Upstream", string(o.To.ID)).AnErr("Error", err).Msg("HoldNotReleased")
		}
	}()
}

func (p *passage) discard(o attempter.Discard) {
	ctx, cancel := context.WithTimeout(context.Background(), tidyLimit)
	go func() {
		defer cancel()
		if err := p.runners.Discard(ctx, o.Source); err != nil {
			p.log.Info().Str("Request", string(p.q.ID)).Str("Upstream", string(o.Source.Runner.ID)).AnErr("Error", err).Msg("CacheNotDiscarded")
		}
	}()
}
