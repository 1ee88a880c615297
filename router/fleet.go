package router

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/figtrack/figtrack/apportioner"
	"github.com/figtrack/figtrack/attempter"
	"github.com/figtrack/figtrack/budgeter"
	"github.com/figtrack/figtrack/enroller"
	"github.com/figtrack/figtrack/follower"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/isolator"
	"github.com/figtrack/figtrack/keeper"
	"github.com/figtrack/figtrack/stager"
	"github.com/figtrack/figtrack/stepper"
	"github.com/figtrack/figtrack/tracker"
	"github.com/figtrack/figtrack/versioner"
)

// defaultRetryAfter is the Retry-After time of a refusal: at the specified
// load, decode memory becomes free several times a second.
const defaultRetryAfter = 300 * time.Millisecond

// maxPauseSpread bounds the random time that callers come back after the end of a
// pause.
const maxPauseSpread = 500 * time.Millisecond

// Reader decodes entries of the store. An error means that the entry can't be
// used.
type Reader interface {
	Read(entry keeper.Entry) (Document, error)
}

// Fleet holds what this VM knows of the fleet: the configuration in force, the
// upstreams, the roster and the retry budget. It is safe for concurrent use.
type Fleet struct {
	reader  Reader
	runners Runners
	log     zerolog.Logger
	metrics *Metrics
	// configuration is nil until the first one is known.
	configuration atomic.Pointer[Configuration]
	// storeLostSince is when the store was lost; nil while it answers. It
	// keeps the monotonic clock reading, as the wall clock may jump during the
	// outage.
	storeLostSince atomic.Pointer[time.Time]
	// uncertainUntil is when the operator has had the time to write a
	// configuration again that the store lost; nil if it never lost any.
	uncertainUntil atomic.Pointer[time.Time]

	// steps calls the steps of the cores below.
	steps *stepper.Stepper

	mu sync.Mutex
	// registered holds the runners of the store by key, entries the entries that figtrack
	// itself writes. The cores are rebuilt from them.
	registered map[string]tracker.Runner
	entries    map[string]keeper.Entry
	// rebuilds counts the rebuilds of each core.
	rebuilds map[stepper.Core]rebuildCount
	// incompleteSince holds the cores that lack what they panicked on in a rebuild, and
	// since when.
	incompleteSince map[stepper.Core]time.Time
	view            *tracker.Tracker
	budget          *budgeter.Budget
	roster          roster
	// era is the latest era of the store. isRelisting is true from its begin
	// until its entries were read.
	era         keeper.Era
	isRelisting bool
	// orderHolder is the VM that gave the last order of this era.
	orderHolder stager.Holder
	// tokenMeans holds the mean lengths of requests by pool.
	tokenMeans map[identifier.Pool]*tokenMeans
	// waiting orders the requests that wait for room.
	waiting waiting
	// lastArrival is when a request was read last; nil before the first one.
	lastArrival atomic.Pointer[time.Time]
	// ownKey is this VM's key in the roster; enrolment keeps that entry.
	ownKey    string
	enrolment Enrolment
	// exchange is nil without one.
	exchange Exchange
	quotas   *quotas
	// isolation counts crashes of engines against the traits of requests.
	isolation *isolator.Core
	// rates divides the rates of limited runners among the VMs, of which sharingVMs
	// were the last.
	rates      *apportioner.Core
	sharingVMs []identifier.VM
	// versions divides resumable streams among the versions of the runners' software.
	versions *versioner.Core
	// listWait is how long a stream that is taken up waits for other VMs to list it.
	listWait time.Duration
	// streamsVersion is the version of this VM's list of streams in the store.
	streamsVersion keeper.Version
	// These hold the writes that isolation, rates and versions ask for, at most one each.
	crashWrites, rateWrites, versionWrites, streamWrites chan recordWrite
	// reachedAt is when the latest call to the store was made that was answered, as far as that
	// is recorded; nil before. storeChecks asks for one.
	reachedAt   atomic.Pointer[time.Time]
	storeChecks chan struct{}
	// isListed is true once the entries of the store were read for the first
	// time.
	isListed bool
}

