package deduper

import (
	"context"
	"fmt"
	"io"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/outcomer"
	"github.com/figtrack/figtrack/relayer"
)

// reading is the one reading of a request's stream: by the runner, or by the
// shell itself where it is read again.
type reading struct {
	cancel context.CancelCauseFunc
	// place is set where the shell reads; it then releases the hold.
	place Place
}

// errCancelled ends a run that nobody waits for.
var errCancelled = errors.New("nobody waits for the request")

// end ends the reading of a request.
func (s *Shell) end(request identifier.Request, cause error) {
	if r, ok := s.readings[request]; ok {
		r.cancel(cause)
		delete(s.readings, request)
	}
}

// attempt lets the runner run the request.
func (s *Shell) attempt(ctx context.Context, o StartAttempt) {
	job := s.jobs[o.Request]
	if o.Attempt > 1 {
		// The runner numbers its own attempts from 1.
		job.Request = identifier.Request(fmt.Sprintf("%s.%d", o.Request, o.Attempt))
	}
	ctx, cancel := context.WithCancelCause(ctx)
	s.readings[o.Request] = &reading{cancel: cancel}
	go func() {
		defer cancel(nil)
		sink := &attemptSink{shell: s, ctx: ctx, request: o.Request, attempt: o.Attempt, reader: o.Reader}
		out := s.runner.Run(ctx, job, sink)
		if !sink.finished {
			s.put(event{AttemptEnded{
				Request: o.Request, Attempt: o.Attempt, Reader: o.Reader,
				Ran: outcomer.Describe(out).Ran, Outcome: out,
			}})
		}
	}()
}

// attemptSink gives the tokens of a run to the core.
type attemptSink struct {
	shell    *Shell
	ctx      context.Context
	request  identifier.Request
	attempt  identifier.Attempt
	reader   Reader
	finished bool
}

// Token waits for room in the ring, so that a run is not faster than the loop.
func (a *attemptSink) Token(t driver.Token) error {
	if a.ctx.Err() != nil {
		return context.Cause(a.ctx)
	}
	a.finished = t.Finish != ""
	a.shell.put(event{TokenArrived{
		Request: a.request, Attempt: a.attempt, Reader: a.reader, Index: t.Index, Text: t.Text, Finish: t.Finish,
	}})
	return nil
}

// Streaming says where the run's stream is.
func (a *attemptSink) Streaming(hold identifier.Hold, u identifier.Upstream) {
	a.shell.put(event{AttemptStarted{Request: a.request, Attempt: a.attempt, Place: Place{Hold: hold, Upstream: u}}})
}

var _ StreamSink = (*attemptSink)(nil)

var _ relayer.Sink = StreamSink(nil)

// attach reads a running stream again.
func (s *Shell) attach(ctx context.Context, o Attach) {
	s.end(o.Request, left{})
	ctx, cancel := context.WithCancelCause(ctx)
	s.readings[o.Request] = &reading{cancel: cancel, place: o.Place}
	s.releaser.Vouch(o.Place.Hold)
	go func() {
		defer cancel(nil)
		defer s.releaser.Disown(o.Place.Hold)
		read, err := s.read(ctx, o)
		if err == nil || ctx.Err() != nil {
			return
		}
		s.put(event{AttemptEnded{
			Request: o.Request, Attempt: o.Attempt, Reader: o.Reader,
			Resume:  !isGone(err),
			Again:   o.From == 0 && read == 0,
			Ran:     outcomer.RanUnknown,
			Outcome: outcomer.FromUpstream(driver.KindUnknown, o.From+read > 0, busyFor),
		}})
	}()
}

func isGone(err error) bool {
	return driver.KindOf(err) != driver.KindUnknown
}

// read gives the tokens of a stream to the core and returns their number.
func (s *Shell) read(ctx context.Context, o Attach) (identifier.Tokens, error) {
	engine, ok := s.engines(o.Place.Upstream)
	if !ok {
		return 0, &driver.Error{Kind: driver.KindGone, Upstream: o.Place.Upstream, Err: errors.New("not configured")}
	}
	stream, err := engine.Resume(ctx, o.Place.Hold, o.From)
	if err != nil {
		return 0, err
	}
	defer stream.Close()
	for n := identifier.Tokens(0); ; n++ {
		t, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return n, nil
		}
		if err != nil {
			return n, err
		}
		s.put(event{TokenArrived{
			Request: o.Request, Attempt: o.Attempt, Reader: o.Reader, Index: t.Index, Text: t.Text, Finish: t.Finish,
		}})
	}
}

// cancel ends an attempt. A run of the runner releases what it holds.
func (s *Shell) cancel(o Cancel) {
	r, running := s.readings[o.Request]
	if o.Place.Upstream != "" && (!running || r.place.Upstream != "") {
		s.releaser.Release(o.Place.Upstream, o.Place.Hold)
	}
	s.end(o.Request, errCancelled)
}

// collected releases the hold of a stream that the shell has read.
func (s *Shell) collected(request identifier.Request) {
	r, ok := s.readings[request]
	if !ok {
		return
	}
	if r.place.Upstream != "" {
		s.releaser.Release(r.place.Upstream, r.place.Hold)
	}
	delete(s.readings, request)
}
