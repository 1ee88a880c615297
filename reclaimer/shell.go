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
	// maxInputs is the maximum number of inputs that wait for the loop. Holds
	// whose input is dropped are found again by the next listing.
	maxInputs = 8192
	// maxCalls is the maximum number of concurrent calls to engines.
	maxCalls = 64
	// callTimeout is the timeout of one call to an engine.
	callTimeout = 2 * time.Second
)

// Engines returns the client of an engine, or false if the engine is not
// configured.
type Engines func(u identifier.Upstream) (driver.Engine, bool)

// Sender sends one-way messages to other VMs.
type Sender interface {
	Send(to identifier.VM, e *wire.Envelope) bool
}

// Shard lists the engines of a shard that this VM owns.
type Shard struct {
	ID        identifier.Shard
	Upstreams []identifier.Upstream
}

// Shell runs the Canceller of a VM and the cores of the shards that it owns, on
// the goroutine of Run. Its methods may be called from any goroutine.
type Shell struct {
	self    Start
	engines Engines
	sender  Sender
	log     zerolog.Logger
	inputs  chan input
	// callSlots holds an element for each call to an engine that is under way.
	callSlots chan struct{}
	// pending is the number of unacknowledged releases.
	pending atomic.Int64

	mu sync.Mutex
	// inUse counts the reasons for which this VM vouches for a hold.
	inUse map[identifier.Hold]int

	// The fields below are used only on the goroutine of Run.

	canceller *Canceller
	shards    []Shard
	cores     map[identifier.Shard]*Core
	live      []identifier.VM
}

// input is an input of the loop of Run. The set is sealed.
type input interface{ input() }

// cancellerInput carries an event for the Canceller.
type cancellerInput struct{ event CancellerEvent }

// coreInput carries an event for the core of a shard.
type coreInput struct {
	shard identifier.Shard
	event Event
}

type setShards struct{ shards []Shard }

type setLive struct{ live []identifier.VM }

func (cancellerInput) input() {}
func (coreInput) input()      {}
func (setShards) input()      {}
func (setLive) input()        {}

// NewShell returns a shell. Its Canceller and cores run only during Run.
func NewShell(self Start, engines Engines, sender Sender, log zerolog.Logger) *Shell {
	return &Shell{
		self:      self,
		engines:   engines,
		sender:    sender,
		log:       log,
		inputs:    make(chan input, maxInputs),
		callSlots: make(chan struct{}, maxCalls),
		inUse:     make(map[identifier.Hold]int),
		canceller: NewCanceller(),
		cores:     make(map[identifier.Shard]*Core),
	}
}

// Vouch records a use of a hold by this VM. It must be called before the first
// order is sent.
func (s *Shell) Vouch(hold identifier.Hold) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inUse[hold]++
}

// Disown ends one use that Vouch recorded. It must be called after Release for all
// engines with the hold.
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

// Release releases a hold, and repeats that until the engine acknowledges it.
func (s *Shell) Release(u identifier.Upstream, hold identifier.Hold) {
	if !s.offer(cancellerInput{ReleaseAsked{ReleaseID{Upstream: u, Hold: hold}}}) {
		s.log.Warn().Str("Upstream", string(u)).Str("Request", string(hold.Request)).Msg("ReleaseNotQueued")
	}
}

// EngineRestarted reports that an engine was started again and has lost its
// holds.
func (s *Shell) EngineRestarted(u identifier.Upstream) { s.offer(cancellerInput{EngineRestarted{u}}) }

// SetShards replaces the shards that this VM owns.
func (s *Shell) SetShards(ctx context.Context, shards []Shard) { s.put(ctx, setShards{shards}) }

// SetLive replaces the set of live VMs.
func (s *Shell) SetLive(ctx context.Context, live []identifier.VM) { s.put(ctx, setLive{live}) }

// PendingReleases returns the number of unacknowledged releases.
func (s *Shell) PendingReleases() int { return int(s.pending.Load()) }

// offer queues an input and returns false if the queue is full.
func (s *Shell) offer(in input) bool {
	select {
	case s.inputs <- in:
		return true
	default:
		return false
	}
}

// put queues an input that must not be lost. It waits while the queue is full,
// which is short because the loop never blocks.
func (s *Shell) put(ctx context.Context, in input) {
	select {
	case s.inputs <- in:
	case <-ctx.Done():
	}
}

// Handle handles a message of another VM. An invalid one is ignored.
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
			s.offer(coreInput{shard, answered})
		}
	}
}

func envelope(m *wire.RequestState) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_RequestState{RequestState: m}}
}
