package prober

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figtrack/figtrack/identifier"
)

// requestTables asks random VMs for their tables, in each round until a table
// holds no unknown VM.
func (c *Core) requestTables() {
	if !c.syncing {
		return
	}
	var named []identifier.VM
	c.hints.Scan(func(vm identifier.VM, _ Hint) bool {
		named = append(named, vm)
		return true
	})
	c.members.Scan(func(vm identifier.VM, _ *entry) bool {
		if _, ok := c.hints.Get(vm); !ok {
			named = append(named, vm)
		}
		return true
	})
	c.rng.Shuffle(len(named), func(i, j int) { named[i], named[j] = named[j], named[i] })
	for _, vm := range named[:min(HelperCount, len(named))] {
		c.requestTable(vm)
	}
}

// compareTables asks a random VM for its table, which is empty if both VMs know
// the same. It repairs what gossip has missed.
func (c *Core) compareTables() {
	for _, e := range c.sampleAlive(1, "") {
		c.requestTable(e.VM)
	}
}

// reconnect asks one VM that is dead, or known only from a hint, for its table.
// This rejoins the parts of a fleet after a network partition.
func (c *Core) reconnect() {
	var lost []identifier.VM
	c.members.Scan(func(vm identifier.VM, e *entry) bool {
		if e.State == Dead {
			lost = append(lost, vm)
		}
		return true
	})
	c.hints.Scan(func(vm identifier.VM, _ Hint) bool {
		if _, ok := c.members.Get(vm); !ok {
			lost = append(lost, vm)
		}
		return true
	})
	if len(lost) > 0 {
		c.requestTable(lost[c.rng.IntN(len(lost))])
	}
}

func (c *Core) requestTable(vm identifier.VM) {
	c.send(vm, c.piggyback(vm, Frame{Body: Sync{Digest: c.digest()}}))
}

// tableFrame returns all that this VM knows, or nothing if the digest shows that
// the asking VM knows it already. A VM that died recently is included as suspect,
// for a receiver that missed the suspicion.
func (c *Core) tableFrame(now time.Time, digest uint64) Frame {
	f := Frame{Body: Table{}}
	if digest == c.digest() {
		return f
	}
	c.members.Scan(func(_ identifier.VM, e *entry) bool {
		if e.State != Dead || now.Sub(e.since) < DeadInTableTTL {
			f.Records = append(f.Records, e.shared())
		}
		return true
	})
	c.notices.Scan(func(_ noticeKey, n Notice) bool {
		f.Notices = append(f.Notices, n)
		return true
	})
	return f
}

// digest returns a hash of what this VM knows, independent of order. It leaves
// out refutations, which differ between VMs after lost messages.
func (c *Core) digest() uint64 {
	sum := hashRecord(c.self)
	c.members.Scan(func(_ identifier.VM, e *entry) bool {
		if e.State != Dead {
			sum += hashRecord(e.Record)
		}
		return true
	})
	c.notices.Scan(func(k noticeKey, n Notice) bool {
		sum += hash(string(k), n.Sequence, n.Leaving)
		return true
	})
	return sum
}

func hashRecord(r Record) uint64 {
	return hash(string(r.VM), uint64(r.Incarnation), r.Leaving)
}

func hash(id string, number uint64, leaving bool) uint64 {
	buf := make([]byte, 0, 96)
	buf = append(buf, id...)
	buf = binary.BigEndian.AppendUint64(buf, number)
	if leaving {
		buf = append(buf, 1)
	}
	return xxhash.Sum64(buf)
}
