package orderer_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/keeper"
	"github.com/figtrack/figtrack/orderer"
)

// scheduledCall is a function to be called at a time; order breaks ties.
type scheduledCall struct {
	at    time.Time
	order int
	do    func()
}

// callQueue is a heap of calls, the earliest first.
type callQueue []scheduledCall

func (q callQueue) Len() int      { return len(q) }
func (q callQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *callQueue) Push(x any)   { *q = append(*q, x.(scheduledCall)) }
func (q callQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].order < q[j].order
	}
	return q[i].at.Before(q[j].at)
}

func (q *callQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// engine simulates the engine of a runner.
type engine struct {
	id           identifier.Upstream
	checksFence  bool
	highestFence identifier.Fence
	serves       driver.OrderResult
	// inFlight holds the issuers of the orders that have not arrived yet.
	inFlight []identifier.VM
	down     bool
}

// owner is a VM that owns runners.
type owner struct {
	core *orderer.Core
	wake int
	// pausedUntil is the end of a pause, during which events wait in inbox.
	pausedUntil time.Time
	inbox       []orderer.Event
	incarnation identifier.Incarnation
	wanted      orderer.Wanted
}

// stored is one record in the store.
type stored struct {
	record  orderer.Record
	version keeper.Version
}

// world simulates owners, engines and a store in virtual time.
type world struct {
	rng     *rand.Rand
	now     time.Time
	agenda  callQueue
	order   int
	owners  map[identifier.VM]*owner
	vms     []identifier.VM
	engines []*engine
	records map[identifier.Upstream]stored
	// down makes all store calls fail; lossy loses some replies of the store
	// and of engines.
	down, lossy bool
	// slow is the longest delay of an order on its way to an engine.
	slow       time.Duration
	revision   identifier.Revision
	want       map[identifier.Upstream]orderer.Serving
	violations []string
	issued     int
	deferred   map[orderer.Reason]int
}

func newWorld(seed uint64, vms, engines int) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1_800_000_000, 0),
		owners: map[identifier.VM]*owner{}, records: map[identifier.Upstream]stored{},
		want: map[identifier.Upstream]orderer.Serving{}, deferred: map[orderer.Reason]int{},
	}
	for i := range engines {
		e := &engine{id: identifier.Upstream(fmt.Sprintf("runner-%d", i)), checksFence: i%2 == 0}
		e.serves = driver.OrderResult{Models: []identifier.Model{"hull"}, Version: "v1", Role: identifier.RoleDecode}
		w.engines = append(w.engines, e)
		w.want[e.id] = orderer.Serving{Models: e.serves.Models, Version: "v1", Role: identifier.RoleDecode}
	}
	for i := range vms {
		id := identifier.VM(fmt.Sprintf("vm-%d", i))
		w.vms = append(w.vms, id)
		w.start(id)
	}
	return w
}

func (w *world) start(id identifier.VM) {
	o := &owner{incarnation: 1}
	if old, ok := w.owners[id]; ok {
		o.incarnation = old.incarnation + 1
	}
	o.core = orderer.New(id, o.incarnation, rand.New(rand.NewPCG(w.rng.Uint64(), 4)))
	w.owners[id] = o
}

// configure sends a VM the present configuration and the runners that it owns.
func (w *world) configure(id identifier.VM, owned func(i int) bool) {
	wanted := orderer.Wanted{Revision: w.revision}
	for i, e := range w.engines {
		if owned(i) {
			wanted.Runners = append(wanted.Runners, orderer.Want{
				Upstream: e.id, Pool: identifier.Pool(fmt.Sprint(i)), Serving: w.want[e.id], ChecksFence: e.checksFence,
			})
		}
	}
	w.owners[id].wanted = wanted
	w.step(id, w.owners[id], wanted)
}

func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.agenda, scheduledCall{at: w.now.Add(d), order: w.order, do: do})
}

func (w *world) run(d time.Duration) {
	until := w.now.Add(d)
	for len(w.agenda) > 0 && !w.agenda[0].at.After(until) {
		next := heap.Pop(&w.agenda).(scheduledCall)
		w.now = next.at
		next.do()
	}
	w.now = until
}

// step passes an event to the process o of a VM, or queues it if o is paused.
// Events for an earlier process of the VM are dropped.
func (w *world) step(id identifier.VM, o *owner, e orderer.Event) {
	if w.owners[id] != o {
		return
	}
	if w.now.Before(o.pausedUntil) || len(o.inbox) > 0 {
		o.inbox = append(o.inbox, e)
		w.after(max(0, o.pausedUntil.Sub(w.now)), func() { w.resume(id, o) })
		return
	}
	w.handle(id, o, e)
}

// resume handles the events queued during a pause.
func (w *world) resume(id identifier.VM, o *owner) {
	for len(o.inbox) > 0 && w.owners[id] == o && !w.now.Before(o.pausedUntil) {
		e := o.inbox[0]
		o.inbox = o.inbox[1:]
		w.handle(id, o, e)
	}
}

