package prober

import (
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// receive takes in one frame.
func (c *Core) receive(now time.Time, e Received) {
	f := e.Frame
	if e.From == c.self.VM || f.Sender.VM != e.From {
		return
	}
	known := c.members.Len()
	c.hear(now, f.Sender)
	for _, r := range f.Records {
		c.learn(now, r)
	}
	for _, n := range f.Notices {
		c.learnNotice(now, n)
	}
	switch b := f.Body.(type) {
	case Ping:
		c.send(e.From, c.piggyback(e.From, Frame{Body: Ack(b)}))
	case Ack:
		c.acked(e.From, b.Sequence)
	case PingRequest:
		c.relay(now, e.From, b)
	case Sync:
		c.send(e.From, c.table(now, b.Digest))
	case Table:
		c.synced = true
		c.syncing = c.members.Len() > known
	case Gossip:
	}
}

// hear takes in what a VM says of itself. A VM that does not know that it is
// held for suspect or dead is told at once.
func (c *Core) hear(now time.Time, r Record) {
	r.State = Alive
	c.learn(now, r)
	known, ok := c.members.Get(r.VM)
	if ok && known.State != Alive && known.Incarnation == r.Incarnation {
		c.send(r.VM, Frame{Body: Gossip{}, Records: []Record{known.spoken()}})
	}
}

// learn takes in one record. Death is never taken from hearsay.
func (c *Core) learn(now time.Time, r Record) {
	r = r.spoken()
	if r.VM == c.self.VM {
		c.refute(now, r)
		return
	}
	old, ok := c.members.Get(r.VM)
	if !ok {
		c.admit(now, r)
		return
	}
	if r.newer(old.Record) {
		c.replace(now, old, r)
	}
}

// refute answers a statement against this VM by a higher version.
func (c *Core) refute(now time.Time, r Record) {
	if r.Incarnation > c.self.Incarnation {
		c.emit(Superseded{By: r})
		return
	}
	if r.Incarnation < c.self.Incarnation || r.State == Alive || r.Refutation < c.self.Refutation {
		return
	}
	c.self.Refutation = r.Refutation + 1
	c.rumourOf(now, c.self)
}

// admit adds a VM that was not known. One that is suspect may be long dead;
// if it lives it refutes, and comes as alive.
func (c *Core) admit(now time.Time, r Record) {
	if r.State != Alive || r.VM == "" || c.members.Len() >= MaxMembers {
		return
	}
	e := &entry{Record: r, since: now}
	if h, ok := c.hints.Get(r.VM); ok {
		e.listedLeaving = h.Leaving
	}
	c.members.Set(r.VM, e)
	c.sort(e)
	c.changed = true
	c.emit(MemberChanged{Record: r})
	c.rumourOf(now, r)
}

// replace puts a newer record in the place of an old one.
func (c *Core) replace(now time.Time, e *entry, r Record) {
	was := member(e.Record)
	wasLive := e.live()
	if r.State != e.State || r.Incarnation != e.Incarnation {
		e.since = now
		e.confirms = 0
	}
	if r.Address == "" {
		r.Address, r.DataCentre = e.Address, e.DataCentre
	}
	e.Record = r
	c.sort(e)
	if e.live() != wasLive || member(r) != was {
		c.changed = true
	}
	c.emit(MemberChanged{Record: r})
	c.rumourOf(now, r)
}

// configured drops the notices of upstreams that are gone.
func (c *Core) configured(e Configured) {
	c.upstreams = setOf(e.Upstreams)
	for _, n := range c.notices.Values() {
		if !c.upstreams[n.Upstream] {
			c.notices.Delete(n.key())
		}
	}
}

// learnNotice takes in one notice of another VM. One of an upstream that is
// not in the configuration comes again by a table once it is.
func (c *Core) learnNotice(now time.Time, n Notice) {
	if c.upstreams != nil && !c.upstreams[n.Upstream] {
		return
	}
	old, ok := c.notices.Get(n.key())
	if ok && !n.newer(old) {
		return
	}
	if !ok && (n.Upstream == "" || c.notices.Len() >= MaxNotices) {
		return
	}
	c.notices.Set(n.key(), n)
	if n.Leaving != old.Leaving {
		c.emit(NoticeChanged{Notice: n})
	}
	c.rumourNotice(now, n)
}

// state turns what this VM heard of an upstream into a notice for all.
func (c *Core) state(now time.Time, e UpstreamLeaving) {
	n := Notice{Upstream: e.Upstream, Leaving: e.Leaving, Source: e.Source}
	old, _ := c.notices.Get(n.key())
	if old.Leaving == e.Leaving {
		return
	}
	n.Sequence = old.Sequence + 1
	c.learnNotice(now, n)
}

// hint remembers a VM that may exist.
func (c *Core) hint(h Hint) {
	if h.VM == c.self.VM || h.VM == "" || c.hints.Len() >= MaxMembers {
		return
	}
	c.hints.Set(h.VM, h)
}

// listed takes in the platform's list. It lags: it never makes a VM live or
// dead, but a VM that it has as leaving gets no new duties.
func (c *Core) listed(hints []Hint) {
	leaving := make(map[identifier.VM]bool, len(hints))
	for _, h := range hints {
		if h.VM == c.self.VM && h.Leaving && !c.self.Leaving {
			c.emit(ListedLeaving{})
		}
		leaving[h.VM] = h.Leaving
		c.hint(h)
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
		was := e.live()
		e.listedLeaving = leaving[vm]
		c.changed = c.changed || e.live() != was
		return true
	})
}
