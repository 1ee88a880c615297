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

// MaxQueuedEvents is the capacity of a shell's event queue.
const MaxQueuedEvents = 256

// Key is the configuration's key in the store.
const Key = "figtrack/configuration"

// Sender sends one-way messages to other VMs. Messages may be lost. Send returns
// false if nothing was sent.
type Sender interface {
	Send(to identifier.VM, e *wire.Envelope) bool
}

// Shell runs a Core on one goroutine, fed by a bounded event queue, and executes
// its outcomes with the store and the sender. At most one read, one swap and one
// watch of the store run at a time.
type Shell struct {
	core   *Core
	store  keeper.Store
	sender Sender
	// observe is called with each InForce, SubmitEnded, RolloutEnded, Ready,
	// WriteBackStarted and Rejected, in order.
	observe  func(Outcome)
	queue    chan Event
	document atomic.Pointer[configurer.Document]
	ready    atomic.Bool
	// cancelWatch cancels the running watch. Only Run's goroutine uses it.
	cancelWatch context.CancelFunc
}

// NewShell returns a shell that is idle until Run is called. Observe is called
// on the shell's goroutine and must not block.
func NewShell(core *Core, store keeper.Store, sender Sender, observe func(Outcome)) *Shell {
	s := &Shell{core: core, store: store, sender: sender, observe: observe, queue: make(chan Event, MaxQueuedEvents)}
	s.cancelWatch = func() {}
	s.document.Store(&configurer.Document{})
	return s
}

// Offer queues an event. If the queue is full it drops the event and returns
// false. A dropped message needs no retry, as peers send them repeatedly; a
// dropped Submit must be answered with ResultBusy.
func (s *Shell) Offer(e Event) bool {
	select {
	case s.queue <- e:
		return true
	default:
		return false
	}
}

// Document returns the configuration in force. The caller must not modify it.
func (s *Shell) Document() *configurer.Document { return s.document.Load() }

// IsReady reports whether this VM has a configuration to serve with.
func (s *Shell) IsReady() bool { return s.ready.Load() }

// Handle queues a message from another VM. It always returns nil, because replies
// are sent as separate messages.
func (s *Shell) Handle(_ context.Context, from identifier.VM, e *wire.Envelope) *wire.Envelope {
	m, err := Decode(e.GetConfiguration())
	if err == nil {
		s.Offer(Received{From: from, Message: m})
	}
	return nil
}

// Run advances the core with the queued events until ctx is cancelled.
func (s *Shell) Run(ctx context.Context) {
	looper.Run[Event](ctx, s.queue, Wake{}, func(timer *time.Timer, e Event) { s.step(ctx, timer, e) })
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
			s.cancelWatch()
			watching, cancel := context.WithCancel(ctx)
			s.cancelWatch = cancel
			go s.watch(watching, o)
		case StopWatch:
			s.cancelWatch()
		default:
			s.handleReport(o)
		}
	}
}

func (s *Shell) handleReport(o Outcome) {
	switch o := o.(type) {
	case InForce:
		s.document.Store(&o.Document)
	case Ready:
		s.ready.Store(true)
	}
	s.observe(o)
}

// queueResult queues a result of a store call. It blocks while the queue is full,
// because the core waits for each result.
func (s *Shell) queueResult(ctx context.Context, e Event) {
	select {
	case s.queue <- e:
	case <-ctx.Done():
	}
}

func (s *Shell) read(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, StoreTimeout)
	defer cancel()
	entry, err := s.store.Get(call, keeper.PurposeConfiguration, Key)
	s.queueResult(ctx, StoreRead{Entry: entry, Err: err})
}

func (s *Shell) swap(ctx context.Context, o SwapStore) {
	call, cancel := context.WithTimeout(ctx, StoreTimeout)
	defer cancel()
	entry, written, err := s.store.Swap(call, keeper.PurposeConfiguration, Key, o.Expected, o.Value)
	s.queueResult(ctx, StoreSwapped{Entry: entry, Written: written, Err: err})
}

func (s *Shell) watch(ctx context.Context, o StartWatch) {
	changes, err := s.store.Watch(ctx, keeper.PurposeConfiguration, Key, o.After)
	for err == nil {
		entry, ok := <-changes
		if !ok {
			break
		}
		if entry.Key == Key {
			s.queueResult(ctx, StoreChanged{Entry: entry})
		}
	}
	if ctx.Err() == nil {
		s.queueResult(ctx, WatchBroken{})
	}
}
