package deduper_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/figtrack/figtrack/deduper"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/outcomer"
)

// minSteps is the minimum number of state machine steps over all checks.
const minSteps = 10_000

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.checks", "150")
	_ = flag.Set("rapid.steps", "600")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// answerLength is the number of tokens of every answer.
const answerLength = 6

// attemptID identifies one attempt. Each attempt generates a different answer.
type attemptID struct {
	request identifier.Request
	attempt identifier.Attempt
}

// tokenOf returns the text and finish reason of one token of an attempt.
func tokenOf(key deduper.Key, index identifier.Tokens, s attemptID) (string, string) {
	finish := ""
	if index == answerLength-1 {
		finish = "stop"
	}
	return fmt.Sprintf("%s.%d@%s.%d ", key, index, s.request, s.attempt), finish
}

// checkAnswer returns the number of tokens in an answer. It requires that they
// belong to the key, are in order, and change to another attempt only at that
// attempt's first token.
func (w *world) checkAnswer(t *rapid.T, key deduper.Key, answer string) int {
	var last attemptID
	tokens := strings.Fields(answer)
	for i, token := range tokens {
		at := strings.IndexByte(token, '@')
		dot := strings.LastIndexByte(token, '.')
		var s attemptID
		s.request = identifier.Request(token[at+1 : dot])
		_, _ = fmt.Sscan(token[dot+1:], &s.attempt)
		if token[:at] != fmt.Sprintf("%s.%d", key, i) || s != last && w.firstTokens[s] != identifier.Tokens(i) {
			t.Fatalf("answer to %s has a wrong token: %q", key, answer)
		}
		last = s
	}
	return len(tokens)
}

// connection is one writer as seen by its caller.
type connection struct {
	key    deduper.Key
	vm     int
	got    string
	closed bool
}

// streamReader is one reader of a stream.
type streamReader struct {
	vm      int
	core    *deduper.Core
	key     deduper.Key
	request identifier.Request
	attempt identifier.Attempt
	reader  deduper.Reader
	next    identifier.Tokens
	started bool
}

// message is a message in flight: event for a core, or toHome for the home.
type message struct {
	// vm is the receiver, or the sender of a message to the home.
	vm     int
	start  deduper.Start
	event  deduper.Event
	toHome deduper.HomeEvent
}

// world simulates three VMs and one home for all keys.
type world struct {
	now      time.Time
	cores    []*deduper.Core
	starts   []deduper.Start
	wakes    []time.Time
	home     *deduper.Home
	homeWake time.Time
	writers  map[deduper.Writer]*connection
	// keys maps each run to its key.
	keys map[identifier.Request]deduper.Key
	// firstTokens maps each attempt to the index of its first token.
	firstTokens map[attemptID]identifier.Tokens
	readers     []*streamReader
	messages    []message
	// runs counts the attempts of requests that may not be repeated.
	runs map[deduper.Key]int
	// reliable is true if no messages are lost and the home never crashes.
	reliable bool
	lastID   int
	steps    int
	answers  int
}

func repeatable(key deduper.Key) bool { return key[0] != 'p' }

func newWorld(reliable bool) *world {
	w := &world{
		now:         time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC),
		home:        deduper.NewHome(),
		writers:     map[deduper.Writer]*connection{},
		keys:        map[identifier.Request]deduper.Key{},
		firstTokens: map[attemptID]identifier.Tokens{},
		runs:        map[deduper.Key]int{},
		reliable:    reliable,
	}
	for i := range 3 {
		w.starts = append(w.starts, deduper.Start{VM: identifier.VM(fmt.Sprint("vm", i)), Incarnation: 1})
		w.cores = append(w.cores, deduper.New(w.starts[i]))
		w.wakes = append(w.wakes, time.Time{})
	}
	return w
}

func (w *world) step(t *rapid.T, vm int, e deduper.Event) {
	for _, o := range w.cores[vm].Step(w.now, e) {
		w.perform(t, vm, o)
	}
}

func (w *world) perform(t *rapid.T, vm int, o deduper.Outcome) {
	if m := deduper.EncodeOutcome(o); m != nil {
		_, e, err := deduper.Decode(w.starts[vm], m)
		if err != nil {
			t.Fatalf("message of %T can't be decoded", o)
		}
		w.messages = append(w.messages, message{vm: vm, start: w.starts[vm], toHome: e})
	}
	switch o := o.(type) {
	case deduper.StartAttempt:
		w.startAttempt(t, vm, o)
	case deduper.Attach:
		if o.Place.Upstream == "" {
			t.Fatalf("Attach names no upstream")
		}
		w.addReader(&streamReader{vm: vm, request: o.Request, attempt: o.Attempt, reader: o.Reader, next: o.From, started: true})
	case deduper.Write:
		w.write(t, o)
	case deduper.CloseWriter:
		w.close(t, o.Writer)
	case deduper.Finish:
		c := w.close(t, o.Writer)
		if _, ok := o.Outcome.(outcomer.Answered); ok {
			w.answers++
			if w.checkAnswer(t, c.key, c.got) != answerLength {
				t.Fatalf("answer to %s is incomplete: %q", c.key, c.got)
			}
		}
	case deduper.WakeAt:
		w.wakes[vm] = o.At
	}
}

