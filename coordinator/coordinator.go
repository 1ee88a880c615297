// Package coordinator decides which VM coordinates the exchange between VMs, when a VM
// reports to it, and which VMs count at it.
//
// Each VM counts at one coordinator at a time, so that shares of a quota that coordinators
// derive from the VMs that count never add up to more than the quota. A coordinator counts
// a VM for window after it sent a digest that the VM has confirmed. A VM that changes to
// another coordinator counts there in full only when that time has passed by its own
// clocks. No part of this depends on how long datagrams were under way.
package coordinator

import (
	"fmt"
	"maps"
	"math"
	"time"

	"github.com/figtrack/figtrack/clocker"
	"github.com/figtrack/figtrack/identifier"
)

// Times of the exchange.
const (
	// tryInterval is the time after which an unanswered report is sent again. A round
	// trip takes 1 to 10 ms.
	tryInterval = 30 * time.Millisecond
	// maxTries is how often a report is sent to one VM.
	maxTries = 3
	// unavailableFor is how long a VM that didn't answer isn't asked.
	unavailableFor = time.Second
	// staleAfter is the time after which the digest of a report isn't accepted, and
	// without any digest the VM is isolated.
	staleAfter = 150 * time.Millisecond
	// StartupPeriod is the time in which a VM that has just read the roster neither answers others
	// nor counts by itself. The roster of a VM is up to 3 s behind, and VMs that start
	// together would each see a fleet of few VMs. A VM whose earlier start is still in the
	// roster skips it: else a fleet that lost power would admit nothing for that time.
	StartupPeriod = 3 * time.Second
	// window is how long a report or a confirmed digest counts. It is three times
	// maxActiveInterval, so that the loss of one report doesn't matter.
	window = 1500 * time.Millisecond
	// replayWindow is how long the sequence of a VM that left the roster is kept, against
	// replayed reports should it come back.
	replayWindow = 10 * time.Minute
	// intervalPerVM bounds what a coordinator has to answer to 250 reports a second, and
	// maxActiveInterval to two of each VM: 600 with 300 VMs, at 22 us each.
	intervalPerVM     = 4 * time.Millisecond
	minInterval       = 100 * time.Millisecond
	maxInterval       = time.Second
	maxActiveInterval = 500 * time.Millisecond
	// minReportGap bounds the reports that are sent on request.
	minReportGap = 20 * time.Millisecond
	// earlyShare is the share for which a VM counts at a new coordinator while it may
	// still count at the former one, once in earlyInterval. It keeps most of the quota
	// usable after the death of a coordinator, and the overlap of at most window then
	// amounts to 0.6 s of the rate, below the 0.8 s that the tolerance of a limit allows
	// in 8 s.
	earlyShare    = 0.4
	earlyInterval = 10 * time.Second
)

// Core is the state machine of one VM. Only Step changes it.
type Core struct {
	self Member
	// order holds the VMs that can be asked, the first one first.
	order   []Member
	members map[identifier.VM]Member
	// listed is the number of members in the roster, count the number of VMs that share
	// quotas by it. retained holds the members that the roster lacks.
	listed, count int
	retained      []Member

	// knownSince is when the roster was set first; zero before. startupPeriod is how long the VM is
	// starting from then on.
	knownSince    clocker.Moment
	startupPeriod time.Duration
	// superseded holds the start by the roster of each VM of which a later start was heard.
	superseded map[identifier.VM]identifier.Incarnation

	// sequence is that of the latest report.
	sequence identifier.Sequence
	// pending is the latest report while it is unanswered; else nil.
	pending *pendingReport
	// reportedAt is when the latest report was made; zero before the first.
	reportedAt clocker.Moment
	// isRequested is true if a report was requested since the latest one.
	isRequested bool
	// unavailable holds when VMs that didn't answer were found so.
	unavailable map[identifier.VM]clocker.Moment
	// probedAt is when one of them was asked last, probesOldest whether it was that which
	// was asked least lately.
	probedAt     clocker.Moment
	probesOldest bool
	// unansweredSince is when the first report after the latest accepted digest was made;
	// zero without one.
	unansweredSince clocker.Moment
	isLost          bool
	// accepted is the latest accepted digest. acceptedFrom holds the sequence of the latest
	// one of each VM, sentTo that of the latest report to each.
	accepted             digest
	acceptedFrom, sentTo map[Member]identifier.Sequence
	// claims holds at which VMs this one may count. Their shares, less one early share, add
	// up to at most 1.
	claims map[Member]claim
	// earlyAt is when this VM last began to count with earlyShare, at earlyBy; zero before.
	earlyAt clocker.Moment
	earlyBy Member

	// heard holds what this VM knows of those that reported to it.
	heard map[identifier.VM]*reporter
}

type pendingReport struct {
	to Member
	// at is when the report was made, triedAt when it was sent last.
	at, triedAt     clocker.Moment
	tries, maxTries int
}

