package deduper

import (
	"maps"
	"slices"
	"strings"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/outcomer"
)

// homeAnswered goes on where another VM runs the request, or starts it.
func (c *Core) homeAnswered(e HomeAnswered) {
	r, ok := c.keys[e.Key]
	if !ok || r.phase != phaseAsking || r.serial != e.Serial {
		return
	}
	c.forgetTime(r)
	if e.Superseded {
		c.closeWriter(r)
		c.remove(r)
		return
	}
	if e.Record.Upstream != "" {
		r.ran = outcomer.RanUnknown
	}
	switch {
	case e.Record.Upstream == "":
		c.start(r)
	case e.Record.From == 0 || e.Record.Generated != "":
		c.join(r, e.Record)
	default:
		// The part before From is lost with the VM that had it.
		c.emit(Cancel{Request: e.Record.Request, Attempt: e.Record.Attempt, Place: e.Record.Place})
		c.start(r)
	}
}

// join reads on in the stream that another VM has read before.
func (c *Core) join(r *request, record Record) {
	delete(c.requests, r.id)
	r.id, r.attempt = record.Request, record.Attempt
	c.requests[r.id] = r
	r.place, r.from = record.Place, record.From
	if record.Generated != "" {
		c.keep(r, record.Generated)
		c.write(r, record.Generated, "")
	}
	r.before = len(r.parts)
	c.attach(r, record.From)
	c.tellHome(r, r.carried())
}

func (c *Core) started(e AttemptStarted) {
	r, ok := c.requests[e.Request]
	if !ok || r.phase != phaseRunning || r.attempt != e.Attempt || r.attached() {
		c.emit(Drop{Request: e.Request, Attempt: e.Attempt})
		return
	}
	r.place = e.Place
	c.tellHome(r, r.carried())
}

// retell gives the records to their new homes.
func (c *Core) retell() {
	for _, key := range slices.Sorted(maps.Keys(c.keys)) {
		if r := c.keys[key]; r.attached() && r.phase == phaseRunning {
			c.tellHome(r, r.carried())
		}
	}
}

// carried is the answer before the attempt, if it is short enough.
func (r *request) carried() string {
	if r.before > len(r.parts) {
		return ""
	}
	text := strings.Join(r.parts[:r.before], "")
	if len(text) > MaxCarried {
		return ""
	}
	return text
}

func (c *Core) tellHome(r *request, generated string) {
	if r.shared() {
		c.emit(TellHome{Serial: r.serial, Record: Record{
			Key:       r.key,
			Request:   r.id,
			Attempt:   r.attempt,
			Place:     r.place,
			From:      r.from,
			Generated: generated,
		}})
	}
}

func (c *Core) token(e TokenArrived) {
	r, ok := c.requests[e.Request]
	if !ok || !r.reads(e.Attempt, e.Reader) || r.next != e.Index {
		c.emit(Drop{Request: e.Request, Attempt: e.Attempt})
		return
	}
	c.write(r, e.Text, e.Finish)
	c.keep(r, e.Text)
	r.next++
	if e.Finish == "" {
		return
	}
	c.emit(Collected{Request: r.id, Attempt: r.attempt})
	r.end = e.Finish
	if r.writer != 0 || !r.whole || !r.shared() {
		c.finish(r, outcomer.Answered{})
		return
	}
	r.phase = phaseDone
}

// reads says that an attempt and reader are the present ones.
func (r *request) reads(attempt identifier.Attempt, reader Reader) bool {
	return r.phase == phaseRunning && r.attempt == attempt && r.reader == reader
}

// ended goes on after a failure: with the same stream, with another attempt,
// or not at all.
func (c *Core) ended(e AttemptEnded) {
	r, ok := c.requests[e.Request]
	if !ok || !r.reads(e.Attempt, e.Reader) {
		c.emit(Drop{Request: e.Request, Attempt: e.Attempt})
		return
	}
	if e.Resume && r.attached() && r.resumes < MaxResumes {
		r.resumes++
		c.attach(r, r.next)
		return
	}
	if r.attached() {
		c.emit(c.cancel(r))
	}
	mayRepeat := r.repeatable || e.Ran == outcomer.RanNo
	if e.Again && mayRepeat && r.tries < MaxAttempts && r.whole && r.writer != 0 {
		r.ran = worse(r.ran, e.Ran)
		c.start(r)
		return
	}
	c.finish(r, outcomer.After(r.ran, e.Outcome))
}

func worse(a, b outcomer.Ran) outcomer.Ran {
	for _, ran := range []outcomer.Ran{outcomer.RanYes, outcomer.RanUnknown} {
		if a == ran || b == ran {
			return ran
		}
	}
	return outcomer.RanNo
}

// yield leaves the request to another VM. The writer is closed before the
// home is told.
func (c *Core) yield(e YieldAsked) {
	answer := Yielded{Key: e.Key, Serial: e.Serial}
	r, ok := c.keys[e.Key]
	if !ok || !r.shared() || r.serial != e.Holding {
		c.emit(answer)
		return
	}
	c.closeWriter(r)
	switch {
	case r.phase == phaseRunning && r.attached() && !e.Discard:
		c.emit(StopReading{Request: r.id, Attempt: r.attempt, Reader: r.reader})
		answer.Running = true
	case r.phase == phaseRunning:
		c.emit(c.cancel(r))
	}
	c.remove(r)
	c.emit(answer)
}
