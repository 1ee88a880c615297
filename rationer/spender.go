package rationer

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/figtrack/figtrack/clocker"
	"github.com/figtrack/figtrack/identifier"
)

const (
	// useTime is the time over which a VM's own use is averaged.
	useTime = time.Second
	// A VM asks in advance for its use in two intervals of its reports, within these
	// bounds. The upper one is half of creditLifetime, so that credit is used before it
	// expires.
	minHorizon   = 200 * time.Millisecond
	maxHorizon   = 500 * time.Millisecond
	horizonPerVM = 8 * time.Millisecond
	// maxWorkspaces bounds the size of a report; others follow in the next one.
	maxWorkspaces = 64
	// maxWaiting bounds the requests of a workspace that wait on this VM.
	maxWaiting = 4096
	// ownInterval is the interval at which a VM that has only its own share looks whether it
	// suffices for the requests that wait.
	ownInterval = 25 * time.Millisecond
	// leastUse is the use in units a second below which a workspace counts as unused.
	leastUse = 0.01
)

// Spender is one VM's side of the quotas. Only Step and Report change it.
type Spender struct {
	accounts map[identifier.Workspace]*account
	// live holds the workspaces with requests that wait, credit, use or something to give
	// back.
	live map[identifier.Workspace]bool
	// count and place are those of MembersChanged; count is 0 before the first.
	count, place int
	// isIsolated is true while the VM has its own share.
	isIsolated bool
	// ownSince is when that began.
	ownSince clocker.Moment
	// hasAnswer is true once a coordinator has answered.
	hasAnswer bool
}

// maxWait returns the longest time that a request waits for credit.
func (s *Spender) maxWait(r request) time.Duration {
	if s.hasAnswer {
		return r.wait
	}
	return max(r.wait, StartWait)
}

// NewSpender returns a spender without limits.
func NewSpender() *Spender {
	return &Spender{accounts: map[identifier.Workspace]*account{}, live: map[identifier.Workspace]bool{}}
}

// HasLimits reports whether any workspace has a limit.
func (s *Spender) HasLimits() bool { return len(s.accounts) > 0 }

// Step handles one event.
func (s *Spender) Step(now clocker.Moment, e SpenderEvent) []Outcome {
	switch e := e.(type) {
	case LimitsChanged:
		return s.setLimits(e.Limits)
	case MembersChanged:
		s.count, s.place = e.Count, e.Place
	case Arrived:
		return s.arrive(now, e)
	case Left:
		if a := s.accounts[e.Workspace]; a != nil {
			a.waiting = slices.DeleteFunc(a.waiting, func(r request) bool { return r.ticket == e.Ticket })
		}
	case Unused:
		s.giveBack(now, e)
	case Answered:
		return s.answered(now, e)
	case Isolated:
		if !s.isIsolated {
			s.isIsolated, s.ownSince = true, now
			for _, a := range s.accounts {
				a.own = bucket{limit: a.limit, phase: s.phase()}
			}
		}
		return s.settle(now)
	case Wake:
		return s.settle(now)
	default:
		panic(fmt.Sprintf("rationer: event %T", e))
	}
	return nil
}

// phase returns the phase of this VM's own shares. Those of all VMs are spread evenly.
func (s *Spender) phase() float64 { return (float64(s.place) + 0.5) / float64(max(1, s.count)) }

// part returns the part of the quota that is this VM's own share.
func (s *Spender) part() float64 {
	if s.count == 0 {
		return 0
	}
	return 1 / float64(s.count)
}

func (s *Spender) setLimits(limits map[identifier.Workspace]Limit) (outcomes []Outcome) {
	for w, a := range s.accounts {
		if limits[w].Rate <= 0 {
			for _, r := range a.waiting {
				outcomes = append(outcomes, Admit{r.ticket})
			}
			delete(s.accounts, w)
			delete(s.live, w)
		}
	}
	for w, limit := range limits {
		a := s.accounts[w]
		if a == nil {
			a = &account{own: bucket{phase: s.phase()}}
			s.accounts[w] = a
		}
		a.limit, a.own.limit = limit, limit
	}
	return outcomes
}

func (s *Spender) arrive(now clocker.Moment, e Arrived) []Outcome {
	a := s.accounts[e.Workspace]
	if a == nil || e.Cost <= 0 {
		return []Outcome{Admit{e.Ticket}}
	}
	s.live[e.Workspace] = true
	a.expire(now)
	if a.cost == 0 {
		a.cost = e.Cost
	}
	a.cost += (e.Cost - a.cost) / 16
	if len(a.waiting) == 0 && s.pay(now, a, e.Cost) {
		return []Outcome{Admit{e.Ticket}}
	}
	r := request{e.Ticket, e.Cost, now, max(e.Wait, MaxWait)}
	if after, ok := s.isHopeless(now, a, a.sumWaiting()+e.Cost, r); ok || len(a.waiting) >= maxWaiting {
		return []Outcome{s.refuse(now, a, r, after)}
	}
	a.waiting = append(a.waiting, r)
	return []Outcome{a.ask(now)}
}

// isHopeless reports whether a request would wait longer than MaxWait, and when it could
// be admitted. sum is the cost of those that wait up to it. A bucket goes into debt for the
// last of them.
func (s *Spender) isHopeless(now clocker.Moment, a *account, sum float64, r request) (after time.Duration, ok bool) {
	if s.isIsolated {
		a.own.fill(now, s.ownFilled(now), s.part())
		after = a.own.delay(sum-r.cost+a.own.threshold(r.cost, s.part())-a.own.level, s.part())
		return after, s.hasAnswer || after > s.maxWait(r)-now.Longest(r.at)
	}
	if !a.knows(now) {
		return 0, false
	}
	after = a.delay(sum - r.cost - a.held() - a.levelAt(now))
	return after, after > s.maxWait(r)-now.Longest(r.at)
}

