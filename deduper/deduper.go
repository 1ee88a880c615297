// Package deduper ensures that each request gets exactly one answer, produced
// by its own run.
//
// Each entry VM has a Core. For each request it tracks the single writer, the
// current attempt and the reader of that attempt's stream. Messages from any
// other attempt or reader are dropped and counted. When a caller reconnects
// with the same key, the new connection receives the answer and the earlier
// one is closed first.
//
// The VM selected by rendezvous hashing of a key is the home of that key. Its
// Home tracks in memory which VM runs the key and on which engine, so that a
// caller who reconnects through another VM continues the running stream.
// Losing a record costs a second prefill, never a second answer.
//
// A Key identifies a caller's request by workspace, idempotency key and body.
// Each run of a key has its own Request id. The pair of request and attempt is
// therefore never reused, and late messages of an earlier run can't be
// mistaken for messages of a later one.
package deduper

import (
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/outcomer"
)

// Timeouts and limits of one entry VM.
const (
	// HomeWait is how long a request waits for an answer from its key's home.
	// It exceeds YieldWait, within which the home answers.
	HomeWait = 500 * time.Millisecond
	// RepeatableGrace is how long a repeatable request with a key keeps running
	// after its caller has disconnected.
	RepeatableGrace = 5 * time.Second
	// NonRepeatableGrace is how long a request that may not be repeated keeps
	// running after its caller has disconnected.
	NonRepeatableGrace = 10 * time.Minute
	// MaxRequests is the maximum number of concurrent requests.
	MaxRequests = 8192
	// MaxAnswerBytes is the maximum number of bytes kept of one answer, for a
	// caller that reconnects and for a further attempt.
	MaxAnswerBytes = 256 << 10
	// MaxKeptBytes is the maximum number of bytes kept of all answers together.
	MaxKeptBytes = 32 << 20
	// MaxAttempts is the maximum number of attempts of one request.
	MaxAttempts identifier.Attempt = 5
	// MaxResumes is how often the stream of one attempt is resumed after its
	// reader has failed.
	MaxResumes = 3
)

// Key identifies a caller's request on all VMs; see KeyOf. It is empty if the
// caller sent no idempotency key.
type Key string

// Writer numbers the caller connections of one VM, starting at 1.
type Writer uint64

// Reader numbers the stream readers of one VM, starting at 1.
type Reader uint64

// Core tracks the requests of one entry VM. Its state changes only in Step.
type Core struct {
	// requests has at most MaxRequests entries.
	requests map[identifier.Request]*request
	// keys and writers index the entries of requests.
	keys    map[Key]*request
	writers map[Writer]*request
	// due holds the requests that have a dueAt time, earliest first.
	due        []*request
	lastReader Reader
	lastSerial uint64
	// keptBytes is the sum of partsBytes over all requests.
	keptBytes int
	out       []Outcome
}

// New returns a core for one start of an entry VM. Its serials differ from
// those of other starts, so that late answers to an earlier start don't match.
func New(self Start) *Core {
	seed := xxhash.Sum64String(fmt.Sprintf("%s/%d", self.VM, self.Incarnation))
	return &Core{
		lastSerial: seed &^ math.MaxUint32,
		requests:   map[identifier.Request]*request{},
		keys:       map[Key]*request{},
		writers:    map[Writer]*request{},
	}
}

// Step processes one event and returns the resulting outcomes.
func (c *Core) Step(now time.Time, e Event) []Outcome {
	c.out = nil
	switch e := e.(type) {
	case CallerArrived:
		c.handleCallerArrived(now, e)
	case CallerGone:
		c.handleCallerGone(now, e)
	case HomeAnswered:
		c.handleHomeAnswered(e)
	case AttemptStarted:
		c.handleAttemptStarted(e)
	case TokenArrived:
		c.handleToken(e)
	case AttemptEnded:
		c.handleAttemptEnded(e)
	case YieldAsked:
		c.handleYield(e)
	case HomesChanged:
		c.handleHomesChanged()
	case Wake:
	default:
		panic(fmt.Sprintf("deduper: unexpected event type %T", e))
	}
	c.runDue(now)
	return c.out
}

