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
		t.Skip("the list is empty")
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
		_, r := pick(t, w.readers[max(0, len(w.readers)-6):])
		for range rapid.IntRange(1, answerLength).Draw(t, "tokens") {
			w.advanceReader(t, r)
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
			// The claimer admits a request that may not be repeated only once.
			if key != "pay" || w.runs[key] == 0 {
				vm, _ := pick(t, w.cores)
				w.arrive(t, vm, key)
			}
		},
		"arriveUnkeyed": func(t *rapid.T) {
			vm, _ := pick(t, w.cores)
			w.lastID++
			writer, request := deduper.Writer(w.lastID), requestID(w.lastID)
			key := deduper.Key(fmt.Sprint("u", w.lastID))
			w.writers[writer] = &connection{key: key, vm: vm}
			w.keys[request] = key
			w.step(t, vm, deduper.CallerArrived{Request: request, Writer: writer, Repeatable: true})
		},
		"gone": func(t *rapid.T) {
			i := rapid.IntRange(0, max(0, w.lastID)).Draw(t, "writer")
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
			if !w.reliable {
				i, _ := pick(t, w.messages)
				w.messages = slices.Delete(w.messages, i, i+1)
			}
		},
		"repeatToken": func(t *rapid.T) {
			_, r := pick(t, w.readers)
			if r.next > 0 {
				r.next--
				w.advanceReader(t, r)
			}
		},
		"skipToken": func(t *rapid.T) {
			_, r := pick(t, w.readers)
			if r.next < answerLength {
				r.next++
				w.advanceReader(t, r)
			}
		},
		"break": func(t *rapid.T) {
			seldom(t)
			// Late tokens and a second end of the same reader may still follow.
			_, r := pick(t, w.readers[max(0, len(w.readers)-6):])
			if w.cores[r.vm] == r.core {
				ran := outcomer.RanUnknown
				w.step(t, r.vm, deduper.AttemptEnded{
					Request: r.request, Attempt: r.attempt, Reader: r.reader,
					CanResume: r.started && rapid.Bool().Draw(t, "resume"),
					CanRetry:  rapid.Bool().Draw(t, "again"), Ran: ran, Outcome: outcomer.UpstreamLost{},
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
			if !w.reliable {
				w.home = deduper.NewHome()
				w.homeWake = time.Time{}
			}
		},
		"advance": func(t *rapid.T) {
			seldom(t)
			if w.reliable {
				w.drain(t)
			}
			w.advance(t, time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms"))*time.Millisecond)
		},
		"": func(*rapid.T) { w.steps++ },
	}
}

// crash restarts a VM, closes its connections and reports the death to the home.
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

func TestAnswersStayCompleteUnderFaults(t *testing.T) {
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
			w.advance(t, deduper.NonRepeatableGrace)
		}
		for i, core := range w.cores {
			if core.Len() != 0 {
				t.Fatalf("VM %d keeps %d requests whose callers have disconnected", i, core.Len())
			}
		}
		total += w.steps
		answers += w.answers
	})
	if total < minSteps || answers < 100 {
		t.Fatalf("too little was tested: %d steps, %d complete answers", total, answers)
	}
	t.Logf("%d steps, %d complete answers", total, answers)
}

func TestCallerResumesThroughAnotherVM(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		w := newWorld(true)
		first := w.arrive(t, 0, "a")
		w.drain(t)
		g.Expect(w.readers).To(HaveLen(1))
		for range 1 + rapid.IntRange(1, answerLength-1).Draw(t, "tokens") {
			w.advanceReader(t, w.readers[0])
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
		g.Expect(w.readers).To(HaveLen(2))
		g.Expect(w.readers[1].started).To(BeTrue(), "the running stream is continued, not started again")
		for range answerLength {
			w.advanceReader(t, w.readers[1])
		}
		g.Expect(w.answers).To(Equal(1))
		g.Expect(w.checkAnswer(t, "a", w.writers[second].got)).To(Equal(answerLength))
	})
}
