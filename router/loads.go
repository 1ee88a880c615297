package router

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/figtrack/figtrack/aggregator"
	"github.com/figtrack/figtrack/attempter"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/matcher"
	"github.com/figtrack/figtrack/stepper"
	"github.com/figtrack/figtrack/throttler"
	"github.com/figtrack/figtrack/tracker"
	"github.com/figtrack/figtrack/wire"
)

// coreLoads is the core that adds up the reports of VMs.
const coreLoads stepper.Core = "Loads"

const (
	// activeTime is how long a VM exchanges its load after its last request.
	activeTime = time.Second
	// maxDemandAge is the age from which the fleet's demand isn't used.
	maxDemandAge = 2 * time.Second
	// loadIntervalPerVM is the least time between two reports of a VM that have loads, for
	// each VM of the fleet: a coordinator answers at most 285 of them a second.
	loadIntervalPerVM = 3500 * time.Microsecond
)

// demands are the demand for each pool in the fleet.
type demands struct {
	// lastArrival is when a request was read last; nil before the first one.
	lastArrival atomic.Pointer[time.Time]

	mu sync.Mutex
	// fleet is the last digest's; it is replaced as a whole. It was asked for at fleetAt.
	fleet   map[tracker.PoolHash]aggregator.Demand
	fleetAt time.Time
}

// Waiting is the part of a VM that holds the requests that wait for room. Its methods are
// called by the goroutine of the exchange and don't block.
type Waiting interface {
	// Demands returns this VM's demand for each pool that has any. Granted and Rejected are
	// not used, as the view counts them.
	Demands(now time.Time) map[identifier.Pool]aggregator.Demand
	// ApplyDemand takes in the demand of all VMs for a pool, as it was at a time.
	ApplyDemand(at time.Time, pool identifier.Pool, d aggregator.Demand)
}

// FleetDemand returns the demand of all VMs for a pool by the last digest, this VM's as of its
// last report included. It returns false if that is too old or none was heard.
func (f *Fleet) FleetDemand(now time.Time, pool identifier.Pool) (aggregator.Demand, bool) {
	f.demands.mu.Lock()
	defer f.demands.mu.Unlock()
	if f.demands.fleet == nil || now.Sub(f.demands.fleetAt) >= maxDemandAge {
		return aggregator.Demand{}, false
	}
	return f.demands.fleet[tracker.HashOfPool(pool)], true
}

// Loads is the section of the exchange that shares the work in flight at runners and the
// demand for pools.
type Loads struct {
	fleet *Fleet
	// shareFrom is the number of VMs from which loads are shared; zero for never.
	shareFrom int
	// waiting is nil if no requests wait by rank.
	waiting Waiting
	// sum and reportedAt, the time of the latest report with loads, are used by the goroutine
	// of the exchange.
	sum        *aggregator.Core
	reportedAt time.Time
}

// NewLoads returns the section of a fleet that shares loads from shareFrom VMs on; never for
// zero. waiting may be nil.
func NewLoads(f *Fleet, shareFrom int, waiting Waiting) *Loads {
	return &Loads{fleet: f, shareFrom: shareFrom, waiting: waiting, sum: aggregator.New()}
}

// IsActive implements exchanger.Section.
func (l *Loads) IsActive(now time.Time) bool {
	if l.shareFrom <= 0 || l.fleet.VMs() < l.shareFrom {
		return false
	}
	if at := l.fleet.demands.lastArrival.Load(); at != nil && now.Sub(*at) <= activeTime {
		return true
	}
	hasWork := false
	l.fleet.step(coreView, "HasWork", func() { hasWork = l.fleet.view.HasWork() })
	return hasWork
}