// ownFilled returns the filling of the own share.
func (s *Spender) ownFilled(now clocker.Moment) float64 {
	return s.part() * now.Shortest(s.ownSince).Seconds()
}

func (s *Spender) refuse(now clocker.Moment, a *account, r request, after time.Duration) Refuse {
	a.decay(now)
	o := Refuse{Ticket: r.ticket, After: after, Limit: a.limit, Spent: a.use, Age: -1, IsIsolated: s.isIsolated}
	if !a.grantedAt.IsZero() {
		o.Age = now.Longest(a.grantedAt)
	}
	return o
}

// pay pays a cost out of credit or the own share.
func (s *Spender) pay(now clocker.Moment, a *account, cost float64) bool {
	if a.held() < cost {
		if !s.isIsolated {
			return false
		}
		a.own.fill(now, s.ownFilled(now), s.part())
		if !a.own.take(now, cost, s.part()) {
			return false
		}
	} else {
		a.spend(cost)
	}
	a.decay(now)
	a.use += cost / useTime.Seconds()
	return true
}

// giveBack takes back the cost of a request. It goes through the coordinator's bucket, which
// bounds how much of it can be used at once.
func (s *Spender) giveBack(now clocker.Moment, e Unused) {
	a := s.accounts[e.Workspace]
	if a == nil {
		return
	}
	if s.isIsolated {
		a.own.fill(now, s.ownFilled(now), s.part())
		a.own.level = min(a.own.level+e.Cost, a.own.capacity(now, s.part()))
		return
	}
	a.unused += e.Cost
	a.level += e.Cost
	s.live[e.Workspace] = true
}

// Report returns the requests of a report to a coordinator.
func (s *Spender) Report(now clocker.Moment, to Source) []Request {
	horizon := min(max(time.Duration(s.count)*horizonPerVM, minHorizon), maxHorizon)
	live := slices.Collect(maps.Keys(s.live))
	slices.SortFunc(live, func(a, b identifier.Workspace) int {
		// Those for which more requests wait first, then those that gave back least lately.
		return cmp.Or(-cmp.Compare(len(s.accounts[a].waiting), len(s.accounts[b].waiting)), s.accounts[a].reportedAt.Wall.Compare(s.accounts[b].reportedAt.Wall), cmp.Compare(a, b))
	})
	var all []Request
	for _, w := range live {
		a := s.accounts[w]
		a.expire(now)
		a.decay(now)
		a.asked = 0
		if len(a.waiting) == 0 && len(a.credit) == 0 && a.unused == 0 && a.use < leastUse {
			delete(s.live, w)
			continue
		}
		if len(all) == maxWorkspaces {
			continue
		}
		need := a.use * horizon.Seconds()
		if need < a.cost {
			need = 0 // It wouldn't admit a request, and would be missing elsewhere.
		}
		need += a.sumWaiting()
		r := Request{Workspace: w, Returned: a.unused + a.returned(need, to), Held: a.held()}
		r.Wanted = max(0, need-r.Held)
		if len(a.waiting) > 0 {
			r.Least = max(0, a.waiting[0].cost-r.Held)
		}
		a.asked, a.unused, a.reportedAt = r.Wanted, 0, now
		if r.Wanted > 0 || r.Returned > 0 || r.Held > 0 {
			all = append(all, r)
		}
	}
	return all
}

func (s *Spender) answered(now clocker.Moment, e Answered) []Outcome {
	s.hasAnswer = true
	s.isIsolated = false
	for _, g := range e.Grants {
		a := s.accounts[g.Workspace]
		if a == nil {
			continue
		}
		if g.Granted > 0 {
			a.credit = append(a.credit, credit{g.Granted, e.From, e.SentAt})
		}
		if a.asked > 0 {
			a.rate, a.grantedAt = a.limit.Rate*e.Part, now
			a.level = max(0, a.asked-g.Granted) - a.rate*g.Available.Seconds()
		}
	}
	return s.settle(now)
}

// settle admits the requests that wait and can be paid, and refuses those that can't in
// time.
func (s *Spender) settle(now clocker.Moment) (outcomes []Outcome) {
	for _, w := range slices.Sorted(maps.Keys(s.live)) {
		a := s.accounts[w]
		a.expire(now)
		for len(a.waiting) > 0 && s.pay(now, a, a.waiting[0].cost) {
			outcomes = append(outcomes, Admit{a.waiting[0].ticket})
			a.waiting = a.waiting[1:]
		}
		if len(a.waiting) == 0 {
			continue
		}
		var kept []request
		sum := 0.0
		for _, r := range a.waiting {
			after, ok := s.isHopeless(now, a, sum+r.cost, r)
			if ok || now.Longest(r.at) >= s.maxWait(r) {
				outcomes = append(outcomes, s.refuse(now, a, r, after))
				continue
			}
			sum += r.cost
			kept = append(kept, r)
		}
		a.waiting = kept
		if len(kept) > 0 {
			outcomes = append(outcomes, a.ask(now))
		}
	}
	return outcomes
}

// NextWake returns the time until a request has waited too long; ok is false if none waits.
func (s *Spender) NextWake(now clocker.Moment) (after time.Duration, ok bool) {
	after = MaxWait
	if s.isIsolated {
		after = ownInterval
	}
	for w := range s.live {
		for _, r := range s.accounts[w].waiting {
			after, ok = min(after, max(0, s.maxWait(r)-now.Longest(r.at))), true
		}
	}
	return after, ok
}
