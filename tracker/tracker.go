package tracker

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// MissingGrace is how long entries that lapsed in an outage of the store may
// stay away after its return; the store's operators state two seconds.
const MissingGrace = 2 * time.Second

// MaxDeparted bounds the memory of runners that are gone; a day of the stated
// fleets replaces fewer.
const MaxDeparted = 4096

// Event is an input of the view. The set is sealed.
type Event interface{ event() }

// Listed carries all entries that stand in the store.
type Listed struct{ Runners []Runner }

// Told carries one entry as it was written.
type Told struct{ Runner Runner }

// Removed says that an entry was removed at a version.
type Removed struct {
	ID      identifier.Upstream
	Version int64
}

// RoleOrdered says that an engine was ordered to change its role and is away
// until Until.
type RoleOrdered struct {
	ID    identifier.Upstream
	Until time.Time
}

// StoreBack says that the store answers again after an outage.
type StoreBack struct{}

// Wake lets time pass.
type Wake struct{}

func (Listed) event()      {}
func (Told) event()        {}
func (Removed) event()     {}
func (RoleOrdered) event() {}
func (StoreBack) event()   {}
func (Wake) event()        {}

// Tracker is the view of one VM. It is not safe for several goroutines.
type Tracker struct {
	home identifier.DataCentre
	// upstreams holds those that are listed or missing.
	upstreams map[identifier.Upstream]*upstream
	// pools holds the same by pool, ordered by id, so that equal inputs give
	// equal choices.
	pools map[identifier.Pool][]*upstream
	// missing counts the upstreams whose missingUntil is set.
	missing int
	// graceUntil is when an entry that is away since an outage counts as gone.
	graceUntil time.Time
	// departed holds the last MaxDeparted runners that are gone, so that a late
	// write of theirs doesn't bring them back.
	departed map[identifier.Upstream]Runner
	// source breaks ties.
	source *rand.Rand
	out    []Change
}

// upstream is a runner with what this VM has learned of it.
type upstream struct {
	Runner
	ledger
	// awayUntil is when an engine is back that changes its role.
	awayUntil time.Time
	// missingUntil is zero while the runner's entry stands.
	missingUntil time.Time
}

// New returns an empty view of a VM in a data centre. The seed breaks
// ties, so that VMs with equal views don't choose alike.
func New(home identifier.DataCentre, seed uint64) *Tracker {
	return &Tracker{
		home:      home,
		upstreams: map[identifier.Upstream]*upstream{},
		pools:     map[identifier.Pool][]*upstream{},
		departed:  map[identifier.Upstream]Runner{},
		source:    rand.New(rand.NewPCG(seed, 0)),
	}
}

// Step takes in one event and returns what it changed.
func (t *Tracker) Step(now time.Time, e Event) []Change {
	t.out = nil
	switch e := e.(type) {
	case Listed:
		t.listed(now, e)
	case Told:
		t.told(e.Runner)
	case Removed:
		if u := t.upstreams[e.ID]; u != nil && e.Version > u.Version {
			t.lose(now, u)
		}
	case StoreBack:
		t.graceUntil = now.Add(MissingGrace)
	case RoleOrdered:
		if u := t.upstreams[e.ID]; u != nil {
			u.awayUntil = e.Until
		}
	case Wake:
	default:
		panic(fmt.Sprintf("tracker: event %T", e))
	}
	t.expire(now)
	return t.out
}

func (t *Tracker) listed(now time.Time, e Listed) {
	listed := make(map[identifier.Upstream]bool, len(e.Runners))
	for _, r := range e.Runners {
		listed[r.ID] = true
		t.told(r)
	}
	for _, u := range t.ordered() {
		if !listed[u.ID] {
			t.lose(now, u)
		}
	}
}

func (t *Tracker) told(r Runner) {
	u := t.upstreams[r.ID]
	if u != nil && r.Version < u.Version || t.isOld(r) {
		return
	}
	if u != nil && u.Start == r.Start && u.Address == r.Address && u.Pool == r.Pool {
		t.renew(u, r)
		return
	}
	if u != nil {
		t.drop(u)
	}
	t.insert(&upstream{Runner: r})
	if r.Leaving {
		t.out = append(t.out, Left{r})
		return
	}
	t.out = append(t.out, Joined{r})
}

