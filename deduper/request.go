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
	// phaseRunning has an attempt.
	phaseRunning phase = iota
	// phaseAsking waits for the key's home.
	phaseAsking
	// phaseDone has a whole answer and no writer.
	phaseDone
)

// request is one caller's request on this VM.
type request struct {
	// id names the run, own the one that this VM may begin attempts of.
	id, own    identifier.Request
	key        Key
	repeatable bool
	phase      phase
	// writer is zero while the caller is away.
	writer Writer
	// attempt and reader are the only ones whose tokens count.
	attempt identifier.Attempt
	reader  Reader
	resumes int
	// tries counts the attempts begun on this VM.
	tries identifier.Attempt
	// place is where the attempt's stream runs; its upstream is empty until
	// the stream has begun.
	place Place
	// from is the first token of the attempt, next the next to be written.
	from, next identifier.Tokens
	// parts is the answer before next, as it was written; it is whole unless
	// it grew too long. size is its length in bytes.
	parts []string
	size  int
	whole bool
	// before is the number of parts before the attempt.
	before int
	// end is the finish of an answer that is over.
	end string
	// ran is what is known of the earlier attempts.
	ran outcomer.Ran
	// serial is that of the question to the home.
	serial uint64
	// until is when the request is next due; zero if never.
	until time.Time
}

// shared says that another VM may run the same request.
func (r *request) shared() bool { return r.key != "" && r.repeatable }

func (r *request) attached() bool { return r.place.Upstream != "" }

// start begins the next attempt from the token that comes next.
func (c *Core) start(r *request) {
	if r.id != r.own {
		c.emit(Forget{Request: r.id})
		delete(c.requests, r.id)
		r.id, r.attempt = r.own, 0
		c.requests[r.id] = r
	}
	c.readers++
	r.phase = phaseRunning
	r.attempt++
	r.tries++
	r.reader, r.resumes, r.place, r.from, r.before = c.readers, 0, Place{}, r.next, len(r.parts)
	c.emit(StartAttempt{Request: r.id, Attempt: r.attempt, Reader: r.reader, From: r.from, Generated: strings.Join(r.parts, "")})
}

// attach reads the running stream from a token on.
func (c *Core) attach(r *request, from identifier.Tokens) {
	c.readers++
	r.phase = phaseRunning
	r.reader, r.next = c.readers, from
	c.emit(Attach{Request: r.id, Attempt: r.attempt, Reader: r.reader, Place: r.place, From: from})
}

func (c *Core) cancel(r *request) Cancel {
	return Cancel{Request: r.id, Attempt: r.attempt, Reader: r.reader, Place: r.place}
}

func (c *Core) add(r *request) {
	c.requests[r.id] = r
	if r.key != "" {
		c.keys[r.key] = r
	}
}

// setWriter changes the writer without closing the earlier one; 0 is none.
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

// finish ends the request with its outcome.
func (c *Core) finish(r *request, o outcomer.Outcome) {
	if r.writer != 0 {
		c.emit(Finish{Writer: r.writer, Outcome: o})
	}
	c.forget(r)
}

// forget removes the request and tells its home.
func (c *Core) forget(r *request) {
	c.remove(r)
	if r.shared() {
		c.emit(ForgetHome{Key: r.key, Serial: r.serial})
	}
}

func (c *Core) remove(r *request) {
	c.forgetTime(r)
	c.drop(r)
	c.setWriter(r, 0)
	delete(c.requests, r.id)
	if r.key != "" {
		delete(c.keys, r.key)
	}
	c.emit(Forget{Request: r.id, Own: r.own})
}

// write sends text to the writer, if there is one.
func (c *Core) write(r *request, text, finish string) {
	if r.writer != 0 {
		c.emit(Write{Writer: r.writer, Text: text, Finish: finish})
	}
}

// keep adds to the kept answer, or drops it where it is too long.
func (c *Core) keep(r *request, text string) {
	if !r.whole {
		return
	}
	if r.size+len(text) > MaxAnswer || c.kept+len(text) > MaxKept {
		c.drop(r)
		return
	}
	r.parts = append(r.parts, text)
	r.size += len(text)
	c.kept += len(text)
}

func (c *Core) drop(r *request) {
	c.kept -= r.size
	r.parts, r.size, r.whole = nil, 0, false
}

// await makes a request due at a time.
func (c *Core) await(r *request, until time.Time) {
	c.forgetTime(r)
	r.until = until
	at, _ := slices.BinarySearchFunc(c.due, r, compare)
	c.due = slices.Insert(c.due, at, r)
}

func (c *Core) forgetTime(r *request) {
	if r.until.IsZero() {
		return
	}
	at, _ := slices.BinarySearchFunc(c.due, r, compare)
	c.due = slices.Delete(c.due, at, at+1)
	r.until = time.Time{}
}

func compare(a, b *request) int {
	if n := a.until.Compare(b.until); n != 0 {
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
