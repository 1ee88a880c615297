package rationer_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/figtrack/figtrack/clocker"
	"github.com/figtrack/figtrack/coordinator"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/rationer"
)

// world runs the cores of a fleet in virtual time, with callers, a store and a network that
// fail. It does the work of the shells.
type world struct {
	rng    *rand.Rand
	now    time.Duration
	queue  events
	serial int
	nodes  []*node
	// isCut tells whether a datagram is lost by a partition; loss, copies and delays are
	// the probabilities that one is lost, duplicated, or under way for up to 400 ms.
	isCut                func(from, to int) bool
	loss, copies, delays float64
	// isHealed ends all partitions.
	isHealed bool
	// limits holds the limits by the time at which they were written.
	limits []limitAt
	// runs holds the admitted requests in order of time.
	runs              []run
	offered, admitted float64
	datagrams         int
	returned          float64
}

type limitAt struct {
	at    time.Duration
	limit rationer.Limit
}

type run struct {
	at   time.Duration
	cost float64
}

// node is one VM. Its name is its place in nodes.
type node struct {
	w                     *world
	place                 int
	incarnation           identifier.Incarnation
	isAlive               bool
	bornAt, monoLag       time.Duration
	frozenUntil           time.Duration
	isMonoStill           bool
	waiting               []func()
	core                  *coordinator.Core
	spender               *rationer.Spender
	allotter              *rationer.Allotter
	view                  map[int]identifier.Incarnation
	departed              map[int]time.Duration
	report                message
	sentAt                clocker.Moment
	answers               map[int]message
	wakeSerial, ticket    int
	isViewChanged, isSeen bool
}

// message is a report or a digest.
type message struct {
	from, to              identifier.VM
	incarnation, toStart  identifier.Incarnation
	sequence, accepted    identifier.Sequence
	share, part           float64
	requests              []rationer.Request
	grants                []rationer.Grant
	isDigest              bool
	reporting, membership int
}

const (
	lease     = 15 * time.Second
	rosterLag = 3 * time.Second
	workspace = "w"
)

type event struct {
	at     time.Duration
	serial int
	do     func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].serial < q[j].serial
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newWorld(seed uint64, n int, limit rationer.Limit) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 7)), isCut: func(int, int) bool { return false }, limits: []limitAt{{0, limit}}}
	for i := range n {
		w.nodes = append(w.nodes, &node{w: w, place: i})
	}
	return w
}

func (w *world) at(t time.Duration, do func()) {
	w.serial++
	heap.Push(&w.queue, event{max(t, w.now), w.serial, do})
}

func (w *world) after(d time.Duration, do func()) { w.at(w.now+d, do) }