type digest struct {
	by       Member
	sequence identifier.Sequence
	at       clocker.Moment
}

// claim is the share for which a VM counts at a coordinator until window after at.
type claim struct {
	share float64
	at    clocker.Moment
}

// reporter is what a coordinator knows of a VM.
type reporter struct {
	member Member
	// sequence is that of the latest report, which was answered first at at.
	sequence identifier.Sequence
	at       clocker.Moment
	// confirmedAt is when the latest digest was sent that the VM confirmed; zero without
	// one. share is the part for which it counts since.
	confirmedAt clocker.Moment
	share       float64
}

// New returns a core that has sent no report and knows no roster. It is starting for startupPeriod
// after it got one. Its first report has the sequence after last; a core that replaces
// another one must not use its sequences again.
func New(self Member, last identifier.Sequence, startupPeriod time.Duration) *Core {
	return &Core{self: self, sequence: last, startupPeriod: startupPeriod, unavailable: map[identifier.VM]clocker.Moment{}, acceptedFrom: map[Member]identifier.Sequence{}, sentTo: map[Member]identifier.Sequence{}, claims: map[Member]claim{}, superseded: map[identifier.VM]identifier.Incarnation{}, heard: map[identifier.VM]*reporter{}}
}

// Sequence returns the sequence of the latest report.
func (c *Core) Sequence() identifier.Sequence { return c.sequence }

// Step handles one event and returns what follows from it.
func (c *Core) Step(now clocker.Moment, e Event) []Outcome {
	switch e := e.(type) {
	case RosterChanged:
		c.setRoster(now, e)
		return nil
	case Wake:
		return c.wake(now, e.IsActive)
	case Requested:
		c.isRequested = true
		return nil
	case ReportReceived:
		return c.collect(now, e)
	case DigestReceived:
		return c.apply(now, e)
	default:
		panic(fmt.Sprintf("coordinator: event %T", e))
	}
}

func (c *Core) interval() time.Duration {
	i := min(max(time.Duration(max(c.count, len(c.members)))*intervalPerVM, minInterval), maxInterval)
	return min(i, maxActiveInterval)
}

// NextWake returns the time until the next Wake has anything to do.
func (c *Core) NextWake(now clocker.Moment) time.Duration {
	if c.pending != nil {
		return max(0, tryInterval-now.Longest(c.pending.triedAt))
	}
	if c.reportedAt.IsZero() {
		return 0
	}
	gap := c.interval()
	if c.isRequested {
		gap = minReportGap
	}
	return max(0, gap-now.Longest(c.reportedAt))
}

func (c *Core) wake(now clocker.Moment, isActive bool) (outcomes []Outcome) {
	if !isActive || c.knownSince.IsZero() {
		c.pending, c.isRequested, c.isLost, c.unansweredSince = nil, false, false, clocker.Moment{}
		return nil
	}
	if p := c.pending; p != nil && now.Longest(p.triedAt) >= tryInterval {
		if p.tries < p.maxTries && now.Longest(p.at) < staleAfter {
			p.tries++
			p.triedAt = now
			outcomes = append(outcomes, ResendReport{p.to})
		} else {
			c.unavailable[p.to.VM] = now
			c.pending = nil
			c.isRequested = true
			outcomes = append(outcomes, c.report(now)...)
		}
	} else if p == nil && c.NextWake(now) <= 0 {
		outcomes = append(outcomes, c.report(now)...)
	}
	if !c.isLost && !c.unansweredSince.IsZero() && now.Longest(c.unansweredSince) >= staleAfter && c.countsNowhere(now) && !c.isStarting(now) {
		c.isLost = true
		outcomes = append(outcomes, Lose{c.unansweredSince})
	}
	return outcomes
}

// report makes a report to the first VM that may answer.
func (c *Core) report(now clocker.Moment) []Outcome {
	to, tries, ok := c.choose(now)
	if !ok {
		return nil
	}
	c.sequence++
	c.reportedAt, c.isRequested = now, false
	c.pending = &pendingReport{to: to, at: now, triedAt: now, tries: 1, maxTries: tries}
	o := SendReport{To: to, Sequence: c.sequence, Accepted: c.acceptedFrom[to]}
	if c.accepted.by == to && c.sentTo[to] == c.acceptedFrom[to] {
		o.Share = c.claim(now) // Else the way back may be cut, and this VM counts elsewhere.
	}
	c.sentTo[to] = c.sequence
	if c.unansweredSince.IsZero() {
		c.unansweredSince = now
	}
	return []Outcome{o}
}