// Report implements exchanger.Section.
func (l *Loads) Report(now time.Time, to *wire.ExchangeReport) {
	// Requests that wait for quota cause up to 50 reports a second. Digests with the loads of
	// all runners would fill the coordinator's link then.
	if now.Sub(l.reportedAt) < time.Duration(l.fleet.VMs())*loadIntervalPerVM {
		return
	}
	l.reportedAt, to.HasLoads = now, true
	var loads map[tracker.RunnerHash]tracker.Occupied
	var calls map[tracker.PoolHash]tracker.Calls
	l.fleet.step(coreView, "Report", func() { loads, calls = l.fleet.view.Report(), l.fleet.view.PoolCalls(now) })
	for _, hash := range slices.Sorted(maps.Keys(loads)) {
		o := loads[hash]
		to.Loads = append(to.Loads, &wire.RunnerLoad{Runner: uint32(hash), Calls: uint32(max(0, o.Calls)), Tokens: uint32(max(0, o.Tokens))})
	}
	demands := map[tracker.PoolHash]aggregator.Demand{}
	if l.waiting != nil {
		for pool, d := range l.waiting.Demands(now) {
			demands[tracker.HashOfPool(pool)] = d
		}
	}
	for hash, c := range calls {
		d := demands[hash]
		d.Granted, d.Rejected = c.Granted/throttler.Window.Seconds(), c.Rejected/throttler.Window.Seconds()
		demands[hash] = d
	}
	for _, hash := range slices.Sorted(maps.Keys(demands)) {
		to.Demands = append(to.Demands, encodeDemand(hash, demands[hash]))
	}
}

func encodeDemand(pool tracker.PoolHash, d aggregator.Demand) *wire.PoolDemand {
	count := func(rate float64) uint32 { return uint32(math.Round(max(0, rate) * aggregator.RatePeriod.Seconds())) }
	e := &wire.PoolDemand{
		Pool: uint32(pool), Granted: count(d.Granted), Refused: count(d.Refused), Rejected: count(d.Rejected),
		IntervalMs: uint32(aggregator.RatePeriod.Milliseconds()),
	}
	for _, n := range d.Waiting {
		e.Waiting = append(e.Waiting, uint32(max(0, n)))
	}
	return e
}

func decodeDemand(e *wire.PoolDemand) aggregator.Demand {
	seconds := max(float64(e.GetIntervalMs()), 1) / 1000
	d := aggregator.Demand{Granted: float64(e.GetGranted()) / seconds, Refused: float64(e.GetRefused()) / seconds, Rejected: float64(e.GetRejected()) / seconds}
	for _, n := range e.GetWaiting() {
		d.Waiting = append(d.Waiting, int(n))
	}
	return d
}

// Collect implements exchanger.Section. A sum that panics is begun anew: VMs report again
// within a second.
func (l *Loads) Collect(now time.Time, from *wire.ExchangeReport, answer *wire.ExchangeDigest) {
	if !from.GetHasLoads() {
		return
	}
	answer.HasLoads = true
	if !l.fleet.steps.Call(coreLoads, from, func() { l.sum.Collect(now, from, answer) }) {
		l.sum = aggregator.New()
	}
}

// Apply implements exchanger.Section.
func (l *Loads) Apply(_, sentAt time.Time, digest *wire.ExchangeDigest) {
	if !digest.GetHasLoads() {
		return
	}
	e := tracker.Digested{
		SentAt: sentAt, All: make(map[tracker.RunnerHash]tracker.Occupied, len(digest.Loads)),
		Calls: map[tracker.PoolHash]tracker.Calls{}, Reporting: int(digest.Reporting),
	}
	for _, one := range digest.Loads {
		e.All[tracker.RunnerHash(one.GetRunner())] = tracker.Occupied{Calls: int(one.GetCalls()), Tokens: identifier.Tokens(one.GetTokens())}
	}
	fleet := map[tracker.PoolHash]aggregator.Demand{}
	for _, one := range digest.Demands {
		hash, d, window := tracker.PoolHash(one.GetPool()), decodeDemand(one), throttler.Window.Seconds()
		fleet[hash] = d
		e.Calls[hash] = tracker.Calls{Granted: d.Granted * window, Rejected: d.Rejected * window}
	}
	l.fleet.demands.mu.Lock()
	l.fleet.demands.fleet, l.fleet.demands.fleetAt = fleet, sentAt
	l.fleet.demands.mu.Unlock()
	l.fleet.stepView(e)
	if c := l.fleet.configuration.Load(); c != nil && l.waiting != nil {
		for pool := range c.Pools {
			l.waiting.ApplyDemand(sentAt, pool, fleet[tracker.HashOfPool(pool)])
		}
	}
}

