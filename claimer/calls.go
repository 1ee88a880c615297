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
	// callSlot reads the slot of a segment whose write got no reply.
	callSlot
	// callAppend writes the next segment.
	callAppend
	// callBase writes a base.
	callBase
)

// call is the store call that a core waits for. There is at most one.
type call struct {
	kind   callKind
	id     uint64
	sentAt time.Time
	// segment is the value that a callAppend writes.
	segment Segment
	// base is the value that a callBase writes.
	base Base
	// read is the progress of reading the whole record during callBases.
	read *recordRead
}

// startList asks the shell to list the values below a prefix.
func (c *Core) startList(now time.Time, kind callKind, prefix string) {
	c.lastCallID++
	c.call = call{kind: kind, id: c.lastCallID, sentAt: now}
	c.out = append(c.out, List{Call: c.lastCallID, Prefix: prefix})
}

// startSwap asks the shell to write a value if the version of the key is the
// expected one.
func (c *Core) startSwap(now time.Time, kind callKind, key string, expected keeper.Version, value []byte) {
	c.lastCallID++
	c.call = call{kind: kind, id: c.lastCallID, sentAt: now}
	c.out = append(c.out, Swap{Call: c.lastCallID, Key: key, Expected: expected, Value: value})
}

// finishList handles the reply to the current List and ignores replies to
// earlier calls.
func (c *Core) finishList(now time.Time, e Listed) {
	done := c.call
	if done.kind == callNone || done.id != e.Call {
		return
	}
	if e.Failed != "" {
		c.failCall(now, e.Failed)
		return
	}
	c.call = call{}
	c.storeDown = false
	var err error
	switch done.kind {
	case callLog:
		err = c.loadLog(now, e.Entries)
	case callBases:
		err = c.loadBases(now, done.read, e.Entries)
	case callSlot:
		err = c.loadSlot(e.Entries)
	default:
		panic("claimer: list reply to a swap")
	}
	if err != nil {
		c.refuseDamaged(now)
	}
}

// finishSwap handles the reply to the current Swap and ignores replies to
// earlier calls.
func (c *Core) finishSwap(now time.Time, e Swapped) {
	done := c.call
	if done.kind == callNone || done.id != e.Call {
		return
	}
	if e.Failed != "" {
		c.failCall(now, e.Failed)
		return
	}
	c.call = call{}
	c.storeDown = false
	switch done.kind {
	case callAppend:
		c.finishAppend(now, done.segment, e)
	case callBase:
		c.finishCompaction(done.base, e)
	default:
		panic("claimer: swap reply to a list")
	}
}

// failCall ends the current call without a result. An append that may have
// been written is read back; after any other failure all asks are refused.
func (c *Core) failCall(now time.Time, kind keeper.Kind) {
	done := c.call
	c.call = call{}
	if done.kind == callAppend && kind != keeper.KindNotDone {
		c.startList(now, callSlot, slotKey(c.shard, c.replica.slotOf(done.segment.Number)))
		return
	}
	c.suspendAsks(now, ReasonStoreDown)
}

// suspendAsks refuses all asks until a probe of the store succeeds.
func (c *Core) suspendAsks(now time.Time, reason Reason) {
	c.storeDown = true
	c.upToDate = false
	c.probeAt = now.Add(ProbeInterval)
	c.refusePending(reason)
}

// refuseDamaged refuses all asks because the record can't be decoded or has a
// gap.
func (c *Core) refuseDamaged(now time.Time) {
	c.complete = false
	c.suspendAsks(now, ReasonDamaged)
}
