package deduper

import (
	"fmt"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/figtrack/figtrack/identifier"
)

// Timeouts and limits of a home.
const (
	// YieldWait is how long a VM may take to give a request up to another. A
	// slower VM is treated as dead.
	YieldWait = 300 * time.Millisecond
	// RecordTTL is how long a record is kept after its last renewal.
	RecordTTL = 30 * time.Minute
	// MaxRecords is the maximum number of records; the least recently used one
	// is evicted first.
	MaxRecords = 65_536
	// MaxDeadStarts is the maximum number of remembered starts of dead VMs.
	MaxDeadStarts = 1024
)

// Start identifies one start of a VM, which has its own incarnation number.
type Start struct {
	VM          identifier.VM
	Incarnation identifier.Incarnation
}

// Home holds the records of the keys whose home is this VM. Its state changes
// only in Step.
type Home struct {
	entries *simplelru.LRU[Key, *homeEntry]
	// waiting holds the entries with a waiter, earliest yieldBy first.
	waiting    []*homeEntry
	deadStarts []Start
	// lastOrder is the serial of the last order to yield.
	lastOrder uint64
	out       []HomeOutcome
}

// homeEntry describes one key that a VM runs.
type homeEntry struct {
	key    Key
	holder asker
	// reported is the holder's record; its upstream is empty until the holder
	// has sent it.
	reported Record
	expires  time.Time
	// waiter waits for the holder to yield; its VM is empty if there is none.
	// orderSerial and yieldBy are the serial and deadline of that order.
	waiter      asker
	orderSerial uint64
	yieldBy     time.Time
}

// asker identifies one AskHome of one VM.
type asker struct {
	start  Start
	serial uint64
}

// NewHome returns an empty home.
func NewHome() *Home {
	h := &Home{}
	entries, err := simplelru.NewLRU(MaxRecords, func(_ Key, r *homeEntry) { h.onEvicted(r) })
	if err != nil {
		panic(err)
	}
	h.entries = entries
	return h
}

// Step processes one event and returns the resulting outcomes.
func (h *Home) Step(now time.Time, e HomeEvent) []HomeOutcome {
	h.out = nil
	switch e := e.(type) {
	case HomeAsked:
		h.handleAsked(now, e)
	case HomeTold:
		h.handleTold(now, e)
	case HomeForgotten:
		h.handleForgotten(e)
	case YieldAnswered:
		h.handleYielded(now, e)
	case VMDied:
		h.handleVMDied(now, e.Start)
	case HomeWake:
	default:
		panic(fmt.Sprintf("deduper: unexpected home event type %T", e))
	}
	h.runDue(now)
	return h.out
}

func (h *Home) emit(o HomeOutcome) { h.out = append(h.out, o) }

func (h *Home) handleAsked(now time.Time, e HomeAsked) {
	a := asker{start: e.From, serial: e.Serial}
	r, ok := h.entries.Get(e.Key)
	if !ok {
		r = &homeEntry{key: e.Key, holder: a}
		h.renew(now, r)
		h.answer(r, a, Record{})
		return
	}
	switch {
	case a == r.waiter || isOutdated(a, r.holder) || isOutdated(a, r.waiter):
	case a.start == r.holder.start:
		// The VM would not ask if it still had a request with this key.
		h.supersedeWaiter(r)
		h.handOver(now, r, a, false)
	case h.isDead(r.holder.start) || isLaterStart(a.start, r.holder.start):
		h.supersedeWaiter(r)
		h.handOver(now, r, a, true)
	default:
		h.supersedeWaiter(r)
		h.orderYield(now, r, a)
	}
}

// isOutdated reports whether a was sent before an AskHome that was handled.
func isOutdated(a, handled asker) bool {
	return a.start == handled.start && a.serial < handled.serial || isLaterStart(handled.start, a.start)
}

func isLaterStart(a, b Start) bool { return a.VM == b.VM && a.Incarnation > b.Incarnation }

// supersedeWaiter tells the waiter, if any, that its caller has a later
// connection.
func (h *Home) supersedeWaiter(r *homeEntry) {
	if r.waiter.start.VM == "" {
		return
	}
	h.emit(AnswerVM{To: r.waiter.start, Answer: HomeAnswered{Key: r.key, Serial: r.waiter.serial, Superseded: true}})
	h.clearWaiter(r)
}

