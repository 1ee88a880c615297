package versioner

import (
	"slices"
	"time"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/keeper"
)

// bucket is what one VM knows of a bucket.
type bucket struct {
	// versions is as the record has it, never empty.
	versions Bucket
	// changedIn is the age of the record with the last change of the first version.
	changedIn keeper.Age
	// isShared is true once all VMs have published that they have read that change, which
	// this VM knows since sharedAt. That is later if an outage began before the change was
	// in force.
	isShared bool
	sharedAt time.Time
	// isInherited is true if the change was already shared when this VM first read the
	// record: others may have begun streams by it for long.
	isInherited bool
	// isBehind is true if others may have been further with the change for any time, as this VM
	// was out of touch or has just started.
	isBehind bool
	// isUntold is true while this VM can't tell whether the change was in force before it
	// read it: others may begin streams at either version.
	isUntold bool
}

// beginsAt returns the version at which new streams begin. While no runner serves of the
// former one, they begin by a change at once: others then take their version as unknown.
func (b *bucket) beginsAt(inTouchAt time.Time, cfg Settings, capacity map[identifier.Software]int) identifier.Software {
	switch {
	case len(b.versions) == 1, b.isShared && (b.isInherited || inTouchAt.Sub(b.sharedAt) >= cfg.adoptAfter()), capacity[b.versions[1]] == 0:
		return b.versions[0]
	default:
		return b.versions[1]
	}
}

// isAdopted reports whether all VMs in touch begin streams at the first version.
func (b *bucket) isAdopted(inTouchAt time.Time, cfg Settings) bool {
	return len(b.versions) == 1 || b.isShared && inTouchAt.Sub(b.sharedAt) >= cfg.adoptAfter()
}

// share records whether all VMs have read the last change. isUntold is true if some may
// have read it in an earlier era.
func (b *bucket) share(now time.Time, isShared, isUntold bool) {
	if !isShared {
		b.isUntold = b.isUntold || b.isInherited && isUntold
		b.isInherited = false
		return
	}
	b.isShared, b.sharedAt = true, now
}

// restart begins the step of a change anew in which this VM was last in touch.
func (b *bucket) restart(now, last time.Time, cfg Settings) {
	switch since := last.Sub(b.sharedAt); {
	case !b.isShared:
	case since < cfg.adoptAfter():
		b.sharedAt = now
	case since < cfg.certainAfter():
		b.sharedAt = now.Add(-cfg.adoptAfter())
	}
}

// origin returns at which version a stream began that isn't listed.
func (b *bucket) origin(inTouchAt time.Time, cfg Settings) Origin {
	if b.isCertain(inTouchAt, cfg) {
		return Origin{b.versions[0], true}
	}
	return Origin{}
}

// isCertain reports whether unlisted streams began at the first version.
func (b *bucket) isCertain(inTouchAt time.Time, cfg Settings) bool {
	return len(b.versions) == 1 || b.isShared && inTouchAt.Sub(b.sharedAt) >= cfg.certainAfter()
}

// isSettled reports whether no VM takes unlisted streams for ones of the former version. Unlike
// isCertain it counts time out of touch, in which others go on.
func (b *bucket) isSettled(now time.Time, cfg Settings) bool {
	return len(b.versions) == 1 || b.isShared && now.Sub(b.sharedAt) >= cfg.certainAfter()
}

// stated returns the bucket without empty versions, which earlier records have.
func (b Bucket) stated() Bucket {
	all := make(Bucket, len(b))
	for i, software := range b {
		all[i] = software.Stated()
	}
	return all
}

// pool is what one VM knows of a pool.
type pool struct {
	// buckets is empty while the record has no assignment of the pool, else it has
	// BucketCount.
	buckets []bucket
	// capacity is as PoolChanged has it.
	capacity map[identifier.Software]int
	// servedAt is when a version without capacity last had some, knownSince when this VM
	// first knew of the pool.
	servedAt   map[identifier.Software]time.Time
	knownSince time.Time
	longest    time.Duration
	// target is what the buckets should be by capacity, since targetSince.
	target      map[identifier.Software]int
	targetSince time.Time
	// contested counts the moves of buckets away from the target since targetSince, by VMs
	// that see another capacity; the latest one was at contestedAt.
	contested   int
	contestedAt time.Time
}

func newPool(now time.Time) *pool {
	return &pool{servedAt: map[identifier.Software]time.Time{}, knownSince: now, longest: MaxLongest}
}

// lastServed returns when a version without capacity last had some, or could have had.
func (p *pool) lastServed(software identifier.Software) time.Time {
	if at := p.servedAt[software]; at.After(p.knownSince) {
		return at
	}
	return p.knownSince
}

// doubt records that the changes in the record of an age may have been in force before.
func (p *pool) doubt(in keeper.Age) {
	for i := range p.buckets {
		b := &p.buckets[i]
		b.changedIn, b.isShared, b.isInherited, b.isUntold, b.isBehind = in, false, false, true, true
	}
}

// apply takes over an assignment and reports whether a bucket has another version for
// new streams. in is the age of its record; isFirst is true if this VM reads one for the
// first time.
func (p *pool) apply(in keeper.Age, a Assignment, isFirst bool) (isMoved bool) {
	if len(a) != BucketCount || slices.ContainsFunc(a, func(b Bucket) bool { return len(b) == 0 }) {
		return false
	}
	isNew := len(p.buckets) == 0
	if isNew {
		p.buckets = make([]bucket, BucketCount)
	}
	for i := range p.buckets {
		b := &p.buckets[i]
		if isNew || b.versions[0] != a[i][0].Stated() {
			b.isBehind = isNew || b.changedIn.Era != in.Era
			b.changedIn, b.isShared, b.isInherited = in, false, isFirst
			isMoved = true
		}
		b.versions = a[i].stated()
	}
	return isMoved
}

// counts returns the number of buckets of each version for new streams.
func (p *pool) counts() map[identifier.Software]int {
	all := map[identifier.Software]int{}
	for _, b := range p.buckets {
		all[b.versions[0]]++
	}
	return all
}

// isSplit reports whether streams of more than one version may go on.
func (p *pool) isSplit() bool {
	all := map[identifier.Software]bool{}
	for _, b := range p.buckets {
		for _, software := range b.versions {
			all[software] = true
		}
	}
	return len(all) > 1
}

// served returns the versions that served within the longest time of a stream, sorted.
func (p *pool) served(now time.Time) []identifier.Software {
	var all []identifier.Software
	for software, n := range p.capacity {
		if n > 0 {
			all = append(all, software)
		}
	}
	for software, at := range p.servedAt {
		if now.Sub(at) < p.longest && !slices.Contains(all, software) {
			all = append(all, software)
		}
	}
	slices.Sort(all)
	return all
}