// NewFleet returns a fleet without a configuration or any upstreams.
func NewFleet(reader Reader, runners Runners, view *tracker.Tracker, budget *budgeter.Budget, versions *versioner.Core, steps *stepper.Stepper, metrics *Metrics, log zerolog.Logger) *Fleet {
	f := &Fleet{
		reader: reader, runners: runners, view: view, budget: budget, steps: steps, metrics: metrics, log: log, roster: newRoster(), registered: map[string]tracker.Runner{}, entries: map[string]keeper.Entry{}, rebuilds: map[stepper.Core]rebuildCount{}, incompleteSince: map[stepper.Core]time.Time{}, tokenMeans: map[identifier.Pool]*tokenMeans{}, waiting: waiting{},
		isolation: isolator.NewStarting(time.Now()), rates: apportioner.New(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		versions: versions, listWait: versions.ListWait(), crashWrites: make(chan recordWrite, 1), rateWrites: make(chan recordWrite, 1),
		storeChecks:   make(chan struct{}, 1),
		versionWrites: make(chan recordWrite, 1), streamWrites: make(chan recordWrite, 1),
	}
	f.quotas = newQuotas(steps, metrics, log, f.RequestExchange)
	runners.SetListener(f)
	return f
}

// Gauges returns the gauges of the view's age, of the remaining retry budget and of the
// estimate of free memory.
func (f *Fleet) Gauges() []prometheus.Collector {
	return append(f.loadGauges(),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "view_age_seconds", Help: "Time for which the store has not answered; 0 while it does.",
		}, func() float64 { return f.ViewAge(time.Now()).Seconds() }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "retry_budget_left", Help: "Extra sends that this VM may make now, in the pool that has least.",
		}, f.budgetLeft))
}

func (f *Fleet) budgetLeft() (left float64) {
	f.step(coreBudget, "budgetLeft", func() { left = f.leastBudgetLeft() })
	return left
}

// leastBudgetLeft does the work of budgetLeft. f.mu must be held.
func (f *Fleet) leastBudgetLeft() float64 {
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

// IsReady reports whether a configuration and the upstreams are known.
func (f *Fleet) IsReady() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isListed && f.configuration.Load() != nil
}

// ViewAge returns for how long the store has not answered; zero while it
// answers.
func (f *Fleet) ViewAge(now time.Time) time.Duration {
	since := f.storeLostSince.Load()
	if since == nil {
		return 0
	}
	return now.Sub(*since)
}

// IsCertain reports whether the configuration in force is the newest one: the
// store answers and has not come back from a copy a moment ago.
func (f *Fleet) IsCertain(now time.Time) bool {
	until := f.uncertainUntil.Load()
	return f.ViewAge(now) <= maxViewAge && (until == nil || !now.Before(*until))
}

// EraChanged implements follower.Receiver. What is known stays in force, but no
// order is given on it.
func (f *Fleet) EraChanged(o follower.EraChanged) {
	until := time.Now().Add(tracker.EraGrace)
	f.uncertainUntil.Store(&until)
	f.mu.Lock()
	f.era, f.isRelisting = o.To, true
	if f.enrolment != nil {
		f.enrolment.NotifyEra(o.To)
	}
	f.mu.Unlock()
	f.metrics.storeRestores.Inc()
	f.log.Warn().Int64("From", int64(o.From)).Int64("Era", int64(o.To)).Time("Until", until).Msg("StoreRestored")
	f.stepView(tracker.EraChanged{ActBy: o.ActBy})
}

