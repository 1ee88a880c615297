package deduper

import (
	"maps"
	"slices"
	"strings"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/outcomer"
)

// handleHomeAnswered joins the stream that another VM has begun, or starts an
// attempt if there is none.
func (c *Core) handleHomeAnswered(e HomeAnswered) {
	r, ok := c.keys[e.Key]
	if !ok || r.phase != phaseAsking || r.serial != e.Serial {
		return
	}
	c.clearDue(r)
	if e.Superseded {
		c.closeWriter(r)
		c.remove(r)
		return
	}
	if e.Record.Upstream != "" {
		r.earlierRan = outcomer.RanUnknown
	}
	switch {
	case e.Record.Upstream == "":
		c.startAttempt(r)
	case e.Record.From == 0 || e.Record.Generated != "":
		c.joinStream(r, e.Record)
	default:
		// The answer before From was lost with the VM that kept it.
		c.emit(Cancel{Request: e.Record.Request, Attempt: e.Record.Attempt, Place: e.Record.Place})
		c.startAttempt(r)
	}
}

// joinStream continues reading a stream that another VM read before.
func (c *Core) joinStream(r *request, record Record) {
	delete(c.requests, r.id)
	r.id, r.attempt = record.Request, record.Attempt
	c.requests[r.id] = r
	r.place, r.firstToken = record.Place, record.From
	if record.Generated != "" {
		c.keepPart(r, record.Generated)
		c.write(r, record.Generated, "")
	}
	r.partsBefore = len(r.parts)
	c.attachStream(r, record.From)
	c.tellHome(r, r.generatedBefore())
}

func (c *Core) handleAttemptStarted(e AttemptStarted) {
	r, ok := c.requests[e.Request]
	if !ok || r.phase != phaseRunning || r.attempt != e.Attempt || r.hasStream() {
		c.emit(Drop{Request: e.Request, Attempt: e.Attempt})
		return
	}
	r.place = e.Place
	c.tellHome(r, r.generatedBefore())
}

// handleHomesChanged sends the records of all running streams to the keys'
// homes, some of which are new.
func (c *Core) handleHomesChanged() {
	for _, key := range slices.Sorted(maps.Keys(c.keys)) {
		if r := c.keys[key]; r.hasStream() && r.phase == phaseRunning {
			c.tellHome(r, r.generatedBefore())
		}
	}
}

// generatedBefore returns the answer before the attempt, or "" if that part was
// discarded or exceeds MaxGeneratedBytes.
func (r *request) generatedBefore() string {
	if r.partsBefore > len(r.parts) {
		return ""
	}
	text := strings.Join(r.parts[:r.partsBefore], "")
	if len(text) > MaxGeneratedBytes {
		return ""
	}
	return text
}

func (c *Core) tellHome(r *request, generated string) {
	if r.mayRunElsewhere() {
		c.emit(TellHome{Serial: r.serial, Record: Record{
			Key:       r.key,
			Request:   r.id,
			Attempt:   r.attempt,
			Place:     r.place,
			From:      r.firstToken,
			Generated: generated,
		}})
	}
}

func (c *Core) handleToken(e TokenArrived) {
	r, ok := c.requests[e.Request]
	if !ok || !r.isCurrent(e.Attempt, e.Reader) || r.nextToken != e.Index {
		c.emit(Drop{Request: e.Request, Attempt: e.Attempt})
		return
	}
	c.write(r, e.Text, e.Finish)
	c.keepPart(r, e.Text)
	r.nextToken++
	if e.Finish == "" {
		return
	}
	c.emit(AnswerCollected{Request: r.id, Attempt: r.attempt})
	r.finish = e.Finish
	if r.writer != 0 || !r.hasAllParts || !r.mayRunElsewhere() {
		c.finish(r, outcomer.Answered{})
		return
	}
	r.phase = phaseDone
}

// isCurrent reports whether attempt and reader are the current ones.
func (r *request) isCurrent(attempt identifier.Attempt, reader Reader) bool {
	return r.phase == phaseRunning && r.attempt == attempt && r.reader == reader
}

// handleAttemptEnded reacts to a failure: it resumes the stream, starts another
// attempt, or ends the request.
func (c *Core) handleAttemptEnded(e AttemptEnded) {
	r, ok := c.requests[e.Request]
	if !ok || !r.isCurrent(e.Attempt, e.Reader) {
		c.emit(Drop{Request: e.Request, Attempt: e.Attempt})
		return
	}
	if e.CanResume && r.hasStream() && r.resumes < MaxResumes {
		r.resumes++
		c.attachStream(r, r.nextToken)
		return
	}
	if r.hasStream() {
		c.emit(c.cancelOutcome(r))
	}
	mayRepeat := r.repeatable || e.Ran == outcomer.RanNo
	if e.CanRetry && mayRepeat && r.localAttempts < MaxAttempts && r.hasAllParts && r.writer != 0 {
		r.earlierRan = worseRan(r.earlierRan, e.Ran)
		c.startAttempt(r)
		return
	}
	c.finish(r, outcomer.WithEarlier(r.earlierRan, e.Outcome))
}

func worseRan(a, b outcomer.Ran) outcomer.Ran {
	for _, ran := range []outcomer.Ran{outcomer.RanYes, outcomer.RanUnknown} {
		if a == ran || b == ran {
			return ran
		}
	}
	return outcomer.RanNo
}

// handleYield hands the request over to another VM. It closes the writer before
// it answers the home, so that two connections never receive the answer at once.
func (c *Core) handleYield(e YieldAsked) {
	answer := Yielded{Key: e.Key, Serial: e.Serial}
	r, ok := c.keys[e.Key]
	if !ok || !r.mayRunElsewhere() || r.serial != e.Holding {
		c.emit(answer)
		return
	}
	c.closeWriter(r)
	switch {
	case r.phase == phaseRunning && r.hasStream() && !e.Discard:
		c.emit(StopReading{Request: r.id, Attempt: r.attempt, Reader: r.reader})
		answer.Running = true
	case r.phase == phaseRunning:
		c.emit(c.cancelOutcome(r))
	}
	c.remove(r)
	c.emit(answer)
}
