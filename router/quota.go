package router

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/figtrack/figtrack/authorizer"
	"github.com/figtrack/figtrack/clocker"
	"github.com/figtrack/figtrack/coordinator"
	"github.com/figtrack/figtrack/exchanger"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/rationer"
	"github.com/figtrack/figtrack/stepper"
	"github.com/figtrack/figtrack/wire"
)

// Names of the cores of the quotas.
const (
	coreSpender  stepper.Core = "Spender"
	coreAllotter stepper.Core = "Allotter"
)

const (
	// minQuotaRetry is the least time after which a caller beyond its quota is asked to
	// come back. A workspace little beyond its limit has tokens again by then.
	minQuotaRetry = 100 * time.Millisecond
	// unknownQuotaRetry is that time while no coordinator has told what is left: VMs find
	// another one within half a second.
	unknownQuotaRetry = 500 * time.Millisecond
	// quotaPollInterval is the interval at which a request that has waited for MaxWait looks
	// for its decision.
	quotaPollInterval = 10 * time.Millisecond
	// quotaRetrySpread is the part of that time over which callers are spread beyond it.
	quotaRetrySpread = 0.5
)

// QuotaDecision tells whether a request is within the quota of its workspace.
type QuotaDecision struct {
	IsAllowed bool
	// After is when the caller of a refused request should come back.
	After time.Duration
}

// quotas is this VM's part in the quotas of workspaces. It is safe for concurrent use and is
// a section of the exchange.
type quotas struct {
	clock   clocker.Clock
	steps   *stepper.Stepper
	metrics *Metrics
	log     zerolog.Logger
	// request asks for a report.
	request func()

	mu       sync.Mutex
	spender  *rationer.Spender
	allotter *rationer.Allotter
	// limits and members are what a rebuilt core begins with.
	limits     rationer.LimitsChanged
	members    rationer.MembersChanged
	isIsolated bool
	// withoutExchangeSince is since when a VM without an exchange has known the roster.
	withoutExchangeSince time.Time
	// waiting holds the requests without a decision, of which lastTicket is the latest.
	waiting    map[rationer.Ticket]chan rationer.Outcome
	lastTicket rationer.Ticket
}

func newQuotas(steps *stepper.Stepper, metrics *Metrics, log zerolog.Logger, request func()) *quotas {
	return &quotas{
		clock: clocker.New(time.Now()), steps: steps, metrics: metrics, log: log, request: request,
		spender: rationer.NewSpender(), allotter: rationer.NewAllotter(rand.Float64()), waiting: map[rationer.Ticket]chan rationer.Outcome{},
	}
}

// Sections returns the sections of the exchange.
func (f *Fleet) Sections() []exchanger.Section { return []exchanger.Section{f.quotas} }

// TakeQuota takes the cost of a request from the quota of its workspace. It waits for at
// most wait, or rationer.MaxWait if that is longer.
func (f *Fleet) TakeQuota(ctx context.Context, w authorizer.Workspace, cost float64, wait time.Duration) QuotaDecision {
	if w.Quota.Rate <= 0 {
		return QuotaDecision{IsAllowed: true}
	}
	return f.quotas.take(ctx, w.ID, cost, wait)
}

// ReturnQuota gives back the cost of a request that was allowed and has not run.
func (f *Fleet) ReturnQuota(id identifier.Workspace, cost float64) {
	f.quotas.spend(rationer.Unused{Workspace: id, Cost: cost})
}

// setLimits puts the quotas of a configuration in force.
func (q *quotas) setLimits(all *authorizer.Table) {
	limits := map[identifier.Workspace]rationer.Limit{}
	if all != nil {
		for w := range all.All() {
			if w.Quota.Rate > 0 && !math.IsInf(w.Quota.Rate, 0) {
				limits[w.ID] = rationer.Limit{Rate: w.Quota.Rate, Burst: max(0, w.Quota.Burst)}
			}
		}
	}
	changed := rationer.LimitsChanged{Limits: limits}
	q.mu.Lock()
	q.limits = changed
	q.mu.Unlock()
	q.spend(changed)
	q.allot(changed)
}

func (q *quotas) setMembers(count, place int) {
	q.mu.Lock()
	changed := rationer.MembersChanged{Count: count, Place: place}
	former := q.members
	q.members = changed
	q.mu.Unlock()
	if former != changed {
		q.spend(changed)
	}
}

