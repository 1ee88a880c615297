package quarantiner

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/messenger"
	"github.com/figtrack/figtrack/wire"
)

const (
	// ringLength is the most inputs that wait for the shell's loop.
	ringLength = 8192
	// answerTimeout bounds the wait for the loop or for a guard.
	answerTimeout = 2 * time.Second
	// probeTimeout bounds one call that asks whether an upstream lives.
	probeTimeout = time.Second
	// probeEvery is the time between two such calls.
	probeEvery = 500 * time.Millisecond
)

// Engines gives the client of a runner.
type Engines func(u identifier.Upstream) (driver.Engine, bool)

// Guards names the VM that guards an upstream: the owner of its shard.
type Guards func(u identifier.Upstream) identifier.VM

// Shell drives the core of one VM on one goroutine.
type Shell struct {
	self    identifier.VM
	engines Engines
	guards  Guards
	live    func() []identifier.VM
	sender  messenger.Sender
	log     zerolog.Logger
	ring    chan input

	// The fields below belong to the loop.

	core *Core
	// known holds the incarnations of upstreams that were used here; one goes
	// when its upstream's connection was lost.
	known map[identifier.Upstream]identifier.Incarnation
	// probing holds the upstreams that are being asked whether they live.
	probing map[identifier.Upstream]bool
	verdict *Verdict
	guarded *GuardAnswered
}

// input is one entry of the ring: a step of the loop and where its end is
// told, if it is awaited.
type input struct {
	step func(now time.Time)
	done chan struct{}
}

// NewShell returns a shell that is at work while Run runs.
func NewShell(
	self identifier.VM, engines Engines, guards Guards, live func() []identifier.VM,
	sender messenger.Sender, log zerolog.Logger,
) *Shell {
	return &Shell{
		self:    self,
		engines: engines,
		guards:  guards,
		live:    live,
		sender:  sender,
		log:     log,
		ring:    make(chan input, ringLength),
		core:    New(),
		known:   make(map[identifier.Upstream]identifier.Incarnation),
		probing: make(map[identifier.Upstream]bool),
	}
}

// Run drives the core until ctx ends.
func (s *Shell) Run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case in := <-s.ring:
			in.step(time.Now())
			if in.done != nil {
				close(in.done)
			}
		case <-timer.C:
		}
		s.step(time.Now(), timer, Wake{})
	}
}

// step advances the core. A nil timer leaves the wake to the caller.
func (s *Shell) step(now time.Time, timer *time.Timer, e Event) {
	for _, out := range s.core.Step(now, e) {
		switch out := out.(type) {
		case Verdict:
			s.verdict = &out
		case GuardAnswered:
			s.guarded = &out
		case Tell:
			s.tell(out)
		case WakeAt:
			if timer != nil {
				timer.Reset(max(0, out.At.Sub(now)))
			}
		}
	}
}

func (s *Shell) tell(out Tell) {
	to := []identifier.VM{out.To}
	if out.To == "" {
		to = s.live()
	}
	for _, vm := range to {
		if vm != s.self {
			s.sender.Send(vm, &wire.Envelope{Body: &wire.Envelope_RequestState{RequestState: Encode(out)}})
		}
	}
}

// do runs a step on the loop and waits for its end. It returns false where the
// ring is full or ctx ends first.
func (s *Shell) do(ctx context.Context, step func(now time.Time)) bool {
	in := input{step: step, done: make(chan struct{})}
	select {
	case s.ring <- in:
	default:
		return false
	}
	select {
	case <-in.done:
		return true
	case <-ctx.Done():
		return false
	}
}

// post runs a step on the loop later. What overflows is lost.
func (s *Shell) post(step func(now time.Time)) {
	select {
	case s.ring <- input{step: step}:
	default:
	}
}

// Check says whether a request may run.
func (s *Shell) Check(ctx context.Context, request identifier.Request, f Fingerprint) Verdict {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	out := make(chan Verdict, 1)
	s.do(ctx, func(now time.Time) {
		s.step(now, nil, Checked{Request: request, Fingerprint: f})
		out <- *s.verdict
	})
	select {
	case v := <-out:
		return v
	default:
		return Verdict{Request: request, Kind: KindRun}
	}
}
