package syncer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/figtrack/figtrack/configurer"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/keeper"
	"github.com/figtrack/figtrack/looper"
	"github.com/figtrack/figtrack/wire"
)

// RingEvents is the capacity of a shell's ring.
const RingEvents = 256

// Key is the store's key of the configuration.
const Key = "figtrack/configuration"

// Sender sends one-way messages to other VMs. Loss is expected: false says
// that nothing was sent.
type Sender interface {
	Send(to identifier.VM, e *wire.Envelope) bool
}

// Shell owns a Core: one goroutine, a bounded ring, the store and a sender.
// At most one read, one swap and one watch of the store run at a time.
type Shell struct {
	core   *Core
	store  keeper.Store
	sender Sender
	// observe sees InForce, Submitted, Everywhere, Ready, Mended and
	// Rejected, in order.
	observe  func(Outcome)
	ring     chan Event
	document atomic.Pointer[configurer.Document]
	ready    atomic.Bool
	// unwatch ends the running watch; used only by Run's goroutine.
	unwatch context.CancelFunc
}

// NewShell returns a shell that does nothing before Run. Observe is called
// on the shell's goroutine and must not block.
func NewShell(core *Core, store keeper.Store, sender Sender, observe func(Outcome)) *Shell {
	s := &Shell{core: core, store: store, sender: sender, observe: observe, ring: make(chan Event, RingEvents)}
	s.unwatch = func() {}
	s.document.Store(&configurer.Document{})
	return s
}

// Offer queues an event. It returns false, with the event dropped, if the
// ring is full: a message comes again, and a Submit is to be answered Busy.
func (s *Shell) Offer(e Event) bool {
	select {
	case s.ring <- e:
		return true
	default:
		return false
	}
}

// Document returns the configuration in force. It must not be changed.
func (s *Shell) Document() *configurer.Document { return s.document.Load() }

// IsReady says whether there is a configuration to serve with.
func (s *Shell) IsReady() bool { return s.ready.Load() }

// Handle takes in a message of another VM. It never answers: answers are
// messages of their own.
func (s *Shell) Handle(_ context.Context, from identifier.VM, e *wire.Envelope) *wire.Envelope {
	m, err := Decode(e.GetConfiguration())
	if err == nil {
		s.Offer(Received{From: from, Message: m})
	}
	return nil
}

// Run drives the core until ctx ends.
func (s *Shell) Run(ctx context.Context) {
	looper.Run[Event](ctx, s.ring, Wake{}, func(timer *time.Timer, e Event) { s.step(ctx, timer, e) })
}

func (s *Shell) step(ctx context.Context, timer *time.Timer, e Event) {
	now := time.Now()
	for _, o := range s.core.Step(now, e) {
		switch o := o.(type) {
		case Send:
			body := &wire.Envelope_Configuration{Configuration: Encode(o.Message)}
			s.sender.Send(o.To, &wire.Envelope{Body: body})
		case WakeAt:
			timer.Reset(max(0, o.At.Sub(now)))
		case ReadStore:
			go s.read(ctx)
		case SwapStore:
			go s.swap(ctx, o)
		case StartWatch:
			s.unwatch()
			watching, cancel := context.WithCancel(ctx)
			s.unwatch = cancel
			go s.watch(watching, o)
		case StopWatch:
			s.unwatch()
		default:
			s.report(o)
		}
	}
}

func (s *Shell) report(o Outcome) {
	switch o := o.(type) {
	case InForce:
		s.document.Store(&o.Document)
	case Ready:
		s.ready.Store(true)
	}
	s.observe(o)
}

// deliver queues an answer of the store, which must not be lost.
func (s *Shell) deliver(ctx context.Context, e Event) {
	select {
	case s.ring <- e:
	case <-ctx.Done():
	}
}

func (s *Shell) read(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, StoreTimeout)
	defer cancel()
	entry, err := s.store.Get(call, keeper.PurposeConfiguration, Key)
	s.deliver(ctx, StoreRead{Entry: entry, Err: err})
}

func (s *Shell) swap(ctx context.Context, o SwapStore) {
	call, cancel := context.WithTimeout(ctx, StoreTimeout)
	defer cancel()
	entry, written, err := s.store.Swap(call, keeper.PurposeConfiguration, Key, o.Expected, o.Value)
	s.deliver(ctx, StoreSwapped{Entry: entry, Written: written, Err: err})
}

func (s *Shell) watch(ctx context.Context, o StartWatch) {
	changes, err := s.store.Watch(ctx, keeper.PurposeConfiguration, Key, o.After)
	for err == nil {
		entry, ok := <-changes
		if !ok {
			break
		}
		if entry.Key == Key {
			s.deliver(ctx, StoreChanged{Entry: entry})
		}
	}
	if ctx.Err() == nil {
		s.deliver(ctx, WatchBroken{})
	}
}
