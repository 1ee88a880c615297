package syncer

import (
	"bytes"
	"slices"
	"time"

	"github.com/figtrack/figtrack/configurer"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/spreader"
)

// wait is a change that is to be in force on all live VMs.
type wait struct {
	token    Token
	spread   spreader.ID
	revision identifier.Revision
	// behind are the VMs that have not said that they have it, sorted.
	behind []identifier.VM
	// spreading says that the first spread has not ended.
	spreading bool
	until     time.Time
	repushAt  time.Time
}

// offer compares revisions with one random VM, or with a few as long as this
// VM has no configuration.
func (c *Core) offer() {
	n := 1
	if !c.ready {
		n = Watchers
	}
	for range min(n, len(c.live)) {
		to := c.live[c.rng.IntN(len(c.live))].VM
		c.emit(Send{To: to, Message: Offer{Revision: c.document.Revision}})
	}
}

// receive takes in a message of another VM.
func (c *Core) receive(now time.Time, e Received) {
	switch m := e.Message.(type) {
	case Offer:
		c.offered(e.From, m.Revision)
	case Copy:
		c.copied(m.Value)
		c.confirm(e.From, m.Value)
	case Spread:
		if push, ok := m.Message.(spreader.Push); ok {
			c.heardPush(push)
		}
		c.stepSpread(now, spreader.Received{From: e.From, Message: m.Message})
	}
}

// offered answers a lower revision with the document and a higher one with
// the own offer, which the sender answers with its document.
func (c *Core) offered(from identifier.VM, r identifier.Revision) {
	for _, w := range c.waits {
		if r >= w.revision {
			w.caughtUp(from)
		}
	}
	switch {
	case r < c.document.Revision:
		c.emit(Send{To: from, Message: Copy{Value: c.value}})
	case r > c.document.Revision:
		c.emit(Send{To: from, Message: Offer{Revision: c.document.Revision}})
	}
}

// copied takes in another VM's document.
func (c *Core) copied(value []byte) {
	if bytes.Equal(value, c.value) {
		return
	}
	d, err := configurer.Decode(value)
	if err != nil {
		c.emit(Rejected{Err: err})
		return
	}
	c.adopt(d, value, OriginPeer)
}

// confirm tells the sender of a copy that it is in force here.
func (c *Core) confirm(to identifier.VM, value []byte) {
	if r := revisionOf(value); r > 0 && r <= c.document.Revision {
		c.emit(Send{To: to, Message: Offer{Revision: c.document.Revision}})
	}
}

// heardPush drops the own spread of a revision that another VM spreads.
func (c *Core) heardPush(p spreader.Push) {
	if !c.spreadAt.IsZero() && revisionOf(p.Payload) >= c.document.Revision {
		c.spreadAt = time.Time{}
	}
}

// begin spreads the document in force to all live VMs.
func (c *Core) begin(now time.Time) spreader.ID {
	c.number++
	id := spreader.ID{Root: c.VM, Incarnation: c.Incarnation, Number: c.number}
	to := make([]identifier.VM, 0, len(c.live))
	for _, p := range c.live {
		to = append(to, p.VM)
	}
	c.stepSpread(now, spreader.Begin{ID: id, To: to, Payload: c.value})
	return id
}

// stepSpread advances the spreader. A payload is in force before it is
// acknowledged, for the outcomes keep their order.
func (c *Core) stepSpread(now time.Time, e spreader.Event) {
	c.spreadBy = time.Time{}
	for _, o := range c.spread.Step(now, e) {
		switch o := o.(type) {
		case spreader.Send:
			c.emit(Send{To: o.To, Message: Spread{Message: o.Message}})
		case spreader.Deliver:
			c.copied(o.Payload)
		case spreader.Completed:
			c.completed(now, o)
		case spreader.WakeAt:
			c.spreadBy = o.At
		}
	}
}

// wait begins to wait for all VMs.
func (c *Core) wait(now time.Time, token Token, id spreader.ID) {
	if len(c.waits) >= MaxWaits {
		c.emit(Everywhere{Token: token, Revision: c.document.Revision, Behind: c.vms()})
		return
	}
	w := &wait{token: token, spread: id, revision: c.document.Revision, spreading: true, until: now.Add(WaitTimeout)}
	w.behind = c.vms()
	c.waits = append(c.waits, w)
}

// vms returns the other live VMs, sorted.
func (c *Core) vms() []identifier.VM {
	all := make([]identifier.VM, 0, len(c.live))
	for _, p := range c.live {
		all = append(all, p.VM)
	}
	slices.Sort(all)
	return all
}

func (w *wait) caughtUp(vm identifier.VM) {
	i, ok := slices.BinarySearch(w.behind, vm)
	if ok {
		w.behind = slices.Delete(w.behind, i, i+1)
	}
}

// completed narrows a wait to the VMs that the spread missed.
func (c *Core) completed(now time.Time, o spreader.Completed) {
	for _, w := range c.waits {
		if w.spread == o.ID {
			w.spreading = false
			w.repushAt = now
			w.behind = slices.DeleteFunc(w.behind, func(vm identifier.VM) bool {
				return !slices.Contains(o.Missing, vm)
			})
		}
	}
}

// advanceWaits tries the VMs that are behind again and ends waits.
func (c *Core) advanceWaits(now time.Time) {
	c.waits = slices.DeleteFunc(c.waits, func(w *wait) bool {
		w.behind = slices.DeleteFunc(w.behind, func(vm identifier.VM) bool { return !c.isLive(vm) })
		if len(w.behind) == 0 || !now.Before(w.until) {
			c.emit(Everywhere{Token: w.token, Revision: w.revision, Behind: w.behind})
			return true
		}
		if !w.spreading && !now.Before(w.repushAt) {
			w.repushAt = now.Add(RepushEvery)
			c.repush(w)
		}
		return false
	})
}

// repush sends the document to the VMs that are behind, which confirm it.
func (c *Core) repush(w *wait) {
	for _, vm := range w.behind {
		c.emit(Send{To: vm, Message: Copy{Value: c.value}})
	}
}

func (c *Core) isLive(vm identifier.VM) bool {
	return slices.ContainsFunc(c.live, func(p Peer) bool { return p.VM == vm })
}

// waitAt is when a wait needs a wake.
func (c *Core) waitAt() time.Time {
	var at time.Time
	for _, w := range c.waits {
		due := w.until
		if !w.spreading && w.repushAt.Before(due) {
			due = w.repushAt
		}
		if at.IsZero() || due.Before(at) {
			at = due
		}
	}
	return at
}