// TakeAll implements follower.Receiver with the entries of a complete listing.
func (f *Fleet) TakeAll(o follower.TakeAll) {
	f.recordReached(time.Now())
	var runners []tracker.Runner
	registered := map[string]tracker.Runner{}
	vms := map[identifier.VM]bool{}
	hasCrashes, hasRates, hasVersions := false, false, false
	f.mu.Lock()
	absentSince := time.Now()
	if f.isRelisting {
		// A VM whose entry the copy lacks still has its share of the budget.
		absentSince = absentSince.Add(enroller.EntryTTL)
		f.orderHolder = stager.Holder{}
	}
	clear(f.entries)
	for _, entry := range o.Entries {
		if isOwnKey(entry.Key) {
			f.entries[entry.Key] = entry
		}
	}
	f.mu.Unlock()
	for _, entry := range o.Entries {
		hasCrashes = hasCrashes || entry.Key == crashesKey
		hasRates = hasRates || entry.Key == ratesKey
		hasVersions = hasVersions || entry.Key == versionsKey
		if f.handleOwnEntry(entry, true) {
			vms[identifier.VM(strings.TrimPrefix(entry.Key, rosterPrefix))] = true
			continue
		}
		switch d := f.read(entry).(type) {
		case Configured:
			f.applyConfiguration(d.Configuration)
		case Registered:
			runners = append(runners, d.Runner)
			registered[entry.Key] = d.Runner
		}
	}
	f.mu.Lock()
	f.registered = registered
	f.mu.Unlock()
	if !hasCrashes {
		f.stepIsolation(isolator.RecordRead{Era: o.Era, IsMissing: true})
	}
	if !hasRates {
		f.stepRates(apportioner.RecordRead{Era: o.Era, IsMissing: true})
	}
	if !hasVersions {
		f.stepVersions(versioner.RecordRead{Era: o.Era, IsMissing: true})
	}
	f.stepView(tracker.Listed{Runners: runners})
	f.updateCapacities()
	f.step(coreRoster, vms, func() { f.takeListedRoster(absentSince, vms) })
	f.mu.Lock()
	f.era, f.isListed, f.isRelisting = o.Era, true, false
	f.mu.Unlock()
	f.updateExchange()
	f.updateShares()
}

// Enrolment keeps this VM's entry in the roster. Its methods never block.
type Enrolment interface {
	// NotifyRemoved is called whenever the entry is removed from the store.
	NotifyRemoved()
	// NotifyEra is called whenever the store came back from a copy.
	NotifyEra(era keeper.Era)
}

// ownVM returns the id of this VM; empty without an enrolment. f.mu must be held.
func (f *Fleet) ownVM() identifier.VM {
	return identifier.VM(strings.TrimPrefix(f.ownKey, rosterPrefix))
}

// SetEnrolment sets what keeps this VM's entry under key.
func (f *Fleet) SetEnrolment(key string, e Enrolment) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ownKey, f.enrolment = key, e
}

// handleOwnEntry handles the keys that figtrack itself writes and reports
// whether entry has one of them. isListed is true for an entry of a listing,
// false for a change.
func (f *Fleet) handleOwnEntry(entry keeper.Entry, isListed bool) bool {
	if entry.Key == ordersKey {
		f.handleOrder(entry, isListed)
		return true
	}
	if entry.Key == crashesKey {
		f.handleCrashes(entry)
		return true
	}
	if entry.Key == ratesKey {
		f.handleRates(entry)
		return true
	}
	if f.handleVersionsEntry(entry) {
		return true
	}
	if !strings.HasPrefix(entry.Key, rosterPrefix) {
		return false
	}
	var err error
	var n int
	f.step(coreRoster, entry.Key, func() {
		now := time.Now()
		err = f.roster.apply(now, entry)
		n = f.roster.count(now)
		f.budget.SetVMs(n)
		if entry.Key == f.ownKey && entry.Value == nil {
			f.enrolment.NotifyRemoved()
		}
	})
	f.metrics.vms.Set(float64(n))
	if !isListed {
		f.updateShares()
	}
	if err != nil {
		f.metrics.unreadableEntries.Inc()
		f.log.Warn().Str("Key", entry.Key).AnErr("Error", err).Msg("EntryNotRead")
		return true
	}
	f.log.Info().Str("Key", entry.Key).Bool("Lives", entry.Value != nil).Int64("Version", int64(entry.Version)).Int("VMs", n).Msg("RosterChanged")
	return true
}

// Take implements follower.Receiver with a single changed entry.
func (f *Fleet) Take(entry keeper.Entry) {
	f.recordReached(time.Now())
	if isOwnKey(entry.Key) {
		f.mu.Lock()
		f.entries[entry.Key] = entry
		if entry.Value == nil {
			delete(f.entries, entry.Key)
		}
		f.mu.Unlock()
		f.handleOwnEntry(entry, false)
		return
	}
	switch d := f.read(entry).(type) {
	case Configured:
		f.applyConfiguration(d.Configuration)
	case Registered:
		f.mu.Lock()
		f.registered[entry.Key] = d.Runner
		f.mu.Unlock()
		f.stepView(tracker.EntryWritten{Runner: d.Runner})
	case Deregistered:
		f.mu.Lock()
		delete(f.registered, entry.Key)
		f.mu.Unlock()
		f.stepView(tracker.Removed{ID: d.ID, Age: d.Age})
	}
}

