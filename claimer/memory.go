package claimer

import (
	"time"

	"github.com/figtrack/figtrack/keeper"
)

// Segment is one entry of the log.
type Segment struct {
	// Number counts from 1.
	Number uint64
	// At is when its leader wrote it.
	At time.Time
	// Claims holds each key at most once.
	Claims []Claim
}

// Base holds the claims of consecutive segments that were merged.
type Base struct {
	// Number counts from 1.
	Number uint64
	// Through is the number of the last segment that this and earlier bases
	// hold.
	Through uint64
	// Oldest and Newest are the times of the first and last segment inside.
	Oldest, Newest time.Time
	// Claims maps the keys to their bodies. It does not keep the holders.
	Claims map[Key]Body
}

// replica is a leader's copy of its shard's record.
type replica struct {
	limits Limits
	// head is the number of the latest known segment, compactedThrough of the
	// latest one that is in a base.
	head, compactedThrough uint64
	// slotVersions holds the store version of each slot of the log.
	slotVersions []keeper.Version
	// segments holds the segments after compactedThrough up to head, without a
	// gap.
	segments []Segment
	// recentClaims holds the claims of segments by key.
	recentClaims map[Key]Claim
	// bases is the ring of bases. Number is zero for a place where no base was
	// seen.
	bases []Base
	// baseVersions holds the store version of each base in the ring.
	baseVersions []keeper.Version
	// lastBase is the highest number of a known base.
	lastBase uint64
}

func newReplica(limits Limits) *replica {
	return &replica{
		limits:       limits,
		slotVersions: make([]keeper.Version, limits.LogSlots),
		recentClaims: map[Key]Claim{},
		bases:        make([]Base, limits.BaseSlots),
		baseVersions: make([]keeper.Version, limits.BaseSlots),
	}
}

// findClaim returns the body and the holder of the claim of a key. The holder
// is empty if the claim is in a base.
func (m *replica) findClaim(key Key) (Body, Holder, bool) {
	if claim, ok := m.recentClaims[key]; ok {
		return claim.Body, claim.Holder, true
	}
	for i := range m.bases {
		if body, ok := m.bases[i].Claims[key]; ok {
			return body, Holder{}, true
		}
	}
	return 0, Holder{}, false
}

// applySegment adds the segment that follows head.
func (m *replica) applySegment(s Segment, version keeper.Version) {
	m.head = s.Number
	m.slotVersions[m.slotOf(s.Number)] = version
	m.segments = append(m.segments, s)
	for _, claim := range s.Claims {
		m.recentClaims[claim.Key] = claim
	}
}

// addBase adds a base that was read or written, and drops the segments that it
// holds.
func (m *replica) addBase(b Base, version keeper.Version) {
	slot := m.baseSlotOf(b.Number)
	m.bases[slot] = b
	m.baseVersions[slot] = version
	m.lastBase = max(m.lastBase, b.Number)
	if b.Through > m.compactedThrough {
		m.dropSegments(b.Through)
	}
}

// dropSegments drops the segments up to the number through, which are in
// bases.
func (m *replica) dropSegments(through uint64) {
	m.compactedThrough = through
	n := 0
	for n < len(m.segments) && m.segments[n].Number <= through {
		for _, claim := range m.segments[n].Claims {
			delete(m.recentClaims, claim.Key)
		}
		n++
	}
	m.segments = append([]Segment(nil), m.segments[n:]...)
	m.head = max(m.head, through)
}

// forgetExpired drops the claims of bases that are no longer needed. The
// number and the version of the base stay, because the next base in its place
// is written by a swap on them.
func (m *replica) forgetExpired(now time.Time) {
	for i := range m.bases {
		if m.bases[i].Claims != nil && m.bases[i].isExpired(now) {
			m.bases[i].Claims = nil
		}
	}
}

// isExpired reports whether all claims in the base are older than
// forgetAfter.
func (b Base) isExpired(now time.Time) bool {
	return now.Sub(b.Newest) > forgetAfter
}

// slotOf returns the slot of segment n in the ring of the log.
func (m *replica) slotOf(n uint64) int { return int(n % uint64(m.limits.LogSlots)) }

// baseSlotOf returns the place of base n in the ring of bases.
func (m *replica) baseSlotOf(n uint64) int { return int(n % uint64(m.limits.BaseSlots)) }

// isLogFull reports whether the slot of the next segment still holds a segment
// that is in no base.
func (m *replica) isLogFull() bool {
	return m.head+1-m.compactedThrough > uint64(m.limits.LogSlots)
}
