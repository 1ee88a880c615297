package versioner_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/keeper"
	"github.com/figtrack/figtrack/versioner"
)

const (
	poolID = identifier.Pool("east")
	// lag is the time until all VMs in touch know of a change.
	lag = time.Second
	// wakeInterval is that of the router.
	wakeInterval = 100 * time.Millisecond
	// listWait, listPollInterval and holdPollInterval are those of the router.
	listWait         = lag
	listPollInterval = 50 * time.Millisecond
	holdPollInterval = 10 * time.Millisecond
	// maxViewAge is how long a VM relies on its view after the store was lost, as in router.
	// maxPoll is how long a call to the store may have been waiting by then. While buckets
	// move, it relies on it no longer than maxUnreached.
	maxViewAge   = time.Second
	maxPoll      = 2500 * time.Millisecond
	maxUnreached = time.Second
	// eraGrace is how long views aren't certain after a copy, as in tracker.
	eraGrace = 5 * time.Second
	longest  = 10 * time.Second
	// rosterRetention is the lease of a VM's entry and how long one without still counts,
	// as in enroller and router.
	rosterRetention = 35 * time.Second
	// maxJoined is how many streams may hold events of two versions.
	maxJoined = 2
)

var settings = versioner.Settings{Lag: lag}

// newCore returns a core that knows an empty roster: changes are shared at once.
func newCore() *versioner.Core {
	c := versioner.New(settings)
	c.Step(time.Time{}, versioner.RosterChanged{})
	return c
}

// beginsAt returns the version at which a new stream begins.
func beginsAt(c *versioner.Core, now time.Time, id identifier.Request) identifier.Software {
	software, _ := c.Begin(now, poolID, id)
	return software
}

type task struct {
	at  time.Time
	seq int
	do  func()
}

type tasks []task

func (q tasks) Len() int { return len(q) }
func (q tasks) Less(i, j int) bool {
	return cmp.Or(q[i].at.Compare(q[j].at), cmp.Compare(q[i].seq, q[j].seq)) < 0
}
func (q tasks) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *tasks) Push(x any)   { *q = append(*q, x.(task)) }
func (q *tasks) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// runner is a runner of one version. It serves unless it is down.
type runner struct {
	software identifier.Software
	slots    int
	isDown   bool
	isGone   bool
}

// vm is one VM. Its core, nil while it is killed, is never used again after a restart.
type vm struct {
	index    int
	core     *versioner.Core
	life     int
	rank     int
	capacity map[identifier.Software]int
	// presentAt is when the VM was last in touch, roster what it last knew of the others.
	presentAt time.Time
	roster    []identifier.VM
	// This VM alone can't reach the store from cutAt to cutUntil.
	cutAt, cutUntil time.Time
	// noticeAfter is the time from the begin of the cut until the VM notices it.
	noticeAfter time.Duration
	// inbox holds the changes that this VM hasn't read yet, in order.
	inbox          []delivery
	uncertainUntil time.Time
	// paidUntil is when no write counts against the burst any more.
	paidUntil time.Time
	// begun holds the streams that run at this VM.
	begun map[*stream]bool
}

// delivery is a change of the store, read at the given time or later.
type delivery struct {
	at   time.Time
	read func()
}

// stream is a stream and all its tries.
type stream struct {
	id       identifier.Request
	software identifier.Software
	history  []string
	isJoined bool
	// hasEvents is true once its caller has got an event.
	hasEvents bool
}

// options are those of a world.
type options struct {
	vms  int
	seed uint64
	// noRecord keeps writes of the record, and the roster, from all VMs but the writer,
	// noLists the streams that VMs list.
	noRecord, noLists bool
	streamsPerSecond  int
	minRun, maxRun    time.Duration
	// broken is the share of streams that break at living VMs.
	broken               float64
	maxDelay             time.Duration
	maxWriteDelay        time.Duration
	minTakeUp, maxTakeUp time.Duration
	// writeBurst and writeInterval bound the writes of a VM, as keeper's shares do; zero for
	// no bound.
	writeBurst    int
	writeInterval time.Duration
	// isNew leaves out the time in which the VMs write the first record.
	isNew bool
}

