package claimer_test

import (
	"flag"
	"fmt"
	"os"
	"sort"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/figtrack/figtrack/claimer"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/keeper"
)

// steps is the least number of steps of a machine in CI.
const steps = 10_000

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "5")
	_ = flag.Set("rapid.checks", "100")
	_ = flag.Set("rapid.steps", "1000")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// small makes rings turn and bases fill within a run.
var small = claimer.Limits{Batch: 2, LogSlots: 4, CompactAfter: 2, BaseSlots: 8, BaseClaims: 8}

// leader is one core of the shard with its clock.
type leader struct {
	core *claimer.Core
	wake time.Time
}

// world is several leaders with stale views that share one store.
type world struct {
	now     time.Time
	store   map[string]keeper.Entry
	version keeper.Version
	leaders []*leader
	calls   []storeCall
	replies []reply
	asked   []claimer.ClaimAsked
	// asks holds the waiting asks by leader and holder.
	asks    map[ask]time.Time
	granted map[claimer.Key]grant
	nonce   uint64
	// made counts the store calls.
	made  int
	steps int
}

type ask struct {
	leader int
	holder claimer.Holder
}

type grant struct {
	holder claimer.Holder
	at     time.Time
	minted bool
}

type storeCall struct {
	leader int
	core   *claimer.Core
	o      claimer.Outcome
}

type reply struct {
	leader int
	core   *claimer.Core
	e      claimer.Event
}

func newWorld() *world {
	w := &world{
		now:     time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC),
		store:   map[string]keeper.Entry{},
		asks:    map[ask]time.Time{},
		granted: map[claimer.Key]grant{},
	}
	for range 3 {
		w.leaders = append(w.leaders, &leader{core: claimer.New(0, small)})
	}
	return w
}

func (w *world) step(t *rapid.T, i int, e claimer.Event) {
	for _, o := range w.leaders[i].core.Step(w.now, e) {
		switch o := o.(type) {
		case claimer.Answer:
			w.answered(t, i, o)
		case claimer.WakeAt:
			w.leaders[i].wake = o.At
		default:
			w.made++
			w.calls = append(w.calls, storeCall{leader: i, core: w.leaders[i].core, o: o})
		}
	}
	for a, at := range w.asks {
		if a.leader == i && w.now.Sub(at) >= claimer.AskTimeout {
			t.Fatalf("leader %d left %v unanswered for %v", i, a.holder, w.now.Sub(at))
		}
	}
}

func (w *world) answered(t *rapid.T, i int, a claimer.Answer) {
	delete(w.asks, ask{leader: i, holder: a.Holder})
	if a.Verdict != claimer.VerdictGranted {
		return
	}
	for _, e := range w.asked {
		if e.Claim.Holder != a.Holder {
			continue
		}
		key := e.Claim.Key
		old, ok := w.granted[key]
		if ok && old.holder != a.Holder && (old.minted || w.now.Sub(old.at) <= claimer.Retention) {
			t.Fatalf("key %x runs twice: for %v and %v", key[:2], old.holder, a.Holder)
		}
		if !ok || old.holder != a.Holder {
			w.granted[key] = grant{holder: a.Holder, at: w.now, minted: !e.Minted.IsZero()}
		}
		return
	}
	t.Fatalf("grant for an unknown holder %v", a.Holder)
}

// key makes even keys opaque and puts a time into odd ones.
func (w *world) key(n int) (claimer.Key, time.Time) {
	if n%2 == 0 {
		return claimer.Key{byte(n)}, time.Time{}
	}
	minted := w.now.Truncate(time.Hour)
	return claimer.Key{byte(n), byte(minted.Unix() / 3600), byte(minted.Unix() / 3600 / 256)}, minted
}

func (w *world) ask(t *rapid.T, i, n int) {
	key, minted := w.key(n)
	w.askKey(t, i, key, minted)
}

func (w *world) askKey(t *rapid.T, i int, key claimer.Key, minted time.Time) {
	w.nonce++
	e := claimer.ClaimAsked{
		Claim: claimer.Claim{
			Key:    key,
			Body:   claimer.Body(1 + w.nonce%2),
			Holder: claimer.Holder{VM: identifier.VM(fmt.Sprint("vm", i)), Incarnation: 1, Nonce: w.nonce},
		},
		Minted: minted,
	}
	w.asked = append(w.asked, e)
	w.send(t, i, e)
}

