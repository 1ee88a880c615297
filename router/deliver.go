package router

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/attempter"
	"github.com/figtrack/figtrack/splitter"
	"github.com/figtrack/figtrack/tracker"
)

// dropAnswer closes an answer that is not passed on.
func (p *proxiedRequest) dropAnswer() {
	if p.answer != nil {
		drainBody(p.answer)
		p.answer = nil
	}
}

// deliver passes the answer on to the caller. It returns nil if the caller has
// received all of it.
func (p *proxiedRequest) deliver(ctx context.Context) attempter.Event {
	a := p.answer
	p.answer = nil
	defer a.Body.Close()
	var err error
	switch {
	case !p.hasBody(a):
		p.recordRunAnswered()
		err = p.beginAnswer(a)
	case p.job.IsStream && a.isSuccess():
		if err = p.awaitListed(ctx); err == nil {
			err = p.relayEvents(a)
		}
	default:
		err = p.relayBody(a)
	}
	took := time.Since(p.q.Arrived)
	line := p.log.Info().
		Str("Request", string(p.q.ID)).
		Str("Upstream", string(p.run.To.ID)).
		Int("Status", a.Status).
		Str("Framing", string(a.Framing)).
		Str("LastEvent", p.splitter.LastID()).
		Int("Partial", len(p.splitter.Remainder())).
		Int("Runs", p.core.Runs()).
		Dur("First", p.timeToFirstByte).
		Dur("LongestGap", p.longestGap).
		Dur("Took", took)
	if errors.Is(err, errCallerGone) {
		line.AnErr("Error", err).Msg("Abandoned")
		p.metrics.requests.WithLabelValues(string(p.route.Kind), "Abandoned").Inc()
		p.hasEnded = true
		return attempter.Abandoned{}
	}
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		// The caller has left or the deadline has passed, which is not the
		// runner's fault; serve tells the two apart.
		return attempter.Broken{LastEvent: p.splitter.LastID(), Begun: p.headSent}
	}
	if err != nil {
		line.AnErr("Error", err).Msg("AnswerBroken")
		p.fleet.updateView(func(_ time.Time, view *tracker.Tracker) []tracker.Change {
			return view.RecordAnswer(p.run.To, true, 0)
		})
		if isClosedByPeer(err) {
			p.fleet.recordBroken(p.job.Traits, p.run.To, p.runLife())
		}
		return attempter.Broken{LastEvent: p.splitter.LastID(), Begun: p.headSent}
	}
	p.hasEnded = true
	line.Msg("Answered")
	if a.isSuccess() {
		p.fleet.recordCompleted(p.job.Traits)
	}
	p.metrics.requests.WithLabelValues(string(p.route.Kind), "Answered").Inc()
	p.metrics.answerTimes.WithLabelValues(string(p.route.Kind)).Observe(took.Seconds())
	return nil
}

// beginAnswer sends the head of an answer unless one was already sent.
func (p *proxiedRequest) beginAnswer(a *Answer) error {
	if p.headSent {
		return nil
	}
	p.headSent = true
	p.timeToFirstByte = time.Since(p.q.Arrived)
	p.metrics.firstByteTimes.WithLabelValues(string(p.route.Kind)).Observe(p.timeToFirstByte.Seconds())
	return wrapCallerGone(p.caller.Begin(a.Status, a.Header, a.Length))
}

// errCallerGone means that a write to the caller's connection failed.
var errCallerGone = errors.New("the caller's connection is closed")

func wrapCallerGone(err error) error {
	if err == nil {
		return nil
	}
	return errors.WithMessage(errCallerGone, err.Error())
}

func (p *proxiedRequest) write(b []byte) error { return wrapCallerGone(p.caller.Write(b)) }

