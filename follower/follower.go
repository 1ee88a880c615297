// Package follower keeps a copy of the store's keys below a prefix up to date:
// it lists them once and then waits for changes.
//
// A wait that fails is begun again after the last change that was seen. Only
// where the store has dropped that part of its history are the keys listed
// again. The core is pure; Shell makes the calls.
package follower

import (
	"fmt"
	"time"

	"github.com/figtrack/figtrack/keeper"
)

// Times of the calls that failed.
const (
	// RetryFirst is the pause after the first failure; it doubles.
	RetryFirst = 50 * time.Millisecond
	// RetryMost bounds the pause, so that an outage's end is noticed soon.
	RetryMost = 400 * time.Millisecond
	// BatchFor is the pause after a call that brought changes: those that come
	// close together then take one call. It is a small part of the time within
	// which a change has to be in force.
	BatchFor = 400 * time.Millisecond
	// StartFor is the time after the start in which that pause is StartBatch:
	// when a whole fleet starts, its VMs and runners join one after another, and
	// each would wake all VMs.
	StartFor = 10 * time.Second
	// StartBatch is less than half of the three seconds within which a change
	// has to be in force.
	StartBatch = 1200 * time.Millisecond
	// AwayAfter is how long the store may fail to answer until it counts as
	// away. A lost connection alone takes less to replace.
	AwayAfter = time.Second
)

// Event is an input. The set is sealed.
type Event interface{ event() }

// Begin starts the core.
type Begin struct{}

// Listed carries all keys.
type Listed struct{ keeper.Snapshot }

// Changed carries changes after the last known version.
type Changed struct{ keeper.Changes }

// Failed says that the last call got no usable answer.
type Failed struct {
	Err error
	// Forgotten says that the store has dropped the history asked for.
	Forgotten bool
}

// Rested says that a Rest is over.
type Rested struct{}

func (Begin) event()   {}
func (Listed) event()  {}
func (Changed) event() {}
func (Failed) event()  {}
func (Rested) event()  {}

// Outcome is what the shell has to do. The set is sealed.
type Outcome interface{ outcome() }

// List asks for all keys.
type List struct{}

// Await asks for the changes after a version.
type Await struct{ After keeper.Version }

// Rest asks for a pause.
type Rest struct{ For time.Duration }

// TakeAll hands over all keys.
type TakeAll struct{ Entries []keeper.Entry }

// Take hands over one change; a deletion has a nil Value.
type Take struct{ Entry keeper.Entry }

// StoreLost says that the store is away since Since.
type StoreLost struct {
	Since time.Time
	Err   error
}

// StoreFound says that the store answers again after Away.
type StoreFound struct{ Away time.Duration }

func (List) outcome()       {}
func (Await) outcome()      {}
func (Rest) outcome()       {}
func (TakeAll) outcome()    {}
func (Take) outcome()       {}
func (StoreLost) outcome()  {}
func (StoreFound) outcome() {}

// Core follows one prefix. It is advanced only by Step.
type Core struct {
	// at is the version up to which all changes are known; zero before the
	// first list.
	at keeper.Version
	// versions holds the version of each known key, so that an older change
	// of a later page is no news.
	versions map[string]keeper.Version
	// lostSince is the first failure after the last answer; zero without.
	lostSince time.Time
	// isLost says that StoreLost was given.
	isLost bool
	pause  time.Duration
	// begun is the time of Begin.
	begun time.Time
	out   []Outcome
}

// New returns a core that knows nothing.
func New() *Core { return &Core{versions: map[string]keeper.Version{}} }

// Step takes in one event.
func (c *Core) Step(now time.Time, e Event) []Outcome {
	c.out = nil
	switch e := e.(type) {
	case Begin:
		c.begun = now
		c.call()
	case Rested:
		c.call()
	case Listed:
		c.answered(now)
		c.listed(e)
		c.call()
	case Changed:
		c.answered(now)
		c.changed(e)
		if len(e.Entries) > 0 {
			c.emit(Rest{c.batch(now)})
			break
		}
		c.call()
	case Failed:
		c.failed(now, e)
	default:
		panic(fmt.Sprintf("follower: event %T", e))
	}
	return c.out
}

func (c *Core) emit(o Outcome) { c.out = append(c.out, o) }

// batch returns the pause after changes.
func (c *Core) batch(now time.Time) time.Duration {
	if now.Sub(c.begun) < StartFor {
		return StartBatch
	}
	return BatchFor
}

func (c *Core) call() {
	if c.at == 0 {
		c.emit(List{})
		return
	}
	c.emit(Await{After: c.at})
}

func (c *Core) answered(now time.Time) {
	if c.isLost || !c.lostSince.IsZero() && now.Sub(c.lostSince) >= AwayAfter {
		c.emit(StoreFound{Away: now.Sub(c.lostSince)})
	}
	c.lostSince, c.isLost, c.pause = time.Time{}, false, 0
}

func (c *Core) listed(e Listed) {
	c.at = e.At
	clear(c.versions)
	for _, entry := range e.Entries {
		c.versions[entry.Key] = entry.Version
	}
	c.emit(TakeAll{e.Entries})
}

func (c *Core) changed(e Changed) {
	for _, entry := range e.Entries {
		if entry.Version <= c.versions[entry.Key] {
			continue
		}
		c.versions[entry.Key] = entry.Version
		if entry.Value == nil {
			delete(c.versions, entry.Key)
		}
		c.emit(Take{entry})
	}
	c.at = max(c.at, e.At)
}

func (c *Core) failed(now time.Time, e Failed) {
	if e.Forgotten {
		c.answered(now)
		c.at = 0
		c.call()
		return
	}
	if c.lostSince.IsZero() {
		c.lostSince = now
	}
	if !c.isLost && now.Sub(c.lostSince) >= AwayAfter {
		c.isLost = true
		c.emit(StoreLost{Since: c.lostSince, Err: e.Err})
	}
	c.pause = min(max(2*c.pause, RetryFirst), RetryMost)
	c.emit(Rest{c.pause})
}