func (w *world) handle(id identifier.VM, o *owner, e orderer.Event) {
	back := func(d time.Duration, e orderer.Event) { w.after(d, func() { w.step(id, o, e) }) }
	for _, out := range o.core.Step(w.now, e) {
		switch out := out.(type) {
		case orderer.WakeAt:
			o.wake++
			wake := o.wake
			w.after(out.At.Sub(w.now), func() {
				if wake == o.wake {
					w.step(id, o, orderer.Wake{})
				}
			})
		case orderer.ReadEngine:
			back(w.shortDelay(), w.readEngine(out))
		case orderer.ReadRecord:
			back(w.shortDelay(), w.readRecord(out))
		case orderer.SwapRecord:
			back(w.shortDelay(), w.swapRecord(out))
		case orderer.TakeBudget:
			back(w.shortDelay(), orderer.BudgetAnswered{Upstream: out.Upstream, Granted: true})
		case orderer.Drain:
			if out.On {
				back(time.Duration(w.rng.Int64N(int64(10*time.Second))), orderer.Drained{Upstream: out.Upstream})
			}
		case orderer.Issue:
			w.issue(id, out, back)
		case orderer.Deferred:
			w.deferred[out.Reason]++
		}
	}
}

func (w *world) shortDelay() time.Duration {
	return time.Duration(w.rng.Int64N(int64(20 * time.Millisecond)))
}

func (w *world) engine(id identifier.Upstream) *engine {
	i := slices.IndexFunc(w.engines, func(e *engine) bool { return e.id == id })
	return w.engines[i]
}

func (w *world) readEngine(o orderer.ReadEngine) orderer.EngineRead {
	e := w.engine(o.Upstream)
	if e.down {
		return orderer.EngineRead{Upstream: o.Upstream, Err: engineError(driver.KindNotRun)}
	}
	return orderer.EngineRead{Upstream: o.Upstream, Result: e.serves}
}

func engineError(kind driver.Kind) error {
	return &driver.Error{Kind: kind, Err: errors.New("no answer")}
}

func storeError() error { return &keeper.Error{Kind: keeper.KindUnknown, Err: errors.New("no reply")} }

func (w *world) readRecord(o orderer.ReadRecord) orderer.RecordRead {
	if w.down {
		return orderer.RecordRead{Upstream: o.Upstream, Err: storeError()}
	}
	s := w.records[o.Upstream]
	return orderer.RecordRead{Upstream: o.Upstream, Record: s.record, Version: s.version}
}

func (w *world) swapRecord(o orderer.SwapRecord) orderer.RecordSwapped {
	answer := orderer.RecordSwapped{Upstream: o.Upstream, Attempt: o.Attempt}
	if w.down {
		answer.Err = storeError()
		return answer
	}
	if s := w.records[o.Upstream]; s.version == o.Expected {
		if o.Record.Fence <= s.record.Fence || o.Record.Revision < s.record.Revision {
			w.violations = append(w.violations, fmt.Sprintf("record of %s went back from %+v to %+v", o.Upstream, s.record, o.Record))
		}
		w.records[o.Upstream] = stored{record: o.Record, version: s.version + 1}
		answer.Written = true
	}
	if w.lossy && w.rng.IntN(3) == 0 {
		answer.Err = storeError()
	}
	return answer
}

// issue delivers an order to its engine, possibly after a long delay.
func (w *world) issue(from identifier.VM, o orderer.Issue, back func(time.Duration, orderer.Event)) {
	w.issued++
	e := w.engine(o.Upstream)
	if !e.checksFence && len(e.inFlight) > 0 {
		w.violations = append(w.violations, fmt.Sprintf("%s sends an order to %s while orders of %v are in flight", from, e.id, e.inFlight))
	}
	e.inFlight = append(e.inFlight, from)
	delay := w.shortDelay()
	if w.slow > 0 && w.rng.IntN(3) == 0 {
		delay = time.Duration(w.rng.Int64N(int64(w.slow)))
	}
	w.after(delay, func() {
		e.inFlight = slices.Delete(e.inFlight, 0, 1)
		answer := e.execute(o)
		if w.lossy && w.rng.IntN(3) == 0 {
			answer.Err = engineError(driver.KindUnknown)
		}
		if delay < orderer.OrderTimeout {
			back(w.shortDelay(), answer)
		}
	})
	if delay >= orderer.OrderTimeout {
		back(orderer.OrderTimeout, orderer.Ordered{Upstream: o.Upstream, Err: engineError(driver.KindUnknown)})
	}
}

// execute carries out an order.
func (e *engine) execute(o orderer.Issue) orderer.Ordered {
	answer := orderer.Ordered{Upstream: o.Upstream}
	switch {
	case e.down:
		answer.Err = engineError(driver.KindNotRun)
	case e.checksFence && o.Order.Fence < e.highestFence:
		answer.Result = e.serves
		answer.Result.Refused = true
	default:
		e.highestFence = o.Order.Fence
		if e.checksFence {
			defer func() { e.serves.Highest = e.highestFence }()
		}
		e.serves = driver.OrderResult{Models: o.Order.Models, Version: o.Order.Version, Role: o.Order.Role}
		answer.Result = e.serves
	}
	return answer
}

// wrong returns the runners that don't serve what they should.
func (w *world) wrong() []identifier.Upstream {
	var ids []identifier.Upstream
	for _, e := range w.engines {
		want := w.want[e.id]
		if e.serves.Version != want.Version || e.serves.Role != want.Role || !slices.Equal(e.serves.Models, want.Models) {
			ids = append(ids, e.id)
		}
	}
	return ids
}
