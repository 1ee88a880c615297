package tracker_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/figtrack/figtrack/aggregator"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/tracker"
	"github.com/figtrack/figtrack/wire"
)

// load is one case of TestSharedLoad: a fleet, and what is offered to it as a part of what its
// runners can serve.
type load struct {
	vms     int
	offered float64
	// isBurst is true if the load is offered after a time of 0.8.
	isBurst bool
	// isDeaf is true if no VM hears a digest, as before digests existed.
	isDeaf bool
	// isOneSided is true if all VMs are in the data centre with the fewer plain services.
	isOneSided bool
	// fault strikes a second after warmUp.
	fault func(w *world)
}

const (
	engineMemory identifier.Tokens = 28000
	engineSlots                    = 8
	engineCount                    = 91
	serviceCount                   = 5
	requestLife                    = 6 * time.Second
	prefillTime                    = 300 * time.Millisecond
	memoryWait                     = 250 * time.Millisecond
	warmUp                         = 8 * time.Second
	measured                       = 6 * time.Second
	slack        identifier.Tokens = 3000
)

// world is a fleet of VMs, engines and plain services in virtual time.
type world struct {
	now    time.Time
	queue  timers
	random *rand.Rand
	// arrivals makes the same requests in each case of a load.
	arrivals *rand.Rand
	vms      []*tracker.Tracker
	sum      *aggregator.Core
	// running holds the requests at each engine, and counts the calls at each service.
	running map[identifier.Upstream][]*request
	calls   map[identifier.Upstream]int
	isDeaf  bool
	// isMute holds the VMs that neither report nor hear digests, gone those that get no
	// requests.
	isMute, gone map[int]bool
	// plain and extra count requests to plain services and their sends after the first.
	plain, extra float64
	result       result
}

type request struct {
	tokens, output     identifier.Tokens
	arrived, runs      time.Time
	isSecond, isServed bool
}

// result is what a case measures after warmUp.
type result struct {
	granted, refused, placed, lost int
	waits, used                    []float64
	// accepted and rejected are calls to plain services; throttled and denied requests that
	// this VM refused at once, and that the retry budget or the number of sends ended.
	accepted, rejected, throttled, denied int
}

type timer struct {
	at time.Time
	do func()
}

type timers []timer

func (q timers) Len() int           { return len(q) }
func (q timers) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q timers) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *timers) Push(one any)      { *q = append(*q, one.(timer)) }

// Pop implements heap.Interface.
func (q *timers) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (w *world) after(d time.Duration, do func()) { heap.Push(&w.queue, timer{w.now.Add(d), do}) }

func (w *world) run(until time.Time) {
	for len(w.queue) > 0 && !w.queue[0].at.After(until) {
		next := heap.Pop(&w.queue).(timer)
		w.now = next.at
		next.do()
	}
	w.now = until
}

func newWorld(c load) *world {
	w := &world{isMute: map[int]bool{}, gone: map[int]bool{}, isDeaf: c.isDeaf, now: start, random: rand.New(rand.NewPCG(7, 7)), arrivals: rand.New(rand.NewPCG(8, 8)), sum: aggregator.New(), running: map[identifier.Upstream][]*request{}, calls: map[identifier.Upstream]int{}}
	var runners []tracker.Runner
	centres := []identifier.DataCentre{"east", "west"}
	for i := range engineCount {
		runners = append(runners, runner(fmt.Sprintf("d%02d", i), identifier.RoleDecode, centres[i%2]))
	}
	for i := range serviceCount {
		s := runner(fmt.Sprintf("s%d", i), identifier.RolePlain, centres[i%2])
		s.Pool = "orders"
		runners = append(runners, s)
	}
	for i := range c.vms {
		centre := centres[i%2]
		if c.isOneSided {
			centre = "west"
		}
		view := tracker.New(centre, uint64(i+1))
		view.Step(w.now, tracker.Listed{Runners: runners})
		view.Step(w.now, tracker.Sized{Pools: map[identifier.Pool]tracker.Size{"desk": {Memory: engineMemory, Slots: engineSlots}}})
		w.vms = append(w.vms, view)
		if interval := reportInterval(c.vms); !c.isDeaf {
			w.after(rand64(w.random, interval), func() { w.report(i, interval, 1) })
		}
	}
	return w
}

func rand64(random *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(d)))
}

func reportInterval(vms int) time.Duration {
	return max(100*time.Millisecond, min(time.Duration(vms)*4*time.Millisecond, time.Second))
}

// report sends the report of a VM and hands it the digest. One in fifty digests is lost.
func (w *world) report(vm int, interval time.Duration, sequence uint64) {
	if w.isMute[vm] {
		return
	}
	r := &wire.ExchangeReport{VM: fmt.Sprint(vm), Sequence: sequence}
	w.vms[vm].EncodeReport(w.now, r)
	d := wire.ExchangeDigest{Reporting: uint32(len(w.vms))}
	w.sum.Collect(w.now, r, &d)
	if w.random.IntN(50) > 0 {
		w.vms[vm].Step(w.now, tracker.DecodeDigest(w.now, &d))
	}
	w.after(interval, func() { w.report(vm, interval, sequence+1) })
}

