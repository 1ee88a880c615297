package claimer

import (
	"sort"
	"time"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/keeper"
)

// recordRead is the progress of reading the whole record. The log is read
// before the bases, so that a segment which has left the log by then is found
// in a base.
type recordRead struct {
	replica   *replica
	log       []storedSegment
	nextGroup int
}

// storedSegment is a segment with the version of its slot.
type storedSegment struct {
	segment Segment
	version keeper.Version
}

var (
	errGap     = errors.New("claim log has a gap")
	errShorter = errors.New("claim log is shorter than before")
)

func decodeLog(entries []keeper.Entry) ([]storedSegment, error) {
	log := make([]storedSegment, 0, len(entries))
	for _, entry := range entries {
		segment, err := DecodeSegment(entry.Value)
		if err != nil {
			return nil, err
		}
		log = append(log, storedSegment{segment: segment, version: entry.Version})
	}
	sort.Slice(log, func(i, j int) bool { return log[i].segment.Number < log[j].segment.Number })
	return log, nil
}

// loadLog brings the replica up to date with the log. If the replica is not
// complete or lacks segments that have left the log, it starts to read the
// bases.
func (c *Core) loadLog(now time.Time, entries []keeper.Entry) error {
	log, err := decodeLog(entries)
	if err != nil {
		return err
	}
	if c.complete && isContiguous(c.replica.head, log) {
		if err := c.replica.applyLog(log); err != nil {
			return err
		}
		c.upToDate = true
		return nil
	}
	c.readBases(now, &recordRead{replica: newReplica(c.limits), log: log})
	return nil
}

// isContiguous reports whether no segment is missing between head and the log.
func isContiguous(head uint64, log []storedSegment) bool {
	return len(log) == 0 || head+1 >= log[0].segment.Number
}

// applyLog applies the segments after head.
func (m *replica) applyLog(log []storedSegment) error {
	highest := uint64(0)
	for _, s := range log {
		highest = s.segment.Number
		m.slotVersions[m.slotOf(highest)] = s.version
		if highest <= m.head {
			continue
		}
		if highest != m.head+1 {
			return errGap
		}
		m.applySegment(s.segment, s.version)
	}
	if highest < m.head {
		return errShorter
	}
	return nil
}

// readBases reads the next group of bases.
func (c *Core) readBases(now time.Time, l *recordRead) {
	c.startList(now, callBases, basePrefix(c.shard, l.nextGroup))
	c.call.read = l
}

// loadBases adds a group of bases to the read, and reads the next group or
// ends the read.
func (c *Core) loadBases(now time.Time, l *recordRead, entries []keeper.Entry) error {
	for _, entry := range entries {
		b, err := DecodeBase(entry.Value)
		if err != nil {
			return err
		}
		l.replica.addBase(b, entry.Version)
	}
	l.nextGroup++
	if l.nextGroup*BaseGroup < c.limits.BaseSlots {
		c.readBases(now, l)
		return nil
	}
	return c.finishRead(l)
}

// finishRead replaces the replica by the one that was read. Bases that were
// written after the log was read may reach further than the log; then the log
// is read once more.
func (c *Core) finishRead(l *recordRead) error {
	behind := len(l.log) == 0 || l.replica.head > l.log[len(l.log)-1].segment.Number
	if behind && l.replica.head > 0 {
		c.replica, c.complete, c.upToDate = l.replica, true, false
		return nil
	}
	if err := l.replica.applyLog(l.log); err != nil {
		return err
	}
	c.replica, c.complete, c.upToDate = l.replica, true, true
	return nil
}

// loadSlot handles the content of a slot whose write got no reply. An empty
// slot or an older segment means that the write has not happened so far; if it
// happens later, the next swap on the slot fails.
func (c *Core) loadSlot(entries []keeper.Entry) error {
	for _, entry := range entries {
		segment, err := DecodeSegment(entry.Value)
		if err != nil {
			return err
		}
		c.applyFound(segment, entry.Version)
	}
	return nil
}

// applyFound applies a segment that was found in the slot of the next one. If
// segments before it are missing, the log is read again.
func (c *Core) applyFound(s Segment, version keeper.Version) {
	switch {
	case s.Number == c.replica.head+1:
		c.replica.applySegment(s, version)
	case s.Number > c.replica.head:
		c.upToDate = false
	}
}
