package rationer

import (
	"fmt"
	"maps"
	"time"

	"github.com/figtrack/figtrack/clocker"
	"github.com/figtrack/figtrack/identifier"
)

// surplus bounds the credit that VMs hold beside a full bucket, as time of filling. It
// leaves a part of the tolerance of a limit, which is 0.8 s of the rate in 8 s, to what
// overlaps when the coordinator changes.
const surplus = 0.5

// sweepInterval is the interval at which expired grants are forgotten.
const sweepInterval = 250 * time.Millisecond

// AllotterEvent is an input of Allotter.Step. Only this package implements it.
type AllotterEvent interface{ allotterEvent() }

// LimitsChanged replaces the limits of workspaces. The bucket of a new limit is empty, a
// lowered limit binds at once.
type LimitsChanged struct {
	// Limits has no zero rates.
	Limits map[identifier.Workspace]Limit
}

// Asked reports a report of a VM. Each report is handed over once.
type Asked struct {
	From     Source
	Sequence identifier.Sequence
	// Accepted is the sequence of the last report of which the VM accepted the digest.
	Accepted identifier.Sequence
	// Part is the part of the quota that belongs to the VMs that count here, from 0 to 1.
	Part     float64
	Requests []Request
}

// Request asks for credit of a workspace.
type Request struct {
	Workspace identifier.Workspace
	// Wanted is the credit asked for, Returned the credit given back, Held the credit that
	// the VM has and keeps.
	Wanted, Returned, Held float64
	// Least is the least credit of use; zero if no request waits.
	Least float64
}

func (LimitsChanged) allotterEvent() {}
func (Asked) allotterEvent()         {}

// Grant is the answer to a Request.
type Grant struct {
	Workspace identifier.Workspace
	Granted   float64
	// Available is the time until the rest is available; zero if all was granted.
	Available time.Duration
}

// Allotter grants credit out of the buckets of a coordinator. Only Step changes it.
type Allotter struct {
	buckets map[identifier.Workspace]*allotment
	// isLimited is true once the limits were set.
	isLimited bool
	// filled is the time of filling with the whole rate so far, in seconds: the time since
	// the start, weighted with part. It counts up to at.
	filled float64
	part   float64
	at     clocker.Moment
	phase  float64
	// vms holds what VMs have by their latest report.
	vms     map[Source]*holder
	sweptAt clocker.Moment
}

// allotment is a workspace's bucket and the sum of the credit that VMs hold of it.
type allotment struct {
	bucket
	held float64
}

type holder struct {
	sequence identifier.Sequence
	at       clocker.Moment
	// held is the credit that the VM has at most, granted what its latest report was
	// granted.
	held, granted map[identifier.Workspace]float64
}

// NewAllotter returns an allotter without limits. phase, from 0 to 1, differs between VMs.
func NewAllotter(phase float64) *Allotter {
	return &Allotter{buckets: map[identifier.Workspace]*allotment{}, phase: phase, vms: map[Source]*holder{}}
}

// Step handles one event. It returns the grants that answer a report, in its order.
func (a *Allotter) Step(now clocker.Moment, e AllotterEvent) []Grant {
	switch e := e.(type) {
	case LimitsChanged:
		a.advance(now, a.part)
		a.isLimited = true
		a.setLimits(now, e.Limits)
		return nil
	case Asked:
		a.advance(now, e.Part)
		a.sweep(now)
		return a.answer(now, e)
	default:
		panic(fmt.Sprintf("rationer: event %T", e))
	}
}

// advance counts the filling up to now. A smaller part bounds all buckets at once, as the
// rest may be granted elsewhere from now on.
func (a *Allotter) advance(now clocker.Moment, part float64) {
	former := a.part
	if !a.at.IsZero() {
		a.filled += min(former, part) * now.Shortest(a.at).Seconds()
	}
	a.at, a.part = now, part
	if part < former {
		for _, b := range a.buckets {
			b.fill(now, a.filled, part)
		}
	}
}

func (a *Allotter) setLimits(now clocker.Moment, limits map[identifier.Workspace]Limit) {
	maps.DeleteFunc(a.buckets, func(w identifier.Workspace, _ *allotment) bool { return limits[w].Rate <= 0 })
	for w, limit := range limits {
		b := a.buckets[w]
		if b == nil {
			b = &allotment{bucket: bucket{filled: a.filled, phase: a.phase}}
			a.buckets[w] = b
		}
		b.fill(now, a.filled, a.part)
		b.limit = limit
		b.add(now, 0, a.part)
	}
}

// sweep forgets the credit of VMs whose latest report is so old that it has expired.
func (a *Allotter) sweep(now clocker.Moment) {
	if !a.sweptAt.IsZero() && now.Longest(a.sweptAt) < sweepInterval {
		return
	}
	a.sweptAt = now
	for from, h := range a.vms {
		if now.Shortest(h.at) > creditLifetime {
			a.release(h)
			delete(a.vms, from)
		}
	}
}

// release takes what a VM held out of the sums.
func (a *Allotter) release(h *holder) {
	for w, held := range h.held {
		if b := a.buckets[w]; b != nil {
			b.held = max(0, b.held-held)
		}
	}
}

func (a *Allotter) answer(now clocker.Moment, e Asked) []Grant {
	former := a.vms[e.From]
	h := &holder{sequence: e.Sequence, at: now, held: map[identifier.Workspace]float64{}, granted: map[identifier.Workspace]float64{}}
	a.vms[e.From] = h
	if former != nil {
		a.release(former)
		if e.Accepted < former.sequence {
			a.refund(now, former)
		}
	}
	grants := make([]Grant, 0, len(e.Requests))
	for _, r := range e.Requests {
		b := a.buckets[r.Workspace]
		if b == nil {
			if a.isLimited { // By a limit that isn't in force here yet, or no longer.
				grants = append(grants, Grant{Workspace: r.Workspace, Granted: r.Wanted})
			}
			continue
		}
		b.fill(now, a.filled, e.Part)
		b.held += r.Held
		b.add(now, r.Returned, e.Part)
		g := Grant{Workspace: r.Workspace, Granted: b.grant(now, r, e.Part)}
		if rest := r.Wanted - g.Granted; rest > 0 {
			g.Available = b.delay(rest-b.level, e.Part)
		}
		b.held += g.Granted
		h.held[r.Workspace] += r.Held + g.Granted
		h.granted[r.Workspace] += g.Granted
		grants = append(grants, g)
	}
	return grants
}

// refund takes back the grants of a digest that the VM didn't accept. It accepts none once
// it has made its next report.
func (a *Allotter) refund(now clocker.Moment, h *holder) {
	for w, granted := range h.granted {
		if b := a.buckets[w]; b != nil {
			b.fill(now, a.filled, a.part)
			b.add(now, granted, a.part)
		}
	}
}

// add adds to the bucket and bounds it, together with what VMs hold.
func (b *allotment) add(now clocker.Moment, amount, part float64) {
	capacity := b.capacity(now, part)
	b.level = min(b.level+amount, capacity, max(0, capacity+surplus*b.limit.Rate*part-b.held))
}

// grant takes credit out of the bucket. A part is granted if it admits a request.
func (b *bucket) grant(now clocker.Moment, r Request, part float64) (granted float64) {
	switch {
	case r.Wanted <= 0:
		return 0
	case r.Least > 0 && b.level < r.Least:
		if !b.take(now, r.Least, part) {
			return 0
		}
		return r.Least
	default:
		granted = min(r.Wanted, max(0, b.level))
		b.level -= granted
		return granted
	}
}
