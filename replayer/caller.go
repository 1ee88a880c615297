package replayer

import (
	"fmt"
	"time"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/tracer"
)

// maxAttempts is the most attempts of one try.
const maxAttempts = 3

// releaseTimeout is how long an engine may hold memory for a request after the
// request ended.
const releaseTimeout = 100 * time.Millisecond

// caller sends one request of the trace. A try is the request itself or a
// return of the caller after a refusal; each try has one or more attempts.
type caller struct {
	*replay
	tracer.Arrival
	vm           *vm
	prefixBlocks []identifier.Block
	target       admitter.Class
	// returns counts the tries after the first.
	returns int
	// retries counts the attempts after the first of each try.
	retries int
	// arrived is when the current try reached the entry VM.
	arrived time.Time
	// current is the latest attempt.
	current       *attempt
	attemptNumber identifier.Attempt
	excluded      []identifier.Upstream
	// wasPlaced is set once an attempt of the caller was placed.
	wasPlaced bool
	// sentTokens counts the tokens that the caller received from earlier
	// attempts.
	sentTokens identifier.Tokens
	// firstTokenAt is when the caller received its first token.
	firstTokenAt time.Time
	state        callerState
	// holds are the holds of all attempts.
	holds []identifier.Hold
}

// callerState is whether a caller waits for its answer, or how its request
// ended.
type callerState int

const (
	callerWaiting callerState = iota
	callerAnswered
	callerRefused
	callerLost
	callerWithdrawn
)

// startTry starts a try, unless the request has ended.
func (c *caller) startTry() {
	if c.state != callerWaiting {
		return
	}
	for _, class := range c.trace.Header.Classes {
		if class.Name == c.Class {
			c.target = class
		}
	}
	c.arrived = c.now
	c.attemptNumber = 0
	c.collector.classOf[c.requestID()] = c.Class
	c.startAttempt()
}

// requestID returns the ID of the current try.
func (c *caller) requestID() identifier.Request {
	if c.returns == 0 {
		return c.Request
	}
	return identifier.Request(fmt.Sprintf("%s-again-%d", c.Request, c.returns))
}

func (c *caller) startAttempt() {
	c.attemptNumber++
	if c.attemptNumber > 1 {
		c.retries++
	}
	key := admitter.Key{Request: c.requestID(), Attempt: c.attemptNumber}
	a := &attempt{caller: c, hold: holdOf(c.vm.ID, key), prompt: c.Prompt + c.sentTokens}
	c.current = a
	c.attempts[a.hold] = a
	c.holds = append(c.holds, a.hold)
	c.sendEvent(admitter.Ask{
		Key: key, Class: c.Class, Workspace: c.Workspace, Model: c.Model,
		From: c.vm.ID, FromDataCentre: c.vm.DataCentre,
		Prompt: a.prompt, MaxOutput: c.MaxOutput - c.sentTokens,
		Prefix: c.prefixBlocks, Arrived: c.arrived, Excluded: c.excluded,
	})
}

// retry starts the next attempt of the try after a wait. If the try has had
// maxAttempts, the request is lost.
func (c *caller) retry(wait time.Duration) {
	if c.attemptNumber == maxAttempts {
		c.finish(callerLost)
		return
	}
	c.scheduleAfter(wait, func() {
		if c.state == callerWaiting {
			c.startAttempt()
		}
	})
}

// sendEvent sends an event to the policy that decides for the caller's entry
// VM.
func (c *caller) sendEvent(event admitter.Event) {
	n := c.vm.node
	size := func() int64 { return sizeOfEvent(c.now, event) }
	c.sendMessage(c.vm, n.vm, size, func() { n.handleEvent(event) })
}

func (c *caller) handleAnswer() {
	c.finish(callerAnswered)
}

// handleRefusal ends the try. After RetryAfter the caller starts another try,
// unless it has returned as often as the trace allows.
func (c *caller) handleRefusal(refusal admitter.Refuse) {
	c.collector.countRefusal(c, refusal.Reason)
	if c.returns == c.trace.Header.Returns || refusal.RetryAfter <= 0 {
		c.finish(callerRefused)
		return
	}
	c.returns++
	c.scheduleAfter(refusal.RetryAfter, c.startTry)
}

// cancel ends a request whose caller goes away.
func (c *caller) cancel() {
	if c.state != callerWaiting {
		return
	}
	a := c.current
	if c.attempts[a.hold] == a {
		a.remove()
		a.releaseEngines()
		c.sendEvent(admitter.Withdraw{Key: a.key()})
		if a.generated > 0 {
			c.collector.markCut(a.hold)
		}
	}
	c.finish(callerWithdrawn)
}

func (c *caller) finish(end callerState) {
	c.state = end
	c.openCallers--
	c.collector.recordEnd(c)
	c.scheduleAfter(releaseTimeout, c.countStrayHolds)
}

// countStrayHolds counts the holds that engines still have for an ended
// request.
func (c *caller) countStrayHolds() {
	for _, e := range c.engines {
		for _, hold := range c.holds {
			if !e.dead && e.HasHold(hold) {
				c.collector.stray++
			}
		}
	}
}
