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

// minSteps is the least number of state machine steps that a test must run.
const minSteps = 10_000

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "5")
	_ = flag.Set("rapid.checks", "100")
	_ = flag.Set("rapid.steps", "1000")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// smallLimits make the rings wrap around and the bases fill up within one run.
var smallLimits = claimer.Limits{Batch: 2, LogSlots: 4, CompactAfter: 2, BaseSlots: 8, BaseClaims: 8}

// leader is a core that leads the shard, and the time of its next Wake.
type leader struct {
	core   *claimer.Core
	wakeAt time.Time
}

// world simulates several leaders of one shard, with stale replicas, that
// share one store.
type world struct {
	now     time.Time
	store   map[string]keeper.Entry
	version keeper.Version
	leaders []*leader
	calls   []storeCall
	replies []reply
	asked   []claimer.ClaimAsked
	// waitingSince holds, by leader and holder, when an unanswered ask was
	// first sent.
	waitingSince map[ask]time.Time
	granted      map[claimer.Key]grant
	nonce        uint64
	// storeCallCount counts the store calls that leaders have asked for.
	storeCallCount int
	steps          int
}

type ask struct {
	leader int
	holder claimer.Holder
}

// grant is the latest grant of a key.
type grant struct {
	holder claimer.Holder
	at     time.Time
	minted bool
}

// storeCall is a call of a leader that the store has not performed yet.
type storeCall struct {
	leader  int
	core    *claimer.Core
	outcome claimer.Outcome
}

// reply is a reply of the store that its leader has not received yet.
type reply struct {
	leader int
	core   *claimer.Core
	event  claimer.Event
}

func newWorld() *world {
	w := &world{
		now:          time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC),
		store:        map[string]keeper.Entry{},
		waitingSince: map[ask]time.Time{},
		granted:      map[claimer.Key]grant{},
	}
	for range 3 {
		w.leaders = append(w.leaders, &leader{core: claimer.New(0, smallLimits)})
	}
	return w
}

func (w *world) step(t *rapid.T, i int, e claimer.Event) {
	for _, o := range w.leaders[i].core.Step(w.now, e) {
		switch o := o.(type) {
		case claimer.Answer:
			w.handleAnswer(t, i, o)
		case claimer.WakeAt:
			w.leaders[i].wakeAt = o.At
		default:
			w.storeCallCount++
			w.calls = append(w.calls, storeCall{leader: i, core: w.leaders[i].core, outcome: o})
		}
	}
	for a, at := range w.waitingSince {
		if a.leader == i && w.now.Sub(at) >= claimer.AskTimeout {
			t.Fatalf("leader %d left %v unanswered for %v", i, a.holder, w.now.Sub(at))
		}
	}
}

func (w *world) handleAnswer(t *rapid.T, i int, a claimer.Answer) {
	delete(w.waitingSince, ask{leader: i, holder: a.Holder})
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
			t.Fatalf("key %x is granted twice: to %v and %v", key[:2], old.holder, a.Holder)
		}
		if !ok || old.holder != a.Holder {
			w.granted[key] = grant{holder: a.Holder, at: w.now, minted: !e.Minted.IsZero()}
		}
		return
	}
	t.Fatalf("grant for an unknown holder %v", a.Holder)
}

// keyFor returns an opaque key for an even n, and a key that contains the
// current hour for an odd n.
func (w *world) keyFor(n int) (claimer.Key, time.Time) {
	if n%2 == 0 {
		return claimer.Key{byte(n)}, time.Time{}
	}
	minted := w.now.Truncate(time.Hour)
	return claimer.Key{byte(n), byte(minted.Unix() / 3600), byte(minted.Unix() / 3600 / 256)}, minted
}

func (w *world) ask(t *rapid.T, i, n int) {
	key, minted := w.keyFor(n)
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
	w.sendAsk(t, i, e)
}

func (w *world) sendAsk(t *rapid.T, i int, e claimer.ClaimAsked) {
	a := ask{leader: i, holder: e.Claim.Holder}
	if _, waiting := w.waitingSince[a]; !waiting {
		w.waitingSince[a] = w.now
	}
	w.step(t, i, e)
}