// relayBody passes on an answer that is no stream. An answer of less than
// maxBufferedBytes is read to its end first.
func (p *proxiedRequest) relayBody(a *Answer) error {
	first, err := io.ReadAll(io.LimitReader(a.Body, maxBufferedBytes))
	if err != nil {
		return errors.Wrap(err, "read the answer body")
	}
	if a.Length >= 0 && len(first) < maxBufferedBytes && int64(len(first)) != a.Length {
		return errors.Errorf("the answer body has %d bytes, but its announced length is %d", len(first), a.Length)
	}
	if len(first) == 0 && a.Framing == FramingClose && a.isSuccess() {
		return errors.Wrap(io.ErrUnexpectedEOF, "the connection of the answer was closed before its body")
	}
	p.recordRunAnswered()
	if err := p.beginAnswer(a); err != nil {
		return err
	}
	if len(first) > 0 {
		if err := p.write(first); err != nil {
			return err
		}
	}
	if len(first) < maxBufferedBytes {
		return nil
	}
	return p.relayBytes(a, func(b []byte) []byte { return b })
}

// hasBody reports whether an answer to the request has a body by its method and status.
func (p *proxiedRequest) hasBody(a *Answer) bool {
	return p.q.Method != http.MethodHead && a.Status != http.StatusNoContent
}

// relayEvents passes on a stream in whole events. The head is sent together
// with the first event, so that a stream that breaks earlier can be run on
// another runner. A runner that crashes may end its stream without a read error,
// which only its last event shows.
func (p *proxiedRequest) relayEvents(a *Answer) error {
	p.splitter.Reset()
	if err := p.relayBytes(a, p.splitter.Push); err != nil {
		return err
	}
	if p.splitter.IsInsideEvent() {
		return errors.Wrapf(io.ErrUnexpectedEOF, "the stream ended inside the event after %q", p.splitter.LastID())
	}
	if a.Framing == FramingClose && !p.splitter.HasEvent() {
		return errors.Wrap(io.ErrUnexpectedEOF, "the connection of the stream was closed before the first event")
	}
	if err := p.beginAnswer(a); err != nil {
		return err
	}
	if rest := p.splitter.Remainder(); len(rest) > 0 {
		return p.write(rest)
	}
	return nil
}

// probeLife is the life of a run from which on its engine has not crashed on its traits: engines
// crash when they begin an answer.
const probeLife = time.Second

// runLife returns the time from the first to the last part of run's answer.
func (p *proxiedRequest) runLife() time.Duration {
	if p.runBeganAt.IsZero() {
		return 0
	}
	return p.lastPartAt.Sub(p.runBeganAt)
}

// recordGap updates the longest pause between two parts of a stream.
func (p *proxiedRequest) recordGap() {
	now := time.Now()
	if p.runBeganAt.IsZero() {
		p.runBeganAt = now
		p.recordRunAnswered()
	}
	if p.run.IsProbe && now.Sub(p.runBeganAt) >= probeLife {
		p.run.IsProbe = false
		p.fleet.recordCompleted(p.job.Traits)
	}
	if !p.lastPartAt.IsZero() {
		p.longestGap = max(p.longestGap, now.Sub(p.lastPartAt))
	}
	p.lastPartAt = now
}

// relayBytes reads the rest of an answer and passes on the bytes that filter
// returns.
func (p *proxiedRequest) relayBytes(a *Answer, filter func([]byte) []byte) error {
	buffer := make([]byte, readBufferBytes)
	read := 0
	for {
		n, err := a.Body.Read(buffer)
		if read += n; read > maxUnboundedBytes && a.Framing != FramingLength {
			return errors.Errorf("the answer is longer than %d bytes and announces no length", maxUnboundedBytes)
		}
		if part := filter(buffer[:n]); len(part) > 0 {
			if err := p.beginAnswer(a); err != nil {
				return err
			}
			p.recordGap()
			if err := p.write(part); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read the answer body")
		}
		if len(p.splitter.Remainder()) > splitter.MaxEventBytes {
			return errors.Errorf("an event of the stream is longer than %d bytes", splitter.MaxEventBytes)
		}
	}
}
