package prober

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figtrack/figtrack/identifier"
)

// probe is a ping that waits for its ack.
type probe struct {
	target    identifier.VM
	startedAt time.Time
	// helpersAsked is true once helpers were asked for an indirect probe.
	helpersAsked bool
	// relayTo is the VM that requested the probe, empty if it is this VM's own.
	relayTo       identifier.VM
	relaySequence identifier.Sequence
	// suspectOnTimeout is true if the target becomes suspect without an ack.
	suspectOnTimeout bool
	// onRing is true if the target was probed as the next VM on the hash ring.
	onRing bool
}

// advance runs everything that has become due.
func (c *Core) advance(now time.Time) {
	c.expireProbes(now)
	c.expireMembers(now)
	if !now.Before(c.nextRound) {
		c.nextRound = now.Add(ProbeInterval)
		c.probeRound(now)
	}
	if !now.Before(c.nextComparison) {
		c.nextComparison = now.Add(CompareInterval)
		c.compareTables()
		c.reconnect()
	}
	c.flush(now)
}

// probeRound probes the next VM on the hash ring and one random VM.
func (c *Core) probeRound(now time.Time) {
	c.requestTables()
	next := c.successor(c.self.VM)
	if next != "" {
		c.ping(now, next, true).onRing = true
	}
	if other := c.nextShuffled(); other != "" && other != next {
		c.ping(now, other, true)
	}
}

// successor returns the next alive VM after the given one in hash order. As each
// VM probes its successor, every VM is probed by another one in each period.
func (c *Core) successor(after identifier.VM) identifier.VM {
	from := xxhash.Sum64String(string(after))
	var best identifier.VM
	var distance uint64
	c.members.Scan(func(vm identifier.VM, e *entry) bool {
		d := xxhash.Sum64String(string(vm)) - from
		if e.State == Alive && vm != after && (best == "" || d < distance) {
			best, distance = vm, d
		}
		return true
	})
	return best
}

// nextShuffled returns the next alive VM in a random order that visits each VM
// once before it is shuffled again.
func (c *Core) nextShuffled() identifier.VM {
	for range 2 {
		for len(c.shuffled) > 0 {
			vm := c.shuffled[0]
			c.shuffled = c.shuffled[1:]
			if e, ok := c.members.Get(vm); ok && e.State == Alive {
				return vm
			}
		}
		c.shuffled = c.members.Keys()
		c.rng.Shuffle(len(c.shuffled), func(i, j int) { c.shuffled[i], c.shuffled[j] = c.shuffled[j], c.shuffled[i] })
	}
	return ""
}

// ping sends a ping and registers its probe.
func (c *Core) ping(now time.Time, target identifier.VM, blames bool) *probe {
	c.sequence++
	p := &probe{target: target, startedAt: now, suspectOnTimeout: blames}
	c.probes.Set(c.sequence, p)
	c.send(target, c.piggyback(target, Frame{Body: Ping{Sequence: c.sequence}}))
	return p
}

// relay pings a third VM on behalf of another VM.
func (c *Core) relay(now time.Time, from identifier.VM, b PingRequest) {
	if _, ok := c.members.Get(b.Target); !ok || c.relays >= MaxRelays {
		return
	}
	p := c.ping(now, b.Target, false)
	p.relayTo = from
	p.relaySequence = b.Sequence
	c.relays++
}

// handleAck ends a probe, and sends an ack to the VM that requested it, if any.
func (c *Core) handleAck(from identifier.VM, s identifier.Sequence) {
	p, ok := c.probes.Get(s)
	if !ok || (p.target != from && p.relayTo != "") {
		return
	}
	c.removeProbe(s, p)
	if p.relayTo != "" {
		c.send(p.relayTo, c.piggyback(p.relayTo, Frame{Body: Ack{Sequence: p.relaySequence}}))
	}
}

func (c *Core) removeProbe(s identifier.Sequence, p *probe) {
	c.probes.Delete(s)
	if p.relayTo != "" {
		c.relays--
	}
}

// expireProbes asks helpers to ping the targets of late probes, and marks the
// targets of expired ones as suspect.
func (c *Core) expireProbes(now time.Time) {
	for _, s := range c.probes.Keys() {
		p, _ := c.probes.Get(s)
		age := now.Sub(p.startedAt)
		if age >= ProbeTimeout {
			c.removeProbe(s, p)
			if p.suspectOnTimeout {
				c.markSuspect(now, p.target)
			}
			continue
		}
		if age >= DirectTimeout && p.suspectOnTimeout && !p.helpersAsked {
			p.helpersAsked = true
			c.askHelpers(s, p)
			c.probeNextOnRing(now, p)
		}
	}
}

