// Package syncer distributes each accepted configuration to every VM.
//
// The document is kept in the platform's store under one key and is changed by
// compare-and-swap. The VM that wrote an accepted change spreads the document
// to all others and collects acknowledgements. A few VMs, chosen by rendezvous
// hashing, watch and poll the store on behalf of the fleet, and each VM
// regularly compares its revision with that of a random other one. A VM puts a
// document into force only if its revision is higher than the current one.
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

// Intervals, timeouts and limits of the syncer.
const (
	// WatcherCount is the number of VMs that watch the store, whatever the size
	// of the fleet.
	WatcherCount = 3
	// WatcherPollInterval is the mean time between two store reads of a watcher.
	WatcherPollInterval = time.Second
	// PollInterval is the mean time between two store reads of a VM that is not a
	// watcher.
	PollInterval = 60 * time.Second
	// MaxFirstReadDelay is the longest random delay of the first read. It
	// distributes the reads of VMs that start at the same time.
	MaxFirstReadDelay = 2 * time.Second
	// MinStableWatchAge is the age from which the end of a watch does not count
	// as a failure.
	MinStableWatchAge = 10 * time.Second
	// WatcherBackoffMax is the longest pause between calls of a watcher while
	// the store fails.
	WatcherBackoffMax = 30 * time.Second
	// BackoffMax is the longest pause between reads of a VM that is not a
	// watcher while the store fails.
	BackoffMax = 300 * time.Second
	// OfferInterval is the mean time between two comparisons of the revision with
	// a random VM.
	OfferInterval = 500 * time.Millisecond
	// SpreadGrace is how long a watcher waits for another VM's spread before it
	// spreads a document that it read. A watcher of rank n waits n+1 times as
	// long, so that one of them spreads first.
	SpreadGrace = 200 * time.Millisecond
	// SubmitTimeout bounds the processing of a change, from becoming first in
	// the queue to its result.
	SubmitTimeout = 10 * time.Second
	// SubmitBackoff is the first pause after a failed store call for a change.
	SubmitBackoff = 100 * time.Millisecond
	// MaxCountedRaces is the number of swaps failed on an outdated version
	// after which the pause before the next one stops growing.
	MaxCountedRaces = 8
	// RolloutTimeout bounds the wait for all VMs to apply an accepted change.
	RolloutTimeout = 3 * time.Second
	// ResendInterval is the time between two sends of the document to VMs that
	// are behind.
	ResendInterval = 250 * time.Millisecond
	// MaxQueuedSubmits bounds the queue of submitted changes.
	MaxQueuedSubmits = 32
	// MaxRollouts bounds the accepted changes that wait for all VMs to apply
	// them.
	MaxRollouts = 32
	// StoreTimeout bounds one store call.
	StoreTimeout = 2 * time.Second
)

// Settings identifies the VM that a core runs on.
type Settings struct {
	VM          identifier.VM
	DataCentre  identifier.DataCentre
	Incarnation identifier.Incarnation
}

// Core decides how one VM gets, changes and passes on the configuration. Its
// state changes only in Step.
type Core struct {
	Settings
	rng *rand.Rand
	// document is the configuration in force. Its revision never decreases.
	document configurer.Document
	// value is the document in its encoded form.
	value []byte
	// version is the store's version of the entry when it was last seen. It is
	// valid only if versionKnown is true.
	version      keeper.Version
	versionKnown bool
	ready        bool
	// live holds the other live VMs, sorted by data centre and VM.
	live []Peer
	// rank is the number of live VMs that precede this one in the choice of
	// watchers.
	rank         int
	spreader     *spreader.Core
	spreadNumber identifier.Sequence
	poll         pollState
	submits      []*pendingSubmit
	rollouts     []*rollout
	// writingBack is true while a swap that writes the document back is in
	// progress.
	writingBack bool
	// spreadAt is when to spread a document that was read from the store, or
	// zero.
	spreadAt time.Time
	// offerAt is when to send the next Offer.
	offerAt time.Time
	// spreaderWakeAt is when the spreader is due, or zero.
	spreaderWakeAt time.Time
	outcomes       []Outcome
}

