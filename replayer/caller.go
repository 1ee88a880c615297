package replayer

import (
	"fmt"
	"time"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/tracer"
)

// maxAttempts bounds the attempts of one try.
const maxAttempts = 3

// releaseTime is how long after a request's end an engine may hold memory
// for it.
const releaseTime = 100 * time.Millisecond

// caller is one caller with its original request and its later tries.
type caller struct {
	*run
	tracer.Arrival
	vm     *vm
	blocks []identifier.Block
	target admitter.Class
	// try counts how often the caller came again.
	try int
	// retries counts the attempts of all tries after their first.
	retries int
	// arrived is when the current try reached the entry VM.
	arrived time.Time
	// current is the attempt that runs.
	current  *attempt
	number   identifier.Attempt
	excluded []identifier.Upstream
	// placed says that a placement was granted to this caller.
	placed bool
	// sent counts the tokens that earlier attempts gave to the caller.
	sent identifier.Tokens
	// first is when the first token of this try was there.
	first time.Time
	end   ending
	// holds are those of all attempts.
	holds []identifier.Hold
}

// ending is how a caller's request ended.
type ending int

const (
	endingOpen ending = iota
	endingAnswered
	endingRefused
	endingLost
	endingWithdrawn
)

// arrive starts a try.
func (c *caller) arrive() {
	if c.end != endingOpen {
		return
	}
	for _, class := range c.trace.Header.Classes {
		if class.Name == c.Class {
			c.target = class
		}
	}
	c.arrived = c.now
	c.number = 0
	c.book.classOf[c.request()] = c.Class
	c.ask()
}

// request is the key of the current try.
func (c *caller) request() identifier.Request {
	if c.try == 0 {
		return c.Request
	}
	return identifier.Request(fmt.Sprintf("%s-again-%d", c.Request, c.try))
}

func (c *caller) ask() {
	c.number++
	if c.number > 1 {
		c.retries++
	}
	key := admitter.Key{Request: c.request(), Attempt: c.number}
	a := &attempt{caller: c, hold: holdOf(c.vm.ID, key), prompt: c.Prompt + c.sent}
	c.current = a
	c.attempts[a.hold] = a
	c.holds = append(c.holds, a.hold)
	c.report(admitter.Ask{
		Key: key, Class: c.Class, Workspace: c.Workspace, Model: c.Model,
		From: c.vm.ID, FromDataCentre: c.vm.DataCentre,
		Prompt: a.prompt, MaxOutput: c.MaxOutput - c.sent,
		Prefix: c.blocks, Arrived: c.arrived, Excluded: c.excluded,
	})
}

// askAgain starts the next attempt of the try.
func (c *caller) askAgain(wait time.Duration) {
	if c.number == maxAttempts {
		c.finish(endingLost)
		return
	}
	c.after(wait, func() {
		if c.end == endingOpen {
			c.ask()
		}
	})
}

// report sends an event to the policy of the caller's entry VM.
func (c *caller) report(event admitter.Event) {
	n := c.vm.node
	size := func() int64 { return sizeOfEvent(c.now, event) }
	c.message(c.vm, n.vm, size, func() { n.tell(event) })
}

func (c *caller) answered() {
	c.finish(endingAnswered)
}

// refused ends the try. The caller may come again as a new arrival.
func (c *caller) refused(refusal admitter.Refuse) {
	c.book.refusal(c, refusal.Reason)
	if c.try == c.trace.Header.Returns || refusal.RetryAfter <= 0 {
		c.finish(endingRefused)
		return
	}
	c.try++
	c.after(refusal.RetryAfter, c.arrive)
}

// cancel is the caller going away.
func (c *caller) cancel() {
	if c.end != endingOpen {
		return
	}
	a := c.current
	if c.attempts[a.hold] == a {
		a.over()
		a.releaseAll()
		c.report(admitter.Withdraw{Key: a.key()})
		if a.made > 0 {
			c.book.cut(a.hold)
		}
	}
	c.finish(endingWithdrawn)
}

func (c *caller) finish(end ending) {
	c.end = end
	c.open--
	c.book.close(c)
	c.after(releaseTime, c.countStray)
}

// countStray counts what engines still hold for a request that is gone.
func (c *caller) countStray() {
	for _, e := range c.engines {
		for _, hold := range c.holds {
			if !e.dead && e.Holding(hold) {
				c.book.stray++
			}
		}
	}
}
