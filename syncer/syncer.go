// Package syncer brings each accepted configuration into force on every VM.
//
// The document stands in the platform's store under one key and is changed
// by compare-and-swap. The VM that had a change accepted spreads it with
// acknowledgements; a few VMs, chosen by rendezvous hashing, watch and poll
// the store for all; and each VM compares revisions with a random one.
// A VM puts only a higher revision into force than the one it has.
package syncer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figtrack/figtrack/configurer"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/keeper"
	"github.com/figtrack/figtrack/spreader"
)

// Times and bounds of the syncer.
const (
	// Watchers is the number of VMs that watch the store. It does not grow
	// with the fleet.
	Watchers = 3
	// WatcherPollEvery is the time between two reads of a watcher.
	WatcherPollEvery = time.Second
	// PollEvery is the time between two reads of another VM.
	PollEvery = 60 * time.Second
	// FirstReadWithin is the time over which VMs started at once spread
	// their first reads.
	FirstReadWithin = 2 * time.Second
	// WatchLasted is the age at which a watch that ends did not fail.
	WatchLasted = 10 * time.Second
	// WatcherBackoffMax is the longest pause of a watcher while the store
	// fails.
	WatcherBackoffMax = 30 * time.Second
	// BackoffMax is the longest pause of another VM while the store fails.
	BackoffMax = 300 * time.Second
	// OfferEvery is the time between two comparisons with a random VM.
	OfferEvery = 500 * time.Millisecond
	// SpreadGrace is how long a watcher waits for another VM's spread before
	// it spreads what it read. It is waited once per rank among watchers.
	SpreadGrace = 200 * time.Millisecond
	// SubmitTimeout bounds one change, from its turn to its result.
	SubmitTimeout = 10 * time.Second
	// SubmitBackoff is the first pause after a failed call of a change.
	SubmitBackoff = 100 * time.Millisecond
	// MaxRaced bounds the growth of the pause after lost races.
	MaxRaced = 8
	// WaitTimeout bounds the wait for all VMs after a change was accepted.
	WaitTimeout = 3 * time.Second
	// RepushEvery is the time between two tries with the VMs that are behind.
	RepushEvery = 250 * time.Millisecond
	// MaxSubmits bounds the waiting changes.
	MaxSubmits = 32
	// MaxWaits bounds the changes that wait for all VMs.
	MaxWaits = 32
	// StoreTimeout bounds one call of the store.
	StoreTimeout = 2 * time.Second
)

// Settings are what a core is made with.
type Settings struct {
	VM          identifier.VM
	DataCentre  identifier.DataCentre
	Incarnation identifier.Incarnation
}

// Core is the configuration as one VM has it. It is advanced only by Step.
type Core struct {
	Settings
	rng *rand.Rand
	// document is in force; its revision never falls.
	document configurer.Document
	// value is the encoded document.
	value []byte
	// version is the store's version of the entry last seen there; known
	// says that one was seen.
	version keeper.Version
	known   bool
	ready   bool
	// live are the other live VMs, sorted by data centre and VM.
	live []Peer
	// rank is this VM's place among all live VMs in the choice of watchers.
	rank    int
	spread  *spreader.Core
	number  identifier.Sequence
	poll    poll
	submits []*submit
	waits   []*wait
	// mending says that a swap to mend the store was not answered yet.
	mending bool
	// spreadAt is when what was read from the store is spread; zero if not.
	spreadAt time.Time
	offerAt  time.Time
	spreadBy time.Time
	out      []Outcome
}

// New returns a core without a configuration. The rng is owned by the core
// afterwards.
func New(s Settings, rng *rand.Rand) *Core {
	return &Core{Settings: s, rng: rng, spread: spreader.New(spreader.DefaultArity)}
}

// Document returns the configuration in force.
func (c *Core) Document() configurer.Document { return c.document }

// IsReady says whether there is a configuration to serve with.
func (c *Core) IsReady() bool { return c.ready }

// Step advances the core. The same events at the same times give the same
// outcomes.
func (c *Core) Step(now time.Time, e Event) []Outcome {
	c.out = nil
	c.start(now)
	switch e := e.(type) {
	case Wake:
	case LiveSet:
		c.liveSet(now, e)
	case Submit:
		c.submit(e)
	case StoreRead:
		c.storeRead(now, e)
	case StoreSwapped:
		c.storeSwapped(now, e)
	case StoreChanged:
		c.fromWatch(now, e.Entry)
	case WatchBroken:
		c.watchBroken(now)
	case Received:
		c.receive(now, e)
	}
	c.advance(now)
	c.emit(WakeAt{At: c.nextWake()})
	return c.out
}

func (c *Core) emit(o Outcome) { c.out = append(c.out, o) }

func (c *Core) start(now time.Time) {
	if !c.offerAt.IsZero() {
		return
	}
	c.offerAt = now
	c.poll.readAt = now.Add(c.within(FirstReadWithin))
	c.poll.watchAt = now
}

func (c *Core) advance(now time.Time) {
	if !now.Before(c.offerAt) {
		c.offerAt = now.Add(c.jitter(OfferEvery))
		c.offer()
	}
	if !c.spreadAt.IsZero() && !now.Before(c.spreadAt) {
		c.spreadAt = time.Time{}
		c.begin(now)
	}
	c.stepSpread(now, spreader.Wake{})
	c.advanceSubmits(now)
	c.advanceWaits(now)
	c.advancePoll(now)
}

// adopt puts a higher revision into force and says whether it was higher.
func (c *Core) adopt(d configurer.Document, value []byte, from Origin) bool {
	if d.Revision <= c.document.Revision {
		return false
	}
	changes := configurer.Diff(c.document, d)
	c.document = d
	c.value = value
	c.emit(InForce{Document: d, From: from, Changes: changes})
	c.becomeReady()
	return true
}

func (c *Core) becomeReady() {
	if c.ready {
		return
	}
	c.ready = true
	c.emit(Ready{})
}

// liveSet takes in the live VMs and who of them watches the store.
func (c *Core) liveSet(now time.Time, e LiveSet) {
	c.live = nil
	c.rank = 0
	own := score(c.VM)
	for _, p := range e.Live {
		if p.VM == c.VM {
			continue
		}
		c.live = append(c.live, p)
		if score(p.VM) > own {
			c.rank++
		}
	}
	slices.SortFunc(c.live, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.VM, b.VM))
	})
	c.changeWatch(now)
	if !c.ready {
		c.offer()
	}
}

// score orders VMs in the choice of watchers.
func score(vm identifier.VM) uint64 { return xxhash.Sum64String("configuration/" + string(vm)) }

// watches says whether this VM is one of the watchers.
func (c *Core) watches() bool { return c.rank < Watchers }

// jitter is d, longer or shorter by up to a fifth.
func (c *Core) jitter(d time.Duration) time.Duration {
	return d*4/5 + c.within(d*2/5)
}

// within is a random time below d.
func (c *Core) within(d time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(d)))
}

// nextWake is the earliest time at which something becomes due.
func (c *Core) nextWake() time.Time {
	at := c.offerAt
	for _, t := range []time.Time{c.spreadAt, c.spreadBy, c.poll.next(c.watches()), c.submitAt(), c.waitAt()} {
		if !t.IsZero() && t.Before(at) {
			at = t
		}
	}
	return at
}
