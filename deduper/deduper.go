// Package deduper sees that a request is answered once and by its own answer.
//
// Core is kept by each entry VM. It knows the one writer of each request, the
// attempt that runs for it and the reader of that attempt's stream; what
// comes from any other attempt or reader is dropped and counted. A caller
// that comes back with its key takes over from its earlier connection, which
// is closed first.
//
// Home is kept by the VM that a key's rendezvous hash names. It holds, softly,
// which VM runs a key and on which engine, so that a caller who returns
// through another VM reads on in the running stream. Losing a record costs a
// second prefill, never a second answer.
//
// A Key is what the caller chose, scoped by its workspace. Each run of a key
// has a Request id of its own, so that a request and attempt together are
// never reused and late messages of an earlier run can't be taken for those
// of a later one.
package deduper

import (
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/outcomer"
)

// Times and limits of one entry VM.
const (
	// HomeWait is how long a caller waits for its key's home. It exceeds
	// YieldWait, within which the home answers.
	HomeWait = 500 * time.Millisecond
	// Grace is how long a keyed request runs on without its caller.
	Grace = 5 * time.Second
	// AloneFor is how long a request that may not be repeated runs on
	// without its caller.
	AloneFor = 10 * time.Minute
	// MaxRequests is the most requests at once.
	MaxRequests = 8192
	// MaxAnswer is the most bytes of one answer that are kept for a caller
	// who comes back and for a further attempt.
	MaxAnswer = 256 << 10
	// MaxKept is the most bytes of all answers that are kept.
	MaxKept = 32 << 20
	// MaxAttempts is the most attempts of one request.
	MaxAttempts identifier.Attempt = 5
	// MaxResumes is how often the stream of one attempt is read again after
	// it broke off.
	MaxResumes = 3
)

// Key names a caller's request on all VMs: its workspace with the idempotency
// key. It is empty if the caller chose none.
type Key string

// Writer is the number of a caller's connection on one VM. It starts at 1.
type Writer uint64

// Reader is the number of one reading of a stream on one VM. It starts at 1.
type Reader uint64

// Core is the state of one entry VM. It is advanced only by Step.
type Core struct {
	// requests has at most MaxRequests entries.
	requests map[identifier.Request]*request
	// keys and writers point into requests.
	keys    map[Key]*request
	writers map[Writer]*request
	// due orders the requests that wait for a time.
	due     []*request
	readers Reader
	serials uint64
	// kept is the sum of the bytes that the requests keep.
	kept int
	out  []Outcome
}

// New returns the core of one start of an entry VM. Its serials differ from
// those of other starts, so that late answers to them don't fit.
func New(self Start) *Core {
	seed := xxhash.Sum64String(fmt.Sprintf("%s/%d", self.VM, self.Incarnation))
	return &Core{
		serials:  seed &^ math.MaxUint32,
		requests: map[identifier.Request]*request{},
		keys:     map[Key]*request{},
		writers:  map[Writer]*request{},
	}
}

// Step advances the core.
func (c *Core) Step(now time.Time, e Event) []Outcome {
	c.out = nil
	switch e := e.(type) {
	case CallerArrived:
		c.arrived(now, e)
	case CallerGone:
		c.gone(now, e)
	case HomeAnswered:
		c.homeAnswered(e)
	case AttemptStarted:
		c.started(e)
	case TokenArrived:
		c.token(e)
	case AttemptEnded:
		c.ended(e)
	case YieldAsked:
		c.yield(e)
	case HomesChanged:
		c.retell()
	case Wake:
	default:
		panic(fmt.Sprintf("deduper: event %T", e))
	}
	c.expire(now)
	return c.out
}

func (c *Core) emit(o Outcome) { c.out = append(c.out, o) }

// Len returns the number of requests.
func (c *Core) Len() int { return len(c.requests) }

// Knows says that a run is kept under its present id.
func (c *Core) Knows(request identifier.Request) bool {
	_, ok := c.requests[request]
	return ok
}

func (c *Core) arrived(now time.Time, e CallerArrived) {
	if r, ok := c.keys[e.Key]; ok && e.Key != "" {
		c.takeOver(r, e.Writer)
		return
	}
	if len(c.requests) >= MaxRequests {
		c.emit(Finish{Writer: e.Writer, Outcome: outcomer.NewBusy(time.Second)})
		return
	}
	r := &request{id: e.Request, own: e.Request, key: e.Key, repeatable: e.Repeatable, whole: true, ran: outcomer.RanNo}
	c.add(r)
	c.setWriter(r, e.Writer)
	if !r.shared() {
		c.start(r)
		return
	}
	c.serials++
	r.phase, r.serial = phaseAsking, c.serials
	c.emit(AskHome{Key: r.key, Serial: r.serial})
	c.await(r, now.Add(HomeWait))
}

// takeOver gives the answer to a later connection of the caller, from the
// beginning. The earlier connection is closed first.
func (c *Core) takeOver(r *request, w Writer) {
	if r.writer == w {
		return
	}
	c.closeWriter(r)
	c.setWriter(r, w)
	if r.phase == phaseAsking {
		return
	}
	c.forgetTime(r)
	switch {
	case r.whole:
		c.replay(r)
	case r.attached() && r.from == 0:
		c.drop(r)
		r.whole = true
		c.attach(r, 0)
	case r.repeatable && r.tries < MaxAttempts:
		c.emit(c.cancel(r))
		c.drop(r)
		r.whole, r.next = true, 0
		r.ran = worse(r.ran, outcomer.RanUnknown)
		c.start(r)
	default:
		c.finish(r, outcomer.BrokenOff{})
	}
}

// replay writes the kept answer to a new writer.
func (c *Core) replay(r *request) {
	for i, part := range r.parts {
		end := ""
		if i == len(r.parts)-1 {
			end = r.end
		}
		c.write(r, part, end)
	}
	if r.phase == phaseDone {
		c.finish(r, outcomer.Answered{})
	}
}

func (c *Core) gone(now time.Time, e CallerGone) {
	r, ok := c.writers[e.Writer]
	if !ok {
		return
	}
	c.setWriter(r, 0)
	switch {
	case !r.repeatable:
		c.await(r, now.Add(AloneFor))
	case r.key == "":
		c.abandon(r)
	case r.phase == phaseAsking:
		c.forget(r)
	default:
		c.await(r, now.Add(Grace))
	}
}

// abandon ends a request that nobody waits for.
func (c *Core) abandon(r *request) {
	if r.phase == phaseRunning {
		c.emit(c.cancel(r))
	}
	c.forget(r)
}

// expire acts on the requests whose time has come.
func (c *Core) expire(now time.Time) {
	for len(c.due) > 0 && !now.Before(c.due[0].until) {
		r := c.due[0]
		c.forgetTime(r)
		if r.phase == phaseAsking {
			// Another VM may run it.
			r.ran = outcomer.RanUnknown
			c.start(r)
			continue
		}
		c.abandon(r)
	}
	if len(c.due) > 0 {
		c.emit(WakeAt{At: c.due[0].until})
	}
}
