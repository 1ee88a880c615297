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

// streamReader is the only reader of a request's stream: the runner, or the
// shell itself if the stream is read again.
type streamReader struct {
	cancel context.CancelCauseFunc
	// place is set if the shell is the reader, which must then release the
	// hold.
	place Place
}

// errCancelled is the cause that stops the reader of a cancelled or removed
// request.
var errCancelled = errors.New("request cancelled: no caller waits for it")

// stopReader stops the reader of a request's stream, if any.
func (s *Shell) stopReader(request identifier.Request, cause error) {
	if r, ok := s.streamReaders[request]; ok {
		r.cancel(cause)
		delete(s.streamReaders, request)
	}
}

// runAttempt starts the runner for an attempt of the request.
func (s *Shell) runAttempt(ctx context.Context, o StartAttempt) {
	job := s.jobs[o.Request]
	if o.Attempt > 1 {
		// The runner numbers its attempts from 1 for each request id, so a
		// further attempt needs another id.
		job.Request = identifier.Request(fmt.Sprintf("%s.%d", o.Request, o.Attempt))
	}
	ctx, cancel := context.WithCancelCause(ctx)
	s.streamReaders[o.Request] = &streamReader{cancel: cancel}
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

// attemptSink passes the tokens of an attempt to the core.
type attemptSink struct {
	shell    *Shell
	ctx      context.Context
	request  identifier.Request
	attempt  identifier.Attempt
	reader   Reader
	finished bool
}

// WriteToken blocks while the input queue is full, so that an attempt can't outpace
// the loop.
func (a *attemptSink) WriteToken(t driver.Token) error {
	if a.ctx.Err() != nil {
		return context.Cause(a.ctx)
	}
	a.finished = t.Finish != ""
	a.shell.put(event{TokenArrived{
		Request: a.request, Attempt: a.attempt, Reader: a.reader, Index: t.Index, Text: t.Text, Finish: t.Finish,
	}})
	return nil
}

// Streaming reports the place of the attempt's stream to the core.
func (a *attemptSink) Streaming(hold identifier.Hold, u identifier.Upstream) {
	a.shell.put(event{AttemptStarted{Request: a.request, Attempt: a.attempt, Place: Place{Hold: hold, Upstream: u}}})
}

var _ StreamSink = (*attemptSink)(nil)

var _ relayer.Sink = StreamSink(nil)

// attachStream replaces the reader of a running stream by the shell.
func (s *Shell) attachStream(ctx context.Context, o Attach) {
	s.stopReader(o.Request, readElsewhere{})
	ctx, cancel := context.WithCancelCause(ctx)
	s.streamReaders[o.Request] = &streamReader{cancel: cancel, place: o.Place}
	s.releaser.Vouch(o.Place.Hold)
	go func() {
		defer cancel(nil)
		defer s.releaser.Disown(o.Place.Hold)
		read, err := s.readStream(ctx, o)
		if err == nil || ctx.Err() != nil {
			return
		}
		s.put(event{AttemptEnded{
			Request: o.Request, Attempt: o.Attempt, Reader: o.Reader,
			CanResume: !hasKnownKind(err),
			CanRetry:  o.From == 0 && read == 0,
			Ran:       outcomer.RanUnknown,
			Outcome:   outcomer.FromUpstream(driver.KindUnknown, o.From+read > 0, busyRetryAfter),
		}})
	}()
}

// hasKnownKind reports whether an error says what the engine did with the call.
// Only after other errors may the stream be read again.
func hasKnownKind(err error) bool {
	return driver.KindOf(err) != driver.KindUnknown
}

// readStream passes the tokens of a stream to the core and returns their number.
func (s *Shell) readStream(ctx context.Context, o Attach) (identifier.Tokens, error) {
	engine, ok := s.engines(o.Place.Upstream)
	if !ok {
		return 0, &driver.Error{Kind: driver.KindGone, Upstream: o.Place.Upstream, Err: errors.New("upstream is not configured")}
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

// cancelAttempt stops an attempt. The runner releases the hold itself if it is
// the reader.
func (s *Shell) cancelAttempt(o Cancel) {
	r, running := s.streamReaders[o.Request]
	if o.Place.Upstream != "" && (!running || r.place.Upstream != "") {
		s.releaser.Release(o.Place.Upstream, o.Place.Hold)
	}
	s.stopReader(o.Request, errCancelled)
}

// releaseCompleteStream removes the reader of a complete stream. It releases the
// hold if the reader was the shell; the runner does so itself.
func (s *Shell) releaseCompleteStream(request identifier.Request) {
	r, ok := s.streamReaders[request]
	if !ok {
		return
	}
	if r.place.Upstream != "" {
		s.releaser.Release(r.place.Upstream, r.place.Hold)
	}
	delete(s.streamReaders, request)
}
