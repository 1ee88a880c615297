package syncer_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/configurer"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/keeper"
	"github.com/figtrack/figtrack/syncer"
)

type scheduledCall struct {
	at    time.Time
	order int
	do    func()
}

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

// store simulates the platform's store.
type store struct {
	entry keeper.Entry
	// history holds every value that was ever written.
	history [][]byte
	down    bool
	// dropNotifications drops all watch notifications.
	dropNotifications bool
	// loseReplies is the probability that the reply to a write is lost.
	loseReplies float64
	latency     time.Duration
	// writtenAt is when the last write took effect.
	writtenAt time.Time
	// reads and writes count calls by Unix second.
	reads, writes map[int64]int
	watches       map[identifier.VM]bool
}

// node is one run of a VM, from its start to its next restart.
type node struct {
	core         *syncer.Core
	incarnation  identifier.Incarnation
	wakeNumber   int
	down         bool
	partition    int
	revision     identifier.Revision
	inForceSince time.Time
	ready        bool
	results      map[syncer.Token]syncer.SubmitEnded
	everywhere   map[syncer.Token]syncer.RolloutEnded
}

// fleet runs cores and a store in virtual time.
type fleet struct {
	rng       *rand.Rand
	now       time.Time
	loss      float64
	queue     callQueue
	lastOrder int
	store     store
	vms       []identifier.VM
	nodes     map[identifier.VM]*node
	// muted is the VM whose messages are all dropped, or empty.
	muted identifier.VM
	// onSend is called with each message.
	onSend func(m syncer.Message)
	// onInForce is called with each configuration that a VM puts into force.
	onInForce func(vm identifier.VM, n *node, d configurer.Document)
}

func vm(i int) identifier.VM { return identifier.VM(fmt.Sprintf("vm-%03d", i)) }

func newFleet(n int, loss float64, seed uint64) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_800_000_000, 0), loss: loss,
		nodes: map[identifier.VM]*node{},
		store: store{
			latency: 3 * time.Millisecond, reads: map[int64]int{}, writes: map[int64]int{},
			watches: map[identifier.VM]bool{},
		},
	}
	for i := range n {
		f.vms = append(f.vms, vm(i))
	}
	for _, id := range f.vms {
		f.start(id)
	}
	return f
}

// start starts or restarts a VM with an empty state.
func (f *fleet) start(id identifier.VM) {
	n := &node{results: map[syncer.Token]syncer.SubmitEnded{}, everywhere: map[syncer.Token]syncer.RolloutEnded{}}
	if old, ok := f.nodes[id]; ok {
		n.incarnation = old.incarnation + 1
		n.partition = old.partition
	}
	delete(f.store.watches, id)
	s := syncer.Settings{VM: id, DataCentre: "hout-bay", Incarnation: n.incarnation}
	n.core = syncer.New(s, rand.New(rand.NewPCG(f.rng.Uint64(), 2)))
	f.nodes[id] = n
	f.step(id, n, syncer.LiveSet{Live: f.liveIn(n.partition)})
}

// liveIn returns the live set of one side of a partition.
func (f *fleet) liveIn(side int) []syncer.Peer {
	var live []syncer.Peer
	for _, id := range f.vms {
		if n, ok := f.nodes[id]; !ok || (!n.down && n.partition == side) {
			live = append(live, syncer.Peer{VM: id, DataCentre: "hout-bay"})
		}
	}
	return live
}

// updateLiveSets sends all running VMs their current live set.
func (f *fleet) updateLiveSets() {
	for _, id := range f.vms {
		n := f.nodes[id]
		f.step(id, n, syncer.LiveSet{Live: f.liveIn(n.partition)})
	}
}

func (f *fleet) schedule(d time.Duration, do func()) {
	f.lastOrder++
	heap.Push(&f.queue, scheduledCall{at: f.now.Add(d), order: f.lastOrder, do: do})
}

func (f *fleet) run(d time.Duration) {
	until := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(until) {
		next := heap.Pop(&f.queue).(scheduledCall)
		f.now = next.at
		next.do()
	}
	f.now = until
}

// step advances a VM and executes its outcomes. Events for an earlier run of the
// VM are dropped.
func (f *fleet) step(id identifier.VM, n *node, e syncer.Event) {
	if f.nodes[id] != n || n.down {
		return
	}
	for _, o := range n.core.Step(f.now, e) {
		switch o := o.(type) {
		case syncer.Send:
			f.send(id, n, o)
		case syncer.WakeAt:
			n.wakeNumber++
			wake := n.wakeNumber
			f.schedule(o.At.Sub(f.now), func() {
				if wake == n.wakeNumber {
					f.step(id, n, syncer.Wake{})
				}
			})
		case syncer.InForce:
			n.revision, n.inForceSince = o.Document.Revision, f.now
			if f.onInForce != nil {
				f.onInForce(id, n, o.Document)
			}
		case syncer.Ready:
			n.ready = true
		case syncer.SubmitEnded:
			n.results[o.Token] = o
		case syncer.RolloutEnded:
			n.everywhere[o.Token] = o
		case syncer.ReadStore:
			f.read(id, n)
		case syncer.SwapStore:
			f.swap(id, n, o)
		case syncer.StartWatch:
			f.startWatch(id, n, o.After)
		case syncer.StopWatch:
			delete(f.store.watches, id)
		}
	}
}