func (w *world) runUntil(end time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

func name(place int) identifier.VM { return identifier.VM(fmt.Sprint("vm-", place)) }

func placeOf(vm identifier.VM) (place int) {
	_, _ = fmt.Sscanf(string(vm), "vm-%d", &place)
	return place
}

// start starts a VM. isKnown is true if all VMs know it already.
func (n *node) start(isKnown bool) {
	w := n.w
	n.incarnation++
	n.isAlive, n.bornAt, n.monoLag, n.frozenUntil, n.waiting = true, w.now, 0, 0, nil
	startupPeriod := coordinator.StartupPeriod
	if isKnown {
		startupPeriod = 0
	}
	self := coordinator.Member{VM: name(n.place), Incarnation: n.incarnation, IsReachable: true}
	n.core = coordinator.New(self, 0, startupPeriod)
	n.spender, n.allotter = rationer.NewSpender(), rationer.NewAllotter(w.rng.Float64())
	n.answers, n.view, n.departed = map[int]message{}, map[int]identifier.Incarnation{}, map[int]time.Duration{}
	n.takeLimit(w.limits[len(w.limits)-1].limit)
	start := n.incarnation
	for _, other := range w.nodes {
		if other.isSeen {
			n.view[other.place] = other.incarnation
		}
	}
	n.view[n.place] = start
	n.isSeen = true
	for _, other := range w.nodes {
		lag := time.Duration(w.rng.Int64N(int64(rosterLag)))
		if isKnown {
			lag = 0
		}
		w.after(lag, func() { other.see(n.place, start) })
	}
	n.setRoster()
	n.tick(start)
}

func (n *node) see(place int, start identifier.Incarnation) {
	if n.isAlive && n.w.nodes[place].incarnation == start {
		n.view[place] = start
		delete(n.departed, place)
		n.isViewChanged = true
	}
}

// tick does what the fleet's Wake does.
func (n *node) tick(start identifier.Incarnation) {
	if !n.isAlive || n.incarnation != start {
		return
	}
	n.do(func() {
		if n.isViewChanged || n.w.rng.IntN(4) == 0 {
			n.setRoster()
		}
		n.spend(n.spender.Step(n.moment(), rationer.Wake{}))
	})
	n.w.after(250*time.Millisecond, func() { n.tick(start) })
}

func (n *node) setRoster() {
	n.isViewChanged = false
	var members []coordinator.Member
	count := 0
	for place, start := range n.view {
		members = append(members, coordinator.Member{VM: name(place), Incarnation: start, IsReachable: true})
	}
	for _, at := range n.departed {
		if n.w.now-at <= 20*time.Second {
			count++
		}
	}
	count += len(members)
	n.step(coordinator.RosterChanged{Members: members, Count: count})
	n.spender.Step(n.moment(), rationer.MembersChanged{Count: count, Place: n.place})
}

func (n *node) takeLimit(l rationer.Limit) {
	limits := map[identifier.Workspace]rationer.Limit{workspace: l}
	if l.Rate == 0 {
		limits = nil
	}
	n.spend(n.spender.Step(n.moment(), rationer.LimitsChanged{Limits: limits}))
	n.allotter.Step(n.moment(), rationer.LimitsChanged{Limits: limits})
}

// kill ends a VM. Its entry goes when its lease expires, unless it started again.
func (n *node) kill() {
	start := n.incarnation
	n.isAlive = false
	n.w.after(lease, func() { n.leave(start) })
}

// leave removes the entry of a start from the store.
func (n *node) leave(start identifier.Incarnation) {
	if n.incarnation != start {
		return
	}
	n.isSeen = false
	for _, other := range n.w.nodes {
		n.w.after(time.Duration(n.w.rng.Int64N(int64(rosterLag))), func() {
			if other.view[n.place] == start {
				delete(other.view, n.place)
				other.departed[n.place] = n.w.now
				other.isViewChanged = true
			}
		})
	}
}

// freeze stops a VM for a time; what it gets until then it handles afterwards.
func (n *node) freeze(d time.Duration, isMonoStill bool) {
	if !n.isAlive || n.w.now < n.frozenUntil {
		return
	}
	n.frozenUntil = n.w.now + d
	start := n.incarnation
	n.w.after(d, func() {
		if !n.isAlive || n.incarnation != start {
			return
		}
		if isMonoStill {
			n.monoLag += d
		}
		waiting := n.waiting
		n.waiting = nil
		for _, do := range waiting {
			do()
		}
	})
}

func (n *node) moment() clocker.Moment {
	return clocker.Moment{Mono: n.w.now - n.bornAt - n.monoLag, Wall: time.Unix(1e9, 0).Add(n.w.now)}
}

// do runs a duty of the VM, when it is not frozen.
func (n *node) do(duty func()) {
	if !n.isAlive {
		return
	}
	if n.w.now < n.frozenUntil {
		n.waiting = append(n.waiting, duty)
		return
	}
	duty()
	n.wake()
}

func (n *node) wake() {
	n.step(coordinator.Wake{IsActive: n.spender.HasLimits()})
	after := max(time.Millisecond, n.core.NextWake(n.moment()))
	if spending, ok := n.spender.NextWake(n.moment()); ok {
		after = min(after, max(time.Millisecond, spending))
	}
	n.wakeSerial++
	serial, start := n.wakeSerial, n.incarnation
	n.w.after(min(after, 100*time.Millisecond), func() {
		if serial == n.wakeSerial && start == n.incarnation {
			n.do(func() { n.spend(n.spender.Step(n.moment(), rationer.Wake{})) })
		}
	})
}

func (n *node) step(e coordinator.Event) (received []coordinator.Outcome) {
	for _, o := range n.core.Step(n.moment(), e) {
		switch o := o.(type) {
		case coordinator.SendReport:
			n.sentAt = n.moment()
			to := rationer.Source{VM: o.To.VM, Incarnation: o.To.Incarnation}
			n.report = message{from: name(n.place), incarnation: n.incarnation, to: o.To.VM, toStart: o.To.Incarnation, sequence: o.Sequence, accepted: o.Accepted, share: o.Share, requests: n.spender.Report(n.moment(), to)}
			if placeOf(o.To.VM) == n.place {
				if digest, ok := n.collect(n.report); ok {
					n.apply(digest)
				}
				continue
			}
			n.send(n.report)
		case coordinator.ResendReport:
			n.send(n.report)
		case coordinator.ResendDigest:
			if m := n.answers[placeOf(o.To.VM)]; m.sequence == o.Sequence {
				n.send(m)
			}
		case coordinator.Lose:
			n.spend(n.spender.Step(n.moment(), rationer.Isolated{}))
		case coordinator.Collect, coordinator.Apply:
			received = append(received, o)
		}
	}
	return received
}

func (n *node) send(m message) {
	w, to := n.w, n.w.nodes[placeOf(m.to)]
	w.datagrams++
	copies := 1
	if w.rng.Float64() < w.copies {
		copies = 2
	}
	for range copies {
		if w.rng.Float64() < w.loss || !w.isHealed && w.isCut(n.place, to.place) {
			continue
		}
		delay := 500*time.Microsecond + time.Duration(w.rng.Int64N(int64(4*time.Millisecond)))
		if w.rng.Float64() < w.delays {
			delay = time.Duration(w.rng.Int64N(int64(400 * time.Millisecond)))
		}
		w.after(delay, func() {
			to.do(func() {
				switch {
				case m.toStart > to.incarnation:
				case m.isDigest:
					to.apply(m)
				default:
					if digest, ok := to.collect(m); ok {
						to.answers[placeOf(m.from)] = digest
						to.send(digest)
					}
				}
			})
		})
	}
}

func (n *node) collect(m message) (digest message, ok bool) {
	for _, o := range n.step(coordinator.ReportReceived{VM: m.from, Incarnation: m.incarnation, Sequence: m.sequence, Accepted: m.accepted, Share: m.share}) {
		if _, is := o.(coordinator.Collect); !is {
			continue
		}
		_, counting := n.core.Reporting(n.moment())
		part := min(1, counting/float64(n.core.Members(n.moment())))
		grants := n.allotter.Step(n.moment(), rationer.Asked{From: rationer.Source{VM: m.from, Incarnation: m.incarnation}, Sequence: m.sequence, Accepted: m.accepted, Part: part, Requests: m.requests})
		return message{from: name(n.place), incarnation: n.incarnation, to: m.from, toStart: m.incarnation, sequence: m.sequence, part: part, grants: grants, isDigest: true}, true
	}
	return message{}, false
}

func (n *node) apply(m message) {
	if len(n.step(coordinator.DigestReceived{VM: m.from, Incarnation: m.incarnation, Sequence: m.sequence})) > 0 {
		n.spend(n.spender.Step(n.moment(), rationer.Answered{From: rationer.Source{VM: m.from, Incarnation: m.incarnation}, SentAt: n.sentAt, Part: m.part, Grants: m.grants}))
	}
}

func (n *node) spend(outcomes []rationer.Outcome) {
	for _, o := range outcomes {
		switch o := o.(type) {
		case rationer.Admit:
			cost := float64(o.Ticket % 10000)
			n.w.runs = append(n.w.runs, run{n.w.now, cost})
			n.w.admitted += cost
			if n.w.returned > 0 && n.w.rng.Float64() < n.w.returned {
				n.spender.Step(n.moment(), rationer.Unused{Workspace: workspace, Cost: cost})
				n.w.runs = n.w.runs[:len(n.w.runs)-1]
			}
		case rationer.Ask:
			start := n.incarnation
			n.w.after(o.After, func() {
				if n.incarnation == start {
					n.do(func() { n.step(coordinator.Requested{}) })
				}
			})
		}
	}
}

// demand is what callers send: rate tokens a second to some of the VMs.
type demand struct {
	rate        float64
	least, most int
	places      []int
	from, until time.Duration
}

func (w *world) offer(d demand) {
	mean := float64(d.least+d.most) / 2
	var next func()
	next = func() {
		if w.now >= d.until {
			return
		}
		cost := float64(d.least + w.rng.IntN(d.most-d.least+1))
		n := w.nodes[d.places[w.rng.IntN(len(d.places))]]
		if n.isAlive {
			w.offered += cost
			n.do(func() {
				n.ticket++
				n.spend(n.spender.Step(n.moment(), rationer.Arrived{Ticket: rationer.Ticket(n.ticket*10000 + int(cost)), Workspace: workspace, Cost: cost}))
			})
		}
		w.after(time.Duration(w.rng.ExpFloat64()*mean/d.rate*float64(time.Second)), next)
	}
	w.at(d.from, next)
}

func (w *world) setLimit(l rationer.Limit) {
	w.limits = append(w.limits, limitAt{w.now, l})
	for _, n := range w.nodes {
		w.after(time.Duration(w.rng.Int64N(int64(rosterLag))), func() {
			n.do(func() { n.takeLimit(w.limits[len(w.limits)-1].limit) })
		})
	}
}

const span = 8 * time.Second

// worst returns the greatest use of the bound of any span, and when it began.
func (w *world) worst() (ratio, sum float64, at time.Duration) {
	used, first := 0.0, 0
	for _, r := range w.runs {
		used += r.cost
		for w.runs[first].at <= r.at-span {
			used -= w.runs[first].cost
			first++
		}
		bound := w.bound(r.at - span)
		if used/bound > ratio {
			ratio, sum, at = used/bound, used, r.at-span
		}
	}
	return ratio, sum, at
}

// bound returns what may run in a span. A limit that was lowered binds once it is in force
// everywhere.
func (w *world) bound(from time.Duration) (most float64) {
	for i, l := range w.limits {
		isOver := i+1 < len(w.limits) && w.limits[i+1].at+rosterLag <= from
		if l.at < from+span && !isOver {
			if l.limit.Rate == 0 {
				return 1e18
			}
			most = max(most, (l.limit.Rate*span.Seconds()+l.limit.Burst)*1.1+140_000)
		}
	}
	return most
}

func all(n int) (places []int) {
	for i := range n {
		places = append(places, i)
	}
	return places
}

// startAll starts the first n VMs, which know each other.
func (w *world) startAll(n int) {
	for _, v := range w.nodes[:n] {
		v.start(true)
	}
	w.runUntil(0)
}