func (w *world) isMeasured() bool { return w.now.Sub(start) > warmUp }

// offer lets requests arrive at random VMs, as many as rate says.
func (w *world) offer(rate func(at time.Duration) float64, arrive func()) {
	next := w.arrivals.ExpFloat64() / rate(w.now.Sub(start))
	w.after(time.Duration(next*float64(time.Second)), func() {
		arrive()
		w.offer(rate, arrive)
	})
}

// used returns the memory that is filled at an engine. Requests grow while they run.
func (w *world) used(at identifier.Upstream) (sum identifier.Tokens) {
	for _, q := range w.running[at] {
		sum += q.tokens
		if left := 1 - w.now.Sub(q.runs).Seconds()/(requestLife-prefillTime).Seconds(); !q.runs.IsZero() {
			sum -= identifier.Tokens(max(0, left) * float64(q.output))
		}
	}
	return sum
}

func (w *world) hasRoom(at identifier.Upstream, tokens identifier.Tokens) bool {
	return len(w.running[at]) < engineSlots && w.used(at)+tokens <= engineMemory
}

// place asks for memory as attempter does: first with slack, during half of the wait, and
// without a pause after a refusal.
func (w *world) place(view *tracker.Tracker, q *request, extra identifier.Tokens, isFirst bool) {
	waited := w.now.Sub(q.arrived)
	if !isFirst && waited >= memoryWait {
		w.refuse(q)
		return
	}
	if waited > memoryWait/2 {
		extra = 0
	}
	r, ok := view.Decode(w.now, "desk", q.tokens+extra, tracker.Choice{HasSlack: extra > 0})
	if !ok && extra > 0 {
		extra = 0
		r, ok = view.Decode(w.now, "desk", q.tokens, tracker.Choice{})
	}
	if !ok {
		w.after(25*time.Millisecond, func() { w.place(view, q, extra, false) })
		return
	}
	asked := q.tokens + extra
	view.BeginHold(r, asked)
	w.after(time.Millisecond, func() {
		isGranted := w.hasRoom(r.ID, asked)
		w.count(isGranted, &w.result.granted, &w.result.refused)
		if !isGranted {
			view.RecordFull(w.now, r, asked)
			view.EndHold(r, asked)
			w.place(view, q, extra, false)
			return
		}
		view.RecordGranted(w.now, r)
		view.EndHold(r, asked)
		view.BeginHold(r, q.tokens)
		w.running[r.ID] = append(w.running[r.ID], q)
		if w.isMeasured() {
			w.result.placed++
			w.result.waits = append(w.result.waits, w.now.Sub(q.arrived).Seconds()*1000)
		}
		w.after(prefillTime, func() {
			view.EndHold(r, q.tokens)
			view.BeginCall(r, tracker.Load{DecodeTokens: q.tokens})
			q.runs = w.now
		})
		w.after(requestLife, func() {
			view.EndCall(r, tracker.Load{DecodeTokens: q.tokens})
			view.RecordFreed(r)
			w.running[r.ID] = slices.DeleteFunc(w.running[r.ID], func(other *request) bool { return other == q })
		})
	})
}

func (w *world) count(isGood bool, good, bad *int) {
	switch {
	case !w.isMeasured():
	case isGood:
		*good++
	default:
		*bad++
	}
}

// refuse lets the caller come back once.
func (w *world) refuse(q *request) {
	if w.isMeasured() {
		w.result.lost++
	}
	if !q.isSecond {
		again := *q
		again.isSecond = true
		w.after(300*time.Millisecond+rand64(w.random, 150*time.Millisecond), func() {
			again.arrived = w.now
			w.place(w.anyVM(), &again, slack, true)
		})
	}
}

func (w *world) anyVM() *tracker.Tracker {
	for {
		if i := w.random.IntN(len(w.vms)); !w.gone[i] {
			return w.vms[i]
		}
	}
}

// call sends a request to a plain service, and again to two others if that is full and the
// retry budget allows it.
func (w *world) call(view *tracker.Tracker, without tracker.Without) {
	if len(without) == 0 {
		w.plain++
		if !w.isDeaf && view.Throttles(w.now, "orders") {
			w.count(false, nil, &w.result.throttled)
			return
		}
	}
	r, ok := view.Plain(w.now, "orders", tracker.Choice{Without: without})
	if !ok || len(without) == 3 || len(without) > 0 && w.extra > 0.17*w.plain {
		w.count(false, nil, &w.result.denied)
		return
	}
	if len(without) > 0 {
		w.extra++
	}
	isTaken := w.calls[r.ID] < r.Slots
	w.count(isTaken, &w.result.accepted, &w.result.rejected)
	if !isTaken {
		view.RecordFull(w.now, r, 0)
		view.RecordCalled(w.now, r, false)
		view.RecordAnswer(r, false, 0)
		without[r.ID] = true
		w.call(view, without)
		return
	}
	w.calls[r.ID]++
	view.BeginCall(r, tracker.Load{})
	took := 60*time.Millisecond + rand64(w.random, 40*time.Millisecond)
	w.after(took, func() {
		w.calls[r.ID]--
		view.EndCall(r, tracker.Load{})
		view.RecordCalled(w.now, r, true)
		view.RecordAnswer(r, false, took)
	})
}