// StoreLost implements follower.Receiver.
func (f *Fleet) StoreLost(o follower.StoreLost) {
	f.storeLostSince.Store(&o.Since)
	f.metrics.storeUp.Set(0)
	f.log.Warn().Time("Since", o.Since).AnErr("Error", o.Err).Msg("StoreLost")
}

// StoreFound implements follower.Receiver.
func (f *Fleet) StoreFound(o follower.StoreFound) {
	f.storeLostSince.Store(nil)
	f.metrics.storeUp.Set(1)
	line := f.log.Info().Dur("Away", o.Away).Int64("Version", int64(o.Version))
	if !o.FailedCallAt.IsZero() {
		line.Time("FailedCallAt", o.FailedCallAt)
		f.stepView(tracker.StoreBack{ActBy: o.ActBy})
	}
	line.Msg("StoreFound")
}

// ReadDone implements follower.Receiver.
func (f *Fleet) ReadDone(o follower.ReadDone) {
	f.log.Info().Int("Calls", o.Calls).Int("Bytes", o.Bytes).Dur("Took", time.Since(o.Since)).Bool("FromHistory", o.FromHistory).Msg("StoreRead")
}

// ReadFailed implements follower.Receiver.
func (f *Fleet) ReadFailed(o follower.ReadFailed) {
	f.log.Info().Str("Prefix", o.Prefix).Int("Call", o.Call).Int("Bytes", o.Bytes).AnErr("Error", o.Err).Msg("StoreReadFailed")
}

func (f *Fleet) read(entry keeper.Entry) Document {
	d, err := readEntry(f.steps, entry, f.reader.Read)
	if err != nil {
		f.logUnreadable(entry, err)
		return Foreign{}
	}
	return d
}

// applyConfiguration puts a configuration in force if its revision is newer.
func (f *Fleet) applyConfiguration(c *Configuration) {
	current := f.configuration.Load()
	if current != nil && c.Revision <= current.Revision {
		return
	}
	f.configuration.Store(c)
	f.quotas.setLimits(c.Workspaces)
	f.stepView(sizesOf(c))
	f.metrics.revision.Set(float64(c.Revision))
	f.log.Info().Uint64("Revision", uint64(c.Revision)).Int("Routes", c.RouteCount).Int("Pools", len(c.Pools)).Msg("ConfigurationInForce")
	if l := c.Limits; current == nil || l != current.Limits {
		f.log.Info().Int("HeaderBytes", l.HeaderBytes).Int64("BodyBytes", l.BodyBytes).Dur("HeaderTimeout", l.HeaderTimeout).Dur("IdleTimeout", l.IdleTimeout).Msg("LimitsInForce")
	}
	for _, id := range slices.Sorted(maps.Keys(c.Pools)) {
		if pool := c.Pools[id]; pool.HasEngines && (current == nil || current.Pools[id] != pool) {
			f.log.Info().Str("Pool", string(id)).Int("Memory", int(pool.Memory)).Int("Slots", pool.Slots).Dur("Switch", pool.Switch).Msg("PoolInForce")
		}
	}
}

// VMs returns the number of VMs that share the retry budget.
func (f *Fleet) VMs() (n int) {
	f.step(coreRoster, "VMs", func() { n = f.roster.count(time.Now()) })
	return n
}

func (f *Fleet) stepView(e tracker.Event) {
	var changes []tracker.Change
	step := func() {
		changes = f.view.Step(time.Now(), e)
		f.metrics.upstreams.Set(float64(f.view.Len()))
	}
	// A rebuilt view gets the event again, as the entries don't show all that it may tell.
	if f.step(coreView, e, step) || f.step(coreView, e, step) {
		f.handleChanges(changes)
	}
}

// Runner returns the runner with an id, even if it is leaving.
func (f *Fleet) Runner(id identifier.Upstream) (r tracker.Runner, ok bool) {
	isDone := f.step(coreView, id, func() { r, ok = f.view.Find(id) })
	return r, ok && isDone
}

// Wake expires entries of the view and of the roster that have reached their
// time limit.
func (f *Fleet) Wake() {
	for _, duty := range []func(){
		f.rebuildDue,
		func() { f.stepView(tracker.Wake{}) },
		func() { f.stepIsolation(isolator.Wake{}) },
		f.updateShares,
		func() { f.stepRates(apportioner.Wake{}) },
		f.updateCapacities,
		f.wakeVersions,
		f.updateExchange,
		func() { f.step(coreRoster, "Wake", func() { f.budget.SetVMs(f.roster.count(time.Now())) }) },
	} {
		f.steps.Call(coreWake, "Wake", duty)
	}
}