// take decides about a request.
func (q *quotas) take(ctx context.Context, w identifier.Workspace, cost float64, wait time.Duration) QuotaDecision {
	began := time.Now()
	decided := make(chan rationer.Outcome, 1)
	q.mu.Lock()
	q.lastTicket++
	ticket := q.lastTicket
	q.waiting[ticket] = decided
	q.mu.Unlock()
	q.spend(rationer.Arrived{Ticket: ticket, Workspace: w, Cost: cost, Wait: wait})
	timer := time.NewTimer(rationer.MaxWait)
	defer timer.Stop()
	for {
		select {
		case o := <-decided:
			return q.decide(w, cost, o, time.Since(began))
		case <-ctx.Done():
			q.spend(rationer.Left{Ticket: ticket, Workspace: w})
			return q.leave(ticket, decided, w, cost)
		case <-timer.C:
			q.spend(rationer.Wake{})
			timer.Reset(quotaPollInterval) // A VM that has just started waits longer.
		}
	}
}

// leave ends the wait of a caller that has left. A request that was admitted at the same
// moment returns its cost.
func (q *quotas) leave(ticket rationer.Ticket, decided <-chan rationer.Outcome, w identifier.Workspace, cost float64) QuotaDecision {
	q.mu.Lock()
	delete(q.waiting, ticket)
	q.mu.Unlock()
	select {
	case o := <-decided:
		if _, ok := o.(rationer.Admit); ok {
			q.spend(rationer.Unused{Workspace: w, Cost: cost})
		}
	default:
	}
	return QuotaDecision{After: minQuotaRetry}
}

// decide turns the outcome of a request into the decision about it.
func (q *quotas) decide(w identifier.Workspace, cost float64, o rationer.Outcome, waited time.Duration) QuotaDecision {
	refused, ok := o.(rationer.Refuse)
	if !ok {
		q.metrics.quotaDecisions.WithLabelValues("Allowed").Inc()
		q.metrics.quotaWaits.Observe(waited.Seconds())
		return QuotaDecision{IsAllowed: true}
	}
	q.metrics.quotaDecisions.WithLabelValues("Refused").Inc()
	after := max(refused.After, minQuotaRetry)
	if refused.IsIsolated || refused.Age < 0 {
		after = max(after, unknownQuotaRetry)
	}
	after += rand.N(time.Duration(quotaRetrySpread*float64(after)) + 1)
	q.log.Info().
		Str("Workspace", string(w)).Float64("Cost", cost).
		Float64("Rate", refused.Limit.Rate).Float64("Burst", refused.Limit.Burst).
		Float64("SpentHere", refused.Spent).Dur("KnownFor", refused.Age).Bool("Isolated", refused.IsIsolated).
		Dur("Waited", waited).Dur("RetryAfter", after).
		Msg("QuotaExceeded")
	return QuotaDecision{After: after}
}

// spend passes an event to the spender. After a panic all requests that wait are refused,
// and the new spender has no credit.
func (q *quotas) spend(e rationer.SpenderEvent) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	var outcomes []rationer.Outcome
	if !q.steps.Call(coreSpender, e, func() { outcomes = q.spender.Step(now, e) }) {
		outcomes = nil
		for ticket := range q.waiting {
			outcomes = append(outcomes, rationer.Refuse{Ticket: ticket})
		}
		q.rebuildSpender(now)
	}
	q.perform(outcomes)
}

// rebuildSpender replaces the spender by one without credit. q.mu must be held.
func (q *quotas) rebuildSpender(now clocker.Moment) {
	q.spender = rationer.NewSpender()
	q.steps.Call(coreSpender, "Rebuilt", func() {
		q.spender.Step(now, q.limits)
		q.spender.Step(now, q.members)
		if q.isIsolated {
			q.spender.Step(now, rationer.Isolated{})
		}
	})
}

// perform performs the outcomes of the spender. q.mu must be held.
func (q *quotas) perform(outcomes []rationer.Outcome) {
	for _, o := range outcomes {
		switch o := o.(type) {
		case rationer.Admit:
			q.end(o.Ticket, o)
		case rationer.Refuse:
			q.end(o.Ticket, o)
		case rationer.Ask:
			if o.After <= 0 {
				q.request()
			} else {
				time.AfterFunc(o.After, q.request)
			}
		}
	}
}

