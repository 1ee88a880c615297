package deduper

import (
	"slices"
	"strings"
	"time"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/outcomer"
)

type phase int

const (
	// phaseRunning means that an attempt has been started.
	phaseRunning phase = iota
	// phaseAsking means that the request waits for its key's home.
	phaseAsking
	// phaseDone means that the answer is complete and no writer is connected.
	phaseDone
)

// request is the state of one caller's request on this VM.
type request struct {
	// id identifies the current run, which may have begun on another VM.
	// ownID identifies the run whose attempts this VM may begin.
	id, ownID  identifier.Request
	key        Key
	repeatable bool
	phase      phase
	// writer is zero while the caller is disconnected.
	writer Writer
	// attempt and reader are the current ones; tokens from others are dropped.
	attempt identifier.Attempt
	reader  Reader
	resumes int
	// localAttempts counts the attempts begun on this VM.
	localAttempts identifier.Attempt
	// place is the location of the attempt's stream; its upstream is empty
	// until the stream has begun.
	place Place
	// firstToken is the index of the attempt's first token, nextToken that of
	// the token to write next.
	firstToken, nextToken identifier.Tokens
	// parts holds the answer before nextToken as it was written, partsBytes
	// its length. hasAllParts is false once an answer over the size limits has
	// been discarded.
	parts       []string
	partsBytes  int
	hasAllParts bool
	// partsBefore is the number of parts that precede the attempt.
	partsBefore int
	// finish is the finish reason of a complete answer.
	finish string
	// earlierRan states whether earlier attempts acted on the request.
	earlierRan outcomer.Ran
	// serial is that of the AskHome sent to the key's home.
	serial uint64
	// dueAt is when runDue handles the request next; zero if never.
	dueAt time.Time
}

// mayRunElsewhere reports whether another VM may run the same request.
func (r *request) mayRunElsewhere() bool { return r.key != "" && r.repeatable }

func (r *request) hasStream() bool { return r.place.Upstream != "" }

// startAttempt begins another attempt at nextToken. It returns to the VM's own
// run if the previous attempt belonged to a run of another VM.
func (c *Core) startAttempt(r *request) {
	if r.id != r.ownID {
		c.emit(Forget{Request: r.id})
		delete(c.requests, r.id)
		r.id, r.attempt = r.ownID, 0
		c.requests[r.id] = r
	}
	c.lastReader++
	r.phase = phaseRunning
	r.attempt++
	r.localAttempts++
	r.reader, r.resumes, r.place, r.firstToken, r.partsBefore = c.lastReader, 0, Place{}, r.nextToken, len(r.parts)
	c.emit(StartAttempt{Request: r.id, Attempt: r.attempt, Reader: r.reader, From: r.firstToken, Generated: strings.Join(r.parts, "")})
}

// attachStream starts a new reader of the running stream at token from.
func (c *Core) attachStream(r *request, from identifier.Tokens) {
	c.lastReader++
	r.phase = phaseRunning
	r.reader, r.nextToken = c.lastReader, from
	c.emit(Attach{Request: r.id, Attempt: r.attempt, Reader: r.reader, Place: r.place, From: from})
}

func (c *Core) cancelOutcome(r *request) Cancel {
	return Cancel{Request: r.id, Attempt: r.attempt, Reader: r.reader, Place: r.place}
}

func (c *Core) add(r *request) {
	c.requests[r.id] = r
	if r.key != "" {
		c.keys[r.key] = r
	}
}

// setWriter replaces the writer without closing the earlier one; 0 means none.
func (c *Core) setWriter(r *request, w Writer) {
	delete(c.writers, r.writer)
	r.writer = w
	if w != 0 {
		c.writers[w] = r
	}
}

func (c *Core) closeWriter(r *request) {
	if r.writer != 0 {
		c.emit(CloseWriter{Writer: r.writer})
		c.setWriter(r, 0)
	}
}

// finish reports the outcome to the writer, if any, and removes the request.
func (c *Core) finish(r *request, o outcomer.Outcome) {
	if r.writer != 0 {
		c.emit(Finish{Writer: r.writer, Outcome: o})
	}
	c.removeAndTellHome(r)
}

// removeAndTellHome removes the request here and at its key's home.
func (c *Core) removeAndTellHome(r *request) {
	c.remove(r)
	if r.mayRunElsewhere() {
		c.emit(ForgetHome{Key: r.key, Serial: r.serial})
	}
}

func (c *Core) remove(r *request) {
	c.clearDue(r)
	c.discardParts(r)
	c.setWriter(r, 0)
	delete(c.requests, r.id)
	if r.key != "" {
		delete(c.keys, r.key)
	}
	c.emit(Forget{Request: r.id, Own: r.ownID})
}

// write sends text to the writer, if any.
func (c *Core) write(r *request, text, finish string) {
	if r.writer != 0 {
		c.emit(Write{Writer: r.writer, Text: text, Finish: finish})
	}
}

// keepPart appends text to the kept answer, or discards the answer if it would
// exceed a size limit.
func (c *Core) keepPart(r *request, text string) {
	if !r.hasAllParts {
		return
	}
	if r.partsBytes+len(text) > MaxAnswerBytes || c.keptBytes+len(text) > MaxKeptBytes {
		c.discardParts(r)
		return
	}
	r.parts = append(r.parts, text)
	r.partsBytes += len(text)
	c.keptBytes += len(text)
}

func (c *Core) discardParts(r *request) {
	c.keptBytes -= r.partsBytes
	r.parts, r.partsBytes, r.hasAllParts = nil, 0, false
}

// setDue schedules the request for runDue at time dueAt.
func (c *Core) setDue(r *request, dueAt time.Time) {
	c.clearDue(r)
	r.dueAt = dueAt
	at, _ := slices.BinarySearchFunc(c.due, r, compareDue)
	c.due = slices.Insert(c.due, at, r)
}

func (c *Core) clearDue(r *request) {
	if r.dueAt.IsZero() {
		return
	}
	at, _ := slices.BinarySearchFunc(c.due, r, compareDue)
	c.due = slices.Delete(c.due, at, at+1)
	r.dueAt = time.Time{}
}

func compareDue(a, b *request) int {
	if n := a.dueAt.Compare(b.dueAt); n != 0 {
		return n
	}
	if a.id < b.id {
		return -1
	}
	if a.id > b.id {
		return 1
	}
	return 0
}