func defaults(seed uint64) options {
	return options{
		vms: 6, seed: seed, streamsPerSecond: 30, minRun: 100 * time.Millisecond, maxRun: longest,
		broken: 0.4, maxDelay: lag, maxWriteDelay: 100 * time.Millisecond,
		minTakeUp: 50 * time.Millisecond, maxTakeUp: 1500 * time.Millisecond,
	}
}

// world simulates VMs, their store, runners and callers in virtual time.
type world struct {
	options
	now   time.Time
	start time.Time
	rng   *rand.Rand
	tasks tasks
	seq   int

	vms     []*vm
	runners []*runner

	// The store. record is nil while it is missing.
	record            versioner.Record
	recordVersion     keeper.Version
	recordEra         keeper.Era
	version           keeper.Version
	era               keeper.Era
	lists             map[int]versioner.StreamsRead
	downAt, downUntil time.Time
	copied            storeCopy

	// isEnding is true once no streams begin or break any more.
	isEnding bool
	nextID   int
	joined   []*stream
	log      []string

	begun, refusedNew         int
	takenUp, servable, wentOn int
	unknown, gone             int
	// refusedInTouch counts new streams that VMs in touch refused, longestHold is the longest
	// hold of one that ended.
	refusedInTouch                 int
	longestHold                    time.Duration
	recordWrites, listWrites       int
	recordConflicts, listedStreams int
	// changes counts changes of the capacity and copies, moves the writes of the record
	// that took effect.
	changes, moves, kills int
}

type storeCopy struct {
	record        versioner.Record
	recordVersion keeper.Version
	recordEra     keeper.Era
	version       keeper.Version
	lists         map[int]versioner.StreamsRead
}

func newWorld(o options) *world {
	start := time.Unix(1_000_000, 0)
	w := &world{
		options: o, now: start, start: start, rng: rand.New(rand.NewPCG(o.seed, 37)),
		era: 1, version: 10, lists: map[int]versioner.StreamsRead{},
	}
	for range 8 {
		w.runners = append(w.runners, &runner{software: "v1", slots: 8})
	}
	for i := range o.vms {
		v := &vm{index: i, begun: map[*stream]bool{}}
		w.vms = append(w.vms, v)
		w.boot(v)
	}
	w.after(0, w.newStreams)
	if !o.isNew {
		w.run(12 * time.Second)
	}
	return w
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.tasks, task{w.now.Add(max(d, 0)), w.seq, do})
}

func (w *world) run(d time.Duration) {
	until := w.now.Add(d)
	for len(w.tasks) > 0 && !w.tasks[0].at.After(until) {
		t := heap.Pop(&w.tasks).(task)
		w.now = t.at
		t.do()
	}
	w.now = until
}

func (w *world) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.rng.Int64N(int64(most-least)+1))
}

func (w *world) note(format string, args ...any) {
	w.log = append(w.log, fmt.Sprintf("%7.3f ", w.now.Sub(w.start).Seconds())+fmt.Sprintf(format, args...))
}

func (w *world) add(s *stream, format string, args ...any) {
	s.history = append(s.history, fmt.Sprintf("%.3f ", w.now.Sub(w.start).Seconds())+fmt.Sprintf(format, args...))
}

func (w *world) isUp(v *vm) bool      { return v.core != nil }
func (w *world) isInTouch(v *vm) bool { return !w.now.Before(w.downUntil) && !w.now.Before(v.cutUntil) }

// isCertain is what a VM thinks of its view: it notices late that the store is lost.
func (w *world) isCertain(v *vm) bool {
	cutFor := w.now.Sub(v.cutAt)
	if w.now.Before(v.cutUntil) && cutFor > maxUnreached && v.core.IsMoving(w.now) {
		return false
	}
	isLost := w.now.Before(w.downUntil) && w.now.Sub(w.downAt) > maxViewAge || w.now.Before(v.cutUntil) && cutFor > v.noticeAfter
	return !isLost && !w.now.Before(v.uncertainUntil)
}

// capacity is what the runners' entries say. It has entries of runners that are down.
func (w *world) capacity() map[identifier.Software]int {
	all := map[identifier.Software]int{}
	for _, r := range w.runners {
		if !r.isGone {
			all[r.software] += r.slots
		}
	}
	return all
}

// serving returns the number of runners of a version that take requests.
func (w *world) serving(software identifier.Software) int {
	n := 0
	for _, r := range w.runners {
		if r.software == software && !r.isDown && !r.isGone {
			n++
		}
	}
	return n
}