func (f *fleet) send(from identifier.VM, n *node, o syncer.Send) {
	if f.onSend != nil {
		f.onSend(o.Message)
	}
	to := f.nodes[o.To]
	if to == nil || to.partition != n.partition || from == f.muted || f.rng.Float64() < f.loss {
		return
	}
	delay := 4*time.Millisecond + time.Duration(f.rng.ExpFloat64()*float64(2*time.Millisecond))
	f.schedule(delay, func() { f.step(o.To, to, syncer.Received{From: from, Message: o.Message}) })
}

func (f *fleet) read(id identifier.VM, n *node) {
	f.store.reads[f.now.Unix()]++
	if f.store.down {
		err := &keeper.Error{Kind: keeper.KindNotDone, Err: errors.New("down")}
		f.schedule(syncer.StoreTimeout, func() { f.step(id, n, syncer.StoreRead{Err: err}) })
		return
	}
	entry := f.store.entry
	f.schedule(f.store.latency, func() { f.step(id, n, syncer.StoreRead{Entry: entry}) })
}

func (f *fleet) swap(id identifier.VM, n *node, o syncer.SwapStore) {
	f.store.writes[f.now.Unix()]++
	if f.store.down {
		err := &keeper.Error{Kind: keeper.KindUnknown, Err: errors.New("down")}
		f.schedule(syncer.StoreTimeout, func() { f.step(id, n, syncer.StoreSwapped{Err: err}) })
		return
	}
	f.schedule(f.store.latency/2, func() { f.write(id, n, o) })
}

// write performs a swap at the store and sends the reply, which may be lost.
func (f *fleet) write(id identifier.VM, n *node, o syncer.SwapStore) {
	written := f.store.entry.Version == o.Expected
	if written {
		f.store.entry = keeper.Entry{Key: syncer.Key, Value: o.Value, Version: o.Expected + 1}
		f.store.writtenAt = f.now
		f.store.history = append(f.store.history, o.Value)
		f.notify()
	}
	reply := syncer.StoreSwapped{Entry: f.store.entry, Written: written}
	delay := f.store.latency / 2
	if f.rng.Float64() < f.store.loseReplies {
		reply = syncer.StoreSwapped{Err: &keeper.Error{Kind: keeper.KindUnknown, Err: errors.New("no reply")}}
		delay = syncer.StoreTimeout
	}
	f.schedule(delay, func() { f.step(id, n, reply) })
}

func (f *fleet) startWatch(id identifier.VM, n *node, after keeper.Version) {
	f.store.reads[f.now.Unix()]++
	if f.store.down {
		f.schedule(syncer.StoreTimeout, func() { f.step(id, n, syncer.WatchBroken{}) })
		return
	}
	f.store.watches[id] = true
	if entry := f.store.entry; entry.Version > after {
		f.schedule(f.store.latency, func() { f.step(id, n, syncer.StoreChanged{Entry: entry}) })
	}
}

func (f *fleet) notify() {
	entry := f.store.entry
	for _, id := range f.vms {
		if n := f.nodes[id]; f.store.watches[id] && !f.store.dropNotifications {
			f.schedule(f.store.latency, func() { f.step(id, n, syncer.StoreChanged{Entry: entry}) })
		}
	}
}

// setDown stops the store and breaks all watches, or starts it again.
func (f *fleet) setDown(down bool) {
	f.store.down = down
	if !down {
		return
	}
	for _, id := range f.vms {
		if n := f.nodes[id]; f.store.watches[id] {
			f.schedule(0, func() { f.step(id, n, syncer.WatchBroken{}) })
		}
	}
	f.store.watches = map[identifier.VM]bool{}
}

// submit submits a change to a VM.
func (f *fleet) submit(id identifier.VM, token syncer.Token, c configurer.Change) {
	f.step(id, f.nodes[id], syncer.Submit{Token: token, Change: c, Wait: true})
}

// lowestRevision returns the lowest revision in force on a running VM.
func (f *fleet) lowestRevision() identifier.Revision {
	low := identifier.Revision(1 << 62)
	for _, id := range f.vms {
		if n := f.nodes[id]; !n.down {
			low = min(low, n.revision)
		}
	}
	return low
}

// runUntilInForce runs until a revision is in force on all running VMs or the
// limit has passed, and returns the time that it took.
func (f *fleet) runUntilInForce(r identifier.Revision, limit time.Duration) time.Duration {
	begin := f.now
	for f.lowestRevision() < r && f.now.Sub(begin) < limit {
		f.run(5 * time.Millisecond)
	}
	return f.now.Sub(begin)
}

// runUntilResult runs until the result of a change is reported, for at most 1 s.
func (f *fleet) runUntilResult(id identifier.VM, token syncer.Token) {
	for range 1000 {
		if _, ok := f.nodes[id].results[token]; ok {
			return
		}
		f.run(time.Millisecond)
	}
}
