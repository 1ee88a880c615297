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
	// inputQueueSize is the most inputs that wait for the shell's loop.
	inputQueueSize = 8192
	// answerTimeout bounds the wait for the loop or for a guard.
	answerTimeout = 2 * time.Second
	// probeTimeout bounds one call that asks an upstream for its incarnation.
	probeTimeout = time.Second
	// probeInterval is the pause between two probes of a lost upstream.
	probeInterval = 500 * time.Millisecond
)

// Prober asks an upstream for its load, which has its incarnation; zero if it reports
// none. An error of driver.KindNotRun shows that its process has ended.
type Prober interface {
	Load(ctx context.Context) (driver.Load, error)
}

// ProberLookup returns the prober of an upstream, or false if it is unknown.
type ProberLookup func(u identifier.Upstream) (Prober, bool)

// GuardLookup returns the VM that guards an upstream: the owner of its shard.
type GuardLookup func(u identifier.Upstream) identifier.VM

// Shell drives the core of one VM on one goroutine, the loop of Run.
type Shell struct {
	self     identifier.VM
	proberOf ProberLookup
	guardOf  GuardLookup
	liveVMs  func() []identifier.VM
	sender   messenger.Sender
	log      zerolog.Logger
	inputs   chan input

	// The fields below are used only on the loop.

	core *Core
	// incarnations holds the last known incarnation of each upstream that this
	// VM has used. An upstream is removed when it has died.
	incarnations map[identifier.Upstream]identifier.Incarnation
	// died holds the last incarnation of each upstream that has died. It stands for the next
	// one until incarnations has that, so that a run and the end of its connection agree.
	died map[identifier.Upstream]identifier.Incarnation
	// probing holds the lost upstreams that confirmDeath is probing.
	probing map[identifier.Upstream]bool
	// lastVerdict and lastGuardAnswer are the latest outcomes of their kind.
	lastVerdict     *Verdict
	lastGuardAnswer *GuardAnswered
}

// input is one entry of the queue: a function to run on the loop, and a
// channel that is closed when it has returned, or nil if nobody waits.
type input struct {
	step func(now time.Time)
	done chan struct{}
}

// NewShell returns a shell. It processes inputs only while Run runs.
func NewShell(
	self identifier.VM, probers ProberLookup, guards GuardLookup, live func() []identifier.VM,
	sender messenger.Sender, log zerolog.Logger,
) *Shell {
	return &Shell{
		self:         self,
		proberOf:     probers,
		guardOf:      guards,
		liveVMs:      live,
		sender:       sender,
		log:          log,
		inputs:       make(chan input, inputQueueSize),
		core:         New(),
		incarnations: make(map[identifier.Upstream]identifier.Incarnation),
		died:         make(map[identifier.Upstream]identifier.Incarnation),
		probing:      make(map[identifier.Upstream]bool),
	}
}

// Run processes inputs and timers until ctx is done.
func (s *Shell) Run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case in := <-s.inputs:
			in.step(time.Now())
			if in.done != nil {
				close(in.done)
			}
		case <-timer.C:
		}
		s.step(time.Now(), timer, Wake{})
	}
}

// step applies an event to the core and carries out the outcomes. A nil timer
// ignores WakeAt, because Run steps a Wake after each input anyway.
func (s *Shell) step(now time.Time, timer *time.Timer, e Event) {
	for _, out := range s.core.Step(now, e) {
		switch out := out.(type) {
		case Verdict:
			s.lastVerdict = &out
		case GuardAnswered:
			s.lastGuardAnswer = &out
		case SendMarks:
			s.sendMarks(out)
		case WakeAt:
			if timer != nil {
				timer.Reset(max(0, out.At.Sub(now)))
			}
		}
	}
}

func (s *Shell) sendMarks(out SendMarks) {
	to := []identifier.VM{out.To}
	if out.To == "" {
		to = s.liveVMs()
	}
	for _, vm := range to {
		if vm != s.self {
			s.sender.Send(vm, &wire.Envelope{Body: &wire.Envelope_RequestState{RequestState: Encode(out)}})
		}
	}
}

// runAndWait runs step on the loop and waits for it to return. It returns
// false if the queue is full or ctx is done first.
func (s *Shell) runAndWait(ctx context.Context, step func(now time.Time)) bool {
	in := input{step: step, done: make(chan struct{})}
	select {
	case s.inputs <- in:
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

// enqueue queues step to run on the loop. If the queue is full, the step is
// dropped.
func (s *Shell) enqueue(step func(now time.Time)) {
	select {
	case s.inputs <- input{step: step}:
	default:
	}
}

// Check returns whether a request may run. The request may run if the loop
// does not answer in time.
func (s *Shell) Check(ctx context.Context, request identifier.Request, f Fingerprint) Verdict {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	out := make(chan Verdict, 1)
	s.runAndWait(ctx, func(now time.Time) {
		s.step(now, nil, CheckAsked{Request: request, Fingerprint: f})
		out <- *s.lastVerdict
	})
	select {
	case v := <-out:
		return v
	default:
		return Verdict{Request: request, Kind: KindRun}
	}
}
