package router

import (
	"math/rand/v2"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/figtrack/figtrack/aggregator"
	"github.com/figtrack/figtrack/attempter"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/matcher"
	"github.com/figtrack/figtrack/stepper"
	"github.com/figtrack/figtrack/tracker"
	"github.com/figtrack/figtrack/wire"
)

// coreLoads is the core that adds up the reports of VMs.
const coreLoads stepper.Core = "Loads"

const (
	// activeTime is how long a VM exchanges its load after its last request.
	activeTime = time.Second
	// loadIntervalPerVM is the least time between two reports of a VM that have loads, for
	// each VM of the fleet: a coordinator answers at most 285 of them a second.
	loadIntervalPerVM = 3500 * time.Microsecond
)

// Loads is the section of the exchange that shares the work in flight at runners, and the calls
// that runners granted and rejected.
type Loads struct {
	fleet *Fleet
	// shareFrom is the number of VMs from which loads are shared; zero for never.
	shareFrom int
	// sum and reportedAt, the time of the latest report with loads, are used by the goroutine
	// of the exchange.
	sum        *aggregator.Core
	reportedAt time.Time
}

// NewLoads returns the section of a fleet that shares loads from shareFrom VMs on; never for
// zero.
func NewLoads(f *Fleet, shareFrom int) *Loads {
	return &Loads{fleet: f, shareFrom: shareFrom, sum: aggregator.New()}
}

// IsActive implements exchanger.Section.
func (l *Loads) IsActive(now time.Time) bool {
	if l.shareFrom <= 0 || l.fleet.VMs() < l.shareFrom {
		return false
	}
	if at := l.fleet.lastArrival.Load(); at != nil && now.Sub(*at) <= activeTime {
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
	l.reportedAt, to.Loads = now, &wire.RunnerLoads{}
	l.fleet.step(coreView, "Report", func() { l.fleet.view.EncodeReport(now, to) })
}

// Collect implements exchanger.Section. A sum that panics is begun anew: VMs report again
// within a second.
func (l *Loads) Collect(now time.Time, from *wire.ExchangeReport, answer *wire.ExchangeDigest) {
	if from.GetLoads() == nil {
		return
	}
	answer.Loads = &wire.RunnerLoads{}
	if !l.fleet.steps.Call(coreLoads, from, func() { l.sum.Collect(now, from, answer) }) {
		l.sum = aggregator.New()
	}
}

// Apply implements exchanger.Section.
func (l *Loads) Apply(_, sentAt time.Time, digest *wire.ExchangeDigest) {
	if digest.GetLoads() == nil {
		return
	}
	l.fleet.stepView(tracker.DecodeDigest(sentAt, digest))
}

// Lost implements exchanger.Section. What is known ages.
func (l *Loads) Lost(time.Time) {}

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
