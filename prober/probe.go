package prober

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figtrack/figtrack/identifier"
)

// probe is one ping that waits for its ack.
type probe struct {
	target  identifier.VM
	started time.Time
	// helped says that helpers were asked.
	helped bool
	// relayTo is the VM that the probe runs for, empty for this one.
	relayTo       identifier.VM
	relaySequence identifier.Sequence
	// blames says that the target becomes suspect without an ack.
	blames bool
	// ring says that the target was probed as the next VM on the hash ring.
	ring bool
}

// advance acts on all that has become due.
func (c *Core) advance(now time.Time) {
	c.expireProbes(now)
	c.expireMembers(now)
	if !now.Before(c.nextRound) {
		c.nextRound = now.Add(Period)
		c.round(now)
	}
	if !now.Before(c.nextRetry) {
		c.nextRetry = now.Add(CompareEvery)
		c.compare()
		c.reconnect()
	}
	c.flush(now)
}

// round probes the next VM on the hash ring and one random VM.
func (c *Core) round(now time.Time) {
	c.sync()
	next := c.successor(c.self.VM)
	if next != "" {
		c.ping(now, next, true).ring = true
	}
	if other := c.nextShuffled(); other != "" && other != next {
		c.ping(now, other, true)
	}
}

// successor returns the alive VM that follows one in hash order, so that
// each VM is probed by some other one in each period.
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

// nextShuffled returns the next VM of a random order that visits each once.
func (c *Core) nextShuffled() identifier.VM {
	for range 2 {
		for len(c.ring) > 0 {
			vm := c.ring[0]
			c.ring = c.ring[1:]
			if e, ok := c.members.Get(vm); ok && e.State == Alive {
				return vm
			}
		}
		c.ring = c.members.Keys()
		c.rng.Shuffle(len(c.ring), func(i, j int) { c.ring[i], c.ring[j] = c.ring[j], c.ring[i] })
	}
	return ""
}

// ping sends a ping and remembers it.
func (c *Core) ping(now time.Time, target identifier.VM, blames bool) *probe {
	c.sequence++
	p := &probe{target: target, started: now, blames: blames}
	c.probes.Set(c.sequence, p)
	c.send(target, c.piggyback(target, Frame{Body: Ping{Sequence: c.sequence}}))
	return p
}

// relay pings a third VM for another.
func (c *Core) relay(now time.Time, from identifier.VM, b PingRequest) {
	if _, ok := c.members.Get(b.Target); !ok || c.relays >= MaxRelays {
		return
	}
	p := c.ping(now, b.Target, false)
	p.relayTo = from
	p.relaySequence = b.Sequence
	c.relays++
}

// acked ends a probe.
func (c *Core) acked(from identifier.VM, s identifier.Sequence) {
	p, ok := c.probes.Get(s)
	if !ok || (p.target != from && p.relayTo != "") {
		return
	}
	c.drop(s, p)
	if p.relayTo != "" {
		c.send(p.relayTo, c.piggyback(p.relayTo, Frame{Body: Ack{Sequence: p.relaySequence}}))
	}
}

func (c *Core) drop(s identifier.Sequence, p *probe) {
	c.probes.Delete(s)
	if p.relayTo != "" {
		c.relays--
	}
}

// expireProbes asks helpers for late probes and suspects the targets of
// those that failed.
func (c *Core) expireProbes(now time.Time) {
	for _, s := range c.probes.Keys() {
		p, _ := c.probes.Get(s)
		age := now.Sub(p.started)
		if age >= ProbeTimeout {
			c.drop(s, p)
			if p.blames {
				c.suspect(now, p.target)
			}
			continue
		}
		if age >= DirectTimeout && p.blames && !p.helped {
			p.helped = true
			c.askHelpers(s, p)
			c.skip(now, p)
		}
	}
}

// skip probes the next VM on the ring at once, as its own predecessor may be
// dead: many VMs die together when a rack or a data centre goes.
func (c *Core) skip(now time.Time, p *probe) {
	if !p.ring {
		return
	}
	if next := c.successor(p.target); next != "" {
		c.ping(now, next, true).ring = true
	}
}

// askHelpers probes a late target again, directly and through others.
func (c *Core) askHelpers(s identifier.Sequence, p *probe) {
	c.send(p.target, Frame{Body: Ping{Sequence: s}})
	for _, h := range c.sample(Helpers, p.target) {
		c.send(h.VM, c.piggyback(h.VM, Frame{Body: PingRequest{Sequence: s, Target: p.target}}))
	}
}

// suspect states that a VM does not answer.
func (c *Core) suspect(now time.Time, vm identifier.VM) {
	e, ok := c.members.Get(vm)
	if !ok || e.State != Alive {
		return
	}
	r := e.Record
	r.State = Suspect
	c.replace(now, e, r)
}

// expireMembers pings suspects, takes silent ones for dead and forgets those
// that have been dead for long.
func (c *Core) expireMembers(now time.Time) {
	for _, e := range c.restless() {
		age := now.Sub(e.since)
		switch {
		case e.State == Dead && age >= DeadKept:
			c.forget(e.VM)
		case e.State == Suspect && age >= SuspicionTimeout:
			c.bury(now, e)
		case e.State == Suspect && age >= confirmAfter(e.confirms) && e.confirms < ConfirmPings:
			e.confirms++
			c.ping(now, e.VM, false)
		}
	}
}

// bury takes a silent suspect for dead. That is this VM's own verdict: it is
// not spread, so that a VM cut off from the fleet can't talk others into it.
func (c *Core) bury(now time.Time, e *entry) {
	wasLive := e.live()
	e.State = Dead
	e.since = now
	c.sort(e)
	c.rumours.drop(e.VM)
	c.changed = c.changed || wasLive
	c.emit(MemberChanged{Record: e.Record})
}

// confirmAfter is the age of a suspicion at which ping n is due.
func confirmAfter(n int) time.Duration {
	return SuspicionTimeout * time.Duration(n+1) / (ConfirmPings + 1)
}

// restless returns the VMs that are not alive.
func (c *Core) restless() []*entry {
	if c.troubled.Len() == 0 {
		return nil
	}
	return c.troubled.Values()
}

// sort files a VM by its state.
func (c *Core) sort(e *entry) {
	if e.State == Alive {
		c.troubled.Delete(e.VM)
		return
	}
	c.troubled.Set(e.VM, e)
}

func (c *Core) forget(vm identifier.VM) {
	c.members.Delete(vm)
	c.troubled.Delete(vm)
	c.rumours.drop(vm)
	c.emit(MemberForgotten{VM: vm})
}

// nextWake is the earliest time at which something becomes due.
func (c *Core) nextWake() time.Time {
	at := c.nextRound
	sooner := func(t time.Time) {
		if t.Before(at) {
			at = t
		}
	}
	sooner(c.nextRetry)
	if c.rumours.unflushed() {
		sooner(c.nextFlush)
	}
	c.probes.Scan(func(_ identifier.Sequence, p *probe) bool {
		if p.blames && !p.helped {
			sooner(p.started.Add(DirectTimeout))
		} else {
			sooner(p.started.Add(ProbeTimeout))
		}
		return true
	})
	for _, e := range c.restless() {
		switch {
		case e.State == Dead:
			sooner(e.since.Add(DeadKept))
		case e.confirms < ConfirmPings:
			sooner(e.since.Add(confirmAfter(e.confirms)))
		default:
			sooner(e.since.Add(SuspicionTimeout))
		}
	}
	return at
}
