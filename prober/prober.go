// Package prober knows which VMs are live and which upstreams are usable.
//
// Core is the membership: each VM probes two others a period, directly and
// then through helpers, and spreads what it learns with its messages. The
// traffic of one VM does not grow with the fleet. HealthCore is the state of
// the upstreams, learned from traffic first.
package prober

import (
	"math/rand/v2"
	"time"

	"github.com/tidwall/btree"

	"github.com/figtrack/figtrack/identifier"
)

// Times and bounds of the membership.
const (
	// Period is the time between two probe rounds of one VM.
	Period = 500 * time.Millisecond
	// DirectTimeout is how long a probe waits before it asks for helpers.
	DirectTimeout = 150 * time.Millisecond
	// ProbeTimeout is how long a probe waits before its target is suspect.
	ProbeTimeout = 500 * time.Millisecond
	// SuspicionTimeout is how long a suspect may take to refute.
	SuspicionTimeout = 1500 * time.Millisecond
	// ConfirmPings is how often a VM pings a suspect itself before it takes
	// it for dead.
	ConfirmPings = 3
	// FlushDelay is the shortest time between two rounds of gossip.
	FlushDelay = 50 * time.Millisecond
	// PauseLimit is how late a wake must be to count as a pause of this VM.
	PauseLimit = 400 * time.Millisecond
	// CompareEvery is the time between two comparisons with a random VM, and
	// between two tries to reach a dead one.
	CompareEvery = time.Second
	// DeadKept is how long the record of a dead VM is kept.
	DeadKept = 10 * time.Minute
	// DeadTold is how long a dead VM is named in tables.
	DeadTold = 30 * time.Second
	// Helpers is the number of VMs asked for an indirect probe.
	Helpers = 3
	// Fanout is the number of VMs that one round of gossip goes to.
	Fanout = 4
	// GossipRounds is the number of rounds that pass a fresh statement on.
	GossipRounds = 4
	// PiggybackRecords bounds the records on a ping or an ack.
	PiggybackRecords = 6
	// RotatedRecords is the number of old records repeated on each ping.
	RotatedRecords = 2
	// GossipRecords bounds the records on one frame of gossip.
	GossipRecords = 48
	// MaxMembers bounds the known VMs.
	MaxMembers = 2048
	// MaxNotices bounds the known leaving upstreams.
	MaxNotices = 2048
	// MaxRelays bounds the probes that run for other VMs.
	MaxRelays = 256
)

// Core is the membership as one VM sees it. It is advanced only by Step.
type Core struct {
	rng *rand.Rand
	// self is always Alive.
	self Record
	// members holds the other VMs.
	members btree.Map[identifier.VM, *entry]
	// troubled holds those of members that are not alive.
	troubled btree.Map[identifier.VM, *entry]
	notices  btree.Map[noticeKey, Notice]
	// upstreams are those of the configuration; nil as long as there is none.
	upstreams map[identifier.Upstream]bool
	// hints are VMs that were named but perhaps never heard.
	hints btree.Map[identifier.VM, Hint]
	// probes are the pings that wait for an ack, by sequence number.
	probes btree.Map[identifier.Sequence, *probe]
	// relays counts the probes that run for other VMs.
	relays   int
	sequence identifier.Sequence
	rumours  rumours
	// ring is the shuffled rest of the VMs to probe.
	ring []identifier.VM
	// rotated is the last VM whose old record was repeated.
	rotated identifier.VM
	// synced says that a table was received in this incarnation.
	synced bool
	// syncing says that the last table named a new VM, so another is asked.
	syncing bool
	// changed says that the live set changed in this step.
	changed   bool
	nextRound time.Time
	nextRetry time.Time
	nextFlush time.Time
	wokenFor  time.Time
	out       []Outcome
}

// entry is what is known of another VM.
type entry struct {
	Record
	// since is when the state was taken on here.
	since time.Time
	// confirms counts the pings of this VM to a suspect.
	confirms int
	// listedLeaving says that the platform's list has the VM as leaving.
	listedLeaving bool
}

// live says whether the VM may own shards and get messages.
func (e *entry) live() bool {
	return e.State != Dead && !e.Leaving && !e.listedLeaving
}

// New returns the core of the VM described by self. The peers are hints; rng
// is owned by the core afterwards.
func New(self Record, peers []Hint, rng *rand.Rand) *Core {
	c := &Core{rng: rng, self: self, syncing: true}
	c.self.State = Alive
	for _, h := range peers {
		c.hint(h)
	}
	return c
}

// Step advances the core. The same events at the same times give the same
// outcomes.
func (c *Core) Step(now time.Time, e Event) []Outcome {
	c.out = nil
	c.start(now)
	switch e := e.(type) {
	case Wake:
		c.detectPause(now)
	case Received:
		c.receive(now, e)
	case Listed:
		c.listed(e.Hints)
	case Leave:
		c.leave(now)
	case UpstreamLeaving:
		c.state(now, e)
	case Configured:
		c.configured(e)
	}
	c.advance(now)
	if c.changed {
		c.changed = false
		c.emit(LiveChanged{Live: c.Live()})
	}
	c.wokenFor = c.nextWake()
	c.emit(WakeAt{At: c.wokenFor})
	return c.out
}

// Live returns the live set sorted by VM.
func (c *Core) Live() []Member {
	live := make([]Member, 0, c.members.Len()+1)
	placed := c.self.Leaving
	c.members.Scan(func(vm identifier.VM, e *entry) bool {
		if !placed && vm > c.self.VM {
			live = append(live, member(c.self))
			placed = true
		}
		if e.live() {
			live = append(live, member(e.Record))
		}
		return true
	})
	if !placed {
		live = append(live, member(c.self))
	}
	return live
}

// Members returns the records of all known VMs but this one, sorted by VM.
func (c *Core) Members() []Record {
	all := make([]Record, 0, c.members.Len())
	c.members.Scan(func(_ identifier.VM, e *entry) bool {
		all = append(all, e.Record)
		return true
	})
	return all
}

// Synced says whether another VM's table was received, so that the live set
// is more than a guess.
func (c *Core) Synced() bool { return c.synced }

func member(r Record) Member {
	return Member{VM: r.VM, Address: r.Address, DataCentre: r.DataCentre, Incarnation: r.Incarnation}
}

func (c *Core) emit(o Outcome) { c.out = append(c.out, o) }

// start sets the first round. Its phase is random, so that VMs started at
// once do not probe in step.
func (c *Core) start(now time.Time) {
	if !c.nextRound.IsZero() {
		return
	}
	c.nextRound = now.Add(time.Duration(c.rng.Int64N(int64(Period))))
	c.nextRetry = now.Add(time.Duration(c.rng.Int64N(int64(CompareEvery))))
	c.changed = true
	c.sync()
}

// detectPause forgets the open probes after a pause of this VM, whose
// timeouts would blame others for it.
func (c *Core) detectPause(now time.Time) {
	if c.wokenFor.IsZero() || now.Sub(c.wokenFor) < PauseLimit {
		return
	}
	c.probes.Clear()
	c.relays = 0
	c.nextRound = now
	c.syncing = true
	for _, e := range c.restless() {
		if e.State == Suspect {
			e.since = now
			e.confirms = 0
		}
	}
}

// leave announces the graceful shutdown.
func (c *Core) leave(now time.Time) {
	if c.self.Leaving {
		return
	}
	c.self.Leaving = true
	c.self.Refutation++
	c.changed = true
	c.rumourOf(now, c.self)
}
