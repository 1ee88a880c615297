package deduper_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/figtrack/figtrack/deduper"
	"github.com/figtrack/figtrack/outcomer"
)

var keys = []deduper.Key{"a", "b", "c", "pay"}

func pick[T any](t *rapid.T, list []T) (int, T) {
	if len(list) == 0 {
		t.Skip("none")
	}
	i := rapid.IntRange(0, len(list)-1).Draw(t, "index")
	return i, list[i]
}

func (w *world) actions() map[string]func(*rapid.T) {
	deliver := func(t *rapid.T) {
		i, m := pick(t, w.messages)
		w.messages = slices.Delete(w.messages, i, i+1)
		w.deliver(t, m)
	}
	goOn := func(t *rapid.T) {
		_, r := pick(t, w.readings[max(0, len(w.readings)-6):])
		for range rapid.IntRange(1, answerLength).Draw(t, "tokens") {
			w.goOn(t, r)
		}
	}
	seldom := func(t *rapid.T) {
		if rapid.IntRange(0, 7).Draw(t, "seldom") != 0 {
			t.Skip("not now")
		}
	}
	return map[string]func(*rapid.T){
		"deliver": deliver, "deliver2": deliver, "deliver3": deliver,
		"goOn": goOn, "goOn2": goOn, "goOn3": goOn, "goOn4": goOn,
		"arrive": func(t *rapid.T) {
			_, key := pick(t, keys)
			// The claimer lets a payment in once.
			if key != "pay" || w.runs[key] == 0 {
				vm, _ := pick(t, w.cores)
				w.arrive(t, vm, key)
			}
		},
		"arriveUnkeyed": func(t *rapid.T) {
			vm, _ := pick(t, w.cores)
			w.ids++
			writer, request := deduper.Writer(w.ids), identifierOf(w.ids)
			key := deduper.Key(fmt.Sprint("u", w.ids))
			w.writers[writer] = &connection{key: key, vm: vm}
			w.keys[request] = key
			w.step(t, vm, deduper.CallerArrived{Request: request, Writer: writer, Repeatable: true})
		},
		"gone": func(t *rapid.T) {
			i := rapid.IntRange(0, max(0, w.ids)).Draw(t, "writer")
			if c := w.writers[deduper.Writer(i)]; c != nil && !c.closed {
				c.closed = true
				w.step(t, c.vm, deduper.CallerGone{Writer: deduper.Writer(i)})
			}
		},
		"duplicate": func(t *rapid.T) {
			_, m := pick(t, w.messages)
			w.messages = append(w.messages, m)
		},
		"lose": func(t *rapid.T) {
			if !w.calm {
				i, _ := pick(t, w.messages)
				w.messages = slices.Delete(w.messages, i, i+1)
			}
		},
		"repeatToken": func(t *rapid.T) {
			_, r := pick(t, w.readings)
			if r.next > 0 {
				r.next--
				w.goOn(t, r)
			}
		},
		"skipToken": func(t *rapid.T) {
			_, r := pick(t, w.readings)
			if r.next < answerLength {
				r.next++
				w.goOn(t, r)
			}
		},
		"break": func(t *rapid.T) {
			seldom(t)
			// Its late tokens and a second end may still come.
			_, r := pick(t, w.readings[max(0, len(w.readings)-6):])
			if w.cores[r.vm] == r.core {
				ran := outcomer.RanUnknown
				w.step(t, r.vm, deduper.AttemptEnded{
					Request: r.request, Attempt: r.attempt, Reader: r.reader,
					Resume: r.started && rapid.Bool().Draw(t, "resume"),
					Again:  rapid.Bool().Draw(t, "again"), Ran: ran, Outcome: outcomer.UpstreamLost{},
				})
			}
		},
		"crash": func(t *rapid.T) {
			seldom(t)
			vm, _ := pick(t, w.cores)
			w.crash(t, vm)
		},
		"crashHome": func(t *rapid.T) {
			seldom(t)
			if !w.calm {
				w.home = deduper.NewHome()
				w.wake = time.Time{}
			}
		},
		"advance": func(t *rapid.T) {
			seldom(t)
			if w.calm {
				w.drain(t)
			}
			w.advance(t, time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms"))*time.Millisecond)
		},
		"": func(*rapid.T) { w.steps++ },
	}
}

// crash ends a VM with its connections and tells the home.
func (w *world) crash(t *rapid.T, vm int) {
	dead := w.starts[vm]
	for _, c := range w.writers {
		if c.vm == vm {
			c.closed = true
		}
	}
	w.starts[vm].Incarnation++
	w.cores[vm] = deduper.New(w.starts[vm])
	w.wakes[vm] = time.Time{}
	w.deliver(t, message{toHome: deduper.VMDied{Start: dead}})
}

func TestAnswersAreWholeAndTheirOwnUnderFaults(t *testing.T) {
	total, answers := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Bool().Draw(t, "calm"))
		t.Repeat(w.actions())
		for id, c := range w.writers {
			if !c.closed {
				c.closed = true
				w.step(t, c.vm, deduper.CallerGone{Writer: id})
			}
		}
		for range 4 {
			w.drain(t)
			w.advance(t, deduper.AloneFor)
		}
		for i, core := range w.cores {
			if core.Len() != 0 {
				t.Fatalf("VM %d keeps %d requests of callers that are gone", i, core.Len())
			}
		}
		total += w.steps
		answers += w.answers
	})
	if total < steps || answers < 100 {
		t.Fatalf("%d steps with %d answers", total, answers)
	}
	t.Logf("%d steps, %d whole answers", total, answers)
}

func TestCallerReadsOnThroughAnotherVM(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		w := newWorld(true)
		first := w.arrive(t, 0, "a")
		w.drain(t)
		g.Expect(w.readings).To(HaveLen(1))
		for range 1 + rapid.IntRange(1, answerLength-1).Draw(t, "tokens") {
			w.goOn(t, w.readings[0])
		}
		w.drain(t)
		switch rapid.IntRange(0, 2).Draw(t, "how") {
		case 0:
			w.step(t, 0, deduper.CallerGone{Writer: first})
			w.writers[first].closed = true
		case 1:
			w.crash(t, 0)
		}
		second := w.arrive(t, 1, "a")
		w.drain(t)
		g.Expect(w.writers[first].closed).To(BeTrue(), "the earlier connection is closed first")
		g.Expect(w.readings).To(HaveLen(2))
		g.Expect(w.readings[1].started).To(BeTrue(), "the running stream is read, not started again")
		for range answerLength {
			w.goOn(t, w.readings[1])
		}
		g.Expect(w.answers).To(Equal(1))
		g.Expect(w.check(t, "a", w.writers[second].got)).To(Equal(answerLength))
	})
}