// Lost implements exchanger.Section. What is known ages.
func (l *Loads) Lost(time.Time) {}

// recordDemand notes that a request has arrived.
func (f *Fleet) recordDemand(now time.Time) { f.demands.lastArrival.Store(&now) }

// sizesOf returns the capacities of the decode engines in a configuration.
func sizesOf(c *Configuration) tracker.Sized {
	e := tracker.Sized{Pools: map[identifier.Pool]tracker.Size{}}
	for id, pool := range c.Pools {
		if pool.HasEngines {
			e.Pools[id] = tracker.Size{Memory: pool.Memory, Slots: pool.Slots}
		}
	}
	return e
}

// loadGauges returns the gauges of the estimate of free memory.
func (f *Fleet) loadGauges() []prometheus.Collector {
	gauge := func(name, help string, value func(s tracker.State) float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, func() float64 {
			var s tracker.State
			f.step(coreView, name, func() { s = f.view.State(time.Now()) })
			return value(s)
		})
	}
	return []prometheus.Collector{
		gauge("estimated_free_tokens", "Free memory of all decode engines by this VM's estimate.", func(s tracker.State) float64 { return float64(s.Free) }),
		gauge("load_digest_age_seconds", "Age of the last digest of the work of all VMs; 0 before the first. From 2 s on it isn't used.", func(s tracker.State) float64 { return s.DigestAge.Seconds() }),
		gauge("refused_reservations_per_granted", "Reservations of this VM that engines refused in the last 2 s, for each granted one; all of them if none was granted.", func(s tracker.State) float64 {
			return s.Calls.Rejected / max(s.Calls.Granted, 1)
		}),
	}
}

// heldLoad is the reservation of a request that no call uses yet.
type heldLoad struct {
	at     tracker.Runner
	tokens identifier.Tokens
	// isCounted is true until endHold.
	isCounted bool
}

// beginHold counts a reservation that is asked of an engine, in place of an earlier one.
func (p *proxiedRequest) beginHold(o attempter.Reserve) {
	p.endHold()
	p.held = heldLoad{o.To, o.Tokens, true}
	p.fleet.updateView(func(now time.Time, view *tracker.Tracker) []tracker.Change {
		view.BeginTrial(now, o.To)
		view.BeginHold(o.To, o.Tokens)
		return nil
	})
}

// endHold ends what beginHold has counted: the reservation was refused, released or forgotten,
// or a call uses it.
func (p *proxiedRequest) endHold() {
	held := p.held
	if p.held = (heldLoad{}); !held.isCounted {
		return
	}
	p.fleet.updateView(func(_ time.Time, view *tracker.Tracker) []tracker.Change {
		view.EndHold(held.at, held.tokens)
		return nil
	})
}

// recordReserved counts a reservation that an engine has granted.
func (p *proxiedRequest) recordReserved(o attempter.Reserve, e attempter.Event) attempter.Event {
	if _, ok := e.(attempter.Reserved); ok {
		p.fleet.updateView(func(now time.Time, view *tracker.Tracker) []tracker.Change {
			view.RecordGranted(now, o.To)
			return nil
		})
	}
	return e
}

// refuseThrottled refuses a new request if its pool's plain services reject too many calls, and
// reports whether it did. A stream that goes on is always tried.
func (r *Router) refuseThrottled(q *Request, caller Caller, kind matcher.Kind, job attempter.Job) bool {
	if job.NeedsEngine || job.IsTakenUp {
		return false
	}
	now, isThrottled := time.Now(), false
	r.fleet.step(coreView, job.Pool, func() { isThrottled = r.fleet.view.Throttles(now, job.Pool) })
	if isThrottled {
		after := min(defaultRetryAfter+rand.N(maxPauseSpread), job.Deadline.Sub(now)/3)
		r.reply(q, caller, kind, NotRun{Reason: attempter.ReasonThrottled, After: max(0, after)})
	}
	return isThrottled
}