// performCall performs a store call and returns its reply.
func (w *world) performCall(call storeCall) claimer.Event {
	switch o := call.outcome.(type) {
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

// failedReply returns the reply to a call that failed.
func failedReply(o claimer.Outcome, kind keeper.Kind) claimer.Event {
	if o, ok := o.(claimer.List); ok {
		return claimer.Listed{Call: o.Call, Failed: kind}
	}
	return claimer.Swapped{Call: o.(claimer.Swap).Call, Failed: kind}
}

// deliver passes a reply to its leader, unless the leader has crashed since
// the call.
func (w *world) deliver(t *rapid.T, r reply) {
	if w.leaders[r.leader].core == r.core {
		w.step(t, r.leader, r.event)
	}
}

// removeAny removes a random element of a list and returns it.
func removeAny[T any](t *rapid.T, list *[]T) T {
	if len(*list) == 0 {
		t.Skip("the list is empty")
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
		if i != paused && !l.wakeAt.IsZero() && !w.now.Before(l.wakeAt) {
			l.wakeAt = time.Time{}
			w.step(t, i, claimer.Wake{})
		}
	}
}

func (w *world) actions() map[string]func(*rapid.T) {
	ask := func(t *rapid.T) { w.ask(t, w.anyLeader(t), rapid.IntRange(0, 29).Draw(t, "key")) }
	answer := func(t *rapid.T) {
		call := removeAny(t, &w.calls)
		w.deliver(t, reply{leader: call.leader, core: call.core, event: w.performCall(call)})
	}
	return map[string]func(*rapid.T){
		"ask": ask, "ask2": ask,
		"answer": answer, "answer2": answer, "answer3": answer,
		"askAgain": func(t *rapid.T) {
			if len(w.asked) > 0 {
				n := rapid.IntRange(1, min(8, len(w.asked))).Draw(t, "back")
				w.sendAsk(t, w.anyLeader(t), w.asked[len(w.asked)-n])
			}
		},
		"applyReplyLater": func(t *rapid.T) {
			call := removeAny(t, &w.calls)
			w.replies = append(w.replies, reply{leader: call.leader, core: call.core, event: w.performCall(call)})
		},
		"lateReply": func(t *rapid.T) { w.deliver(t, removeAny(t, &w.replies)) },
		"duplicateReply": func(t *rapid.T) {
			r := removeAny(t, &w.replies)
			w.deliver(t, r)
			w.deliver(t, r)
		},
		"lostReply": func(t *rapid.T) {
			call := removeAny(t, &w.calls)
			w.performCall(call)
			w.deliver(t, reply{leader: call.leader, core: call.core, event: failedReply(call.outcome, keeper.KindUnknown)})
		},
		"notDone": func(t *rapid.T) {
			call := removeAny(t, &w.calls)
			w.deliver(t, reply{leader: call.leader, core: call.core, event: failedReply(call.outcome, keeper.KindNotDone)})
		},
		"unknownAppliedLater": func(t *rapid.T) {
			call := removeAny(t, &w.calls)
			w.calls = append(w.calls, call)
			w.deliver(t, reply{leader: call.leader, core: call.core, event: failedReply(call.outcome, keeper.KindUnknown)})
		},
		"crash": func(t *rapid.T) {
			i := w.anyLeader(t)
			w.leaders[i] = &leader{core: claimer.New(0, smallLimits)}
			for a := range w.waitingSince {
				if a.leader == i {
					delete(w.waitingSince, a)
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

// checkRecovery lets the store answer at once and checks that each leader
// grants a new key.
func (w *world) checkRecovery(t *rapid.T) {
	w.calls, w.replies = nil, nil
	for range 6 {
		w.advance(t, claimer.CallTimeout, -1)
		w.performCalls(t)
	}
	w.advance(t, claimer.Retention+time.Hour, -1)
	for i := range w.leaders {
		w.ask(t, i, 100+2*i)
		for range 60 {
			w.performCalls(t)
			w.advance(t, claimer.BatchInterval, -1)
		}
		if g, ok := w.granted[claimer.Key{byte(100 + 2*i)}]; !ok || g.holder.Nonce != w.nonce {
			t.Fatalf("leader %d grants nothing although the store answers", i)
		}
	}
}

// maxCallsPerInstant is the most store calls that the leaders may make without
// time passing, while the store answers.
const maxCallsPerInstant = 50

// performCalls lets the store answer until the leaders make no more calls.
func (w *world) performCalls(t *rapid.T) {
	for n := 0; len(w.calls) > 0; n++ {
		if n == maxCallsPerInstant {
			t.Fatalf("the leaders do not stop calling the store")
		}
		call := w.calls[0]
		w.calls = w.calls[1:]
		w.deliver(t, reply{leader: call.leader, core: call.core, event: w.performCall(call)})
	}
}

// TestFullRecordKeepsGrantedKeys asks for more keys than the record can hold
// within Retention. Keys that were granted must stay taken, and after
// Retention there must be room for new ones.
func TestFullRecordKeepsGrantedKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		capacity := smallLimits.BaseSlots*smallLimits.BaseClaims + smallLimits.LogSlots*smallLimits.Batch
		var keys []claimer.Key
		for n := range capacity + 20 {
			w.askKey(t, 0, claimer.Key{1, byte(n)}, time.Time{})
			w.runBatches(t)
			if _, ok := w.granted[claimer.Key{1, byte(n)}]; ok {
				keys = append(keys, claimer.Key{1, byte(n)})
			}
		}
		if len(keys) < capacity/2 || len(keys) > capacity {
			t.Fatalf("%d keys in a record for at most %d", len(keys), capacity)
		}
		w.advance(t, claimer.Retention-2*time.Minute, -1)
		for _, key := range keys {
			w.askKey(t, 1+rapid.IntRange(0, 1).Draw(t, "leader"), key, time.Time{})
			w.runBatches(t)
		}
		w.advance(t, time.Hour, -1)
		w.askKey(t, 0, claimer.Key{2}, time.Time{})
		w.runBatches(t)
		if _, ok := w.granted[claimer.Key{2}]; !ok {
			t.Fatalf("a new key is not granted after Retention")
		}
	})
}

// runBatches lets the store answer for a few batches.
func (w *world) runBatches(t *rapid.T) {
	for range 4 {
		w.performCalls(t)
		w.advance(t, claimer.BatchInterval, -1)
	}
}

func TestKeyIsGrantedOnceUnderFaults(t *testing.T) {
	total, grants := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		t.Repeat(w.actions())
		w.checkRecovery(t)
		total += w.steps
		grants += len(w.granted)
	})
	if total < minSteps {
		t.Fatalf("%d steps, want %d", total, minSteps)
	}
	t.Logf("%d steps, %d grants", total, grants)
}
