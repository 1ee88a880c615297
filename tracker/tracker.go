package tracker

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/keeper"
)

// MissingGrace is how long entries that expired in an outage of the store may be
// absent after its return. The store's operators state two seconds. It can't be
// longer: a runner that leaves by removing its entry then looks the same, and must
// get no requests after two seconds.
const MissingGrace = 2 * time.Second

// EraGrace is how long entries may be absent from a listing, or older than those
// known, after the store came back from a copy: runners write theirs about every
// 1.2 s and count as gone after three times that.
const EraGrace = 5 * time.Second

// MaxDeparted is the maximum number of removed runners that are remembered. The
// specified fleets replace fewer in a day.
const MaxDeparted = 4096

// Event is an input of the view. The set is sealed.
type Event interface{ event() }

// Listed carries all entries of the store.
type Listed struct{ Runners []Runner }

// EntryWritten carries one entry that was written to the store.
type EntryWritten struct{ Runner Runner }

// Removed reports that an entry was removed, and the age of the removal.
type Removed struct {
	ID  identifier.Upstream
	Age keeper.Age
}

// RoleOrdered reports that an engine was ordered to change its role. It can't be
// used until Until.
type RoleOrdered struct {
	ID    identifier.Upstream
	Until time.Time
}

// StoreBack reports that the store answers again after an outage, in which it may have been
// this VM alone that didn't reach it. From ActBy on no removed runner may be used.
type StoreBack struct{ ActBy time.Time }

// EraChanged reports that the store came back from a copy that lacks some of the
// entries or has older ones. A Listed with the entries of the copy follows. From ActBy on no
// runner may be used whose entry is absent from it; zero for no such time.
type EraChanged struct{ ActBy time.Time }

// Wake has the view act on what has become due.
type Wake struct{}

func (Listed) event()       {}
func (EntryWritten) event() {}
func (Removed) event()      {}
func (RoleOrdered) event()  {}
func (StoreBack) event()    {}
func (EraChanged) event()   {}
func (Wake) event()         {}

// Tracker is one VM's view of the upstreams. It is not safe for concurrent use.
type Tracker struct {
	// dataCentre is the data centre of the VM.
	dataCentre identifier.DataCentre
	// upstreams holds those whose entry is in the store or missing.
	upstreams map[identifier.Upstream]*upstream
	// pools holds the same by pool, sorted by ID, so that equal inputs give equal
	// choices.
	pools map[identifier.Pool][]*upstream
	// missing counts the upstreams whose missingUntil is set.
	missing int
	// graceUntil is when entries that are missing since an outage count as gone.
	graceUntil time.Time
	// copyUntil is the time until which an earlier start of a runner is not believed, as it
	// may be from a copy of the store. absentUntil is when entries that are absent from
	// the copy count as gone; at most copyUntil.
	copyUntil, absentUntil time.Time
	// departed holds removed runners, so that a late write of one of them doesn't
	// add it again. It is cleared at MaxDeparted.
	departed map[identifier.Upstream]departed
	// random breaks ties.
	random *rand.Rand
	out    []Change
	shared
}

// departed is a removed runner with the pause that it asked for.
type departed struct {
	Runner
	pause
}

// upstream is a runner with this VM's ledger of it.
type upstream struct {
	Runner
	ledger
	occupancy
	// roleChangeUntil is when an engine that changes its role can be used again.
	roleChangeUntil time.Time
	// missingUntil is when a missing runner counts as gone; zero while its entry
	// is in the store.
	missingUntil time.Time
}

// New returns an empty view for a VM in the data centre home. The seed is for the
// random choice between equal runners and must differ between VMs, so that those
// with equal views don't all choose the same runner.
func New(home identifier.DataCentre, seed uint64) *Tracker {
	return &Tracker{
		dataCentre: home,
		upstreams:  map[identifier.Upstream]*upstream{},
		pools:      map[identifier.Pool][]*upstream{},
		departed:   map[identifier.Upstream]departed{},
		random:     rand.New(rand.NewPCG(seed, 0)),
		shared:     shared{counts: map[identifier.Pool]*counts{}},
	}
}

// Rebuilt returns a view with the same upstreams and what was learned of them, in place
// of one whose step was interrupted by a panic. What follows from that is computed anew.
func (t *Tracker) Rebuilt() *Tracker {
	n := t.Emptied()
	n.graceUntil, n.copyUntil, n.absentUntil, n.digestAt = t.graceUntil, t.copyUntil, t.absentUntil, t.digestAt
	maps.Copy(n.departed, t.departed)
	for id, u := range t.upstreams {
		if u == nil || u.ID != id {
			continue
		}
		known := *u
		n.insert(&known)
		if !known.missingUntil.IsZero() {
			n.missing++
		}
	}
	return n
}