func (w *world) send(t *rapid.T, i int, e claimer.ClaimAsked) {
	a := ask{leader: i, holder: e.Claim.Holder}
	if _, waiting := w.asks[a]; !waiting {
		w.asks[a] = w.now
	}
	w.step(t, i, e)
}

// apply performs a store call and returns its reply.
func (w *world) apply(call storeCall) claimer.Event {
	switch o := call.o.(type) {
	case claimer.List:
		var entries []keeper.Entry
		for key, entry := range w.store {
			if strings.HasPrefix(key, o.Prefix) {
				entries = append(entries, entry)
			}
		}
		sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
		return claimer.Listed{Call: o.Call, Entries: entries}
	case claimer.Swap:
		entry := w.store[o.Key]
		if entry.Version != o.Expected {
			return claimer.Swapped{Call: o.Call, Entry: entry}
		}
		w.version++
		entry = keeper.Entry{Key: o.Key, Value: o.Value, Version: w.version}
		w.store[o.Key] = entry
		return claimer.Swapped{Call: o.Call, Entry: entry, Done: true}
	}
	panic("unknown call")
}

func fail(o claimer.Outcome, kind keeper.Kind) claimer.Event {
	if o, ok := o.(claimer.List); ok {
		return claimer.Listed{Call: o.Call, Failed: kind}
	}
	return claimer.Swapped{Call: o.(claimer.Swap).Call, Failed: kind}
}

// deliver hands over a reply unless its leader has crashed since.
func (w *world) deliver(t *rapid.T, r reply) {
	if w.leaders[r.leader].core == r.core {
		w.step(t, r.leader, r.e)
	}
}

func take[T any](t *rapid.T, list *[]T) T {
	if len(*list) == 0 {
		t.Skip("none")
	}
	i := rapid.IntRange(0, len(*list)-1).Draw(t, "index")
	v := (*list)[i]
	*list = append((*list)[:i:i], (*list)[i+1:]...)
	return v
}

func (w *world) anyLeader(t *rapid.T) int {
	return rapid.IntRange(0, len(w.leaders)-1).Draw(t, "leader")
}

func (w *world) advance(t *rapid.T, d time.Duration, paused int) {
	w.now = w.now.Add(d)
	for i, l := range w.leaders {
		if i != paused && !l.wake.IsZero() && !w.now.Before(l.wake) {
			l.wake = time.Time{}
			w.step(t, i, claimer.Wake{})
		}
	}
}

func (w *world) actions() map[string]func(*rapid.T) {
	ask := func(t *rapid.T) { w.ask(t, w.anyLeader(t), rapid.IntRange(0, 29).Draw(t, "key")) }
	answer := func(t *rapid.T) {
		call := take(t, &w.calls)
		w.deliver(t, reply{leader: call.leader, core: call.core, e: w.apply(call)})
	}
	return map[string]func(*rapid.T){
		"ask": ask, "ask2": ask,
		"answer": answer, "answer2": answer, "answer3": answer,
		"askAgain": func(t *rapid.T) {
			if len(w.asked) > 0 {
				n := rapid.IntRange(1, min(8, len(w.asked))).Draw(t, "back")
				w.send(t, w.anyLeader(t), w.asked[len(w.asked)-n])
			}
		},
		"applyReplyLater": func(t *rapid.T) {
			call := take(t, &w.calls)
			w.replies = append(w.replies, reply{leader: call.leader, core: call.core, e: w.apply(call)})
		},
		"lateReply": func(t *rapid.T) { w.deliver(t, take(t, &w.replies)) },
		"duplicateReply": func(t *rapid.T) {
			r := take(t, &w.replies)
			w.deliver(t, r)
			w.deliver(t, r)
		},
		"lostReply": func(t *rapid.T) {
			call := take(t, &w.calls)
			w.apply(call)
			w.deliver(t, reply{leader: call.leader, core: call.core, e: fail(call.o, keeper.KindUnknown)})
		},
		"notDone": func(t *rapid.T) {
			call := take(t, &w.calls)
			w.deliver(t, reply{leader: call.leader, core: call.core, e: fail(call.o, keeper.KindNotDone)})
		},
		"unknownAppliedLater": func(t *rapid.T) {
			call := take(t, &w.calls)
			w.calls = append(w.calls, call)
			w.deliver(t, reply{leader: call.leader, core: call.core, e: fail(call.o, keeper.KindUnknown)})
		},
		"crash": func(t *rapid.T) {
			i := w.anyLeader(t)
			w.leaders[i] = &leader{core: claimer.New(0, small)}
			for a := range w.asks {
				if a.leader == i {
					delete(w.asks, a)
				}
			}
		},
		"advance": func(t *rapid.T) {
			d := rapid.IntRange(1, 700).Draw(t, "ms")
			w.advance(t, time.Duration(d)*time.Millisecond, rapid.IntRange(0, 5).Draw(t, "paused"))
		},
		"advanceHours": func(t *rapid.T) {
			if rapid.IntRange(0, 9).Draw(t, "seldom") == 0 {
				w.advance(t, time.Duration(rapid.IntRange(1, 13).Draw(t, "hours"))*time.Hour, -1)
			}
		},
		"": func(*rapid.T) { w.steps++ },
	}
}