func (w *world) startAttempt(t *rapid.T, vm int, o deduper.StartAttempt) {
	key := w.keys[o.Request]
	w.firstTokens[attemptID{request: o.Request, attempt: o.Attempt}] = o.From
	if w.checkAnswer(t, key, o.Generated) != int(o.From) {
		t.Fatalf("attempt of %s starts at token %d, which does not follow %q", key, o.From, o.Generated)
	}
	if !repeatable(key) {
		w.runs[key]++
		if w.runs[key] > 1 {
			t.Fatalf("request with key %s runs twice but may not be repeated", key)
		}
	}
	w.addReader(&streamReader{vm: vm, request: o.Request, attempt: o.Attempt, reader: o.Reader, next: o.From})
}

func (w *world) addReader(r *streamReader) {
	r.core, r.key = w.cores[r.vm], w.keys[r.request]
	w.readers = append(w.readers, r)
}

func (w *world) write(t *rapid.T, o deduper.Write) {
	c := w.writers[o.Writer]
	if c.closed {
		t.Fatalf("write to a closed connection of %s", c.key)
	}
	c.got += o.Text
	w.checkAnswer(t, c.key, c.got)
	for id, other := range w.writers {
		if id != o.Writer && other.key == c.key && !other.closed && (other.vm == c.vm || w.reliable) && other.got != "" {
			t.Fatalf("two open connections receive the answer to %s", c.key)
		}
	}
}

func (w *world) close(t *rapid.T, id deduper.Writer) *connection {
	c := w.writers[id]
	if c.closed {
		t.Fatalf("connection of %s is closed twice", c.key)
	}
	c.closed = true
	return c
}

func (w *world) arrive(t *rapid.T, vm int, key deduper.Key) deduper.Writer {
	w.lastID++
	writer, request := deduper.Writer(w.lastID), identifier.Request(fmt.Sprint("r", w.lastID))
	w.writers[writer] = &connection{key: key, vm: vm}
	w.keys[request] = key
	w.step(t, vm, deduper.CallerArrived{Key: key, Request: request, Writer: writer, Repeatable: repeatable(key)})
	return writer
}

func (w *world) deliver(t *rapid.T, m message) {
	if m.toHome == nil {
		if w.starts[m.vm] == m.start {
			w.step(t, m.vm, m.event)
		}
		return
	}
	w.stepHome(t, m.toHome)
}

func (w *world) stepHome(t *rapid.T, e deduper.HomeEvent) {
	for _, o := range w.home.Step(w.now, e) {
		if o, ok := o.(deduper.HomeWakeAt); ok {
			w.homeWake = o.At
			continue
		}
		to, m := deduper.EncodeHomeOutcome(o)
		event, _, err := deduper.Decode(deduper.Start{}, m)
		if err != nil {
			t.Fatalf("message of %T can't be decoded", o)
		}
		w.send(to, event)
	}
}

func (w *world) send(to deduper.Start, e deduper.Event) {
	for i, start := range w.starts {
		if start.VM == to.VM {
			w.messages = append(w.messages, message{vm: i, start: to, event: e})
		}
	}
}

func (w *world) advance(t *rapid.T, d time.Duration) {
	w.now = w.now.Add(d)
	for i := range w.cores {
		if !w.wakes[i].IsZero() && !w.now.Before(w.wakes[i]) {
			w.wakes[i] = time.Time{}
			w.step(t, i, deduper.Wake{})
		}
	}
	if !w.homeWake.IsZero() && !w.now.Before(w.homeWake) {
		w.homeWake = time.Time{}
		w.stepHome(t, deduper.HomeWake{})
	}
}

// advanceReader performs the next step of a reader: its stream begins, or yields
// a token.
func (w *world) advanceReader(t *rapid.T, r *streamReader) {
	if w.cores[r.vm] != r.core {
		return
	}
	if !r.started {
		r.started = true
		hold := identifier.Hold{VM: w.starts[r.vm].VM, Incarnation: 1, Request: r.request, Attempt: r.attempt}
		w.step(t, r.vm, deduper.AttemptStarted{Request: r.request, Attempt: r.attempt, Place: deduper.Place{Hold: hold, Upstream: "d1"}})
		return
	}
	if r.next == answerLength {
		return
	}
	s, finish := tokenOf(r.key, r.next, attemptID{request: r.request, attempt: r.attempt})
	w.step(t, r.vm, deduper.TokenArrived{Request: r.request, Attempt: r.attempt, Reader: r.reader, Index: r.next, Text: s, Finish: finish})
	r.next++
}

// drain delivers all messages in order.
func (w *world) drain(t *rapid.T) {
	for len(w.messages) > 0 {
		m := w.messages[0]
		w.messages = w.messages[1:]
		w.deliver(t, m)
	}
}

func requestID(n int) identifier.Request { return identifier.Request(fmt.Sprint("r", n)) }