// deliver has a VM read a change after its delay, in order and once it is in touch.
func (w *world) deliver(v *vm, read func()) {
	d := w.between(w.maxDelay/10, w.maxDelay)
	v.inbox = append(v.inbox, delivery{w.now.Add(d), read})
	w.after(d, func() { w.readInbox(v) })
}

func (w *world) readInbox(v *vm) {
	if !w.isInTouch(v) {
		until := w.downUntil
		if v.cutUntil.After(until) {
			until = v.cutUntil
		}
		w.after(until.Sub(w.now)+w.maxDelay/10, func() { w.readInbox(v) })
		return
	}
	for len(v.inbox) > 0 && !v.inbox[0].at.After(w.now) {
		read := v.inbox[0].read
		v.inbox = v.inbox[1:]
		read()
	}
}

func (w *world) deliverAll(read func(v *vm)) {
	for _, v := range w.vms {
		if w.isUp(v) {
			w.deliver(v, func() { read(v) })
		}
	}
}

func (w *world) step(v *vm, e versioner.Event) {
	for _, o := range v.core.Step(w.now, e) {
		switch o := o.(type) {
		case versioner.Write:
			w.writeRecord(v, o)
		case versioner.Publish:
			w.writeList(v, o)
		case versioner.Moved:
			if v.index == 0 || w.vms[0].core == nil {
				w.note("VM %d: buckets %v", v.index, o.Buckets)
			}
		}
	}
}

func (w *world) readRecord() versioner.RecordRead {
	return versioner.RecordRead{Record: cloneRecord(w.record), Version: w.recordVersion, Era: w.era, WrittenIn: w.recordEra, IsMissing: w.record == nil}
}

func (w *world) writeRecord(v *vm, o versioner.Write) {
	life, expected, record := v.life, o.Expected, cloneRecord(o.Record)
	reply := func(e versioner.Event) {
		w.after(w.between(time.Millisecond, w.maxWriteDelay), func() {
			if v.life == life && v.core != nil {
				w.step(v, e)
				if written, ok := e.(versioner.Written); ok {
					w.step(v, versioner.RecordRead{Record: cloneRecord(record), Version: written.Version, Era: written.Era, WrittenIn: o.Era})
				}
			}
		})
	}
	w.after(w.wait(v)+w.between(time.Millisecond, w.maxWriteDelay), func() {
		w.recordWrites++
		switch {
		case !w.isInTouch(v):
			w.after(500*time.Millisecond, func() { reply(versioner.WriteFailed{}) })
		case w.noRecord && w.record != nil:
			w.version++
			reply(versioner.Written{Version: w.version, Era: w.era})
		case expected != w.recordVersion:
			w.recordConflicts++
			reply(versioner.Conflicted{RecordRead: w.readRecord()})
		default:
			w.version++
			w.record, w.recordVersion, w.recordEra = record, w.version, o.Era
			w.moves++
			w.note("VM %d writes record %d: %v", v.index, w.version, bucketsOf(record))
			read := w.readRecord()
			w.deliverAll(func(to *vm) {
				read := read
				read.Record = cloneRecord(read.Record)
				w.step(to, read)
			})
			if w.rng.Float64() < 0.1 {
				reply(versioner.WriteFailed{})
			} else {
				reply(versioner.Written{Version: read.Version, Era: read.Era})
			}
		}
	})
}

func (w *world) writeList(v *vm, o versioner.Publish) {
	life := v.life
	w.after(w.wait(v)+w.between(time.Millisecond, w.maxWriteDelay), func() {
		w.listWrites++
		for _, hashes := range o.Streams {
			w.listedStreams += len(hashes)
		}
		failed := !w.isInTouch(v)
		if !failed {
			w.version++
			read := versioner.StreamsRead{VM: v.name(), Streams: o.Streams, Seen: o.Seen}
			if w.noLists {
				read.Streams = nil
			}
			w.lists[v.index] = read
			// Two writes in quick succession are read as the last one.
			w.deliverAll(func(to *vm) { w.step(to, w.listOf(v.index, to)) })
		}
		w.after(w.between(time.Millisecond, w.maxWriteDelay), func() {
			if v.life == life && v.core != nil {
				w.step(v, versioner.Published{Failed: failed})
			}
		})
	})
}

