package claimer

import (
	"time"
)

// compactionDue says that the log should be merged into a base.
func (c *Core) compactionDue() bool {
	return len(c.mem.segments) >= c.limits.CompactAfter || len(c.mem.recent) >= c.limits.BaseClaims/2
}

// compact writes all segments into the current base, or into a new one if
// that is large or old. It returns false if the ring holds no base that is
// past its time.
func (c *Core) compact(now time.Time) bool {
	m := c.mem
	b := m.bases[m.baseSlot(m.current)]
	if m.current == 0 || !c.fits(now, b) {
		b = Base{Number: m.current + 1, Oldest: m.segments[0].At}
		old := m.bases[m.baseSlot(b.Number)]
		if old.Number != 0 && !old.forgettable(now) {
			return false
		}
	}
	b = b.with(m.segments)
	slot := m.baseSlot(b.Number)
	c.swap(now, callBase, baseKey(c.shard, slot), m.versions[slot], EncodeBase(b))
	c.call.base = b
	return true
}

func (c *Core) fits(now time.Time, b Base) bool {
	return b.Claims != nil &&
		len(b.Claims)+len(c.mem.recent) <= c.limits.BaseClaims &&
		now.Sub(b.Oldest) <= BaseSpan
}

// with returns a copy that holds the segments too.
func (b Base) with(segments []Segment) Base {
	claims := make(map[Key]Body, len(b.Claims))
	for key, body := range b.Claims {
		claims[key] = body
	}
	for _, s := range segments {
		for _, claim := range s.Claims {
			claims[claim.Key] = claim.Body
		}
		b.Through = s.Number
		if s.At.After(b.Newest) {
			b.Newest = s.At
		}
	}
	b.Claims = claims
	return b
}

// compacted ends a compaction. Where another leader wrote the base, the
// whole record is read again.
func (c *Core) compacted(b Base, e Swapped) {
	if e.Done {
		c.mem.absorb(b, e.Entry.Version)
		return
	}
	c.ready, c.whole = false, false
}
