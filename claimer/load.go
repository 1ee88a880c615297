package claimer

import (
	"sort"
	"time"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/keeper"
)

// load is a read of the whole record. The log is read before the bases: a
// segment that is missing in the log then is in a base that is read later.
type load struct {
	mem   *memory
	log   []stored
	group int
}

// stored is a segment with the version of its slot.
type stored struct {
	segment Segment
	version keeper.Version
}

var (
	errGap     = errors.New("claim log has a gap")
	errShorter = errors.New("claim log is shorter than before")
)

func decodeLog(entries []keeper.Entry) ([]stored, error) {
	log := make([]stored, 0, len(entries))
	for _, entry := range entries {
		segment, err := DecodeSegment(entry.Value)
		if err != nil {
			return nil, err
		}
		log = append(log, stored{segment: segment, version: entry.Version})
	}
	sort.Slice(log, func(i, j int) bool { return log[i].segment.Number < log[j].segment.Number })
	return log, nil
}

// gotLog brings the memory up to date, or begins to read the bases.
func (c *Core) gotLog(now time.Time, entries []keeper.Entry) error {
	log, err := decodeLog(entries)
	if err != nil {
		return err
	}
	if c.whole && reaches(c.mem.head, log) {
		if err := c.mem.follow(log); err != nil {
			return err
		}
		c.ready = true
		return nil
	}
	c.readBases(now, &load{mem: newMemory(c.limits), log: log})
	return nil
}

// reaches says that no segment is missing between head and the log.
func reaches(head uint64, log []stored) bool {
	return len(log) == 0 || head+1 >= log[0].segment.Number
}

// follow applies the segments after head.
func (m *memory) follow(log []stored) error {
	highest := uint64(0)
	for _, s := range log {
		highest = s.segment.Number
		m.slots[m.slot(highest)] = s.version
		if highest <= m.head {
			continue
		}
		if highest != m.head+1 {
			return errGap
		}
		m.apply(s.segment, s.version)
	}
	if highest < m.head {
		return errShorter
	}
	return nil
}

func (c *Core) readBases(now time.Time, l *load) {
	c.list(now, callBases, basePrefix(c.shard, l.group))
	c.call.load = l
}

func (c *Core) gotBases(now time.Time, l *load, entries []keeper.Entry) error {
	for _, entry := range entries {
		b, err := DecodeBase(entry.Value)
		if err != nil {
			return err
		}
		l.mem.absorb(b, entry.Version)
	}
	l.group++
	if l.group*BaseGroup < c.limits.BaseSlots {
		c.readBases(now, l)
		return nil
	}
	return c.finish(l)
}

// finish takes over a whole read. Bases that were written after the log was
// read may reach further than it; then the log is read once more.
func (c *Core) finish(l *load) error {
	behind := len(l.log) == 0 || l.mem.head > l.log[len(l.log)-1].segment.Number
	if behind && l.mem.head > 0 {
		c.mem, c.whole, c.ready = l.mem, true, false
		return nil
	}
	if err := l.mem.follow(l.log); err != nil {
		return err
	}
	c.mem, c.whole, c.ready = l.mem, true, true
	return nil
}

// gotSlot settles a write without a reply. An empty or older slot means that
// it is not written yet; the next swap on it finds out if it is later.
func (c *Core) gotSlot(entries []keeper.Entry) error {
	for _, entry := range entries {
		segment, err := DecodeSegment(entry.Value)
		if err != nil {
			return err
		}
		c.meet(segment, entry.Version)
	}
	return nil
}

// meet takes over a segment that was found in the slot of the next one.
func (c *Core) meet(s Segment, version keeper.Version) {
	switch {
	case s.Number == c.mem.head+1:
		c.mem.apply(s, version)
	case s.Number > c.mem.head:
		c.ready = false
	}
}
