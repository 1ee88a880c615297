package versioner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/figtrack/figtrack/identifier"
)

const (
	// SettleTime is how long the shares of the versions have to be the same before buckets
	// follow them: a release changes them every moment.
	SettleTime = 3 * time.Second
	// ContestedTime is the base of the time between moves of buckets by VMs that see
	// different capacities. It doubles with each such move.
	ContestedTime = 12 * time.Second
	// RewriteDelay is how long a VM waits for each one before it in the roster to write a
	// record again that the store has lost. Others that start meanwhile wait for it.
	RewriteDelay = 100 * time.Millisecond
	// MaxContested bounds how often ContestedTime doubles.
	MaxContested = 5
	// MaxOverload is how many times its share of the streams a version may have before
	// buckets follow at once.
	MaxOverload = 2
)

// plan writes the record if the buckets of a pool should change, or have settled, or if
// the store has lost them. Only a certain view of the runners changes buckets.
func (c *Core) plan(now time.Time, isCertain bool) {
	if !c.hasRead || c.isWriting || now.Before(c.retryAt) {
		return
	}
	if c.isDoubtful() {
		return
	}
	isLost := (c.isMissing || c.isOfEarlierEra) && c.hasAssignment()
	if !isCertain && !isLost {
		return
	}
	next, isChanged := Record{}, isLost
	for _, of := range slices.Sorted(maps.Keys(c.pools)) {
		p := c.pools[of]
		a, changed := p.known(), false
		if !isLost {
			a, changed = p.planned(now, c.cfg)
		}
		if len(a) > 0 {
			next[of] = a
		}
		isChanged = isChanged || changed
	}
	if !isChanged {
		c.wantsSince = time.Time{}
		return
	}
	if c.wantsSince.IsZero() {
		c.wantsSince = now
	}
	if now.Sub(c.wantsSince) < c.writeDelay(isLost) {
		return
	}
	c.isWriting = true
	c.emit(Write{next, c.version, c.era})
}

// writeDelay returns how long this VM leaves a write to those before it in the roster. Those
// of MaxRank and above would write a lost record all at once, so they first wait to read it.
func (c *Core) writeDelay(isLost bool) time.Duration {
	switch rank := time.Duration(c.rank); {
	case !isLost:
		return rank * RankDelay
	case c.rank == MaxRank:
		return rank*RewriteDelay + c.cfg.Lag
	default:
		return rank * RewriteDelay
	}
}

func (c *Core) hasAssignment() bool {
	for _, p := range c.pools {
		if len(p.buckets) > 0 {
			return true
		}
	}
	return false
}

// known returns the pool's assignment as this VM knows it, empty if there is none.
func (p *pool) known() Assignment {
	a := make(Assignment, len(p.buckets))
	for i, b := range p.buckets {
		a[i] = b.versions
	}
	return a
}

// planned returns the pool's assignment as it should be and whether it differs from the
// record's.
func (p *pool) planned(now time.Time, cfg Settings) (a Assignment, isChanged bool) {
	p.updateTarget(now)
	if len(p.buckets) == 0 {
		return p.first(now), len(p.target) > 0
	}
	a = p.known()
	for i, b := range p.buckets {
		if len(b.versions) > 1 && b.isShared && now.Sub(b.sharedAt) >= cfg.certainAfter()+p.longest {
			a[i], isChanged = b.versions[:1], true
		}
	}
	if len(p.target) == 0 || !p.isCertain(now, cfg) || !p.shouldMove(now) {
		return a, isChanged
	}
	return p.moved(a), true
}

// isCertain reports whether the version of each stream is listed or follows from its bucket. Only
// then may buckets move again: unlisted streams began at the former version of a moving bucket.
func (p *pool) isCertain(now time.Time, cfg Settings) bool {
	return !slices.ContainsFunc(p.buckets, func(b bucket) bool { return !b.isCertain(now, cfg) })
}

// updateTarget computes the number of buckets of each version by capacity.
func (p *pool) updateTarget(now time.Time) {
	target := shares(p.capacity)
	if !maps.Equal(target, p.target) {
		p.target, p.targetSince, p.contested = target, now, 0
	}
}

// handleMoved counts a move of buckets away from the target. More than one bucket off is
// no rounding.
func (p *pool) handleMoved(now time.Time) {
	counts := p.counts()
	for software, n := range p.target {
		if d := n - counts[software]; d > 1 || d < -1 {
			p.contested, p.contestedAt = min(p.contested+1, MaxContested), now
			return
		}
	}
}

// shares divides the buckets in proportion to capacity by the largest remainders.
// Versions without a bucket are left out.
func shares(capacity map[identifier.Software]int) map[identifier.Software]int {
	total := 0
	for _, n := range capacity {
		total += n
	}
	all := map[identifier.Software]int{}
	if total == 0 {
		return all
	}
	left := BucketCount
	names := slices.Sorted(maps.Keys(capacity))
	for _, software := range names {
		all[software] = capacity[software] * BucketCount / total
		left -= all[software]
	}
	slices.SortStableFunc(names, func(a, b identifier.Software) int {
		return cmp.Compare(capacity[b]*BucketCount%total, capacity[a]*BucketCount%total)
	})
	for _, software := range names[:left] {
		all[software]++
	}
	maps.DeleteFunc(all, func(_ identifier.Software, n int) bool { return n == 0 })
	return all
}

// first returns the first assignment of a pool. Streams may run at any version that serves.
func (p *pool) first(now time.Time) Assignment {
	var a Assignment
	served := p.served(now)
	for _, software := range slices.Sorted(maps.Keys(p.target)) {
		for range p.target[software] {
			b := Bucket{software}
			for _, other := range served {
				if other != software {
					b = append(b, other)
				}
			}
			a = append(a, b)
		}
	}
	return a
}

// shouldMove reports whether buckets should follow the capacity: once it has settled, or
// at once if a version has too many streams for it.
func (p *pool) shouldMove(now time.Time) bool {
	isContested := p.contested > 1 // The first one may be by a VM that knows more.
	if isContested && now.Sub(p.contestedAt) < ContestedTime<<p.contested {
		return false
	}
	counts := p.counts()
	isSettled := now.Sub(p.targetSince) >= SettleTime
	for software, n := range counts {
		if isOverloaded := n > MaxOverload*p.target[software]; isOverloaded || isSettled && n > p.target[software]+1 {
			return true
		}
	}
	for software, n := range p.target {
		if isSettled && n > counts[software]+1 {
			return true
		}
	}
	return false
}

// moved returns the assignment in which each version has its target. The former version
// of a bucket follows the new one.
func (p *pool) moved(a Assignment) Assignment {
	counts := p.counts()
	var free []int
	for i := range a {
		if from := a[i][0]; counts[from] > p.target[from] {
			counts[from]--
			free = append(free, i)
		}
	}
	for _, to := range slices.Sorted(maps.Keys(p.target)) {
		for counts[to] < p.target[to] {
			i := free[0]
			free = free[1:]
			counts[to]++
			former := slices.DeleteFunc(slices.Clone(a[i]), func(s identifier.Software) bool { return s == to })
			a[i] = append(Bucket{to}, former...)
		}
	}
	return a
}
