package isolator

import (
	"maps"
	"slices"
	"time"
)

// Admission tells whether a request with a blocked trait may be let through.
type Admission int

// The admissions of requests with a blocked trait.
const (
	// Refused means that no probe is due.
	Refused Admission = iota
	// Awaited means that a probe is being claimed: ask again soon.
	Awaited
	// Probing means that this request is the probe. It may be sent once, else ReturnProbe has
	// to follow.
	Probing
)

// probes are the probes of a trait as far as this VM knows: how many were claimed and returned, and
// when it learnt of the latest claim.
type probes struct {
	claimed, returned int
	at                time.Time
}

// sent returns how many probes may have been sent to engines, or will be.
func (p probes) sent() int { return p.claimed - p.returned }

// TakeProbe asks to let a request through some of whose traits are blocked.
func (c *Core) TakeProbe(now time.Time, traits []Trait) Admission {
	isAwaited := false
	for _, t := range traits {
		_, isBlocked := c.blocked[t]
		switch {
		case !isBlocked || c.permits[t]:
		case c.wanted[t] || c.claiming[t]:
			isAwaited = true
		case c.probes[t].sent() < MaxProbes && !now.Before(c.probeDue(t)):
			c.wanted[t], isAwaited = true, true
		default:
			return Refused
		}
	}
	if isAwaited {
		return Awaited
	}
	for _, t := range traits {
		delete(c.permits, t)
	}
	return Probing
}

// ReturnProbe gives a probe back that was not sent to an engine. Any VM may claim it then, as few
// requests of a kind may come to this one.
func (c *Core) ReturnProbe(traits []Trait) {
	for _, t := range traits {
		if _, ok := c.blocked[t]; ok {
			c.returned[t] = true
		}
	}
}

// probeDue returns when the next probe of a trait may be claimed.
func (c *Core) probeDue(t Trait) time.Time {
	due, delay := c.changedAt[t], ProbeDelay
	last := c.probes[t]
	for range last.sent() {
		delay *= ProbeBackoff
	}
	if last.at.After(due) {
		due = last.at
	}
	return due.Add(delay)
}

// claimProbes adds the probes that are wanted and returned to a record that is about to be written.
func (c *Core) claimProbes(r Record) {
	for i := range r {
		s := &r[i]
		if c.wanted[s.Trait] {
			s.Probes++
			c.claiming[s.Trait] = true
		}
		if c.returned[s.Trait] {
			s.Returned++
			c.returning[s.Trait] = true
		}
	}
	clear(c.wanted)
	clear(c.returned)
}

// grantPermits takes the probes over that a Write has claimed.
func (c *Core) grantPermits() {
	for _, t := range slices.Sorted(maps.Keys(c.claiming)) {
		c.permits[t] = true
		c.emit(ProbeClaimed{t, c.writing[t].Probes})
	}
	clear(c.claiming)
	clear(c.returning)
}

// recordProbes takes over the probes of the shared record.
func (c *Core) recordProbes(now time.Time) {
	for t, s := range c.shared {
		known := c.probes[t]
		if s.Probes > known.claimed {
			known.at = now
			delete(c.wanted, t)
		}
		known.claimed, known.returned = max(known.claimed, s.Probes), max(known.returned, s.Returned)
		if known.claimed > 0 {
			c.probes[t] = known
		}
	}
}

// lacksProbes reports whether the record in the store lacks probes, as it is of a copy.
func (c *Core) lacksProbes() bool {
	for t, known := range c.probes {
		if s, ok := c.shared[t]; ok && !c.removed[t] && s.Probes < known.claimed {
			return true
		}
	}
	return false
}

// forgetProbes drops the probes of traits that aren't blocked any more.
func (c *Core) forgetProbes() {
	isFree := func(t Trait) bool {
		_, isBlocked := c.blocked[t]
		return !isBlocked
	}
	for _, all := range []map[Trait]bool{c.wanted, c.permits, c.returned} {
		maps.DeleteFunc(all, func(t Trait, _ bool) bool { return isFree(t) })
	}
	maps.DeleteFunc(c.probes, func(t Trait, _ probes) bool { return isFree(t) })
}