// Emptied returns an empty view for the same VM.
func (t *Tracker) Emptied() *Tracker {
	n := New(t.dataCentre, rand.Uint64())
	n.sizes = t.sizes
	return n
}

// Step applies one event and returns the changes of the view.
func (t *Tracker) Step(now time.Time, e Event) []Change {
	t.out = nil
	switch e := e.(type) {
	case Listed:
		t.applyListing(now, e)
	case EntryWritten:
		t.applyEntry(now, e.Runner)
	case Removed:
		if u := t.upstreams[e.ID]; u != nil && e.Age.Compare(u.Age) > 0 {
			t.handleAbsentEntry(now, u, Missing{Until: t.graceUntil, Reason: MissingSinceOutage, Removal: e.Age})
		}
	case StoreBack:
		t.graceUntil = earlier(now.Add(MissingGrace), e.ActBy)
	case EraChanged:
		t.copyUntil = now.Add(EraGrace)
		t.absentUntil = t.copyUntil
		if !e.ActBy.IsZero() {
			t.absentUntil = earlier(t.copyUntil, e.ActBy)
		}
		t.extendMissing(t.absentUntil)
	case RoleOrdered:
		if u := t.upstreams[e.ID]; u != nil {
			u.roleChangeUntil = e.Until
		}
	case Sized:
		t.sizes = e.Pools
	case Digested:
		t.applyDigest(e)
	case Wake:
	default:
		panic(fmt.Sprintf("tracker: event %T", e))
	}
	t.expireMissing(now)
	return t.out
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// extendMissing lets the entries that are missing already be absent until a time.
func (t *Tracker) extendMissing(until time.Time) {
	for _, u := range t.upstreams {
		if !u.missingUntil.IsZero() && u.missingUntil.Before(until) {
			u.missingUntil = until
		}
	}
}

// applyListing applies all entries and handles those that are absent.
func (t *Tracker) applyListing(now time.Time, e Listed) {
	listed := make(map[identifier.Upstream]bool, len(e.Runners))
	for _, r := range e.Runners {
		listed[r.ID] = true
		t.applyEntry(now, r)
	}
	missing := Missing{Until: t.graceUntil, Reason: MissingSinceOutage}
	if t.absentUntil.After(missing.Until) {
		missing.Until, missing.Reason = t.absentUntil, MissingFromCopy
	}
	for _, u := range t.sortedUpstreams() {
		if !listed[u.ID] {
			t.handleAbsentEntry(now, u, missing)
		}
	}
}

// applyEntry adds or updates the upstream of an entry, unless a later version is
// known. An entry with another start, address or pool replaces the upstream and
// what was learned of it.
func (t *Tracker) applyEntry(now time.Time, r Runner) {
	u := t.upstreams[r.ID]
	if u != nil && r.Age.Compare(u.Age) < 0 || t.isStale(now, r) {
		return
	}
	if u != nil && now.Before(t.copyUntil) && r.Start < u.Start {
		t.confirmEntry(u, r.Age)
		return
	}
	if u != nil && u.Start == r.Start && u.Address == r.Address && u.Pool == r.Pool {
		t.updateRunner(u, r)
		return
	}
	if u != nil {
		t.remove(u)
	}
	next := &upstream{Runner: r}
	if d, ok := t.departed[r.ID]; ok && d.Start == r.Start {
		r.Leaving = r.Leaving || d.Leaving
		next.Runner, next.pause = r, d.pause
	}
	t.insert(next)
	if r.Leaving {
		t.out = append(t.out, Left{r, LeavingByEntry})
		return
	}
	t.out = append(t.out, Joined{r})
}

// updateRunner applies a later entry of the same start. A runner that is leaving
// takes work again only after a new start.
func (t *Tracker) updateRunner(u *upstream, r Runner) {
	if r.Sequence < u.Sequence {
		t.confirmEntry(u, r.Age)
		return
	}
	left := r.Leaving && !u.Leaving
	r.Leaving = r.Leaving || u.Leaving
	u.Runner = r
	t.setMissing(u, time.Time{})
	if left {
		t.out = append(t.out, Left{r, LeavingByEntry})
	}
}

// confirmEntry handles an entry that is newer in the store but was written by the
// runner before the one that is known, as in a copy of the store or in a late
// write. What it says is not used.
func (t *Tracker) confirmEntry(u *upstream, age keeper.Age) {
	if age.Era > u.Age.Era {
		t.setMissing(u, time.Time{})
	}
	u.Age = age
}

// isStale reports whether an entry is no newer than the last known entry of the
// same start, which was removed. From a copy of the store, entries of earlier
// starts are stale too.
func (t *Tracker) isStale(now time.Time, r Runner) bool {
	d, ok := t.departed[r.ID]
	if !ok || t.upstreams[r.ID] != nil {
		return false
	}
	return d.Start == r.Start && r.Sequence <= d.Sequence || now.Before(t.copyUntil) && r.Start < d.Start
}

// handleAbsentEntry marks an upstream whose entry is no longer in the store as
// missing, and removes it if the time for that has passed.
func (t *Tracker) handleAbsentEntry(now time.Time, u *upstream, missing Missing) {
	if !u.missingUntil.IsZero() {
		return
	}
	if now.Before(missing.Until) && !u.Leaving {
		t.setMissing(u, missing.Until)
		missing.Runner = u.Runner
		t.out = append(t.out, missing)
		return
	}
	t.remove(u)
	t.out = append(t.out, Gone{u.Runner})
}

// setMissing marks an upstream as missing until a time, or as present for the
// zero time.
func (t *Tracker) setMissing(u *upstream, until time.Time) {
	if !u.missingUntil.IsZero() {
		t.missing--
	}
	if u.missingUntil = until; !until.IsZero() {
		t.missing++
	}
}

// expireMissing removes the missing upstreams whose grace has ended.
func (t *Tracker) expireMissing(now time.Time) {
	if t.missing == 0 {
		return
	}
	for _, u := range t.sortedUpstreams() {
		if !u.missingUntil.IsZero() && !now.Before(u.missingUntil) {
			t.remove(u)
			t.out = append(t.out, Gone{u.Runner})
		}
	}
}

// insert adds an upstream to the view and to its pool.
func (t *Tracker) insert(u *upstream) {
	t.upstreams[u.ID], u.hash = u, HashOf(u.Runner)
	pool := t.pools[u.Pool]
	i, _ := slices.BinarySearchFunc(pool, u, byID)
	t.pools[u.Pool] = slices.Insert(pool, i, u)
}

// remove deletes an upstream from the view and remembers it and its pause in departed.
func (t *Tracker) remove(u *upstream) {
	t.setMissing(u, time.Time{})
	delete(t.upstreams, u.ID)
	pool := t.pools[u.Pool]
	if i, ok := slices.BinarySearchFunc(pool, u, byID); ok {
		t.pools[u.Pool] = slices.Delete(pool, i, i+1)
	}
	if len(t.departed) >= MaxDeparted {
		clear(t.departed)
	}
	t.departed[u.ID] = departed{u.Runner, u.pause}
}

func byID(a, b *upstream) int { return cmp.Compare(a.ID, b.ID) }

// sortedUpstreams returns all upstreams, sorted by ID.
func (t *Tracker) sortedUpstreams() []*upstream {
	all := make([]*upstream, 0, len(t.upstreams))
	for _, u := range t.upstreams {
		all = append(all, u)
	}
	slices.SortFunc(all, byID)
	return all
}

// Runner returns a runner if it has the given start and takes work.
func (t *Tracker) Runner(id identifier.Upstream, start identifier.Incarnation) (Runner, bool) {
	u := t.upstreams[id]
	if u == nil || u.Start != start || u.Leaving {
		return Runner{}, false
	}
	return u.Runner, true
}

// Find returns a runner, whether it takes work or not.
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

// Pool returns the runners of a pool, sorted by ID.
func (t *Tracker) Pool(pool identifier.Pool) []Runner {
	all := make([]Runner, 0, len(t.pools[pool]))
	for _, u := range t.pools[pool] {
		all = append(all, u.Runner)
	}
	return all
}

// Serves reports whether a pool has a runner of a version that takes new work, other than
// prefill engines.
func (t *Tracker) Serves(pool identifier.Pool, software identifier.Software) bool {
	return slices.ContainsFunc(t.pools[pool], func(u *upstream) bool {
		return u.Software == software && u.Role != identifier.RolePrefill && !u.Leaving
	})
}

// Capacity returns how many requests the runners of each version in a pool take at once,
// other than prefill engines and those that take no new ones.
func (t *Tracker) Capacity(pool identifier.Pool) map[identifier.Software]int {
	all := map[identifier.Software]int{}
	for _, u := range t.pools[pool] {
		if u.Role != identifier.RolePrefill && !u.Leaving {
			all[u.Software] += u.Slots
		}
	}
	return all
}

// Len returns the number of known upstreams.
func (t *Tracker) Len() int { return len(t.upstreams) }
