// Package prober tracks which VMs are live and which upstreams are usable.
//
// Core implements the membership, a protocol of the SWIM family: each VM probes
// two others per period, directly and then through helpers, and piggybacks what
// it learns on its messages. The traffic of one VM does not grow with the fleet.
// HealthCore tracks the state of the upstreams, mainly by live traffic; it probes
// those that are idle.
package prober

import (
	"math/rand/v2"
	"time"

	"github.com/tidwall/btree"

	"github.com/figtrack/figtrack/identifier"
)

// Timeouts, intervals and limits of the membership.
const (
	// ProbeInterval is the time between two probe rounds of one VM.
	ProbeInterval = 500 * time.Millisecond
	// DirectTimeout is how long a probe waits for an ack before helpers are
	// asked.
	DirectTimeout = 150 * time.Millisecond
	// ProbeTimeout is how long a probe waits for an ack before its target
	// becomes suspect.
	ProbeTimeout = 500 * time.Millisecond
	// SuspicionTimeout is how long a suspect may take to refute the suspicion
	// before it is considered dead.
	SuspicionTimeout = 1500 * time.Millisecond
	// ConfirmPings is the number of pings that a VM itself sends to a suspect
	// before it considers it dead.
	ConfirmPings = 3
	// MinGossipInterval is the minimum time between two rounds of gossip.
	MinGossipInterval = 50 * time.Millisecond
	// MinDetectedPause is the delay of a wake from which on it counts as a
	// pause of this VM.
	MinDetectedPause = 400 * time.Millisecond
	// CompareInterval is the time between two comparisons of tables with a random
	// VM, and between two attempts to reach a dead one.
	CompareInterval = time.Second
	// DeadTTL is how long the record of a dead VM is kept.
	DeadTTL = 10 * time.Minute
	// DeadInTableTTL is how long a dead VM is included in the tables sent to
	// others.
	DeadInTableTTL = 30 * time.Second
	// HelperCount is the number of VMs asked for an indirect probe.
	HelperCount = 3
	// Fanout is the number of VMs that one round of gossip goes to.
	Fanout = 4
	// GossipRounds is the number of gossip rounds that send a new record or
	// notice.
	GossipRounds = 4
	// MaxPiggybackRecords bounds the records on a ping or an ack.
	MaxPiggybackRecords = 6
	// RotatedRecords is the number of records up to which a ping or ack is
	// filled with old ones, in rotation.
	RotatedRecords = 2
	// MaxGossipRecords bounds the records, and the notices, on one gossip frame.
	MaxGossipRecords = 48
	// MaxMembers bounds the known VMs.
	MaxMembers = 2048
	// MaxNotices bounds the known notices of leaving upstreams.
	MaxNotices = 2048
	// MaxRelays bounds the concurrent probes on behalf of other VMs.
	MaxRelays = 256
)

// Core is the membership as seen by one VM. Only Step changes its state.
type Core struct {
	rng *rand.Rand
	// self is this VM's own record. Its state is always Alive.
	self Record
	// members holds the other VMs.
	members btree.Map[identifier.VM, *entry]
	// unresponsive holds the members that are suspect or dead.
	unresponsive btree.Map[identifier.VM, *entry]
	notices      btree.Map[noticeKey, Notice]
	// upstreams are those of the configuration; nil before the first one.
	upstreams map[identifier.Upstream]bool
	// hints are VMs that were named by settings or the platform's list, but
	// may never have sent a message.
	hints btree.Map[identifier.VM, Hint]
	// probes are the pings that wait for an ack, by sequence number.
	probes btree.Map[identifier.Sequence, *probe]
	// relays counts the open probes on behalf of other VMs.
	relays   int
	sequence identifier.Sequence
	updates  updateQueue
	// shuffled holds the VMs still to be probed in the present random order.
	shuffled []identifier.VM
	// lastRotated is the last VM whose old record was sent again.
	lastRotated identifier.VM
	// synced is set once a table was received in this incarnation.
	synced bool
	// syncing is true at the start, after a pause, and if the last table held a
	// VM that was unknown. Then further tables are requested.
	syncing bool
	// liveChanged is true if the live set may have changed in this step.
	liveChanged    bool
	nextRound      time.Time
	nextComparison time.Time
	nextFlush      time.Time
	// wakeAt is the time of the last WakeAt.
	wakeAt   time.Time
	outcomes []Outcome
}