// listOf returns what a VM reads of the streams that one has listed.
func (w *world) listOf(index int, to *vm) versioner.StreamsRead {
	read := w.lists[index]
	read.IsOwn = index == to.index
	return read
}

// wait returns how long a write of a VM has to wait for its share.
func (w *world) wait(v *vm) time.Duration {
	if w.writeBurst == 0 {
		return 0
	}
	if v.paidUntil.Before(w.now) {
		v.paidUntil = w.now
	}
	v.paidUntil = v.paidUntil.Add(w.writeInterval)
	return max(0, v.paidUntil.Sub(w.now)-time.Duration(w.writeBurst)*w.writeInterval)
}

// boot starts a VM with an empty core. It serves once it has read the store.
func (w *world) boot(v *vm) {
	if !w.isInTouch(v) {
		w.after(200*time.Millisecond, func() { w.boot(v) })
		return
	}
	v.life++
	v.core, v.inbox, v.rank, v.roster = versioner.New(settings), nil, -1, nil
	v.capacity = w.capacity()
	v.uncertainUntil = time.Time{}
	for _, i := range slices.Sorted(maps.Keys(w.lists)) {
		w.step(v, w.listOf(i, v))
	}
	w.step(v, w.readRecord())
	life := v.life
	var wake func()
	wake = func() {
		if v.life == life && v.core != nil {
			w.wake(v)
			w.after(wakeInterval, wake)
		}
	}
	w.wake(v)
	w.after(w.between(0, wakeInterval), wake)
}

func (w *world) wake(v *vm) {
	rank := 0
	for _, other := range w.vms[:v.index] {
		if w.isUp(other) {
			rank++
		}
	}
	if w.isInTouch(v) {
		v.presentAt = w.now
		if roster := w.roster(); rank != v.rank || !slices.Equal(roster, v.roster) {
			v.rank, v.roster = rank, roster
			w.step(v, versioner.RosterChanged{Rank: rank, VMs: roster})
		}
	}
	w.step(v, versioner.PoolChanged{Pool: poolID, Capacity: maps.Clone(v.capacity), Longest: longest})
	w.step(v, versioner.Wake{IsCertain: w.isCertain(v)})
}

// roster returns the VMs that were in touch lately.
func (w *world) roster() []identifier.VM {
	var all []identifier.VM
	for _, v := range w.vms {
		if !w.noRecord && w.now.Sub(v.presentAt) <= rosterRetention {
			all = append(all, v.name())
		}
	}
	return all
}

func (v *vm) name() identifier.VM { return identifier.VM(fmt.Sprint("vm-", v.index)) }

func (w *world) kill(v *vm, down time.Duration) {
	if v.core == nil {
		return
	}
	w.note("VM %d is killed", v.index)
	w.kills++
	v.core, v.inbox = nil, nil
	v.life++
	broken := slices.SortedFunc(maps.Keys(v.begun), func(a, b *stream) int { return cmp.Compare(a.id, b.id) })
	clear(v.begun)
	for _, s := range broken {
		w.add(s, "VM %d is killed", v.index)
		w.comeBack(s, v)
	}
	w.after(down, func() { w.boot(v) })
}

// killShare kills a share of the VMs at one moment.
func (w *world) killShare(share float64, down time.Duration) {
	for _, i := range w.rng.Perm(len(w.vms))[:int(share*float64(len(w.vms))+0.5)] {
		w.kill(w.vms[i], down)
	}
}

// newCapacity tells the VMs of the runners.
func (w *world) newCapacity() {
	w.changes++
	capacity := w.capacity()
	w.note("capacity %v", capacity)
	w.deliverAll(func(v *vm) {
		v.capacity = capacity
		w.step(v, versioner.PoolChanged{Pool: poolID, Capacity: maps.Clone(capacity), Longest: longest})
	})
}

// release replaces a share of the runners by those of a version, one every gap.
func (w *world) release(software identifier.Software, share float64, slots int, gap time.Duration) {
	var old []*runner
	for _, r := range w.runners {
		if !r.isGone && r.software != software {
			old = append(old, r)
		}
	}
	n := int(share * float64(len(old)))
	for i, r := range old[:n] {
		w.after(time.Duration(i)*gap, func() {
			r.isGone = true
			w.runners = append(w.runners, &runner{software: software, slots: slots})
			w.newCapacity()
		})
	}
}