// choose returns the VM to ask and how often: the first one that isn't known to be silent,
// which is this VM itself at the latest. Once a second one try goes to a silent VM before
// it, by turns to the first one and to that which was asked least lately. More of them would
// leave a VM that hears no other no time for its own requests.
func (c *Core) choose(now clocker.Moment) (to Member, tries int, ok bool) {
	var first, oldest Member
	for _, m := range c.order {
		if m == c.self && c.isStarting(now) {
			continue
		}
		at, isSilent := c.unavailable[m.VM]
		if !isSilent {
			to, ok = m, true
			break
		}
		if now.Longest(at) < unavailableFor {
			continue
		}
		if first.VM == "" {
			first = m
		}
		if oldest.VM == "" || at.Mono < c.unavailable[oldest.VM].Mono {
			oldest = m
		}
	}
	if first.VM == "" || ok && !c.probedAt.IsZero() && now.Longest(c.probedAt) < unavailableFor {
		return to, maxTries, ok
	}
	c.probedAt, c.probesOldest = now, !c.probesOldest
	if c.probesOldest {
		return oldest, 1, true
	}
	return first, 1, true
}

// claim returns the share for which this VM counts at the VM whose digest it accepted
// last: what it doesn't claim elsewhere.
func (c *Core) claim(now clocker.Moment) float64 {
	to := c.accepted.by
	maps.DeleteFunc(c.claims, func(_ Member, held claim) bool { return now.Shortest(held.at) >= window })
	share := 1.0
	for by, held := range c.claims {
		if by != to {
			share -= held.share
		}
	}
	share = max(0, share)
	if share < earlyShare {
		switch {
		case c.earlyAt.IsZero() || now.Shortest(c.earlyAt) >= earlyInterval:
			c.earlyAt, c.earlyBy, share = now, to, earlyShare
		case c.earlyBy == to && now.Longest(c.earlyAt) <= window:
			share = earlyShare
		}
	}
	// The report may be lost, so that a greater share reported before still counts.
	c.claims[to] = claim{max(share, c.claims[to].share), c.accepted.at}
	return share
}

// countsNowhere reports whether no coordinator counts this VM.
func (c *Core) countsNowhere(now clocker.Moment) bool {
	for _, held := range c.claims {
		if held.share > 0 && now.Shortest(held.at) < window {
			return false
		}
	}
	return true
}

// apply handles the digest that answers a report of this VM.
func (c *Core) apply(now clocker.Moment, e DigestReceived) []Outcome {
	p := c.pending
	if p == nil || e.Sequence != c.sequence || e.VM != p.to.VM || e.Incarnation < p.to.Incarnation {
		return []Outcome{Drop{Outdated}}
	}
	if now.Longest(p.at) > staleAfter {
		return []Outcome{Drop{Late}}
	}
	if m, ok := c.members[e.VM]; ok && e.Incarnation > p.to.Incarnation {
		delete(c.sentTo, p.to)
		p.to = c.supersede(m, e.Incarnation)
		c.sentTo[p.to] = e.Sequence
	}
	c.pending, c.unansweredSince, c.isLost = nil, clocker.Moment{}, false
	delete(c.unavailable, p.to.VM)
	former := c.accepted.by
	c.accepted = digest{by: p.to, sequence: e.Sequence, at: now}
	c.acceptedFrom[p.to] = e.Sequence
	outcomes := []Outcome{Apply{}}
	if former != p.to {
		c.isRequested = true // The VM counts from its second report on.
		outcomes = append(outcomes, Change{From: former.VM, To: p.to.VM})
	}
	return outcomes
}

// collect handles a report to this VM.
func (c *Core) collect(now clocker.Moment, e ReportReceived) []Outcome {
	m, ok := c.members[e.VM]
	if !ok || m.Incarnation > e.Incarnation {
		return []Outcome{Drop{UnknownSender}}
	}
	if m.Incarnation < e.Incarnation {
		m = c.supersede(m, e.Incarnation)
	}
	if c.isStarting(now) {
		return []Outcome{Drop{Starting}}
	}
	h := c.heard[e.VM]
	if h == nil || h.member != m {
		h = &reporter{member: m}
		c.heard[e.VM] = h
	}
	switch {
	case e.Sequence < h.sequence:
		return []Outcome{Drop{Outdated}}
	case e.Sequence == h.sequence:
		return []Outcome{ResendDigest{m, e.Sequence}}
	}
	h.share = 0
	if e.Accepted == h.sequence && e.Accepted != 0 {
		h.confirmedAt, h.share = h.at, e.Share
	}
	h.sequence, h.at = e.Sequence, now
	return []Outcome{Collect{m, e.Sequence}}
}

// Reporting returns the number of VMs that reported to this one lately, and the sum of the
// shares for which VMs count here. It counts itself while it is its own coordinator.
func (c *Core) Reporting(now clocker.Moment) (reporting int, counting float64) {
	thousandths := 0.0 // Their sum doesn't depend on the order.
	for _, h := range c.heard {
		if now.Longest(h.at) <= window {
			reporting++
		}
		if !h.confirmedAt.IsZero() && now.Longest(h.confirmedAt) < window {
			thousandths += math.Round(1000 * h.share)
		}
	}
	return reporting, thousandths / 1000
}
