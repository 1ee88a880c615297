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
	// Claims holds each key once.
	Claims []Claim
}

// Base is a compacted run of segments.
type Base struct {
	// Number counts from 1.
	Number uint64
	// Through is the last segment that this and earlier bases hold.
	Through uint64
	// Oldest and Newest are the times of the first and last segment inside.
	Oldest, Newest time.Time
	// Claims holds the keys, without their holders.
	Claims map[Key]Body
}

// memory is what a leader knows of its shard's record.
type memory struct {
	limits Limits
	// head is the highest segment known, through the highest in a base.
	head, through uint64
	// slots holds the versions of the log's ring.
	slots []keeper.Version
	// segments are those after through up to head, without a gap.
	segments []Segment
	// recent holds the claims of segments.
	recent map[Key]Claim
	// bases is the ring of bases; Number is zero where none was seen.
	bases []Base
	// versions holds the versions of the bases' ring.
	versions []keeper.Version
	// current is the highest number of a base.
	current uint64
}

func newMemory(limits Limits) *memory {
	return &memory{
		limits:   limits,
		slots:    make([]keeper.Version, limits.LogSlots),
		recent:   map[Key]Claim{},
		bases:    make([]Base, limits.BaseSlots),
		versions: make([]keeper.Version, limits.BaseSlots),
	}
}

// lookup finds a claim. The holder is empty for a claim in a base.
func (m *memory) lookup(key Key) (Body, Holder, bool) {
	if claim, ok := m.recent[key]; ok {
		return claim.Body, claim.Holder, true
	}
	for i := range m.bases {
		if body, ok := m.bases[i].Claims[key]; ok {
			return body, Holder{}, true
		}
	}
	return 0, Holder{}, false
}

// apply adds the segment that follows head.
func (m *memory) apply(s Segment, version keeper.Version) {
	m.head = s.Number
	m.slots[m.slot(s.Number)] = version
	m.segments = append(m.segments, s)
	for _, claim := range s.Claims {
		m.recent[claim.Key] = claim
	}
}

// absorb takes over a base that was read or written.
func (m *memory) absorb(b Base, version keeper.Version) {
	slot := m.baseSlot(b.Number)
	m.bases[slot] = b
	m.versions[slot] = version
	m.current = max(m.current, b.Number)
	if b.Through > m.through {
		m.trim(b.Through)
	}
}

// trim drops the segments that the bases hold.
func (m *memory) trim(through uint64) {
	m.through = through
	n := 0
	for n < len(m.segments) && m.segments[n].Number <= through {
		for _, claim := range m.segments[n].Claims {
			delete(m.recent, claim.Key)
		}
		n++
	}
	m.segments = append([]Segment(nil), m.segments[n:]...)
	m.head = max(m.head, through)
}

// forget drops the claims of bases that are past their time. The base's
// place and version stay.
func (m *memory) forget(now time.Time) {
	for i := range m.bases {
		if m.bases[i].Claims != nil && m.bases[i].forgettable(now) {
			m.bases[i].Claims = nil
		}
	}
}

func (b Base) forgettable(now time.Time) bool {
	return now.Sub(b.Newest) > forgetAfter
}

func (m *memory) slot(n uint64) int { return int(n % uint64(m.limits.LogSlots)) }

func (m *memory) baseSlot(n uint64) int { return int(n % uint64(m.limits.BaseSlots)) }

// logFull says that the next segment's slot holds one that no base has.
func (m *memory) logFull() bool {
	return m.head+1-m.through > uint64(m.limits.LogSlots)
}
