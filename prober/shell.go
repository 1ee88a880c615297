package prober

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/looper"
	"github.com/figtrack/figtrack/wire"
)

// MaxQueuedEvents is the capacity of a shell's event queue.
const MaxQueuedEvents = 1024

// Sender sends one-way messages to other VMs. Send returns false if nothing was
// sent. Messages may be lost.
type Sender interface {
	Send(to identifier.VM, e *wire.Envelope) bool
}

// Shell runs a Core in one goroutine: it queues the events and sends the frames
// of the core.
type Shell struct {
	core   *Core
	sender Sender
	// observe is called with each outcome except Send and WakeAt, in order.
	observe func(Outcome)
	ring    chan Event
	live    atomic.Pointer[[]Member]
	dropped atomic.Int64
}

// NewShell returns a shell that does nothing before Run. The observe callback
// runs on the shell's goroutine and must not block.
func NewShell(core *Core, sender Sender, observe func(Outcome)) *Shell {
	s := &Shell{core: core, sender: sender, observe: observe, ring: make(chan Event, MaxQueuedEvents)}
	s.live.Store(&[]Member{})
	return s
}

// Offer queues an event. If the queue is full, it drops and counts the event and
// returns false; later messages contain the same information.
func (s *Shell) Offer(e Event) bool {
	select {
	case s.ring <- e:
		return true
	default:
		s.dropped.Add(1)
		return false
	}
}

// Dropped returns the number of events dropped because the queue was full.
func (s *Shell) Dropped() int64 { return s.dropped.Load() }

// Live returns the present live set, sorted by VM. The caller must not modify it.
func (s *Shell) Live() []Member { return *s.live.Load() }

// Handle queues a message of another VM. It always returns nil, as answers are
// sent as separate messages.
func (s *Shell) Handle(_ context.Context, from identifier.VM, e *wire.Envelope) *wire.Envelope {
	f, err := Decode(e.GetMembership())
	if err == nil {
		s.Offer(Received{From: from, Frame: f})
	}
	return nil
}

// Run drives the core until ctx ends.
func (s *Shell) Run(ctx context.Context) {
	looper.Run[Event](ctx, s.ring, Wake{}, s.step)
}

func (s *Shell) step(timer *time.Timer, e Event) {
	now := time.Now()
	for _, o := range s.core.Step(now, e) {
		switch o := o.(type) {
		case Send:
			body := &wire.Envelope_Membership{Membership: Encode(o.Frame)}
			s.sender.Send(o.To, &wire.Envelope{Body: body})
		case WakeAt:
			timer.Reset(max(0, o.At.Sub(now)))
		case LiveChanged:
			s.live.Store(&o.Live)
			s.observe(o)
		default:
			s.observe(o)
		}
	}
}
