package deduper

import (
	"fmt"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/figtrack/figtrack/identifier"
)

// Times and limits of a home.
const (
	// YieldWait is how long a VM may take to leave a request to another. A
	// VM that is slower is taken for dead.
	YieldWait = 300 * time.Millisecond
	// RecordLife is how long a record lives that is not renewed.
	RecordLife = 30 * time.Minute
	// MaxRecords is the most records; the oldest goes first.
	MaxRecords = 65_536
	// MaxDead is the most dead VMs that are remembered.
	MaxDead = 1024
)

// Start is one start of a VM.
type Start struct {
	VM          identifier.VM
	Incarnation identifier.Incarnation
}

// Home holds the records of the keys whose home this VM is. It is advanced
// only by Step.
type Home struct {
	records *simplelru.LRU[Key, *record]
	// waits holds the records with a waiting VM, by the time of their yield.
	waits []*record
	dead  []Start
	// serials numbers the orders to yield.
	serials uint64
	out     []HomeOutcome
}

// record is one key that a VM runs.
type record struct {
	key    Key
	holder asker
	// told is what the holder says; its upstream is empty until then.
	told    Record
	expires time.Time
	// next waits for the holder to yield; its VM is empty if none does.
	next  asker
	order uint64
	until time.Time
}

// asker is one AskHome of one VM.
type asker struct {
	start  Start
	serial uint64
}

// NewHome returns an empty home.
func NewHome() *Home {
	h := &Home{}
	records, err := simplelru.NewLRU(MaxRecords, func(_ Key, r *record) { h.evicted(r) })
	if err != nil {
		panic(err)
	}
	h.records = records
	return h
}

// Step advances the home.
func (h *Home) Step(now time.Time, e HomeEvent) []HomeOutcome {
	h.out = nil
	switch e := e.(type) {
	case Asked:
		h.asked(now, e)
	case Told:
		h.told(now, e)
	case Forgotten:
		h.forgotten(e)
	case YieldAnswered:
		h.yielded(now, e)
	case VMDied:
		h.died(now, e.Start)
	case HomeWake:
	default:
		panic(fmt.Sprintf("deduper: home event %T", e))
	}
	h.expire(now)
	return h.out
}

func (h *Home) emit(o HomeOutcome) { h.out = append(h.out, o) }

func (h *Home) asked(now time.Time, e Asked) {
	a := asker{start: e.From, serial: e.Serial}
	r, ok := h.records.Get(e.Key)
	if !ok {
		r = &record{key: e.Key, holder: a}
		h.renew(now, r)
		h.answer(r, a, Record{})
		return
	}
	switch {
	case a == r.next || stale(a, r.holder) || stale(a, r.next):
	case a.start == r.holder.start:
		// The VM has no request of this key any more, or it would not ask.
		h.supersede(r)
		h.handOver(now, r, a, false)
	case h.isDead(r.holder.start) || newer(a.start, r.holder.start):
		h.supersede(r)
		h.handOver(now, r, a, true)
	default:
		h.supersede(r)
		h.order(now, r, a)
	}
}

// stale says that a question was asked before one that was handled.
func stale(a, handled asker) bool {
	return a.start == handled.start && a.serial < handled.serial || newer(handled.start, a.start)
}

func newer(a, b Start) bool { return a.VM == b.VM && a.Incarnation > b.Incarnation }

// supersede answers a VM whose caller has gone on to another one.
func (h *Home) supersede(r *record) {
	if r.next.start.VM == "" {
		return
	}
	h.emit(AnswerVM{To: r.next.start, Answer: HomeAnswered{Key: r.key, Serial: r.next.serial, Superseded: true}})
	h.stopWaiting(r)
}

func (h *Home) order(now time.Time, r *record, next asker) {
	h.serials++
	r.next, r.order, r.until = next, h.serials, now.Add(YieldWait)
	h.waits = append(h.waits, r)
	h.emit(YieldVM{To: r.holder.start, Order: YieldAsked{Key: r.key, Serial: r.order, Holding: r.holder.serial}})
}

func (h *Home) stopWaiting(r *record) {
	r.next = asker{}
	h.waits = slices.DeleteFunc(h.waits, func(other *record) bool { return other == r })
}

// handOver makes a VM the holder and tells it the running stream, if any.
func (h *Home) handOver(now time.Time, r *record, to asker, running bool) {
	h.stopWaiting(r)
	r.holder = to
	if !running {
		r.told = Record{}
	}
	h.renew(now, r)
	h.answer(r, to, r.told)
}

func (h *Home) answer(r *record, to asker, found Record) {
	h.emit(AnswerVM{To: to.start, Answer: HomeAnswered{Key: r.key, Serial: to.serial, Record: found}})
}

func (h *Home) renew(now time.Time, r *record) {
	r.expires = now.Add(RecordLife)
	h.records.Add(r.key, r)
}

// told takes over where a stream runs. A VM that is not the holder runs the
// request a second time and ends it.
func (h *Home) told(now time.Time, e Told) {
	a := asker{start: e.From, serial: e.Serial}
	r, ok := h.records.Get(e.Record.Key)
	if !ok {
		r = &record{key: e.Record.Key, holder: a}
	}
	if r.holder != a {
		h.emit(YieldVM{To: e.From, Order: YieldAsked{Key: r.key, Holding: e.Serial, Discard: true}})
		return
	}
	r.told = e.Record
	h.renew(now, r)
}

func (h *Home) forgotten(e Forgotten) {
	r, ok := h.records.Peek(e.Key)
	if !ok {
		return
	}
	a := asker{start: e.From, serial: e.Serial}
	if r.next == a {
		h.stopWaiting(r)
		return
	}
	if r.holder != a {
		return
	}
	if r.next.start.VM == "" {
		h.records.Remove(e.Key)
		return
	}
	r.told = Record{}
}

func (h *Home) yielded(now time.Time, e YieldAnswered) {
	r, ok := h.records.Peek(e.Key)
	if ok && r.next.start.VM != "" && r.holder.start == e.From && r.order == e.Serial {
		h.handOver(now, r, r.next, e.Running)
	}
}

func (h *Home) died(now time.Time, dead Start) {
	h.dead = append(h.dead, dead)
	h.dead = h.dead[max(0, len(h.dead)-MaxDead):]
	for _, r := range slices.Clone(h.waits) {
		if r.holder.start == dead {
			h.handOver(now, r, r.next, true)
		}
	}
}

func (h *Home) isDead(start Start) bool { return slices.Contains(h.dead, start) }

// evicted answers a VM that waits for a record that goes.
func (h *Home) evicted(r *record) {
	if r.next.start.VM != "" {
		next := r.next
		h.stopWaiting(r)
		h.answer(r, next, Record{})
	}
}

func (h *Home) expire(now time.Time) {
	for len(h.waits) > 0 && !now.Before(h.waits[0].until) {
		r := h.waits[0]
		h.handOver(now, r, r.next, true)
	}
	for {
		_, r, ok := h.records.GetOldest()
		if !ok || now.Before(r.expires) {
			break
		}
		h.records.RemoveOldest()
	}
	if len(h.waits) > 0 {
		h.emit(HomeWakeAt{At: h.waits[0].until})
	}
}
