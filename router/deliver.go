package router

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/attempter"
	"github.com/figtrack/figtrack/tracker"
)

// dropAnswer gives up an answer that is not passed on.
func (p *passage) dropAnswer() {
	if p.answer != nil {
		drain(p.answer)
		p.answer = nil
	}
}

// deliver passes the answer on. It returns nil where the caller has it whole.
func (p *passage) deliver() attempter.Event {
	a := p.answer
	p.answer = nil
	defer a.Body.Close()
	var err error
	if p.job.IsStream {
		err = p.relayEvents(a)
	} else {
		err = p.relayWhole(a)
	}
	took := time.Since(p.q.Arrived)
	line := p.log.Info().
		Str("Request", string(p.q.ID)).
		Str("Upstream", string(p.run.To.ID)).
		Int("Status", a.Status).
		Str("LastEvent", p.events.last).
		Int("Runs", p.core.Runs()).
		Dur("First", p.first).
		Dur("LongestGap", p.gap).
		Dur("Took", took)
	if errors.Is(err, errCallerGone) {
		line.AnErr("Error", err).Msg("Abandoned")
		p.metrics.requests.WithLabelValues(string(p.route.Kind), "Abandoned").Inc()
		return attempter.Abandoned{}
	}
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		// The caller has left or its time is up, which is not the runner's fault;
		// serve tells the two apart.
		return attempter.Broken{LastEvent: p.events.last, Begun: p.begun}
	}
	if err != nil {
		line.AnErr("Error", err).Msg("AnswerBroken")
		p.fleet.with(func(_ time.Time, view *tracker.Tracker) []tracker.Change {
			return view.Answered(p.run.To, true, 0)
		})
		return attempter.Broken{LastEvent: p.events.last, Begun: p.begun}
	}
	line.Msg("Answered")
	p.metrics.requests.WithLabelValues(string(p.route.Kind), "Answered").Inc()
	p.metrics.whole.WithLabelValues(string(p.route.Kind)).Observe(took.Seconds())
	return nil
}

// beginAnswer sends the head of an answer, once.
func (p *passage) beginAnswer(a *Answer) error {
	if p.begun {
		return nil
	}
	p.begun = true
	p.first = time.Since(p.q.Arrived)
	p.metrics.firstByte.WithLabelValues(string(p.route.Kind)).Observe(p.first.Seconds())
	return gone(p.caller.Begin(a.Status, a.Header, a.Length))
}

// errCallerGone says that the caller's connection takes no more bytes.
var errCallerGone = errors.New("the caller's connection is closed")

func gone(err error) error {
	if err == nil {
		return nil
	}
	return errors.WithMessage(errCallerGone, err.Error())
}

func (p *passage) write(b []byte) error { return gone(p.caller.Write(b)) }

// relayWhole passes on a plain answer. A short one is read to its end first.
func (p *passage) relayWhole(a *Answer) error {
	first, err := io.ReadAll(io.LimitReader(a.Body, wholeUpTo))
	if err != nil {
		return errors.Wrap(err, "read the answer")
	}
	if a.Length >= 0 && len(first) < wholeUpTo && int64(len(first)) != a.Length {
		return errors.Errorf("the answer has %d bytes, announced were %d", len(first), a.Length)
	}
	if err := p.beginAnswer(a); err != nil {
		return err
	}
	if len(first) > 0 {
		if err := p.write(first); err != nil {
			return err
		}
	}
	if len(first) < wholeUpTo {
		return nil
	}
	return p.relayBytes(a, func(b []byte) []byte { return b })
}

// relayEvents passes on a stream by whole events. Its head is sent with the
// first one, so that a stream that breaks earlier can begin elsewhere.
func (p *passage) relayEvents(a *Answer) error {
	p.events.reset()
	if err := p.relayBytes(a, p.events.push); err != nil {
		return err
	}
	if err := p.beginAnswer(a); err != nil {
		return err
	}
	if rest := p.events.rest(); len(rest) > 0 {
		return p.write(rest)
	}
	return nil
}

// noteGap measures the pauses between the parts of a stream.
func (p *passage) noteGap() {
	now := time.Now()
	if !p.last.IsZero() {
		p.gap = max(p.gap, now.Sub(p.last))
	}
	p.last = now
}

// relayBytes reads the rest of an answer and passes on what cut returns of it.
func (p *passage) relayBytes(a *Answer, cut func([]byte) []byte) error {
	buffer := make([]byte, readSize)
	for {
		n, err := a.Body.Read(buffer)
		if part := cut(buffer[:n]); len(part) > 0 {
			if err := p.beginAnswer(a); err != nil {
				return err
			}
			p.noteGap()
			if err := p.write(part); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read the answer")
		}
		if len(p.events.kept) > maxEvent {
			return errors.Errorf("an event has more than %d bytes", maxEvent)
		}
	}
}
