package claimer

import (
	"time"
)

// isCompactionDue reports whether the log should be merged into a base.
func (c *Core) isCompactionDue() bool {
	return len(c.replica.segments) >= c.limits.CompactAfter || len(c.replica.recentClaims) >= c.limits.BaseClaims/2
}

// compact writes all segments into the latest base, or into a new one if that
// base is full or old. It returns false if the next place in the ring of bases
// holds one that must still be kept.
func (c *Core) compact(now time.Time) bool {
	m := c.replica
	b := m.bases[m.baseSlotOf(m.lastBase)]
	if m.lastBase == 0 || !c.hasRoom(now, b) {
		b = Base{Number: m.lastBase + 1, Oldest: m.segments[0].At}
		old := m.bases[m.baseSlotOf(b.Number)]
		if old.Number != 0 && !old.isExpired(now) {
			return false
		}
	}
	b = b.withSegments(m.segments)
	slot := m.baseSlotOf(b.Number)
	c.startSwap(now, callBase, baseKey(c.shard, slot), m.baseVersions[slot], EncodeBase(b))
	c.call.base = b
	return true
}

// hasRoom reports whether base b can take the claims of all segments and has
// not reached BaseSpan.
func (c *Core) hasRoom(now time.Time, b Base) bool {
	return b.Claims != nil &&
		len(b.Claims)+len(c.replica.recentClaims) <= c.limits.BaseClaims &&
		now.Sub(b.Oldest) <= BaseSpan
}

// withSegments returns a copy of the base with the claims of the segments
// added.
func (b Base) withSegments(segments []Segment) Base {
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

// finishCompaction handles the result of writing base b. If another leader has
// written a base there, the whole record is read again.
func (c *Core) finishCompaction(b Base, e Swapped) {
	if e.Done {
		c.replica.addBase(b, e.Entry.Version)
		return
	}
	c.upToDate, c.complete = false, false
}
