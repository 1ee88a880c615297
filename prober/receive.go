package prober

import (
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// handleReceived handles a frame of another VM.
func (c *Core) handleReceived(now time.Time, e Received) {
	f := e.Frame
	if e.From == c.self.VM || f.Sender.VM != e.From {
		return
	}
	known := c.members.Len()
	c.applySender(now, f.Sender)
	for _, r := range f.Records {
		c.applyRecord(now, r)
	}
	for _, n := range f.Notices {
		c.applyNotice(now, n)
	}
	switch b := f.Body.(type) {
	case Ping:
		c.send(e.From, c.piggyback(e.From, Frame{Body: Ack(b)}))
	case Ack:
		c.handleAck(e.From, b.Sequence)
	case PingRequest:
		c.relay(now, e.From, b)
	case Sync:
		c.send(e.From, c.tableFrame(now, b.Digest))
	case Table:
		c.synced = true
		c.syncing = c.members.Len() > known
	case Gossip:
	}
}

// applySender applies the sender's record of itself. A sender that this VM
// considers suspect or dead is informed at once, so that it can refute.
func (c *Core) applySender(now time.Time, r Record) {
	r.State = Alive
	c.applyRecord(now, r)
	known, ok := c.members.Get(r.VM)
	if ok && known.State != Alive && known.Incarnation == r.Incarnation {
		c.send(r.VM, Frame{Body: Gossip{}, Records: []Record{known.shared()}})
	}
}

// applyRecord applies a record received from another VM. It never makes a VM
// dead: each VM decides that by itself.
func (c *Core) applyRecord(now time.Time, r Record) {
	r = r.shared()
	if r.VM == c.self.VM {
		c.refute(now, r)
		return
	}
	old, ok := c.members.Get(r.VM)
	if !ok {
		c.addMember(now, r)
		return
	}
	if r.isNewer(old.Record) {
		c.replaceRecord(now, old, r)
	}
}

// refute answers a suspicion of this VM by a record with a higher Refutation.
func (c *Core) refute(now time.Time, r Record) {
	if r.Incarnation > c.self.Incarnation {
		c.emit(Superseded{By: r})
		return
	}
	if r.Incarnation < c.self.Incarnation || r.State == Alive || r.Refutation < c.self.Refutation {
		return
	}
	c.self.Refutation = r.Refutation + 1
	c.queueRecord(now, c.self)
}

// addMember adds an unknown VM if it is alive. A suspect may have been dead for
// long; if it isn't, it refutes the suspicion and is added as alive.
func (c *Core) addMember(now time.Time, r Record) {
	if r.State != Alive || r.VM == "" || c.members.Len() >= MaxMembers {
		return
	}
	e := &entry{Record: r, since: now}
	if h, ok := c.hints.Get(r.VM); ok {
		e.listedLeaving = h.Leaving
	}
	c.members.Set(r.VM, e)
	c.trackState(e)
	c.liveChanged = true
	c.emit(MemberChanged{Record: r})
	c.queueRecord(now, r)
}

// replaceRecord replaces the record of a member by a newer one.
func (c *Core) replaceRecord(now time.Time, e *entry, r Record) {
	was := memberOf(e.Record)
	wasLive := e.isLive()
	if r.State != e.State || r.Incarnation != e.Incarnation {
		e.since = now
		e.confirmPings = 0
	}
	if r.Address == "" {
		r.Address, r.DataCentre = e.Address, e.DataCentre
	}
	e.Record = r
	c.trackState(e)
	if e.isLive() != wasLive || memberOf(r) != was {
		c.liveChanged = true
	}
	c.emit(MemberChanged{Record: r})
	c.queueRecord(now, r)
}

// handleConfigured drops the notices of upstreams that were removed from the
// configuration.
func (c *Core) handleConfigured(e Configured) {
	c.upstreams = setOf(e.Upstreams)
	for _, n := range c.notices.Values() {
		if !c.upstreams[n.Upstream] {
			c.notices.Delete(n.key())
		}
	}
}

// applyNotice applies a new notice. It ignores one about an upstream that is not
// in the configuration yet; a later table contains the notice again.
func (c *Core) applyNotice(now time.Time, n Notice) {
	if c.upstreams != nil && !c.upstreams[n.Upstream] {
		return
	}
	old, ok := c.notices.Get(n.key())
	if ok && !n.isNewer(old) {
		return
	}
	if !ok && (n.Upstream == "" || c.notices.Len() >= MaxNotices) {
		return
	}
	c.notices.Set(n.key(), n)
	if n.Leaving != old.Leaving {
		c.emit(NoticeChanged{Notice: n})
	}
	c.queueNotice(now, n)
}

// handleUpstreamLeaving turns a report about an upstream on this VM into a notice
// for all VMs.
func (c *Core) handleUpstreamLeaving(now time.Time, e UpstreamLeaving) {
	n := Notice{Upstream: e.Upstream, Leaving: e.Leaving, Source: e.Source}
	old, _ := c.notices.Get(n.key())
	if old.Leaving == e.Leaving {
		return
	}
	n.Sequence = old.Sequence + 1
	c.applyNotice(now, n)
}

// addHint stores a VM that may exist.
func (c *Core) addHint(h Hint) {
	if h.VM == c.self.VM || h.VM == "" || c.hints.Len() >= MaxMembers {
		return
	}
	c.hints.Set(h.VM, h)
}

// handleListed applies the platform's list. The list lags, so it never makes a VM
// live or dead, but a VM that it reports as leaving gets no new shards.
func (c *Core) handleListed(hints []Hint) {
	leaving := make(map[identifier.VM]bool, len(hints))
	for _, h := range hints {
		if h.VM == c.self.VM && h.Leaving && !c.self.Leaving {
			c.emit(ListedLeaving{})
		}
		leaving[h.VM] = h.Leaving
		c.addHint(h)
	}
	var gone []identifier.VM
	c.hints.Scan(func(vm identifier.VM, _ Hint) bool {
		if _, ok := leaving[vm]; !ok {
			gone = append(gone, vm)
		}
		return true
	})
	for _, vm := range gone {
		c.hints.Delete(vm)
	}
	c.members.Scan(func(vm identifier.VM, e *entry) bool {
		was := e.isLive()
		e.listedLeaving = leaving[vm]
		c.liveChanged = c.liveChanged || e.isLive() != was
		return true
	})
}
