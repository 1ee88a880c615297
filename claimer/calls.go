package claimer

import (
	"time"

	"github.com/figtrack/figtrack/keeper"
)

// callKind is the purpose of a store call.
type callKind int

const (
	callNone callKind = iota
	// callLog reads the ring of segments.
	callLog
	// callBases reads one group of bases.
	callBases
	// callSlot reads a segment back whose write had no reply.
	callSlot
	// callAppend writes the next segment.
	callAppend
	// callBase writes a base.
	callBase
)

// call is the one store call that a core has outstanding.
type call struct {
	kind callKind
	id   uint64
	sent time.Time
	// segment is what a callAppend writes.
	segment Segment
	// base is what a callBase writes.
	base Base
	// load is the state of a whole read during callBases.
	load *load
}

func (c *Core) list(now time.Time, kind callKind, prefix string) {
	c.calls++
	c.call = call{kind: kind, id: c.calls, sent: now}
	c.out = append(c.out, List{Call: c.calls, Prefix: prefix})
}

func (c *Core) swap(now time.Time, kind callKind, key string, expected keeper.Version, value []byte) {
	c.calls++
	c.call = call{kind: kind, id: c.calls, sent: now}
	c.out = append(c.out, Swap{Call: c.calls, Key: key, Expected: expected, Value: value})
}

func (c *Core) listed(now time.Time, e Listed) {
	done := c.call
	if done.kind == callNone || done.id != e.Call {
		return
	}
	if e.Failed != "" {
		c.failed(now, e.Failed)
		return
	}
	c.call = call{}
	c.down = false
	var err error
	switch done.kind {
	case callLog:
		err = c.gotLog(now, e.Entries)
	case callBases:
		err = c.gotBases(now, done.load, e.Entries)
	case callSlot:
		err = c.gotSlot(e.Entries)
	default:
		panic("claimer: list reply to a swap")
	}
	if err != nil {
		c.damaged(now)
	}
}

func (c *Core) swapped(now time.Time, e Swapped) {
	done := c.call
	if done.kind == callNone || done.id != e.Call {
		return
	}
	if e.Failed != "" {
		c.failed(now, e.Failed)
		return
	}
	c.call = call{}
	c.down = false
	switch done.kind {
	case callAppend:
		c.appended(now, done.segment, e)
	case callBase:
		c.compacted(done.base, e)
	default:
		panic("claimer: swap reply to a list")
	}
}

// failed ends the outstanding call without a result.
func (c *Core) failed(now time.Time, kind keeper.Kind) {
	done := c.call
	c.call = call{}
	if done.kind == callAppend && kind != keeper.KindNotDone {
		c.list(now, callSlot, slotKey(c.shard, c.mem.slot(done.segment.Number)))
		return
	}
	c.suspend(now, ReasonStoreDown)
}

// suspend refuses all asks until the store answers a probe.
func (c *Core) suspend(now time.Time, reason Reason) {
	c.down = true
	c.ready = false
	c.probeAt = now.Add(ProbeEvery)
	c.refuse(reason)
}

// damaged refuses all asks because the record can't be read.
func (c *Core) damaged(now time.Time) {
	c.whole = false
	c.suspend(now, ReasonDamaged)
}
