package reclaimer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/wire"
)

const (
	// ringLength is the most inputs that wait for the shell's loop. What
	// overflows is found again by the next listing.
	ringLength = 8192
	// maxTries is the most calls to engines under way at once.
	maxTries = 64
	// callTimeout bounds one call to an engine.
	callTimeout = 2 * time.Second
)

// Engines gives the client of a runner.
type Engines func(u identifier.Upstream) (driver.Engine, bool)

// Sender sends one-way messages to other VMs.
type Sender interface {
	Send(to identifier.VM, e *wire.Envelope) bool
}

// Shard names the runners whose holds this VM compares.
type Shard struct {
	ID        identifier.Shard
	Upstreams []identifier.Upstream
}

// Shell drives the Canceller of a VM and the cores of the shards it owns, on
// one goroutine. What the VM has in use is kept beside the loop.
type Shell struct {
	self    Start
	engines Engines
	sender  Sender
	log     zerolog.Logger
	ring    chan input
	calls   chan struct{}
	pending atomic.Int64

	mu sync.Mutex
	// inUse counts the reasons for which this VM vouches for a hold.
	inUse map[identifier.Hold]int

	// The fields below belong to the loop.

	canceller *Canceller
	shards    []Shard
	cores     map[identifier.Shard]*Core
	live      []identifier.VM
}

// input is what the loop is told. The set is sealed.
type input interface{ input() }

type cancel struct{ event CancellerEvent }

type compare struct {
	shard identifier.Shard
	event Event
}

type setShards struct{ shards []Shard }

type setLive struct{ live []identifier.VM }

func (cancel) input()    {}
func (compare) input()   {}
func (setShards) input() {}
func (setLive) input()   {}

// NewShell returns a shell that is at work while Run runs.
func NewShell(self Start, engines Engines, sender Sender, log zerolog.Logger) *Shell {
	return &Shell{
		self:      self,
		engines:   engines,
		sender:    sender,
		log:       log,
		ring:      make(chan input, ringLength),
		calls:     make(chan struct{}, maxTries),
		inUse:     make(map[identifier.Hold]int),
		canceller: NewCanceller(),
		cores:     make(map[identifier.Shard]*Core),
	}
}

// Vouch says that this VM uses a hold. It comes before the first order.
func (s *Shell) Vouch(hold identifier.Hold) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inUse[hold]++
}

// Disown ends a Vouch, after the releases of the hold were asked for.
func (s *Shell) Disown(hold identifier.Hold) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inUse[hold]--
	if s.inUse[hold] <= 0 {
		delete(s.inUse, hold)
	}
}

func (s *Shell) isInUse(hold identifier.Hold) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inUse[hold] > 0
}

// Release frees a hold, repeating until the engine has acknowledged it.
func (s *Shell) Release(u identifier.Upstream, hold identifier.Hold) {
	if !s.offer(cancel{ReleaseAsked{Order{Upstream: u, Hold: hold}}}) {
		s.log.Warn().Str("Upstream", string(u)).Str("Request", string(hold.Request)).Msg("ReleaseNotQueued")
	}
}

// Restarted says that an engine holds nothing of before.
func (s *Shell) Restarted(u identifier.Upstream) { s.offer(cancel{EngineRestarted{u}}) }

// SetShards replaces the shards that this VM owns.
func (s *Shell) SetShards(ctx context.Context, shards []Shard) { s.put(ctx, setShards{shards}) }

// SetLive replaces the live VMs.
func (s *Shell) SetLive(ctx context.Context, live []identifier.VM) { s.put(ctx, setLive{live}) }

// Pending returns the releases that are not acknowledged.
func (s *Shell) Pending() int { return int(s.pending.Load()) }

func (s *Shell) offer(in input) bool {
	select {
	case s.ring <- in:
		return true
	default:
		return false
	}
}

// put queues what must not be lost; the loop never waits.
func (s *Shell) put(ctx context.Context, in input) {
	select {
	case s.ring <- in:
	case <-ctx.Done():
	}
}

// Handle takes a message of another VM.
func (s *Shell) Handle(from Start, m *wire.RequestState) {
	switch body := m.GetBody().(type) {
	case *wire.RequestState_VouchAsk:
		answer, err := AnswerAsk(body.VouchAsk, s.isInUse)
		if err == nil {
			s.sender.Send(from.VM, envelope(answer))
		}
	case *wire.RequestState_VouchAnswer:
		shard, answered, err := DecodeAnswer(from, body.VouchAnswer)
		if err == nil {
			s.offer(compare{shard, answered})
		}
	}
}

func envelope(m *wire.RequestState) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_RequestState{RequestState: m}}
}