// crash has all runners of a version crash for a time. Others read that they are gone.
func (w *world) crash(software identifier.Software, down time.Duration) {
	var all []*runner
	for _, r := range w.runners {
		if r.software == software && !r.isGone {
			r.isGone = true
			all = append(all, r)
		}
	}
	if len(all) == 0 {
		return
	}
	w.newCapacity()
	w.after(down, func() {
		for _, r := range all {
			r.isGone = false
		}
		w.newCapacity()
	})
}

func (w *world) outage(d time.Duration) {
	w.note("store down for %v", d)
	w.downAt, w.downUntil = w.now, w.now.Add(d)
}

func (w *world) cut(v *vm, d time.Duration) {
	w.note("VM %d out of touch for %v", v.index, d)
	v.cutAt, v.cutUntil, v.noticeAfter = w.now, w.now.Add(d), w.between(maxViewAge, maxViewAge+maxPoll)
}

// copyStore keeps what the store has; restore brings it back in a new era.
func (w *world) copyStore() {
	w.copied = storeCopy{cloneRecord(w.record), w.recordVersion, w.recordEra, w.version, maps.Clone(w.lists)}
}

func (w *world) restore() {
	if w.copied.version == 0 {
		return
	}
	w.changes++
	w.era++
	w.record, w.recordVersion, w.recordEra, w.version, w.lists = cloneRecord(w.copied.record), w.copied.recordVersion, w.copied.recordEra, w.copied.version, maps.Clone(w.copied.lists)
	w.note("the store comes back from a copy, era %d, record %d: %v", w.era, w.recordVersion, bucketsOf(w.record))
	era := w.era
	w.deliverAll(func(v *vm) {
		if w.era != era {
			return
		}
		v.uncertainUntil = w.now.Add(eraGrace)
		for _, i := range slices.Sorted(maps.Keys(w.lists)) {
			w.step(v, w.listOf(i, v))
		}
		w.step(v, w.readRecord())
	})
}

func (w *world) newStreams() {
	if w.isEnding {
		return
	}
	if v := w.anyVM(nil); v != nil {
		w.begin(v)
	}
	w.after(w.between(0, 2*time.Second/time.Duration(w.streamsPerSecond)), w.newStreams)
}