// renew takes in a later statement of the same start. A runner that leaves
// doesn't come back but by a new start.
func (t *Tracker) renew(u *upstream, r Runner) {
	if r.Sequence < u.Sequence {
		return
	}
	left := r.Leaving && !u.Leaving
	r.Leaving = r.Leaving || u.Leaving
	u.Runner = r
	t.setMissing(u, time.Time{})
	if left {
		t.out = append(t.out, Left{r})
	}
}

// isOld says that an entry repeats what a runner said before it was gone.
func (t *Tracker) isOld(r Runner) bool {
	d, ok := t.departed[r.ID]
	return ok && t.upstreams[r.ID] == nil && d.Start == r.Start && r.Sequence <= d.Sequence
}

// lose handles an entry that is no longer in the store.
func (t *Tracker) lose(now time.Time, u *upstream) {
	if !u.missingUntil.IsZero() {
		return
	}
	if now.Before(t.graceUntil) && !u.Leaving {
		t.setMissing(u, t.graceUntil)
		t.out = append(t.out, Missing{u.Runner, t.graceUntil})
		return
	}
	t.drop(u)
	t.out = append(t.out, Gone{u.Runner})
}

// setMissing marks an upstream's entry as away until a time, or as back with
// the zero time.
func (t *Tracker) setMissing(u *upstream, until time.Time) {
	if !u.missingUntil.IsZero() {
		t.missing--
	}
	if u.missingUntil = until; !until.IsZero() {
		t.missing++
	}
}

func (t *Tracker) expire(now time.Time) {
	if t.missing == 0 {
		return
	}
	for _, u := range t.ordered() {
		if !u.missingUntil.IsZero() && !now.Before(u.missingUntil) {
			t.drop(u)
			t.out = append(t.out, Gone{u.Runner})
		}
	}
}

// insert adds an upstream to the view and to its pool.
func (t *Tracker) insert(u *upstream) {
	t.upstreams[u.ID] = u
	pool := t.pools[u.Pool]
	i, _ := slices.BinarySearchFunc(pool, u, byID)
	t.pools[u.Pool] = slices.Insert(pool, i, u)
}

func (t *Tracker) drop(u *upstream) {
	t.setMissing(u, time.Time{})
	delete(t.upstreams, u.ID)
	pool := t.pools[u.Pool]
	if i, ok := slices.BinarySearchFunc(pool, u, byID); ok {
		t.pools[u.Pool] = slices.Delete(pool, i, i+1)
	}
	if len(t.departed) >= MaxDeparted {
		clear(t.departed)
	}
	t.departed[u.ID] = u.Runner
}

func byID(a, b *upstream) int { return cmp.Compare(a.ID, b.ID) }

func (t *Tracker) ordered() []*upstream {
	all := make([]*upstream, 0, len(t.upstreams))
	for _, u := range t.upstreams {
		all = append(all, u)
	}
	slices.SortFunc(all, byID)
	return all
}

// Runner returns a start of a runner that takes work.
func (t *Tracker) Runner(id identifier.Upstream, start identifier.Incarnation) (Runner, bool) {
	u := t.upstreams[id]
	if u == nil || u.Start != start || u.Leaving {
		return Runner{}, false
	}
	return u.Runner, true
}

// Find returns a runner whether it takes work or not.
func (t *Tracker) Find(id identifier.Upstream) (Runner, bool) {
	u := t.upstreams[id]
	if u == nil {
		return Runner{}, false
	}
	return u.Runner, true
}

// PoolOf returns the pool of a runner.
func (t *Tracker) PoolOf(id identifier.Upstream) (identifier.Pool, bool) {
	u := t.upstreams[id]
	if u == nil {
		return "", false
	}
	return u.Runner.Pool, true
}

// Pool returns the runners of a pool, ordered by id.
func (t *Tracker) Pool(pool identifier.Pool) []Runner {
	all := make([]Runner, 0, len(t.pools[pool]))
	for _, u := range t.pools[pool] {
		all = append(all, u.Runner)
	}
	return all
}

// Len returns the number of known upstreams.
func (t *Tracker) Len() int { return len(t.upstreams) }
