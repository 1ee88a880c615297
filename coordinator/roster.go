package coordinator

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/figtrack/figtrack/clocker"
	"github.com/figtrack/figtrack/identifier"
)

// setRoster replaces the members and sorts them by a rendezvous hash.
//
// A member that the store no longer lists stays while it is heard: it may be cut off from
// the store alone, and would form a second fleet with the others that are.
func (c *Core) setRoster(now clocker.Moment, e RosterChanged) {
	if c.knownSince.IsZero() {
		c.knownSince = now
	}
	if e.IsResumed {
		c.startupPeriod = 0
	}
	former := c.members
	c.members = map[identifier.VM]Member{}
	for _, m := range e.Members {
		if start, ok := c.superseded[m.VM]; ok && start == m.Incarnation && former[m.VM].VM != "" {
			m.Incarnation = former[m.VM].Incarnation
		} else {
			delete(c.superseded, m.VM)
		}
		c.members[m.VM] = m
		if former[m.VM] != m {
			delete(c.unavailable, m.VM) // That was an earlier start.
		}
	}
	c.members[c.self.VM] = c.self // An entry of an earlier start doesn't describe this one.
	c.listed, c.retained = len(c.members), nil
	for vm, m := range former {
		if _, ok := c.members[vm]; !ok && c.isHeard(now, m) {
			c.members[vm] = m
			c.retained = append(c.retained, m)
		}
	}
	c.sortOrder()
	c.count = e.Count
	isMember := func(m Member) bool { return c.members[m.VM] == m }
	maps.DeleteFunc(c.acceptedFrom, func(m Member, _ identifier.Sequence) bool { return !isMember(m) })
	maps.DeleteFunc(c.sentTo, func(m Member, _ identifier.Sequence) bool { return !isMember(m) })
	maps.DeleteFunc(c.unavailable, func(vm identifier.VM, _ clocker.Moment) bool { return c.members[vm].VM == "" })
	maps.DeleteFunc(c.heard, func(_ identifier.VM, h *reporter) bool {
		return !isMember(h.member) && now.Shortest(h.at) > replayWindow
	})
}

// sortOrder sets the order in which VMs are asked.
func (c *Core) sortOrder() {
	c.order = nil
	for _, m := range c.members {
		if m.IsReachable {
			c.order = append(c.order, m)
		}
	}
	slices.SortFunc(c.order, func(a, b Member) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.VM, b.VM))
	})
}

// supersede takes in a later start of a VM than the roster has. The roster may be seconds
// behind, while the VM answers at the same address.
func (c *Core) supersede(m Member, start identifier.Incarnation) Member {
	if _, ok := c.superseded[m.VM]; !ok {
		c.superseded[m.VM] = m.Incarnation
	}
	delete(c.claims, m) // That start counts nobody any more.
	m.Incarnation = start
	c.members[m.VM] = m
	delete(c.unavailable, m.VM)
	c.sortOrder()
	return m
}

// isHeard reports whether a VM reported to this one lately or answered it.
func (c *Core) isHeard(now clocker.Moment, m Member) bool {
	if c.accepted.by == m && now.Longest(c.accepted.at) <= window {
		return true
	}
	h := c.heard[m.VM]
	return h != nil && h.member == m && now.Longest(h.at) <= window
}

func (c *Core) isStarting(now clocker.Moment) bool {
	return c.knownSince.IsZero() || now.Shortest(c.knownSince) < c.startupPeriod
}

// Knows reports whether a VM is a member.
func (c *Core) Knows(vm identifier.VM) bool { return c.members[vm].VM != "" }

// weight doesn't depend on the start of a VM: VMs that know of different starts of others, as
// after a loss of power, would ask different ones.
func weight(m Member) uint64 { return xxhash.Sum64String(string(m.VM)) }

// Members returns the number of VMs that share quotas by the roster, at least the number
// that report.
func (c *Core) Members(now clocker.Moment) int {
	reporting, counting := c.Reporting(now)
	members := c.listed
	for _, m := range c.retained {
		if c.isHeard(now, m) {
			members++
		}
	}
	return max(c.count, members, reporting, int(math.Ceil(counting)))
}