func (w *world) anyVM(without *vm) *vm {
	var up []*vm
	for _, v := range w.vms {
		if w.isUp(v) && v != without {
			up = append(up, v)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[w.rng.IntN(len(up))]
}

// choose returns a version that serves, as the VM sees it.
func (w *world) choose(v *vm) identifier.Software {
	var all []identifier.Software
	for _, software := range slices.Sorted(maps.Keys(v.capacity)) {
		if v.capacity[software] > 0 && w.serving(software) > 0 {
			for range v.capacity[software] {
				all = append(all, software)
			}
		}
	}
	if len(all) == 0 {
		return ""
	}
	return all[w.rng.IntN(len(all))]
}

func (w *world) begin(v *vm) {
	w.nextID++
	s := &stream{id: identifier.Request(fmt.Sprintf("stream-%d", w.nextID))}
	software, ok := v.core.Begin(w.now, poolID, s.id)
	if !ok {
		w.refusedNew++
		if w.isInTouch(v) {
			w.refusedInTouch++
		}
		return
	}
	if software == "" {
		software = w.choose(v)
	}
	if software == "" || v.capacity[software] == 0 || w.serving(software) == 0 {
		w.refusedNew++
		return
	}
	w.begun++
	s.software = software
	w.add(s, "%s begins at VM %d, bucket %d: %s", s.id, v.index, bucketOf(s.id), software)
	w.goOn(v, s, software)
	w.awaitListed(v, s, v.life, w.now)
}

// awaitListed passes the first event of a new stream on once it isn't held any more.
func (w *world) awaitListed(v *vm, s *stream, life int, since time.Time) {
	switch {
	case v.life != life || v.core == nil:
	case v.core.IsHeld(w.now, s.id):
		w.after(holdPollInterval, func() { w.awaitListed(v, s, life, since) })
	default:
		s.hasEvents = true
		w.longestHold = max(w.longestHold, w.now.Sub(since))
	}
}

// goOn has a stream run at a VM until it ends or breaks.
func (w *world) goOn(v *vm, s *stream, software identifier.Software) {
	life := v.life
	v.begun[s] = true
	w.step(v, versioner.Begun{Pool: poolID, Stream: s.id, At: software})
	isBroken := w.rng.Float64() < w.broken
	w.after(w.between(w.minRun, w.maxRun), func() {
		if v.life != life || !v.begun[s] {
			return
		}
		delete(v.begun, s)
		if isBroken {
			w.add(s, "breaks at VM %d", v.index)
			w.comeBack(s, v)
		}
	})
}

// comeBack has a caller take its stream up at another VM.
func (w *world) comeBack(s *stream, from *vm) {
	if w.isEnding || !s.hasEvents {
		return
	}
	w.after(w.between(w.minTakeUp, w.maxTakeUp), func() {
		if v := w.anyVM(from); v != nil {
			w.takeUp(v, s)
		}
	})
}

func (w *world) takeUp(v *vm, s *stream) {
	w.takenUp++
	isServable := w.serving(s.software) >= 2
	if isServable {
		w.servable++
	}
	life, until := v.life, w.now.Add(listWait)
	origin, presumed := v.core.TakeUp(w.now, poolID, s.id), v.core.Presume(w.now, poolID, s.id)
	var poll func()
	poll = func() {
		if v.life != life || v.core == nil {
			return
		}
		if listed, ok := v.core.Listed(w.now, s.id); ok {
			origin = listed
		}
		if !origin.IsKnown && w.now.Before(until) {
			w.after(listPollInterval, poll)
			return
		}
		if !origin.IsKnown && v.core.IsInTouch(w.now) {
			origin = presumed
		}
		w.decide(v, s, origin, isServable)
	}
	if origin.IsKnown {
		w.decide(v, s, origin, isServable)
		return
	}
	w.after(listPollInterval, poll)
}

func (w *world) decide(v *vm, s *stream, origin versioner.Origin, isServable bool) {
	if !origin.IsKnown {
		w.unknown++
		w.add(s, "refused at VM %d", v.index)
		return
	}
	software := origin.Software
	if software == "" {
		software = w.choose(v)
	}
	if software == "" || v.capacity[software] == 0 || w.serving(software) == 0 {
		w.gone++
		w.add(s, "no runner of %s at VM %d", software, v.index)
		return
	}
	if isServable {
		w.wentOn++
	}
	w.add(s, "goes on at VM %d: %s", v.index, software)
	if software != s.software && !s.isJoined {
		s.isJoined = true
		w.joined = append(w.joined, s)
	}
	w.goOn(v, s, software)
}

func (w *world) report() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d begun, %d new refused (%d in touch), held for up to %v, %d taken up, %d servable, %d went on, %d unknown, %d gone, %d joined; %d record writes (%d conflicts), %d list writes of %d streams\n",
		w.seed, w.begun, w.refusedNew, w.refusedInTouch, w.longestHold, w.takenUp, w.servable, w.wentOn, w.unknown, w.gone, len(w.joined), w.recordWrites, w.recordConflicts, w.listWrites, w.listedStreams)
	for i, s := range w.joined {
		if i == 5 {
			fmt.Fprintf(&b, "and %d more\n", len(w.joined)-i)
			break
		}
		fmt.Fprintln(&b, strings.Join(s.history, "; "))
	}
	if len(w.joined) > 0 {
		fmt.Fprintln(&b, strings.Join(w.log[max(0, len(w.log)-40):], "\n"))
	}
	return b.String()
}

func cloneRecord(r versioner.Record) versioner.Record {
	if r == nil {
		return nil
	}
	next := versioner.Record{}
	for of, a := range r {
		for _, b := range a {
			next[of] = append(next[of], slices.Clone(b))
		}
	}
	return next
}

func bucketsOf(r versioner.Record) string {
	var all []string
	for _, b := range r[poolID] {
		one := make([]string, len(b))
		for i, software := range b {
			one[i] = string(software)
		}
		all = append(all, strings.Join(one, "<"))
	}
	return strings.Join(all, " ")
}

func bucketOf(id identifier.Request) int {
	return int(xxhash.Sum64String(string(id)) % versioner.BucketCount)
}
