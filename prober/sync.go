package prober

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figtrack/figtrack/identifier"
)

// sync asks VMs that were named for their tables until one teaches nothing.
func (c *Core) sync() {
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
	for _, vm := range named[:min(Helpers, len(named))] {
		c.ask(vm)
	}
}

// compare asks one random VM for its table, which is empty if both know the
// same. It mends what gossip has missed.
func (c *Core) compare() {
	for _, e := range c.sample(1, "") {
		c.ask(e.VM)
	}
}

// reconnect tries one dead VM or one that was only named, so that the parts
// of a split fleet find each other again.
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
		c.ask(lost[c.rng.IntN(len(lost))])
	}
}

func (c *Core) ask(vm identifier.VM) {
	c.send(vm, c.piggyback(vm, Frame{Body: Sync{Digest: c.digest()}}))
}

// table is all that this VM knows, or nothing if the asking VM knows it. A
// VM that died lately is told as suspect, for a VM that has missed that.
func (c *Core) table(now time.Time, digest uint64) Frame {
	f := Frame{Body: Table{}}
	if digest == c.digest() {
		return f
	}
	c.members.Scan(func(_ identifier.VM, e *entry) bool {
		if e.State != Dead || now.Sub(e.since) < DeadTold {
			f.Records = append(f.Records, e.spoken())
		}
		return true
	})
	c.notices.Scan(func(_ noticeKey, n Notice) bool {
		f.Notices = append(f.Notices, n)
		return true
	})
	return f
}

// digest is the hash of what this VM knows, in any order. It leaves out
// refutations, which come and go with lost messages.
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
