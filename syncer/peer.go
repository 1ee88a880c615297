package syncer

import (
	"bytes"
	"slices"
	"time"

	"github.com/figtrack/figtrack/configurer"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/spreader"
)

// rollout tracks an accepted change until it is in force on all live VMs.
type rollout struct {
	token    Token
	spreadID spreader.ID
	revision identifier.Revision
	// behind holds the VMs that have not confirmed the revision, sorted.
	behind []identifier.VM
	// spreading is true until the initial spread completes.
	spreading bool
	deadline  time.Time
	resendAt  time.Time
}

// sendOffers announces the own revision to one random VM, or to WatcherCount
// random VMs as long as this VM has no configuration.
func (c *Core) sendOffers() {
	n := 1
	if !c.ready {
		n = WatcherCount
	}
	for range min(n, len(c.live)) {
		to := c.live[c.rng.IntN(len(c.live))].VM
		c.emit(Send{To: to, Message: Offer{Revision: c.document.Revision}})
	}
}

// handleMessage handles a message from another VM.
func (c *Core) handleMessage(now time.Time, e Received) {
	switch m := e.Message.(type) {
	case Offer:
		c.handleOffer(e.From, m.Revision)
	case DocumentCopy:
		c.applyDocument(m.Value)
		c.sendConfirmation(e.From, m.Value)
	case Spread:
		if push, ok := m.Message.(spreader.Push); ok {
			c.handlePush(push)
		}
		c.stepSpread(now, spreader.Received{From: e.From, Message: m.Message})
	}
}

// handleOffer replies to a lower revision with the own document, and to a higher
// one with the own revision, so that the sender replies with its document.
func (c *Core) handleOffer(from identifier.VM, r identifier.Revision) {
	for _, w := range c.rollouts {
		if r >= w.revision {
			w.markApplied(from)
		}
	}
	switch {
	case r < c.document.Revision:
		c.emit(Send{To: from, Message: DocumentCopy{Value: c.value}})
	case r > c.document.Revision:
		c.emit(Send{To: from, Message: Offer{Revision: c.document.Revision}})
	}
}

// applyDocument applies a document that another VM sent.
func (c *Core) applyDocument(value []byte) {
	if bytes.Equal(value, c.value) {
		return
	}
	d, err := configurer.Decode(value)
	if err != nil {
		c.emit(Rejected{Err: err})
		return
	}
	c.applyIfNewer(d, value, OriginPeer)
}

// sendConfirmation reports the own revision to the sender of a document once that
// document, or a newer one, is in force here.
func (c *Core) sendConfirmation(to identifier.VM, value []byte) {
	if r := revisionOf(value); r > 0 && r <= c.document.Revision {
		c.emit(Send{To: to, Message: Offer{Revision: c.document.Revision}})
	}
}

// handlePush cancels the scheduled spread if another VM already spreads the same
// or a newer revision.
func (c *Core) handlePush(p spreader.Push) {
	if !c.spreadAt.IsZero() && revisionOf(p.Payload) >= c.document.Revision {
		c.spreadAt = time.Time{}
	}
}

// startSpread starts to spread the document in force to all live VMs.
func (c *Core) startSpread(now time.Time) spreader.ID {
	c.spreadNumber++
	id := spreader.ID{Root: c.VM, Incarnation: c.Incarnation, Number: c.spreadNumber}
	to := make([]identifier.VM, 0, len(c.live))
	for _, p := range c.live {
		to = append(to, p.VM)
	}
	c.stepSpread(now, spreader.Begin{ID: id, To: to, Payload: c.value})
	return id
}

// stepSpread advances the spreader. The spreader emits Deliver before the
// acknowledgement and the outcomes keep their order, so a payload is in force
// before it is acknowledged.
func (c *Core) stepSpread(now time.Time, e spreader.Event) {
	c.spreaderWakeAt = time.Time{}
	for _, o := range c.spreader.Step(now, e) {
		switch o := o.(type) {
		case spreader.Send:
			c.emit(Send{To: o.To, Message: Spread{Message: o.Message}})
		case spreader.Deliver:
			c.applyDocument(o.Payload)
		case spreader.Completed:
			c.handleSpreadCompleted(now, o)
		case spreader.WakeAt:
			c.spreaderWakeAt = o.At
		}
	}
}

// trackRollout tracks the revision in force until all live VMs have it. If
// MaxRollouts changes are already tracked, it reports all VMs as behind at once.
func (c *Core) trackRollout(now time.Time, token Token, id spreader.ID) {
	if len(c.rollouts) >= MaxRollouts {
		c.emit(RolloutEnded{Token: token, Revision: c.document.Revision, Behind: c.liveVMs()})
		return
	}
	w := &rollout{token: token, spreadID: id, revision: c.document.Revision, spreading: true, deadline: now.Add(RolloutTimeout)}
	w.behind = c.liveVMs()
	c.rollouts = append(c.rollouts, w)
}

// liveVMs returns the other live VMs, sorted.
func (c *Core) liveVMs() []identifier.VM {
	all := make([]identifier.VM, 0, len(c.live))
	for _, p := range c.live {
		all = append(all, p.VM)
	}
	slices.Sort(all)
	return all
}

func (w *rollout) markApplied(vm identifier.VM) {
	i, ok := slices.BinarySearch(w.behind, vm)
	if ok {
		w.behind = slices.Delete(w.behind, i, i+1)
	}
}

// handleSpreadCompleted handles the end of a spread. Only the VMs that it did not
// reach stay behind.
func (c *Core) handleSpreadCompleted(now time.Time, o spreader.Completed) {
	for _, w := range c.rollouts {
		if w.spreadID == o.ID {
			w.spreading = false
			w.resendAt = now
			w.behind = slices.DeleteFunc(w.behind, func(vm identifier.VM) bool {
				return !slices.Contains(o.Missing, vm)
			})
		}
	}
}

// advanceRollouts sends the document again to VMs that are behind, and ends each
// rollout that has no VM behind or has timed out.
func (c *Core) advanceRollouts(now time.Time) {
	c.rollouts = slices.DeleteFunc(c.rollouts, func(w *rollout) bool {
		w.behind = slices.DeleteFunc(w.behind, func(vm identifier.VM) bool { return !c.isLive(vm) })
		if len(w.behind) == 0 || !now.Before(w.deadline) {
			c.emit(RolloutEnded{Token: w.token, Revision: w.revision, Behind: w.behind})
			return true
		}
		if !w.spreading && !now.Before(w.resendAt) {
			w.resendAt = now.Add(ResendInterval)
			c.resendDocument(w)
		}
		return false
	})
}

// resendDocument sends the document to the VMs that are behind. They reply with
// the revision that they have in force.
func (c *Core) resendDocument(w *rollout) {
	for _, vm := range w.behind {
		c.emit(Send{To: vm, Message: DocumentCopy{Value: c.value}})
	}
}

func (c *Core) isLive(vm identifier.VM) bool {
	return slices.ContainsFunc(c.live, func(p Peer) bool { return p.VM == vm })
}

// nextRolloutWake returns the next time at which a rollout is due, or zero if
// there is none.
func (c *Core) nextRolloutWake() time.Time {
	var at time.Time
	for _, w := range c.rollouts {
		due := w.deadline
		if !w.spreading && w.resendAt.Before(due) {
			due = w.resendAt
		}
		if at.IsZero() || due.Before(at) {
			at = due
		}
	}
	return at
}