// recover lets the store answer at once and asks for a new key.
func (w *world) recover(t *rapid.T) {
	w.calls, w.replies = nil, nil
	for range 6 {
		w.advance(t, claimer.CallTimeout, -1)
		w.drain(t)
	}
	w.advance(t, claimer.Retention+time.Hour, -1)
	for i := range w.leaders {
		w.ask(t, i, 100+2*i)
		for range 60 {
			w.drain(t)
			w.advance(t, claimer.BatchEvery, -1)
		}
		if g, ok := w.granted[claimer.Key{byte(100 + 2*i)}]; !ok || g.holder.Nonce != w.nonce {
			t.Fatalf("leader %d grants nothing although the store answers", i)
		}
	}
}

// maxCalls is the most store calls that the leaders may make without time
// passing, while the store answers.
const maxCalls = 50

func (w *world) drain(t *rapid.T) {
	for n := 0; len(w.calls) > 0; n++ {
		if n == maxCalls {
			t.Fatalf("the leaders call the store without end")
		}
		call := w.calls[0]
		w.calls = w.calls[1:]
		w.deliver(t, reply{leader: call.leader, core: call.core, e: w.apply(call)})
	}
}

// TestFullRecordForgetsNothing asks for more keys than the bases hold within
// Retention: those that were granted stay taken, and later there is room.
func TestFullRecordForgetsNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		room := small.BaseSlots*small.BaseClaims + small.LogSlots*small.Batch
		var keys []claimer.Key
		for n := range room + 20 {
			w.askKey(t, 0, claimer.Key{1, byte(n)}, time.Time{})
			w.settle(t)
			if _, ok := w.granted[claimer.Key{1, byte(n)}]; ok {
				keys = append(keys, claimer.Key{1, byte(n)})
			}
		}
		if len(keys) < room/2 || len(keys) > room {
			t.Fatalf("%d keys in a record for at most %d", len(keys), room)
		}
		w.advance(t, claimer.Retention-2*time.Minute, -1)
		for _, key := range keys {
			w.askKey(t, 1+rapid.IntRange(0, 1).Draw(t, "leader"), key, time.Time{})
			w.settle(t)
		}
		w.advance(t, time.Hour, -1)
		w.askKey(t, 0, claimer.Key{2}, time.Time{})
		w.settle(t)
		if _, ok := w.granted[claimer.Key{2}]; !ok {
			t.Fatalf("no room after the retention")
		}
	})
}

// settle lets the store answer for a few batches.
func (w *world) settle(t *rapid.T) {
	for range 4 {
		w.drain(t)
		w.advance(t, claimer.BatchEvery, -1)
	}
}

func TestKeyIsGrantedOnceUnderFaults(t *testing.T) {
	total, grants := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		t.Repeat(w.actions())
		w.recover(t)
		total += w.steps
		grants += len(w.granted)
	})
	if total < steps {
		t.Fatalf("%d steps, want %d", total, steps)
	}
	t.Logf("%d steps, %d grants", total, grants)
}
