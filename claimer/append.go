package claimer

import (
	"time"
)

// appendBatch writes pending asks as the next segment. Their verdicts follow
// from what the log holds afterwards, never from the reply alone.
func (c *Core) appendBatch(now time.Time) {
	if c.replica.isLogFull() || len(c.replica.recentClaims)+c.limits.Batch > c.limits.BaseClaims {
		c.refusePending(ReasonFull)
		return
	}
	s := Segment{Number: c.replica.head + 1, At: now, Claims: c.nextBatch()}
	slot := c.replica.slotOf(s.Number)
	c.startSwap(now, callAppend, slotKey(c.shard, slot), c.replica.slotVersions[slot], EncodeSegment(s))
	c.call.segment = s
	c.nextAppend = now.Add(BatchInterval)
}

// nextBatch returns the claims of the oldest pending asks, with each key once.
func (c *Core) nextBatch() []Claim {
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

// finishAppend handles the result of writing segment s. A segment of another
// leader in its slot is applied to the replica. If segments before it are
// missing, or the slot still has an older segment, the log is read again.
func (c *Core) finishAppend(now time.Time, s Segment, e Swapped) {
	if e.Done {
		c.replica.applySegment(s, e.Entry.Version)
		c.answerDecided(now)
		return
	}
	found, err := DecodeSegment(e.Entry.Value)
	if err != nil {
		c.refuseDamaged(now)
		return
	}
	if found.Number < s.Number {
		c.upToDate = false
		return
	}
	c.applyFound(found, e.Entry.Version)
	c.answerDecided(now)
}