// entry is what this VM knows of another VM.
type entry struct {
	Record
	// since is when this VM recorded the present state or incarnation.
	since time.Time
	// confirmPings counts the pings that this VM sent to a suspect.
	confirmPings int
	// listedLeaving is true if the platform's list reports the VM as leaving.
	listedLeaving bool
}

// isLive reports whether the VM belongs to the live set, so that it may own
// shards.
func (e *entry) isLive() bool {
	return e.State != Dead && !e.Leaving && !e.listedLeaving
}

// New returns the core of the VM described by self, with the peers as its first
// hints. The core takes ownership of rng.
func New(self Record, peers []Hint, rng *rand.Rand) *Core {
	c := &Core{rng: rng, self: self, syncing: true}
	c.self.State = Alive
	for _, h := range peers {
		c.addHint(h)
	}
	return c
}

// Step handles an event and returns the outcomes. It is deterministic: the same
// events at the same times give the same outcomes.
func (c *Core) Step(now time.Time, e Event) []Outcome {
	c.outcomes = nil
	c.scheduleFirstRound(now)
	switch e := e.(type) {
	case Wake:
		c.detectPause(now)
	case Received:
		c.handleReceived(now, e)
	case Listed:
		c.handleListed(e.Hints)
	case Leave:
		c.handleLeave(now)
	case UpstreamLeaving:
		c.handleUpstreamLeaving(now, e)
	case Configured:
		c.handleConfigured(e)
	}
	c.advance(now)
	if c.liveChanged {
		c.liveChanged = false
		c.emit(LiveChanged{Live: c.Live()})
	}
	c.wakeAt = c.nextWake()
	c.emit(WakeAt{At: c.wakeAt})
	return c.outcomes
}

// Live returns the live set, sorted by VM.
func (c *Core) Live() []Member {
	live := make([]Member, 0, c.members.Len()+1)
	placed := c.self.Leaving
	c.members.Scan(func(vm identifier.VM, e *entry) bool {
		if !placed && vm > c.self.VM {
			live = append(live, memberOf(c.self))
			placed = true
		}
		if e.isLive() {
			live = append(live, memberOf(e.Record))
		}
		return true
	})
	if !placed {
		live = append(live, memberOf(c.self))
	}
	return live
}

// Members returns the records of all known VMs except this one, sorted by VM.
func (c *Core) Members() []Record {
	all := make([]Record, 0, c.members.Len())
	c.members.Scan(func(_ identifier.VM, e *entry) bool {
		all = append(all, e.Record)
		return true
	})
	return all
}

// Synced reports whether the table of another VM was received. Before that, the
// live set is incomplete.
func (c *Core) Synced() bool { return c.synced }

func memberOf(r Record) Member {
	return Member{VM: r.VM, Address: r.Address, DataCentre: r.DataCentre, Incarnation: r.Incarnation}
}

func (c *Core) emit(o Outcome) { c.outcomes = append(c.outcomes, o) }

// scheduleFirstRound sets the times of the first round and comparison. They are
// random, so that VMs started together don't send their probes at the same time.
func (c *Core) scheduleFirstRound(now time.Time) {
	if !c.nextRound.IsZero() {
		return
	}
	c.nextRound = now.Add(time.Duration(c.rng.Int64N(int64(ProbeInterval))))
	c.nextComparison = now.Add(time.Duration(c.rng.Int64N(int64(CompareInterval))))
	c.liveChanged = true
	c.requestTables()
}

// detectPause drops the open probes after a pause of this VM. Otherwise their
// timeouts would mark other VMs as suspect because of the pause.
func (c *Core) detectPause(now time.Time) {
	if c.wakeAt.IsZero() || now.Sub(c.wakeAt) < MinDetectedPause {
		return
	}
	c.probes.Clear()
	c.relays = 0
	c.nextRound = now
	c.syncing = true
	for _, e := range c.unresponsiveMembers() {
		if e.State == Suspect {
			e.since = now
			e.confirmPings = 0
		}
	}
}

// handleLeave announces the graceful shutdown of this VM.
func (c *Core) handleLeave(now time.Time) {
	if c.self.Leaving {
		return
	}
	c.self.Leaving = true
	c.self.Refutation++
	c.liveChanged = true
	c.queueRecord(now, c.self)
}