func (f *Fleet) wakeVersions() {
	f.mu.Lock()
	isRelisting := f.isRelisting
	f.mu.Unlock()
	now := time.Now()
	f.stepVersions(versioner.Wake{IsCertain: !isRelisting && f.IsCertain(now) && f.isReached(now)})
}

const (
	// maxUnreached is the age of the last answer of the store from which on a VM counts as cut
	// off while buckets move. A call that waits for changes may hide a cut for longer.
	maxUnreached = time.Second
	// checkStoreAfter is the age from which on it is checked whether the store answers.
	checkStoreAfter = 750 * time.Millisecond
)

func (f *Fleet) recordReached(at time.Time) {
	if last := f.reachedAt.Load(); last == nil || at.After(*last) {
		f.reachedAt.Store(&at)
	}
}

// isReached reports whether the store has answered lately, which counts only while buckets move.
func (f *Fleet) isReached(now time.Time) bool {
	isMoving := false
	f.step(coreVersions, "IsMoving", func() { isMoving = f.versions.IsMoving(now) })
	if !isMoving {
		return true
	}
	var age time.Duration
	if last := f.reachedAt.Load(); last != nil {
		age = now.Sub(*last)
	}
	if age >= checkStoreAfter {
		select {
		case f.storeChecks <- struct{}{}:
		default: // One waits already.
		}
	}
	return age <= maxUnreached
}

// HandleLeaving implements AnnouncementListener.
func (f *Fleet) HandleLeaving(r tracker.Runner) {
	f.updateView(func(_ time.Time, view *tracker.Tracker) []tracker.Change { return view.RecordLeaving(r) })
}

// handleChanges logs changes of the view and closes the idle connections to
// runners that have left.
func (f *Fleet) handleChanges(changes []tracker.Change) {
	for _, change := range changes {
		switch c := change.(type) {
		case tracker.Joined:
			f.logRunner(c.Runner).Str("Role", string(c.Runner.Role)).Str("Address", c.Runner.Address).Msg("RunnerJoined")
		case tracker.Left:
			f.logRunner(c.Runner).Str("Source", string(c.Source)).Msg("RunnerLeaving")
			f.runners.Forget(c.Runner)
		case tracker.Missing:
			f.logRunner(c.Runner).Time("Until", c.Until).Str("Reason", string(c.Reason)).Int64("RemovedAt", int64(c.Removal.Version)).Msg("RunnerMissing")
			time.AfterFunc(time.Until(c.Until), func() {
				f.steps.Call(coreWake, "Missing", func() { f.stepView(tracker.Wake{}) })
			})
		case tracker.Gone:
			f.logRunner(c.Runner).Msg("RunnerGone")
			f.runners.Forget(c.Runner)
			f.stepRates(apportioner.Ended{Process: processOf(c.Runner)})
		case tracker.Suspected:
			f.metrics.suspicions.Inc()
			f.logRunner(c.Runner).Time("Until", c.Until).Str("Reason", c.Reason).Msg("RunnerSuspected")
		case tracker.Trusted:
			f.logRunner(c.Runner).Msg("RunnerTrusted")
		case tracker.Paused:
			f.metrics.pauses.Inc()
			f.logRunner(c.Runner).Time("Until", c.Until).Msg("RunnerPaused")
		case tracker.Resumed:
			f.logRunner(c.Runner).Msg("RunnerResumed")
		}
	}
}

func (f *Fleet) logRunner(r tracker.Runner) *zerolog.Event {
	return f.log.Info().
		Str("Upstream", string(r.ID)).
		Str("Pool", string(r.Pool)).
		Str("Software", string(r.Software)).
		Int64("Era", int64(r.Age.Era)).
		Int64("Version", int64(r.Age.Version))
}

// ChoosePlain implements attempter.Fleet.
func (f *Fleet) ChoosePlain(now time.Time, pool identifier.Pool, from tracker.Choice) (tracker.Runner, bool) {
	return f.choose(pool, func() (tracker.Runner, bool) {
		return f.chooseByRate(now, from.Without, func(without tracker.Without) (tracker.Runner, bool) {
			return f.view.Plain(now, pool, tracker.Choice{Without: without, Software: from.Software})
		})
	})
}