// probeNextOnRing probes the VM after a late target on the hash ring at once: if
// the target is dead, nobody probes that VM. Many VMs die together when a rack or
// a data centre fails.
func (c *Core) probeNextOnRing(now time.Time, p *probe) {
	if !p.onRing {
		return
	}
	if next := c.successor(p.target); next != "" {
		c.ping(now, next, true).onRing = true
	}
}

// askHelpers pings a late target again, directly and through other VMs.
func (c *Core) askHelpers(s identifier.Sequence, p *probe) {
	c.send(p.target, Frame{Body: Ping{Sequence: s}})
	for _, h := range c.sampleAlive(HelperCount, p.target) {
		c.send(h.VM, c.piggyback(h.VM, Frame{Body: PingRequest{Sequence: s, Target: p.target}}))
	}
}

// markSuspect marks an alive VM as suspect because it doesn't answer.
func (c *Core) markSuspect(now time.Time, vm identifier.VM) {
	e, ok := c.members.Get(vm)
	if !ok || e.State != Alive {
		return
	}
	r := e.Record
	r.State = Suspect
	c.replaceRecord(now, e, r)
}

// expireMembers pings suspects, marks those that stay silent as dead and removes
// those that have been dead for long.
func (c *Core) expireMembers(now time.Time) {
	for _, e := range c.unresponsiveMembers() {
		age := now.Sub(e.since)
		switch {
		case e.State == Dead && age >= DeadTTL:
			c.removeMember(e.VM)
		case e.State == Suspect && age >= SuspicionTimeout:
			c.markDead(now, e)
		case e.State == Suspect && age >= confirmPingAge(e.confirmPings) && e.confirmPings < ConfirmPings:
			e.confirmPings++
			c.ping(now, e.VM, false)
		}
	}
}

// markDead marks a silent suspect as dead. The state is not sent to other VMs,
// so that a VM cut off from the fleet can't make them drop live members.
func (c *Core) markDead(now time.Time, e *entry) {
	wasLive := e.isLive()
	e.State = Dead
	e.since = now
	c.trackState(e)
	c.updates.drop(e.VM)
	c.liveChanged = c.liveChanged || wasLive
	c.emit(MemberChanged{Record: e.Record})
}

// confirmPingAge returns the age of a suspicion at which its ping n is due.
func confirmPingAge(n int) time.Duration {
	return SuspicionTimeout * time.Duration(n+1) / (ConfirmPings + 1)
}

// unresponsiveMembers returns the VMs that are suspect or dead.
func (c *Core) unresponsiveMembers() []*entry {
	if c.unresponsive.Len() == 0 {
		return nil
	}
	return c.unresponsive.Values()
}

// trackState adds a VM to the unresponsive ones, or removes it, by its state.
func (c *Core) trackState(e *entry) {
	if e.State == Alive {
		c.unresponsive.Delete(e.VM)
		return
	}
	c.unresponsive.Set(e.VM, e)
}

func (c *Core) removeMember(vm identifier.VM) {
	c.members.Delete(vm)
	c.unresponsive.Delete(vm)
	c.updates.drop(vm)
	c.emit(MemberForgotten{VM: vm})
}

// nextWake returns the earliest time at which something becomes due.
func (c *Core) nextWake() time.Time {
	at := c.nextRound
	sooner := func(t time.Time) {
		if t.Before(at) {
			at = t
		}
	}
	sooner(c.nextComparison)
	if c.updates.hasGossip() {
		sooner(c.nextFlush)
	}
	c.probes.Scan(func(_ identifier.Sequence, p *probe) bool {
		if p.suspectOnTimeout && !p.helpersAsked {
			sooner(p.startedAt.Add(DirectTimeout))
		} else {
			sooner(p.startedAt.Add(ProbeTimeout))
		}
		return true
	})
	for _, e := range c.unresponsiveMembers() {
		switch {
		case e.State == Dead:
			sooner(e.since.Add(DeadTTL))
		case e.confirmPings < ConfirmPings:
			sooner(e.since.Add(confirmPingAge(e.confirmPings)))
		default:
			sooner(e.since.Add(SuspicionTimeout))
		}
	}
	return at
}
