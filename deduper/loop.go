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

// input is what the loop is told. The set is sealed.
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

// Loop drives the cores until ctx ends.
func (s *Shell) Loop(ctx context.Context) {
	defer close(s.ended)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case in := <-s.ring:
			s.queue = append(s.queue, in)
		case <-timer.C:
			s.due()
		}
		for len(s.queue) > 0 {
			in := s.queue[0]
			s.queue = s.queue[1:]
			s.take(ctx, in)
		}
		timer.Reset(s.wait())
	}
}

func (s *Shell) due() {
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

func (s *Shell) wait() time.Duration {
	wait := time.Hour
	for _, at := range []time.Time{s.wake, s.homeWake} {
		if !at.IsZero() {
			wait = min(wait, max(0, time.Until(at)))
		}
	}
	return wait
}

func (s *Shell) take(ctx context.Context, in input) {
	switch in := in.(type) {
	case arrival:
		s.connections[in.event.Writer] = in.connection
		s.jobs[in.event.Request] = in.job
		s.step(ctx, in.event)
		if !s.core.Knows(in.event.Request) {
			delete(s.jobs, in.event.Request)
		}
	case event:
		if gone, ok := in.Event.(CallerGone); ok {
			delete(s.connections, gone.Writer)
		}
		s.step(ctx, in.Event)
	case homeEvent:
		for _, o := range s.home.Step(time.Now(), in.HomeEvent) {
			s.performHome(o)
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
		s.attempt(ctx, o)
	case Attach:
		s.attach(ctx, o)
	case StopReading:
		s.end(o.Request, left{})
	case Cancel:
		s.cancel(o)
	case Collected:
		s.collected(o.Request)
	case Write:
		s.write(o)
	case CloseWriter:
		s.finish(o.Writer, outcomer.TakenOver{})
	case Finish:
		s.finish(o.Writer, o.Outcome)
	case Drop:
		s.dropped.Add(1)
	case Forget:
		s.end(o.Request, errCancelled)
		delete(s.jobs, o.Own)
	case WakeAt:
		s.wake = o.At
	case AskHome:
		s.toHome(o.Key, o)
	case TellHome:
		s.toHome(o.Record.Key, o)
	case ForgetHome:
		s.toHome(o.Key, o)
	case Yielded:
		s.toHome(o.Key, o)
	}
}

// toHome sends an outcome to the VM that a key's rendezvous hash names.
func (s *Shell) toHome(key Key, o Outcome) {
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

func (s *Shell) performHome(o HomeOutcome) {
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

// write gives a part to a caller. One that is too far behind counts as gone.
func (s *Shell) write(o Write) {
	c, ok := s.connections[o.Writer]
	if !ok {
		return
	}
	select {
	case c.parts <- driver.Token{Index: c.sent, Text: o.Text, Finish: o.Finish}:
		c.sent++
	default:
		s.finish(o.Writer, outcomer.BrokenOff{})
		s.queue = append(s.queue, event{CallerGone{Writer: o.Writer}})
	}
}

func (s *Shell) finish(w Writer, o outcomer.Outcome) {
	if c, ok := s.connections[w]; ok {
		c.done <- o
		delete(s.connections, w)
	}
}