// choose runs a choice of a runner. A choice that panics finds none.
func (f *Fleet) choose(pool identifier.Pool, from func() (tracker.Runner, bool)) (r tracker.Runner, ok bool) {
	isDone := f.step(coreChoice, pool, func() { r, ok = from() })
	return r, ok && isDone
}

// ChoosePrefill implements attempter.Fleet.
func (f *Fleet) ChoosePrefill(now time.Time, pool identifier.Pool, near identifier.DataCentre, without tracker.Without) (tracker.Runner, bool) {
	return f.choose(pool, func() (tracker.Runner, bool) {
		if !f.budget.CanRisk(now, pool) {
			return tracker.Runner{}, false // A refused call is charged afterwards and would exceed the budget.
		}
		return f.chooseByRate(now, without, func(without tracker.Without) (tracker.Runner, bool) {
			return f.view.Prefill(now, pool, near, without)
		})
	})
}

// ChooseDecode implements attempter.Fleet.
func (f *Fleet) ChooseDecode(now time.Time, pool identifier.Pool, tokens identifier.Tokens, from tracker.Choice) (tracker.Runner, bool) {
	return f.choose(pool, func() (tracker.Runner, bool) {
		return f.chooseByRate(now, from.Without, func(without tracker.Without) (tracker.Runner, bool) {
			from.Without = without
			return f.view.Decode(now, pool, tokens, from)
		})
	})
}

// Serves implements attempter.Fleet.
func (f *Fleet) Serves(pool identifier.Pool, software identifier.Software) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Serves(pool, software)
}

// TryCharge implements attempter.Fleet.
func (f *Fleet) TryCharge(now time.Time, pool identifier.Pool) bool {
	allowed := false
	if !f.step(coreBudget, pool, func() { allowed = f.budget.TryCharge(now, pool) }) {
		allowed = false
	}
	f.metrics.retries.WithLabelValues(either(allowed, "Allowed", "Denied")).Inc()
	return allowed
}

// Charge implements attempter.Fleet.
func (f *Fleet) Charge(now time.Time, pool identifier.Pool) {
	f.step(coreBudget, pool, func() { f.budget.Charge(now, pool) })
	f.metrics.retries.WithLabelValues("Counted").Inc()
}

// PauseLeft implements attempter.Fleet.
func (f *Fleet) PauseLeft(now time.Time, pool identifier.Pool) (left time.Duration) {
	f.step(coreView, pool, func() { left = f.view.PauseLeft(now, pool) })
	return left
}

// RefusesNew implements attempter.Fleet.
func (f *Fleet) RefusesNew(now time.Time, r tracker.Runner) (ok bool) {
	isDone := f.step(coreView, r, func() { ok = f.view.RefusesNew(now, r) })
	return ok || !isDone
}

func (f *Fleet) isPaused(now time.Time, r tracker.Runner) (ok bool) {
	f.step(coreView, r, func() { ok = f.view.IsPaused(now, r) })
	return ok
}

// HandlePause implements AnnouncementListener.
func (f *Fleet) HandlePause(r tracker.Runner, pause time.Duration) {
	f.updateView(func(now time.Time, view *tracker.Tracker) []tracker.Change { return view.RecordPause(now, r, pause) })
}

// HandleUnusablePause implements AnnouncementListener.
func (f *Fleet) HandleUnusablePause(r tracker.Runner, text string) {
	f.logRunner(r).Str("Text", text).Msg("PauseNotUsable")
}

func (f *Fleet) recordArrival(now time.Time, job attempter.Job) {
	f.lastArrival.Store(&now)
	f.step(coreBudget, job.Request, func() {
		f.budget.CountRequest(now, job.Pool)
		if job.NeedsEngine {
			f.tokenMeansOf(job.Pool).add(job.Input, job.Output)
		}
	})
}

// updateView runs a function on the view and handles the changes that it
// returns.
func (f *Fleet) updateView(update func(now time.Time, view *tracker.Tracker) []tracker.Change) {
	var changes []tracker.Change
	step := func() { changes = update(time.Now(), f.view) }
	if f.step(coreView, "update", step) || f.step(coreView, "update", step) {
		f.handleChanges(changes)
	}
}

func either(condition bool, yes, no string) string {
	if condition {
		return yes
	}
	return no
}
