package router

import (
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/figtrack/figtrack/attempter"
	"github.com/figtrack/figtrack/budgeter"
	"github.com/figtrack/figtrack/follower"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/keeper"
	"github.com/figtrack/figtrack/stager"
	"github.com/figtrack/figtrack/tracker"
)

// comeBackAfter is the first advice to a refused caller: decode memory frees
// several times a second at the stated load.
const comeBackAfter = 300 * time.Millisecond

// Reader gives entries of the store their meaning. An error says why an entry
// names nothing that can be used.
type Reader interface {
	Read(entry keeper.Entry) (Document, error)
}

// Fleet is what this VM knows: the configuration in force, the upstreams and
// the retry budget. It is safe for several goroutines.
type Fleet struct {
	reader  Reader
	runners Runners
	log     zerolog.Logger
	metrics *Metrics
	// configuration is nil until the first one is known.
	configuration atomic.Pointer[Configuration]
	// lostSince is when the store was lost; nil while it answers. It keeps the
	// steady clock's reading, as the time of day may jump meanwhile.
	lostSince atomic.Pointer[time.Time]

	mu     sync.Mutex
	view   *tracker.Tracker
	budget *budgeter.Budget
	roster roster
	// holder is the VM that gave the last order.
	holder stager.Holder
	// sizes holds the mean tokens of requests by pool.
	sizes map[identifier.Pool]*sizes
	// ownKey is this VM's key in the roster, ownGone is told when it is gone.
	ownKey  string
	ownGone func()
	// listed says that the store's entries are known.
	listed bool
}

// NewFleet returns a fleet that knows nothing yet.
func NewFleet(reader Reader, runners Runners, view *tracker.Tracker, budget *budgeter.Budget, metrics *Metrics, log zerolog.Logger) *Fleet {
	return &Fleet{reader: reader, runners: runners, view: view, budget: budget, metrics: metrics, log: log, roster: newRoster(), sizes: map[identifier.Pool]*sizes{}}
}

// Gauges returns the age of the view and what is left of the retry budget.
func (f *Fleet) Gauges() []prometheus.Collector {
	return []prometheus.Collector{
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "view_age_seconds", Help: "Time for which the store has not answered; 0 while it does.",
		}, func() float64 { return f.ViewAge(time.Now()).Seconds() }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "retry_budget_left", Help: "Extra sends that this VM may make now, in the pool that has least.",
		}, f.budgetLeft),
	}
}

func (f *Fleet) budgetLeft() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.configuration.Load()
	if c == nil {
		return 0
	}
	least := math.Inf(1)
	for pool := range c.Pools {
		least = min(least, f.budget.Left(time.Now(), pool))
	}
	return least
}

// IsReady says that a configuration and the upstreams are known.
func (f *Fleet) IsReady() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listed && f.configuration.Load() != nil
}

// ViewAge returns for how long the store has not answered; zero while it does.
func (f *Fleet) ViewAge(now time.Time) time.Duration {
	since := f.lostSince.Load()
	if since == nil {
		return 0
	}
	return now.Sub(*since)
}

// TakeAll implements follower.Taker.
func (f *Fleet) TakeAll(entries []keeper.Entry) {
	var runners []tracker.Runner
	vms := map[identifier.VM]bool{}
	for _, entry := range entries {
		if f.takeOwn(entry) {
			vms[identifier.VM(strings.TrimPrefix(entry.Key, rosterPrefix))] = true
			continue
		}
		switch d := f.read(entry).(type) {
		case Settled:
			f.settle(d.Configuration)
		case Registered:
			runners = append(runners, d.Runner)
		}
	}
	f.step(tracker.Listed{Runners: runners})
	f.mu.Lock()
	f.roster.keepOnly(time.Now(), vms)
	f.listed = true
	f.mu.Unlock()
}

// WatchOwn tells gone whenever this VM's entry is removed from the roster.
func (f *Fleet) WatchOwn(key string, gone func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ownKey, f.ownGone = key, gone
}

// takeOwn takes in an entry of figtrack's own.
func (f *Fleet) takeOwn(entry keeper.Entry) bool {
	if entry.Key == ordersKey {
		f.takeOrder(entry)
		return true
	}
	if !strings.HasPrefix(entry.Key, rosterPrefix) {
		return false
	}
	f.mu.Lock()
	now := time.Now()
	err := f.roster.take(now, entry)
	n := f.roster.count(now)
	f.budget.SetVMs(n)
	if entry.Key == f.ownKey && entry.Value == nil {
		f.ownGone()
	}
	f.mu.Unlock()
	f.metrics.vms.Set(float64(n))
	if err != nil {
		f.metrics.badEntries.Inc()
		f.log.Warn().Str("Key", entry.Key).AnErr("Error", err).Msg("EntryNotRead")
		return true
	}
	f.log.Info().Str("Key", entry.Key).Bool("Lives", entry.Value != nil).Int64("Version", int64(entry.Version)).Int("VMs", n).Msg("RosterChanged")
	return true
}

// Take implements follower.Taker.
func (f *Fleet) Take(entry keeper.Entry) {
	if f.takeOwn(entry) {
		return
	}
	switch d := f.read(entry).(type) {
	case Settled:
		f.settle(d.Configuration)
	case Registered:
		f.step(tracker.Told{Runner: d.Runner})
	case Deregistered:
		f.step(tracker.Removed{ID: d.ID, Version: d.Version})
	}
}

// StoreLost implements follower.Taker.
func (f *Fleet) StoreLost(o follower.StoreLost) {
	f.lostSince.Store(&o.Since)
	f.metrics.storeUp.Set(0)
	f.log.Warn().Time("Since", o.Since).AnErr("Error", o.Err).Msg("StoreLost")
}

