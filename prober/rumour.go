package prober

import (
	"math/bits"
	"time"

	"github.com/tidwall/btree"

	"github.com/figtrack/figtrack/identifier"
)

// rumours counts how often fresh statements are still to be sent.
type rumours struct {
	records btree.Map[identifier.VM, int]
	notices btree.Map[noticeKey, int]
	// unsent and unsentNotices hold the rounds of gossip that are left.
	unsent        btree.Map[identifier.VM, int]
	unsentNotices btree.Map[noticeKey, int]
}

// drop ends the spread of a VM's record.
func (r *rumours) drop(vm identifier.VM) {
	r.records.Delete(vm)
	r.unsent.Delete(vm)
}

// repeats is how often one VM sends a fresh statement with its pings and
// acks, so that it reaches a fleet of n VMs with near certainty.
func repeats(n int) int { return 2 * bits.Len(uint(n+1)) }

func (c *Core) rumourOf(now time.Time, r Record) {
	c.rumours.records.Set(r.VM, repeats(c.members.Len()))
	c.rumours.unsent.Set(r.VM, GossipRounds)
	c.flushSoon(now)
}

func (c *Core) rumourNotice(now time.Time, n Notice) {
	c.rumours.notices.Set(n.key(), repeats(c.members.Len()))
	c.rumours.unsentNotices.Set(n.key(), GossipRounds)
	c.flushSoon(now)
}

// unflushed says that a round of gossip is due.
func (r *rumours) unflushed() bool { return r.unsent.Len()+r.unsentNotices.Len() > 0 }

func (c *Core) flushSoon(now time.Time) {
	if c.nextFlush.Before(now) {
		c.nextFlush = now
	}
}

// flush sends the unsent statements to a few random VMs at once.
func (c *Core) flush(now time.Time) {
	if !c.rumours.unflushed() || now.Before(c.nextFlush) {
		return
	}
	c.nextFlush = now.Add(FlushDelay)
	f := Frame{Body: Gossip{}}
	take(&c.rumours.unsent, GossipRecords, func(vm identifier.VM) {
		if r, ok := c.record(vm); ok {
			f.Records = append(f.Records, r.spoken())
		}
	})
	take(&c.rumours.unsentNotices, GossipRecords, func(k noticeKey) {
		if n, ok := c.notices.Get(k); ok {
			f.Notices = append(f.Notices, n)
		}
	})
	for _, e := range c.sample(Fanout, "") {
		c.send(e.VM, f)
	}
}

// fresh takes up to n fresh records and counts them as sent once.
func (c *Core) fresh(n int) []Record {
	var records []Record
	take(&c.rumours.records, n, func(vm identifier.VM) {
		if r, ok := c.record(vm); ok {
			records = append(records, r.spoken())
		}
	})
	return records
}

// freshNotices takes up to n fresh notices and counts them as sent once.
func (c *Core) freshNotices(n int) []Notice {
	var notices []Notice
	take(&c.rumours.notices, n, func(k noticeKey) {
		if v, ok := c.notices.Get(k); ok {
			notices = append(notices, v)
		}
	})
	return notices
}

// take visits up to n keys, those with the most repeats left first.
func take[K ~string](m *btree.Map[K, int], n int, visit func(K)) {
	for _, k := range most(m, n) {
		visit(k)
		left, _ := m.Get(k)
		if left <= 1 {
			m.Delete(k)
			continue
		}
		m.Set(k, left-1)
	}
}

// most returns up to n keys with the highest counts, in a stable order.
func most[K ~string](m *btree.Map[K, int], n int) []K {
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

// rotate returns old records in turn, so that a statement that was missed
// comes round again.
func (c *Core) rotate(n int) []Record {
	var records []Record
	for range 2 {
		c.members.Ascend(c.rotated, func(vm identifier.VM, e *entry) bool {
			if vm > c.rotated && e.State != Dead {
				records = append(records, e.Record)
				c.rotated = vm
			}
			return len(records) < n
		})
		if len(records) >= n {
			return records
		}
		c.rotated = ""
	}
	return records
}

// record returns the present record of a VM.
func (c *Core) record(vm identifier.VM) (Record, bool) {
	if vm == c.self.VM {
		return c.self, true
	}
	e, ok := c.members.Get(vm)
	if !ok {
		return Record{}, false
	}
	return e.Record, true
}

// piggyback fills a ping or an ack to a VM. What is said against the
// receiver goes first, so that it can refute.
func (c *Core) piggyback(to identifier.VM, f Frame) Frame {
	if e, ok := c.members.Get(to); ok && e.State != Alive {
		f.Records = append(f.Records, e.spoken())
	}
	f.Records = append(f.Records, c.fresh(PiggybackRecords-len(f.Records))...)
	f.Notices = c.freshNotices(PiggybackRecords)
	if len(f.Records) < RotatedRecords {
		f.Records = append(f.Records, c.rotate(RotatedRecords-len(f.Records))...)
	}
	return f
}

// send emits a frame to a VM whose address is known.
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

// sample returns up to n random VMs that are alive, without one.
func (c *Core) sample(n int, without identifier.VM) []*entry {
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
