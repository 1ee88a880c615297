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

type due struct {
	at    time.Time
	order int
	do    func()
}

type agenda []due

func (q agenda) Len() int      { return len(q) }
func (q agenda) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *agenda) Push(x any)   { *q = append(*q, x.(due)) }
func (q agenda) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].order < q[j].order
	}
	return q[i].at.Before(q[j].at)
}

func (q *agenda) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// store is the platform's store as the cores meet it.
type store struct {
	entry keeper.Entry
	// history holds every value that was ever written.
	history [][]byte
	down    bool
	// watchDead drops what watches should send.
	watchDead bool
	// loseReplies is the share of writes whose reply is lost.
	loseReplies float64
	latency     time.Duration
	// writtenAt is when the last write took effect.
	writtenAt time.Time
	// reads and writes count calls by second.
	reads, writes map[int64]int
	watches       map[identifier.VM]bool
}

// node is one VM.
type node struct {
	core        *syncer.Core
	incarnation identifier.Incarnation
	wake        int
	down        bool
	side        int
	revision    identifier.Revision
	since       time.Time
	ready       bool
	results     map[syncer.Token]syncer.Submitted
	everywhere  map[syncer.Token]syncer.Everywhere
}

// fleet runs cores and a store in virtual time.
type fleet struct {
	rng    *rand.Rand
	now    time.Time
	loss   float64
	agenda agenda
	order  int
	store  store
	vms    []identifier.VM
	nodes  map[identifier.VM]*node
	// noSends keeps all messages of one VM back.
	noSends identifier.VM
	// onSend sees each message.
	onSend func(m syncer.Message)
	// onInForce sees each configuration that a VM puts into force.
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

// start starts or restarts a VM; it keeps nothing.
func (f *fleet) start(id identifier.VM) {
	n := &node{results: map[syncer.Token]syncer.Submitted{}, everywhere: map[syncer.Token]syncer.Everywhere{}}
	if old, ok := f.nodes[id]; ok {
		n.incarnation = old.incarnation + 1
		n.side = old.side
	}
	delete(f.store.watches, id)
	s := syncer.Settings{VM: id, DataCentre: "hout-bay", Incarnation: n.incarnation}
	n.core = syncer.New(s, rand.New(rand.NewPCG(f.rng.Uint64(), 2)))
	f.nodes[id] = n
	f.step(id, n, syncer.LiveSet{Live: f.live(n.side)})
}

// live is the live set of one side of a split.
func (f *fleet) live(side int) []syncer.Peer {
	var live []syncer.Peer
	for _, id := range f.vms {
		if n, ok := f.nodes[id]; !ok || (!n.down && n.side == side) {
			live = append(live, syncer.Peer{VM: id, DataCentre: "hout-bay"})
		}
	}
	return live
}

// tellLive gives all running VMs their live set.
func (f *fleet) tellLive() {
	for _, id := range f.vms {
		n := f.nodes[id]
		f.step(id, n, syncer.LiveSet{Live: f.live(n.side)})
	}
}

func (f *fleet) after(d time.Duration, do func()) {
	f.order++
	heap.Push(&f.agenda, due{at: f.now.Add(d), order: f.order, do: do})
}

func (f *fleet) run(d time.Duration) {
	until := f.now.Add(d)
	for len(f.agenda) > 0 && !f.agenda[0].at.After(until) {
		next := heap.Pop(&f.agenda).(due)
		f.now = next.at
		next.do()
	}
	f.now = until
}

// step advances one start of a VM; events for an earlier start are dropped.
func (f *fleet) step(id identifier.VM, n *node, e syncer.Event) {
	if f.nodes[id] != n || n.down {
		return
	}
	for _, o := range n.core.Step(f.now, e) {
		switch o := o.(type) {
		case syncer.Send:
			f.send(id, n, o)
		case syncer.WakeAt:
			n.wake++
			wake := n.wake
			f.after(o.At.Sub(f.now), func() {
				if wake == n.wake {
					f.step(id, n, syncer.Wake{})
				}
			})
		case syncer.InForce:
			n.revision, n.since = o.Document.Revision, f.now
			if f.onInForce != nil {
				f.onInForce(id, n, o.Document)
			}
		case syncer.Ready:
			n.ready = true
		case syncer.Submitted:
			n.results[o.Token] = o
		case syncer.Everywhere:
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
	if to == nil || to.side != n.side || from == f.noSends || f.rng.Float64() < f.loss {
		return
	}
	delay := 4*time.Millisecond + time.Duration(f.rng.ExpFloat64()*float64(2*time.Millisecond))
	f.after(delay, func() { f.step(o.To, to, syncer.Received{From: from, Message: o.Message}) })
}

func (f *fleet) read(id identifier.VM, n *node) {
	f.store.reads[f.now.Unix()]++
	if f.store.down {
		err := &keeper.Error{Kind: keeper.KindNotDone, Err: errors.New("down")}
		f.after(syncer.StoreTimeout, func() { f.step(id, n, syncer.StoreRead{Err: err}) })
		return
	}
	entry := f.store.entry
	f.after(f.store.latency, func() { f.step(id, n, syncer.StoreRead{Entry: entry}) })
}

func (f *fleet) swap(id identifier.VM, n *node, o syncer.SwapStore) {
	f.store.writes[f.now.Unix()]++
	if f.store.down {
		err := &keeper.Error{Kind: keeper.KindUnknown, Err: errors.New("down")}
		f.after(syncer.StoreTimeout, func() { f.step(id, n, syncer.StoreSwapped{Err: err}) })
		return
	}
	f.after(f.store.latency/2, func() { f.write(id, n, o) })
}

// write takes effect at the store, whether or not the reply arrives.
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
	f.after(delay, func() { f.step(id, n, reply) })
}

func (f *fleet) startWatch(id identifier.VM, n *node, after keeper.Version) {
	f.store.reads[f.now.Unix()]++
	if f.store.down {
		f.after(syncer.StoreTimeout, func() { f.step(id, n, syncer.WatchBroken{}) })
		return
	}
	f.store.watches[id] = true
	if entry := f.store.entry; entry.Version > after {
		f.after(f.store.latency, func() { f.step(id, n, syncer.StoreChanged{Entry: entry}) })
	}
}

func (f *fleet) notify() {
	entry := f.store.entry
	for _, id := range f.vms {
		if n := f.nodes[id]; f.store.watches[id] && !f.store.watchDead {
			f.after(f.store.latency, func() { f.step(id, n, syncer.StoreChanged{Entry: entry}) })
		}
	}
}

// setDown breaks off all watches, or brings the store back.
func (f *fleet) setDown(down bool) {
	f.store.down = down
	if !down {
		return
	}
	for _, id := range f.vms {
		if n := f.nodes[id]; f.store.watches[id] {
			f.after(0, func() { f.step(id, n, syncer.WatchBroken{}) })
		}
	}
	f.store.watches = map[identifier.VM]bool{}
}

// submit offers a change to a VM.
func (f *fleet) submit(id identifier.VM, token syncer.Token, c configurer.Change) {
	f.step(id, f.nodes[id], syncer.Submit{Token: token, Change: c, Wait: true})
}

// lowest is the lowest revision on a running VM.
func (f *fleet) lowest() identifier.Revision {
	low := identifier.Revision(1 << 62)
	for _, id := range f.vms {
		if n := f.nodes[id]; !n.down {
			low = min(low, n.revision)
		}
	}
	return low
}

// untilAll runs until a revision is in force everywhere.
func (f *fleet) untilAll(r identifier.Revision, limit time.Duration) time.Duration {
	begin := f.now
	for f.lowest() < r && f.now.Sub(begin) < limit {
		f.run(5 * time.Millisecond)
	}
	return f.now.Sub(begin)
}

// untilResult runs until a change is answered.
func (f *fleet) untilResult(id identifier.VM, token syncer.Token) {
	for range 1000 {
		if _, ok := f.nodes[id].results[token]; ok {
			return
		}
		f.run(time.Millisecond)
	}
}
