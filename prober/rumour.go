package prober

import (
	"math/bits"
	"time"

	"github.com/tidwall/btree"

	"github.com/figtrack/figtrack/identifier"
)

// updateQueue counts how often new records and notices are still to be sent.
type updateQueue struct {
	// records and notices hold how often each is still to be sent with pings
	// and acks.
	records btree.Map[identifier.VM, int]
	notices btree.Map[noticeKey, int]
	// gossipRecords and gossipNotices hold the remaining rounds of gossip.
	gossipRecords btree.Map[identifier.VM, int]
	gossipNotices btree.Map[noticeKey, int]
}

// drop removes a VM's record from the queue.
func (r *updateQueue) drop(vm identifier.VM) {
	r.records.Delete(vm)
	r.gossipRecords.Delete(vm)
}

// piggybackCount returns how often a VM sends a new record or notice with its
// pings and acks, so that it almost certainly reaches all n VMs of the fleet.
func piggybackCount(n int) int { return 2 * bits.Len(uint(n+1)) }

func (c *Core) queueRecord(now time.Time, r Record) {
	c.updates.records.Set(r.VM, piggybackCount(c.members.Len()))
	c.updates.gossipRecords.Set(r.VM, GossipRounds)
	c.scheduleFlush(now)
}

func (c *Core) queueNotice(now time.Time, n Notice) {
	c.updates.notices.Set(n.key(), piggybackCount(c.members.Len()))
	c.updates.gossipNotices.Set(n.key(), GossipRounds)
	c.scheduleFlush(now)
}

// hasGossip reports whether records or notices wait for a round of gossip.
func (r *updateQueue) hasGossip() bool { return r.gossipRecords.Len()+r.gossipNotices.Len() > 0 }

func (c *Core) scheduleFlush(now time.Time) {
	if c.nextFlush.Before(now) {
		c.nextFlush = now
	}
}

// flush gossips the waiting records and notices to a few random VMs, unless the
// last round was too recent.
func (c *Core) flush(now time.Time) {
	if !c.updates.hasGossip() || now.Before(c.nextFlush) {
		return
	}
	c.nextFlush = now.Add(MinGossipInterval)
	f := Frame{Body: Gossip{}}
	visitHighest(&c.updates.gossipRecords, MaxGossipRecords, func(vm identifier.VM) {
		if r, ok := c.recordOf(vm); ok {
			f.Records = append(f.Records, r.shared())
		}
	})
	visitHighest(&c.updates.gossipNotices, MaxGossipRecords, func(k noticeKey) {
		if n, ok := c.notices.Get(k); ok {
			f.Notices = append(f.Notices, n)
		}
	})
	for _, e := range c.sampleAlive(Fanout, "") {
		c.send(e.VM, f)
	}
}

// nextRecords returns up to n new records and counts them as sent once.
func (c *Core) nextRecords(n int) []Record {
	var records []Record
	visitHighest(&c.updates.records, n, func(vm identifier.VM) {
		if r, ok := c.recordOf(vm); ok {
			records = append(records, r.shared())
		}
	})
	return records
}

// nextNotices returns up to n new notices and counts them as sent once.
func (c *Core) nextNotices(n int) []Notice {
	var notices []Notice
	visitHighest(&c.updates.notices, n, func(k noticeKey) {
		if v, ok := c.notices.Get(k); ok {
			notices = append(notices, v)
		}
	})
	return notices
}

// visitHighest visits up to n keys, those with the highest counts first, and
// decreases their counts. A key whose count reaches zero is removed.
func visitHighest[K ~string](m *btree.Map[K, int], n int, visit func(K)) {
	for _, k := range highestCounts(m, n) {
		visit(k)
		left, _ := m.Get(k)
		if left <= 1 {
			m.Delete(k)
			continue
		}
		m.Set(k, left-1)
	}
}

// highestCounts returns up to n keys with the highest counts, in a stable order.
func highestCounts[K ~string](m *btree.Map[K, int], n int) []K {
	byCount := btree.Map[int, []K]{}
	m.Scan(func(k K, left int) bool {
		keys, _ := byCount.Get(left)
		byCount.Set(left, append(keys, k))
		return true
	})
	var keys []K
	byCount.Reverse(func(_ int, some []K) bool {
		keys = append(keys, some...)
		return len(keys) < n
	})
	return keys[:min(n, len(keys))]
}

// rotateRecords returns the next n records in rotation, so that a VM that missed
// a record gets it again later.
func (c *Core) rotateRecords(n int) []Record {
	var records []Record
	for range 2 {
		c.members.Ascend(c.lastRotated, func(vm identifier.VM, e *entry) bool {
			if vm > c.lastRotated && e.State != Dead {
				records = append(records, e.Record)
				c.lastRotated = vm
			}
			return len(records) < n
		})
		if len(records) >= n {
			return records
		}
		c.lastRotated = ""
	}
	return records
}

// recordOf returns the present record of a VM.
func (c *Core) recordOf(vm identifier.VM) (Record, bool) {
	if vm == c.self.VM {
		return c.self, true
	}
	e, ok := c.members.Get(vm)
	if !ok {
		return Record{}, false
	}
	return e.Record, true
}

// piggyback adds records and notices to a frame. A record by which the receiver
// itself is suspect comes first, so that the receiver can refute it.
func (c *Core) piggyback(to identifier.VM, f Frame) Frame {
	if e, ok := c.members.Get(to); ok && e.State != Alive {
		f.Records = append(f.Records, e.shared())
	}
	f.Records = append(f.Records, c.nextRecords(MaxPiggybackRecords-len(f.Records))...)
	f.Notices = c.nextNotices(MaxPiggybackRecords)
	if len(f.Records) < RotatedRecords {
		f.Records = append(f.Records, c.rotateRecords(RotatedRecords-len(f.Records))...)
	}
	return f
}

// send emits a frame to a VM, with the address from its record or hint.
func (c *Core) send(to identifier.VM, f Frame) {
	f.Sender = c.self
	address := ""
	if e, ok := c.members.Get(to); ok {
		address = e.Address
	} else if h, ok := c.hints.Get(to); ok {
		address = h.Address
	}
	c.emit(Send{To: to, Address: address, Frame: f})
}

// sampleAlive returns up to n random alive VMs, excluding the given one.
func (c *Core) sampleAlive(n int, without identifier.VM) []*entry {
	var alive []*entry
	c.members.Scan(func(vm identifier.VM, e *entry) bool {
		if e.State == Alive && vm != without {
			alive = append(alive, e)
		}
		return true
	})
	n = min(n, len(alive))
	for i := range n {
		j := i + c.rng.IntN(len(alive)-i)
		alive[i], alive[j] = alive[j], alive[i]
	}
	return alive[:n]
}
