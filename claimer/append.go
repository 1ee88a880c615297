package claimer

import (
	"time"
)

// append writes the waiting asks as the next segment. Their verdicts follow
// from what the log then holds, so that a reply is never trusted alone.
func (c *Core) append(now time.Time) {
	if c.mem.logFull() || len(c.mem.recent)+c.limits.Batch > c.limits.BaseClaims {
		c.refuse(ReasonFull)
		return
	}
	s := Segment{Number: c.mem.head + 1, At: now, Claims: c.batch()}
	slot := c.mem.slot(s.Number)
	c.swap(now, callAppend, slotKey(c.shard, slot), c.mem.slots[slot], EncodeSegment(s))
	c.call.segment = s
	c.nextAppend = now.Add(BatchEvery)
}

// batch returns the claims of the oldest asks, each key once.
func (c *Core) batch() []Claim {
	var claims []Claim
	seen := map[Key]bool{}
	for _, p := range c.pending {
		if seen[p.claim.Key] {
			continue
		}
		if len(claims) == c.limits.Batch {
			break
		}
		seen[p.claim.Key] = true
		claims = append(claims, p.claim)
	}
	return claims
}

func (c *Core) appended(now time.Time, s Segment, e Swapped) {
	if e.Done {
		c.mem.apply(s, e.Entry.Version)
		c.settle(now)
		return
	}
	found, err := DecodeSegment(e.Entry.Value)
	if err != nil {
		c.damaged(now)
		return
	}
	if found.Number < s.Number {
		c.ready = false
		return
	}
	c.meet(found, e.Entry.Version)
	c.settle(now)
}