func (h *Home) orderYield(now time.Time, r *homeEntry, waiter asker) {
	h.lastOrder++
	r.waiter, r.orderSerial, r.yieldBy = waiter, h.lastOrder, now.Add(YieldWait)
	h.waiting = append(h.waiting, r)
	h.emit(YieldVM{To: r.holder.start, Order: YieldAsked{Key: r.key, Serial: r.orderSerial, Holding: r.holder.serial}})
}

func (h *Home) clearWaiter(r *homeEntry) {
	r.waiter = asker{}
	h.waiting = slices.DeleteFunc(h.waiting, func(other *homeEntry) bool { return other == r })
}

// handOver makes a VM the holder and sends it the record of the running stream,
// if any.
func (h *Home) handOver(now time.Time, r *homeEntry, to asker, running bool) {
	h.clearWaiter(r)
	r.holder = to
	if !running {
		r.reported = Record{}
	}
	h.renew(now, r)
	h.answer(r, to, r.reported)
}

func (h *Home) answer(r *homeEntry, to asker, found Record) {
	h.emit(AnswerVM{To: to.start, Answer: HomeAnswered{Key: r.key, Serial: to.serial, Record: found}})
}

func (h *Home) renew(now time.Time, r *homeEntry) {
	r.expires = now.Add(RecordTTL)
	h.entries.Add(r.key, r)
}

// handleTold stores the holder's record. A VM that is not the holder runs the
// request a second time and is ordered to end it.
func (h *Home) handleTold(now time.Time, e HomeTold) {
	a := asker{start: e.From, serial: e.Serial}
	r, ok := h.entries.Get(e.Record.Key)
	if !ok {
		r = &homeEntry{key: e.Record.Key, holder: a}
	}
	if r.holder != a {
		h.emit(YieldVM{To: e.From, Order: YieldAsked{Key: r.key, Holding: e.Serial, Discard: true}})
		return
	}
	r.reported = e.Record
	h.renew(now, r)
}

func (h *Home) handleForgotten(e HomeForgotten) {
	r, ok := h.entries.Peek(e.Key)
	if !ok {
		return
	}
	a := asker{start: e.From, serial: e.Serial}
	if r.waiter == a {
		h.clearWaiter(r)
		return
	}
	if r.holder != a {
		return
	}
	if r.waiter.start.VM == "" {
		h.entries.Remove(e.Key)
		return
	}
	r.reported = Record{}
}

func (h *Home) handleYielded(now time.Time, e YieldAnswered) {
	r, ok := h.entries.Peek(e.Key)
	if ok && r.waiter.start.VM != "" && r.holder.start == e.From && r.orderSerial == e.Serial {
		h.handOver(now, r, r.waiter, e.Running)
	}
}

func (h *Home) handleVMDied(now time.Time, dead Start) {
	h.deadStarts = append(h.deadStarts, dead)
	h.deadStarts = h.deadStarts[max(0, len(h.deadStarts)-MaxDeadStarts):]
	for _, r := range slices.Clone(h.waiting) {
		if r.holder.start == dead {
			h.handOver(now, r, r.waiter, true)
		}
	}
}

func (h *Home) isDead(start Start) bool { return slices.Contains(h.deadStarts, start) }

// onEvicted answers the waiter, if any, of an entry that has been removed.
func (h *Home) onEvicted(r *homeEntry) {
	if r.waiter.start.VM != "" {
		waiter := r.waiter
		h.clearWaiter(r)
		h.answer(r, waiter, Record{})
	}
}

func (h *Home) runDue(now time.Time) {
	for len(h.waiting) > 0 && !now.Before(h.waiting[0].yieldBy) {
		r := h.waiting[0]
		h.handOver(now, r, r.waiter, true)
	}
	for {
		_, r, ok := h.entries.GetOldest()
		if !ok || now.Before(r.expires) {
			break
		}
		h.entries.RemoveOldest()
	}
	if len(h.waiting) > 0 {
		h.emit(HomeWakeAt{At: h.waiting[0].yieldBy})
	}
}
