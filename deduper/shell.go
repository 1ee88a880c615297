package deduper

import (
	"context"
	"crypto/sha256"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/outcomer"
	"github.com/figtrack/figtrack/relayer"
	"github.com/figtrack/figtrack/wire"
)

const (
	// ringSize is the capacity of the shell's ring in inputs.
	ringSize = 8192
	// maxBehind is the most parts that a caller may be behind; one that is
	// slower counts as gone.
	maxBehind = 4096
	// busyFor is the wait that a caller is told when the ring is full.
	busyFor = time.Second
)

// Runner runs one attempt of a request with all that it needs; see
// relayer.Relayer. If the sink is a StreamSink it says where the stream runs.
// When ctx ends with a cause that has the method LeavesStream, the stream is
// read on elsewhere: nothing is released or withdrawn.
type Runner interface {
	Run(ctx context.Context, job relayer.Job, sink relayer.Sink) outcomer.Outcome
}

// StreamSink is a sink that wants to know where its stream runs.
type StreamSink interface {
	relayer.Sink
	Streaming(hold identifier.Hold, u identifier.Upstream)
}

// left is the cause that ends a reading whose stream is read on elsewhere.
type left struct{}

func (left) Error() string { return "the stream is read on elsewhere" }

// LeavesStream marks the cause for runners.
func (left) LeavesStream() {}

// Engines gives the client of a runner.
type Engines func(u identifier.Upstream) (driver.Engine, bool)

// Sender sends one-way messages to other VMs.
type Sender interface {
	Send(to identifier.VM, e *wire.Envelope) bool
}

// Shell drives Core and Home on one goroutine and stands between callers and
// the runner. It is itself a runner, for listener.
type Shell struct {
	self     Start
	runner   Runner
	engines  Engines
	releaser relayer.Releaser
	sender   Sender
	ring     chan input
	// ended is closed when the loop has returned.
	ended   chan struct{}
	writers atomic.Uint64
	dropped atomic.Uint64

	// The fields below belong to the loop.

	core        *Core
	home        *Home
	live        []identifier.VM
	connections map[Writer]*connection
	// jobs holds what the core may begin attempts of.
	jobs map[identifier.Request]relayer.Job
	// readings holds the one reading of each request.
	readings       map[identifier.Request]*reading
	queue          []input
	wake, homeWake time.Time
}

// connection is one caller that waits in Run.
type connection struct {
	parts chan driver.Token
	done  chan outcomer.Outcome
	// sent numbers the parts.
	sent identifier.Tokens
}

// NewShell returns a shell that is at work while Loop runs.
func NewShell(self Start, runner Runner, engines Engines, releaser relayer.Releaser, sender Sender) *Shell {
	return &Shell{
		self:        self,
		runner:      runner,
		engines:     engines,
		releaser:    releaser,
		sender:      sender,
		ring:        make(chan input, ringSize),
		ended:       make(chan struct{}),
		core:        New(self),
		home:        NewHome(),
		live:        []identifier.VM{self.VM},
		connections: map[Writer]*connection{},
		jobs:        map[identifier.Request]relayer.Job{},
		readings:    map[identifier.Request]*reading{},
	}
}

// Dropped counts the messages of other attempts and readers.
func (s *Shell) Dropped() uint64 { return s.dropped.Load() }

// KeyOf names a keyed request: its workspace, the caller's key and what is
// asked, so that a key that comes with another body is another request.
func KeyOf(job relayer.Job) Key {
	if job.Key == "" {
		return ""
	}
	h := sha256.New()
	fmt.Fprintf(h, "%q %q %q %q %q %d", job.Workspace, job.Key, job.Model, job.Prompt, job.Stop, job.MaxOutput)
	return Key(fmt.Sprintf("%x", h.Sum(nil)))
}

// Run answers a caller. The answer is that of its key's run, which may have
// begun for an earlier connection. A request without a key can't come back: it
// goes straight to the runner.
func (s *Shell) Run(ctx context.Context, job relayer.Job, sink relayer.Sink) outcomer.Outcome {
	key := KeyOf(job)
	if key == "" {
		return s.runner.Run(ctx, job, sink)
	}
	writer := Writer(s.writers.Add(1))
	c := &connection{parts: make(chan driver.Token, maxBehind), done: make(chan outcomer.Outcome, 1)}
	arrived := CallerArrived{Key: key, Request: job.Request, Writer: writer, Repeatable: true}
	select {
	case s.ring <- arrival{event: arrived, connection: c, job: job}:
	default:
		return outcomer.NewBusy(busyFor)
	}
	out := c.copy(ctx, sink, s.ended)
	if _, gone := out.(outcomer.CallerGone); gone {
		s.put(event{CallerGone{Writer: writer}})
	}
	return out
}

// copy gives the parts to the sink until the connection ends.
func (c *connection) copy(ctx context.Context, sink relayer.Sink, ended <-chan struct{}) outcomer.Outcome {
	for {
		select {
		case part := <-c.parts:
			if c.send(part, sink) != nil {
				return outcomer.CallerGone{}
			}
		case out := <-c.done:
			return c.rest(sink, out)
		case <-ctx.Done():
			return outcomer.CallerGone{}
		case <-ended:
			return outcomer.CutByDrain{}
		}
	}
}

// send gives a part to the sink. Parts that have come together go out together.
func (c *connection) send(part driver.Token, sink relayer.Sink) error {
	if err := sink.Token(part); err != nil || len(c.parts) > 0 {
		return err
	}
	return relayer.Flush(sink)
}

// rest gives the parts that came before the end.
func (c *connection) rest(sink relayer.Sink, out outcomer.Outcome) outcomer.Outcome {
	for {
		select {
		case part := <-c.parts:
			if c.send(part, sink) != nil {
				return outcomer.CallerGone{}
			}
		default:
			return out
		}
	}
}

// Handle takes a message of another VM.
func (s *Shell) Handle(from Start, m *wire.RequestState) {
	e, he, err := Decode(from, m)
	switch {
	case err != nil:
	case e != nil:
		s.offer(event{e})
	case he != nil:
		s.offer(homeEvent{he})
	}
}

// SetLive names the live VMs, by which keys find their homes.
func (s *Shell) SetLive(live []identifier.VM) { s.put(setLive{live}) }

// VMDied says that one start of a VM has ended.
func (s *Shell) VMDied(start Start) { s.put(homeEvent{VMDied{Start: start}}) }

// offer drops an input where the ring is full: the senders have timeouts.
func (s *Shell) offer(in input) {
	select {
	case s.ring <- in:
	default:
		s.dropped.Add(1)
	}
}

// put waits for room. It must not be called by the loop.
func (s *Shell) put(in input) {
	select {
	case s.ring <- in:
	case <-s.ended:
	}
}
