package deduper

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	rendezvous "github.com/dgryski/go-rendezvous"

	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/outcomer"
	"github.com/figtrack/figtrack/relayer"
	"github.com/figtrack/figtrack/wire"
)

// input is an input of the shell's loop. The set is sealed.
type input interface{ input() }

type arrival struct {
	event      CallerArrived
	connection *connection
	job        relayer.Job
}

type event struct{ Event }

type homeEvent struct{ HomeEvent }

type setLive struct{ live []identifier.VM }

func (arrival) input()   {}
func (event) input()     {}
func (homeEvent) input() {}
func (setLive) input()   {}

// Loop passes inputs to Core and Home and performs their outcomes until ctx ends.
func (s *Shell) Loop(ctx context.Context) {
	defer close(s.ended)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case in := <-s.inputs:
			s.queue = append(s.queue, in)
		case <-timer.C:
			s.queueDueWakes()
		}
		for len(s.queue) > 0 {
			in := s.queue[0]
			s.queue = s.queue[1:]
			s.handleInput(ctx, in)
		}
		timer.Reset(s.untilNextWake())
	}
}

func (s *Shell) queueDueWakes() {
	now := time.Now()
	if !s.wake.IsZero() && !now.Before(s.wake) {
		s.wake = time.Time{}
		s.queue = append(s.queue, event{Wake{}})
	}
	if !s.homeWake.IsZero() && !now.Before(s.homeWake) {
		s.homeWake = time.Time{}
		s.queue = append(s.queue, homeEvent{HomeWake{}})
	}
}

func (s *Shell) untilNextWake() time.Duration {
	wait := time.Hour
	for _, at := range []time.Time{s.wake, s.homeWake} {
		if !at.IsZero() {
			wait = min(wait, max(0, time.Until(at)))
		}
	}
	return wait
}

func (s *Shell) handleInput(ctx context.Context, in input) {
	switch in := in.(type) {
	case arrival:
		s.connections[in.event.Writer] = in.connection
		s.jobs[in.event.Request] = in.job
		s.step(ctx, in.event)
		if !s.core.HasRequest(in.event.Request) {
			delete(s.jobs, in.event.Request)
		}
	case event:
		if gone, ok := in.Event.(CallerGone); ok {
			delete(s.connections, gone.Writer)
		}
		s.step(ctx, in.Event)
	case homeEvent:
		for _, o := range s.home.Step(time.Now(), in.HomeEvent) {
			s.performHomeOutcome(o)
		}
	case setLive:
		s.live = slices.Clone(in.live)
		s.step(ctx, HomesChanged{})
	}
}

func (s *Shell) step(ctx context.Context, e Event) {
	for _, o := range s.core.Step(time.Now(), e) {
		s.perform(ctx, o)
	}
}

func (s *Shell) perform(ctx context.Context, o Outcome) {
	switch o := o.(type) {
	case StartAttempt:
		s.runAttempt(ctx, o)
	case Attach:
		s.attachStream(ctx, o)
	case StopReading:
		s.stopReader(o.Request, readElsewhere{})
	case Cancel:
		s.cancelAttempt(o)
	case AnswerCollected:
		s.releaseCompleteStream(o.Request)
	case Write:
		s.writePart(o)
	case CloseWriter:
		s.finishConnection(o.Writer, outcomer.TakenOver{})
	case Finish:
		s.finishConnection(o.Writer, o.Outcome)
	case Drop:
		s.dropped.Add(1)
	case Forget:
		s.stopReader(o.Request, errCancelled)
		delete(s.jobs, o.Own)
	case WakeAt:
		s.wake = o.At
	case AskHome:
		s.sendToHome(o.Key, o)
	case TellHome:
		s.sendToHome(o.Record.Key, o)
	case ForgetHome:
		s.sendToHome(o.Key, o)
	case Yielded:
		s.sendToHome(o.Key, o)
	}
}

// sendToHome sends an outcome to the key's home VM.
func (s *Shell) sendToHome(key Key, o Outcome) {
	m := EncodeOutcome(o)
	to := s.homeOf(key)
	if to != s.self.VM {
		s.sender.Send(to, &wire.Envelope{Body: &wire.Envelope_RequestState{RequestState: m}})
		return
	}
	if _, e, err := Decode(s.self, m); err == nil {
		s.queue = append(s.queue, homeEvent{e})
	}
}

func (s *Shell) homeOf(key Key) identifier.VM {
	names := make([]string, len(s.live))
	for i, vm := range s.live {
		names[i] = string(vm)
	}
	if len(names) == 0 {
		return s.self.VM
	}
	return identifier.VM(rendezvous.New(names, xxhash.Sum64String).Lookup("Home/" + string(key)))
}

func (s *Shell) performHomeOutcome(o HomeOutcome) {
	if o, ok := o.(HomeWakeAt); ok {
		s.homeWake = o.At
		return
	}
	to, m := EncodeHomeOutcome(o)
	if to.VM != s.self.VM {
		s.sender.Send(to.VM, &wire.Envelope{Body: &wire.Envelope_RequestState{RequestState: m}})
		return
	}
	if e, _, err := Decode(s.self, m); err == nil {
		s.queue = append(s.queue, event{e})
	}
}

// writePart queues a part for a caller. A caller that is too far behind is
// treated as gone.
func (s *Shell) writePart(o Write) {
	c, ok := s.connections[o.Writer]
	if !ok {
		return
	}
	select {
	case c.parts <- driver.Token{Index: c.nextIndex, Text: o.Text, Finish: o.Finish}:
		c.nextIndex++
	default:
		s.finishConnection(o.Writer, outcomer.BrokenOff{})
		s.queue = append(s.queue, event{CallerGone{Writer: o.Writer}})
	}
}

func (s *Shell) finishConnection(w Writer, o outcomer.Outcome) {
	if c, ok := s.connections[w]; ok {
		c.done <- o
		delete(s.connections, w)
	}
}
