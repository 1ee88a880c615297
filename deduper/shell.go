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
	// maxInputs is the capacity of the shell's input queue, in inputs.
	maxInputs = 8192
	// maxPartsBehind is the maximum number of parts queued for a caller; a
	// slower caller is treated as gone.
	maxPartsBehind = 4096
	// busyRetryAfter is the retry delay reported to a caller when the input
	// queue is full.
	busyRetryAfter = time.Second
)

// Runner runs one attempt of a request, including admission and placement; see
// relayer.Relayer. If the sink is a StreamSink, Run calls its Streaming method
// when the stream has begun. If ctx ends with a cause that has the method
// LeavesStream, another reader continues the stream: Run then releases and
// withdraws nothing.
type Runner interface {
	Run(ctx context.Context, job relayer.Job, sink relayer.Sink) outcomer.Outcome
}

// StreamSink is a sink that is notified of the hold and upstream of its stream.
type StreamSink interface {
	relayer.Sink
	Streaming(hold identifier.Hold, u identifier.Upstream)
}

// readElsewhere is the cause that stops a reader whose stream another reader
// continues.
type readElsewhere struct{}

func (readElsewhere) Error() string { return "another reader continues the stream" }

// LeavesStream tells a Runner not to release the stream's hold.
func (readElsewhere) LeavesStream() {}

// Engines returns the engine client of an upstream, and false if the upstream is
// not configured.
type Engines func(u identifier.Upstream) (driver.Engine, bool)

// Sender sends one-way messages to other VMs.
type Sender interface {
	Send(to identifier.VM, e *wire.Envelope) bool
}

// Shell runs Core and Home on one goroutine and connects callers to the Runner.
// It implements Runner itself, for package listener.
type Shell struct {
	self     Start
	runner   Runner
	engines  Engines
	releaser relayer.Releaser
	sender   Sender
	// inputs queues the inputs of the loop.
	inputs chan input
	// ended is closed when Loop has returned.
	ended      chan struct{}
	lastWriter atomic.Uint64
	dropped    atomic.Uint64

	// The fields below are accessed only by Loop.

	core        *Core
	home        *Home
	live        []identifier.VM
	connections map[Writer]*connection
	// jobs holds the jobs that the core may begin attempts of.
	jobs map[identifier.Request]relayer.Job
	// streamReaders holds the only reader of each request's stream.
	streamReaders map[identifier.Request]*streamReader
	// queue holds inputs that are handled before the next one from inputs.
	queue []input
	// wake and homeWake are the due times of the next Wake and HomeWake, zero
	// if there is none.
	wake, homeWake time.Time
}

// connection passes an answer from the loop to a caller that waits in Run.
type connection struct {
	parts chan driver.Token
	done  chan outcomer.Outcome
	// nextIndex is the index of the next part.
	nextIndex identifier.Tokens
}

// NewShell returns a shell; it handles callers and messages while Loop runs.
func NewShell(self Start, runner Runner, engines Engines, releaser relayer.Releaser, sender Sender) *Shell {
	return &Shell{
		self:          self,
		runner:        runner,
		engines:       engines,
		releaser:      releaser,
		sender:        sender,
		inputs:        make(chan input, maxInputs),
		ended:         make(chan struct{}),
		core:          New(self),
		home:          NewHome(),
		live:          []identifier.VM{self.VM},
		connections:   map[Writer]*connection{},
		jobs:          map[identifier.Request]relayer.Job{},
		streamReaders: map[identifier.Request]*streamReader{},
	}
}

// Dropped returns the number of dropped messages: those that didn't come from a
// current attempt and reader, and those that found the input queue full.
func (s *Shell) Dropped() uint64 { return s.dropped.Load() }

// KeyOf returns a digest of the workspace, the idempotency key and the request's
// contents, so that the same key with another body identifies another request.
// It returns "" if the job has no idempotency key.
func KeyOf(job relayer.Job) Key {
	if job.Key == "" {
		return ""
	}
	h := sha256.New()
	fmt.Fprintf(h, "%q %q %q %q %q %d", job.Workspace, job.Key, job.Model, job.Prompt, job.Stop, job.MaxOutput)
	return Key(fmt.Sprintf("%x", h.Sum(nil)))
}

// Run answers a caller with the output of its key's run, which may have begun
// for an earlier connection. A request without a key goes directly to the
// runner, since its caller can't reconnect to the answer.
func (s *Shell) Run(ctx context.Context, job relayer.Job, sink relayer.Sink) outcomer.Outcome {
	key := KeyOf(job)
	if key == "" {
		return s.runner.Run(ctx, job, sink)
	}
	writer := Writer(s.lastWriter.Add(1))
	c := &connection{parts: make(chan driver.Token, maxPartsBehind), done: make(chan outcomer.Outcome, 1)}
	arrived := CallerArrived{Key: key, Request: job.Request, Writer: writer, Repeatable: true}
	select {
	case s.inputs <- arrival{event: arrived, connection: c, job: job}:
	default:
		return outcomer.NewBusy(busyRetryAfter)
	}
	out := c.copyParts(ctx, sink, s.ended)
	if _, gone := out.(outcomer.CallerGone); gone {
		s.put(event{CallerGone{Writer: writer}})
	}
	return out
}

// copyParts sends the parts to the sink until the connection ends.
func (c *connection) copyParts(ctx context.Context, sink relayer.Sink, ended <-chan struct{}) outcomer.Outcome {
	for {
		select {
		case part := <-c.parts:
			if c.sendPart(part, sink) != nil {
				return outcomer.CallerGone{}
			}
		case out := <-c.done:
			return c.sendRest(sink, out)
		case <-ctx.Done():
			return outcomer.CallerGone{}
		case <-ended:
			return outcomer.CutByDrain{}
		}
	}
}

// sendPart sends a part to the sink and flushes the sink once no further part
// is queued.
func (c *connection) sendPart(part driver.Token, sink relayer.Sink) error {
	if err := sink.WriteToken(part); err != nil || len(c.parts) > 0 {
		return err
	}
	return relayer.Flush(sink)
}

// sendRest sends the parts that were queued before the end.
func (c *connection) sendRest(sink relayer.Sink, out outcomer.Outcome) outcomer.Outcome {
	for {
		select {
		case part := <-c.parts:
			if c.sendPart(part, sink) != nil {
				return outcomer.CallerGone{}
			}
		default:
			return out
		}
	}
}

// Handle queues a message from another VM for the loop. It ignores a malformed
// one.
func (s *Shell) Handle(from Start, m *wire.RequestState) {
	e, he, err := Decode(from, m)
	switch {
	case err != nil:
	case e != nil:
		s.putOrDrop(event{e})
	case he != nil:
		s.putOrDrop(homeEvent{he})
	}
}

// SetLive sets the live VMs, among which each key's home is selected.
func (s *Shell) SetLive(live []identifier.VM) { s.put(setLive{live}) }

// VMDied reports to the home that one start of a VM has ended.
func (s *Shell) VMDied(start Start) { s.put(homeEvent{VMDied{Start: start}}) }

// putOrDrop queues an input, or drops and counts it if the input queue is full.
// The sending VMs handle a loss by their timeouts.
func (s *Shell) putOrDrop(in input) {
	select {
	case s.inputs <- in:
	default:
		s.dropped.Add(1)
	}
}

// put queues an input and blocks while the input queue is full. Loop must not call
// it, as it would wait for itself.
func (s *Shell) put(in input) {
	select {
	case s.inputs <- in:
	case <-s.ended:
	}
}