func (c *Core) emit(o Outcome) { c.out = append(c.out, o) }

// Len returns the number of requests.
func (c *Core) Len() int { return len(c.requests) }

// HasRequest reports whether a request is tracked under the given run id.
func (c *Core) HasRequest(request identifier.Request) bool {
	_, ok := c.requests[request]
	return ok
}

func (c *Core) handleCallerArrived(now time.Time, e CallerArrived) {
	if r, ok := c.keys[e.Key]; ok && e.Key != "" {
		c.takeOver(r, e.Writer)
		return
	}
	if len(c.requests) >= MaxRequests {
		c.emit(Finish{Writer: e.Writer, Outcome: outcomer.NewBusy(time.Second)})
		return
	}
	r := &request{id: e.Request, ownID: e.Request, key: e.Key, repeatable: e.Repeatable, hasAllParts: true, earlierRan: outcomer.RanNo}
	c.add(r)
	c.setWriter(r, e.Writer)
	if !r.mayRunElsewhere() {
		c.startAttempt(r)
		return
	}
	c.lastSerial++
	r.phase, r.serial = phaseAsking, c.lastSerial
	c.emit(AskHome{Key: r.key, Serial: r.serial})
	c.setDue(r, now.Add(HomeWait))
}

// takeOver closes the caller's earlier connection and sends the answer to the
// later one, from the beginning.
func (c *Core) takeOver(r *request, w Writer) {
	if r.writer == w {
		return
	}
	c.closeWriter(r)
	c.setWriter(r, w)
	if r.phase == phaseAsking {
		return
	}
	c.clearDue(r)
	switch {
	case r.hasAllParts:
		c.replay(r)
	case r.hasStream() && r.firstToken == 0:
		c.discardParts(r)
		r.hasAllParts = true
		c.attachStream(r, 0)
	case r.repeatable && r.localAttempts < MaxAttempts:
		c.emit(c.cancelOutcome(r))
		c.discardParts(r)
		r.hasAllParts, r.nextToken = true, 0
		r.earlierRan = worseRan(r.earlierRan, outcomer.RanUnknown)
		c.startAttempt(r)
	default:
		c.finish(r, outcomer.BrokenOff{})
	}
}

// replay writes the kept part of the answer to a new writer.
func (c *Core) replay(r *request) {
	for i, part := range r.parts {
		finish := ""
		if i == len(r.parts)-1 {
			finish = r.finish
		}
		c.write(r, part, finish)
	}
	if r.phase == phaseDone {
		c.finish(r, outcomer.Answered{})
	}
}

func (c *Core) handleCallerGone(now time.Time, e CallerGone) {
	r, ok := c.writers[e.Writer]
	if !ok {
		return
	}
	c.setWriter(r, 0)
	switch {
	case !r.repeatable:
		c.setDue(r, now.Add(NonRepeatableGrace))
	case r.key == "":
		c.abandon(r)
	case r.phase == phaseAsking:
		c.removeAndTellHome(r)
	default:
		c.setDue(r, now.Add(RepeatableGrace))
	}
}

// abandon cancels and removes a request that has no caller.
func (c *Core) abandon(r *request) {
	if r.phase == phaseRunning {
		c.emit(c.cancelOutcome(r))
	}
	c.removeAndTellHome(r)
}

// runDue handles the requests whose dueAt time has passed.
func (c *Core) runDue(now time.Time) {
	for len(c.due) > 0 && !now.Before(c.due[0].dueAt) {
		r := c.due[0]
		c.clearDue(r)
		if r.phase == phaseAsking {
			// The home did not answer; another VM may run the request.
			r.earlierRan = outcomer.RanUnknown
			c.startAttempt(r)
			continue
		}
		c.abandon(r)
	}
	if len(c.due) > 0 {
		c.emit(WakeAt{At: c.due[0].dueAt})
	}
}