// New returns a core without a configuration. The core takes ownership of rng.
func New(s Settings, rng *rand.Rand) *Core {
	return &Core{Settings: s, rng: rng, spreader: spreader.New(spreader.DefaultArity)}
}

// Document returns the configuration in force.
func (c *Core) Document() configurer.Document { return c.document }

// IsReady reports whether this VM has a configuration to serve with.
func (c *Core) IsReady() bool { return c.ready }

// Step applies one event and returns the resulting outcomes. It is deterministic:
// the same events at the same times give the same outcomes.
func (c *Core) Step(now time.Time, e Event) []Outcome {
	c.outcomes = nil
	c.initTimers(now)
	switch e := e.(type) {
	case Wake:
	case LiveSet:
		c.handleLiveSet(now, e)
	case Submit:
		c.queueSubmit(e)
	case StoreRead:
		c.handleStoreRead(now, e)
	case StoreSwapped:
		c.handleStoreSwapped(now, e)
	case StoreChanged:
		c.applyWatched(now, e.Entry)
	case WatchBroken:
		c.handleWatchBroken(now)
	case Received:
		c.handleMessage(now, e)
	}
	c.advance(now)
	c.emit(WakeAt{At: c.nextWake()})
	return c.outcomes
}

func (c *Core) emit(o Outcome) { c.outcomes = append(c.outcomes, o) }

func (c *Core) initTimers(now time.Time) {
	if !c.offerAt.IsZero() {
		return
	}
	c.offerAt = now
	c.poll.readAt = now.Add(c.randomBelow(MaxFirstReadDelay))
	c.poll.watchAt = now
}

func (c *Core) advance(now time.Time) {
	if !now.Before(c.offerAt) {
		c.offerAt = now.Add(c.jitter(OfferInterval))
		c.sendOffers()
	}
	if !c.spreadAt.IsZero() && !now.Before(c.spreadAt) {
		c.spreadAt = time.Time{}
		c.startSpread(now)
	}
	c.stepSpread(now, spreader.Wake{})
	c.advanceSubmits(now)
	c.advanceRollouts(now)
	c.advancePoll(now)
}

// applyIfNewer puts d into force if its revision is higher than the current one, and
// reports whether it was.
func (c *Core) applyIfNewer(d configurer.Document, value []byte, from Origin) bool {
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

// handleLiveSet updates the live VMs and the rank of this VM among them.
func (c *Core) handleLiveSet(now time.Time, e LiveSet) {
	c.live = nil
	c.rank = 0
	own := watcherScore(c.VM)
	for _, p := range e.Live {
		if p.VM == c.VM {
			continue
		}
		c.live = append(c.live, p)
		if watcherScore(p.VM) > own {
			c.rank++
		}
	}
	slices.SortFunc(c.live, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.VM, b.VM))
	})
	c.updateWatch(now)
	if !c.ready {
		c.sendOffers()
	}
}

// watcherScore returns the rendezvous hash of a VM. The live VMs with the highest
// scores are the watchers.
func watcherScore(vm identifier.VM) uint64 { return xxhash.Sum64String("configuration/" + string(vm)) }

// isWatcher reports whether this VM is one of the watchers.
func (c *Core) isWatcher() bool { return c.rank < WatcherCount }

// jitter returns d, made longer or shorter at random by up to a fifth.
func (c *Core) jitter(d time.Duration) time.Duration {
	return d*4/5 + c.randomBelow(d*2/5)
}

// randomBelow returns a random duration below d.
func (c *Core) randomBelow(d time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(d)))
}

// nextWake returns the earliest time at which an action is due.
func (c *Core) nextWake() time.Time {
	at := c.offerAt
	for _, t := range []time.Time{c.spreadAt, c.spreaderWakeAt, c.poll.nextWake(c.isWatcher()), c.nextSubmitWake(), c.nextRolloutWake()} {
		if !t.IsZero() && t.Before(at) {
			at = t
		}
	}
	return at
}