// StoreFound implements follower.Taker.
func (f *Fleet) StoreFound(o follower.StoreFound) {
	f.lostSince.Store(nil)
	f.metrics.storeUp.Set(1)
	f.log.Info().Dur("Away", o.Away).Msg("StoreFound")
	f.step(tracker.StoreBack{})
}

func (f *Fleet) read(entry keeper.Entry) Document {
	d, err := f.reader.Read(entry)
	if err != nil {
		f.metrics.badEntries.Inc()
		f.log.Warn().Str("Key", entry.Key).Int64("Version", int64(entry.Version)).AnErr("Error", err).Msg("EntryNotRead")
		return Foreign{}
	}
	return d
}

// settle puts a configuration in force, if it is newer.
func (f *Fleet) settle(c *Configuration) {
	now := f.configuration.Load()
	if now != nil && c.Revision <= now.Revision {
		return
	}
	f.configuration.Store(c)
	f.metrics.revision.Set(float64(c.Revision))
	f.log.Info().Uint64("Revision", uint64(c.Revision)).Int("Routes", c.Count).Int("Pools", len(c.Pools)).Msg("ConfigurationInForce")
	for _, id := range slices.Sorted(maps.Keys(c.Pools)) {
		if pool := c.Pools[id]; pool.HasEngines && (now == nil || now.Pools[id] != pool) {
			f.log.Info().Str("Pool", string(id)).Int("Memory", int(pool.Memory)).Int("Slots", pool.Slots).Dur("Switch", pool.Switch).Msg("PoolInForce")
		}
	}
}

func (f *Fleet) step(e tracker.Event) {
	f.mu.Lock()
	changes := f.view.Step(time.Now(), e)
	f.metrics.upstreams.Set(float64(f.view.Len()))
	f.mu.Unlock()
	f.tell(changes)
}

// Runner returns what is known of a runner.
func (f *Fleet) Runner(id identifier.Upstream) (tracker.Runner, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Find(id)
}

// Wake lets time pass in the view.
func (f *Fleet) Wake() {
	f.step(tracker.Wake{})
	f.mu.Lock()
	f.budget.SetVMs(f.roster.count(time.Now()))
	f.mu.Unlock()
}

// tell logs changes and drops the connections to runners that are gone.
func (f *Fleet) tell(changes []tracker.Change) {
	for _, change := range changes {
		switch c := change.(type) {
		case tracker.Joined:
			f.logRunner(c.Runner).Str("Role", string(c.Runner.Role)).Str("Address", c.Runner.Address).Msg("RunnerJoined")
		case tracker.Left:
			f.logRunner(c.Runner).Msg("RunnerLeaving")
			f.runners.Forget(c.Runner)
		case tracker.Missing:
			f.logRunner(c.Runner).Time("Until", c.Until).Msg("RunnerMissing")
		case tracker.Gone:
			f.logRunner(c.Runner).Msg("RunnerGone")
			f.runners.Forget(c.Runner)
		case tracker.Suspected:
			f.metrics.suspicions.Inc()
			f.logRunner(c.Runner).Time("Until", c.Until).Str("Reason", c.Reason).Msg("RunnerSuspected")
		case tracker.Trusted:
			f.logRunner(c.Runner).Msg("RunnerTrusted")
		}
	}
}

func (f *Fleet) logRunner(r tracker.Runner) *zerolog.Event {
	return f.log.Info().
		Str("Upstream", string(r.ID)).
		Str("Pool", string(r.Pool)).
		Int64("Version", r.Version)
}

// Plain implements attempter.Fleet.
func (f *Fleet) Plain(now time.Time, pool identifier.Pool, without tracker.Without) (tracker.Runner, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Plain(now, pool, without)
}

// Prefill implements attempter.Fleet.
func (f *Fleet) Prefill(now time.Time, pool identifier.Pool, near identifier.DataCentre, without tracker.Without) (tracker.Runner, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.budget.Left(now, pool) < 1 {
		return tracker.Runner{}, false // A call that is refused would overdraw the budget.
	}
	return f.view.Prefill(now, pool, near, without)
}

// Decode implements attempter.Fleet.
func (f *Fleet) Decode(now time.Time, pool identifier.Pool, tokens identifier.Tokens, without tracker.Without) (tracker.Runner, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Decode(now, pool, tokens, without)
}

// Spend implements attempter.Fleet.
func (f *Fleet) Spend(now time.Time, pool identifier.Pool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	allowed := f.budget.Take(now, pool)
	f.metrics.retries.WithLabelValues(word(allowed, "Allowed", "Denied")).Inc()
	return allowed
}

// Count implements attempter.Fleet.
func (f *Fleet) Count(now time.Time, pool identifier.Pool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget.Spend(now, pool)
	f.metrics.retries.WithLabelValues("Counted").Inc()
}

// RetryAfter implements attempter.Fleet.
func (f *Fleet) RetryAfter(time.Time, identifier.Pool) time.Duration { return comeBackAfter }

func (f *Fleet) arrived(now time.Time, job attempter.Job) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget.Arrived(now, job.Pool)
	if job.NeedsEngine {
		f.sizesOf(job.Pool).add(job.Input, job.Output)
	}
}

// with runs a function on the view and logs what it changed.
func (f *Fleet) with(use func(now time.Time, view *tracker.Tracker) []tracker.Change) {
	f.mu.Lock()
	changes := use(time.Now(), f.view)
	f.mu.Unlock()
	f.tell(changes)
}

func word(is bool, yes, no string) string {
	if is {
		return yes
	}
	return no
}