func (q *quotas) end(ticket rationer.Ticket, o rationer.Outcome) {
	if decided, ok := q.waiting[ticket]; ok {
		delete(q.waiting, ticket)
		decided <- o
	}
}

// allot passes an event to the allotter. After a panic the new one has empty buckets.
func (q *quotas) allot(e rationer.AllotterEvent) (grants []rationer.Grant) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	if !q.steps.Call(coreAllotter, e, func() { grants = q.allotter.Step(now, e) }) {
		q.allotter, grants = rationer.NewAllotter(rand.Float64()), nil
		q.steps.Call(coreAllotter, "Rebuilt", func() { q.allotter.Step(now, q.limits) })
	}
	return grants
}

func (q *quotas) now() clocker.Moment { return q.clock.At(time.Now()) }

// IsActive implements exchanger.Section.
func (q *quotas) IsActive(time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.spender.HasLimits()
}

// Report implements exchanger.Section.
func (q *quotas) Report(now time.Time, to *wire.ExchangeReport) {
	q.mu.Lock()
	defer q.mu.Unlock()
	at := q.clock.At(now)
	source := rationer.Source{VM: identifier.VM(to.GetCoordinator()), Incarnation: identifier.Incarnation(to.GetCoordinatorIncarnation())}
	var requests []rationer.Request
	if !q.steps.Call(coreSpender, "Report", func() { requests = q.spender.Report(at, source) }) {
		q.rebuildSpender(at)
		return
	}
	for _, r := range requests {
		to.Quotas = append(to.Quotas, &wire.QuotaRequest{Workspace: string(r.Workspace), Wanted: r.Wanted, Returned: r.Returned, Held: r.Held, Least: r.Least})
	}
}

// Collect implements exchanger.Section.
func (q *quotas) Collect(_ time.Time, from *wire.ExchangeReport, answer *wire.ExchangeDigest) {
	asked := rationer.Asked{
		From:     rationer.Source{VM: identifier.VM(from.GetVM()), Incarnation: identifier.Incarnation(from.GetIncarnation())},
		Sequence: identifier.Sequence(from.GetSequence()), Accepted: identifier.Sequence(from.GetAccepted()), Part: partOf(answer),
	}
	for _, r := range from.GetQuotas() {
		asked.Requests = append(asked.Requests, rationer.Request{Workspace: identifier.Workspace(r.GetWorkspace()), Wanted: r.GetWanted(), Returned: r.GetReturned(), Held: r.GetHeld(), Least: r.GetLeast()})
	}
	for _, g := range q.allot(asked) {
		answer.Quotas = append(answer.Quotas, &wire.QuotaGrant{Workspace: string(g.Workspace), Granted: g.Granted, AvailableMs: uint32(math.Ceil(g.Available.Seconds() * 1000))})
	}
}

// Apply implements exchanger.Section.
func (q *quotas) Apply(_, sentAt time.Time, digest *wire.ExchangeDigest) {
	answered := rationer.Answered{
		From:   rationer.Source{VM: identifier.VM(digest.GetVM()), Incarnation: identifier.Incarnation(digest.GetIncarnation())},
		SentAt: q.clock.At(sentAt), Part: partOf(digest),
	}
	for _, g := range digest.GetQuotas() {
		answered.Grants = append(answered.Grants, rationer.Grant{Workspace: identifier.Workspace(g.GetWorkspace()), Granted: g.GetGranted(), Available: time.Duration(g.GetAvailableMs()) * time.Millisecond})
	}
	q.setIsolated(false)
	q.spend(answered)
}

// Lost implements exchanger.Section.
func (q *quotas) Lost(time.Time) {
	q.setIsolated(true)
	q.spend(rationer.Isolated{})
}

// isolateWithoutExchange isolates a VM that has no exchange, once it has known the roster for as long as it
// would be starting with one.
func (q *quotas) isolateWithoutExchange(now time.Time) {
	q.mu.Lock()
	if q.withoutExchangeSince.IsZero() {
		q.withoutExchangeSince = now
	}
	isDue := !q.isIsolated && now.Sub(q.withoutExchangeSince) >= coordinator.StartupPeriod
	q.mu.Unlock()
	if isDue {
		q.Lost(now)
	}
}

func (q *quotas) setIsolated(is bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.isIsolated = is
}

// partOf returns the part of each quota that a coordinator divides.
func partOf(d *wire.ExchangeDigest) float64 {
	return min(1, d.GetCounting()/float64(max(1, d.GetMembers())))
}
