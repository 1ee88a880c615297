package router

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/apportioner"
	"github.com/figtrack/figtrack/isolator"
	"github.com/figtrack/figtrack/keeper"
	"github.com/figtrack/figtrack/stepper"
	"github.com/figtrack/figtrack/tracker"
	"github.com/figtrack/figtrack/versioner"
)

// Names of the cores of a VM. A choice uses the view, the rates and the budget.
const (
	coreView      stepper.Core = "View"
	coreIsolation stepper.Core = "Isolation"
	coreRates     stepper.Core = "Rates"
	coreVersions  stepper.Core = "Versions"
	coreBudget    stepper.Core = "Budget"
	coreChoice    stepper.Core = "Choice"
	coreRoster    stepper.Core = "Roster"
	coreReader    stepper.Core = "Reader"
	coreStager    stepper.Core = "Stager"
	coreAttempter stepper.Core = "Attempter"
	coreRequest   stepper.Core = "Request"
)

// Names of the duties of a VM outside of a request.
const (
	coreRecords stepper.Core = "Records"
	coreOrders  stepper.Core = "Orders"
	coreCleanup stepper.Core = "Cleanup"
	coreWake    stepper.Core = "Wake"
)

// errReaderPanicked is the error of an entry on which the reader has panicked.
var errReaderPanicked = errors.New("the reader panicked")

// readEntry calls a reader of an entry. One that panics twice can't read it.
func readEntry[T any](steps *stepper.Stepper, entry keeper.Entry, reader func(keeper.Entry) (T, error)) (read T, err error) {
	call := func() { read, err = reader(entry) }
	if !steps.Call(coreReader, entry.Key, call) && !steps.Call(coreReader, entry.Key, call) {
		err = errReaderPanicked
	}
	return read, err
}

// rebuildStep names the steps of a rebuild in the log.
type rebuildStep string

// step calls a step of a core with f.mu held and reports whether it returned. After a
// panic the core is rebuilt.
func (f *Fleet) step(core stepper.Core, event any, call func()) bool {
	ok, perform := f.stepLocked(core, event, call)
	for _, p := range perform {
		p()
	}
	return ok
}

// stepLocked does the work of step. What it returns besides has to be performed without
// f.mu: the outcomes of a rebuild.
func (f *Fleet) stepLocked(core stepper.Core, event any, call func()) (ok bool, perform []func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.steps.Call(core, event, call) {
		return true, nil
	}
	return false, f.rebuild(core, time.Now())
}

// rebuildInterval is the time after which the rebuild of an incomplete core is repeated.
const rebuildInterval = time.Second

// rebuildDue repeats the rebuilds that were incomplete.
func (f *Fleet) rebuildDue() {
	for _, p := range f.rebuildDueLocked() {
		p()
	}
}

func (f *Fleet) rebuildDueLocked() (perform []func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for core, since := range f.incompleteSince {
		if now.Sub(since) >= rebuildInterval {
			perform = append(perform, f.rebuild(core, now)...)
		}
	}
	return perform
}

// rebuild replaces a core that has panicked. What it returns has to be performed without
// f.mu, which must be held: the outcomes of the rebuild.
func (f *Fleet) rebuild(core stepper.Core, now time.Time) (perform []func()) {
	f.rebuilds[core]++
	switch core {
	case coreView:
		perform = f.rebuildView(now)
	case coreIsolation:
		perform = f.rebuildIsolation(now)
	case coreRates:
		perform = f.rebuildRates(now)
	case coreVersions:
		perform = f.rebuildVersions(now)
	case coreBudget:
		f.budget = f.budget.Emptied(now)
	case coreChoice:
		f.budget = f.budget.Emptied(now)
		perform = append(f.rebuildView(now), f.rebuildRates(now)...)
	case coreRoster:
		f.rebuildRoster(now)
	case coreWaiting:
		clear(f.waiting)
	}
	return perform
}

// recordRebuild records whether a core has taken in all that it is rebuilt from.
func (f *Fleet) recordRebuild(core stepper.Core, now time.Time, isComplete bool) {
	if isComplete {
		delete(f.incompleteSince, core)
		return
	}
	f.incompleteSince[core] = now
}

// rebuildView rebuilds the view from its upstreams and the entries of the store. f.mu
// must be held.
func (f *Fleet) rebuildView(now time.Time) []func() {
	runners := slices.Collect(maps.Values(f.registered))
	f.renewView()
	var changes []tracker.Change
	listed := tracker.Listed{Runners: runners}
	isComplete := f.steps.Call(coreView, listed, func() { changes = f.view.Step(now, listed) })
	if !isComplete {
		changes = f.applySeparately(now, runners)
	}
	if f.view.Len() == 0 && len(runners) > 0 {
		f.steps.GiveUp(coreView)
	}
	f.recordRebuild(coreView, now, isComplete)
	return []func(){func() { f.handleChanges(changes) }}
}

// renewView replaces the view by one with the same upstreams or, if it panics on them,
// by an empty one. f.mu must be held.
func (f *Fleet) renewView() {
	if !f.steps.Call(coreView, rebuildStep("Rebuilt"), func() { f.view = f.view.Rebuilt() }) {
		f.view = f.view.Emptied()
	}
}

// applySeparately applies the entries on which the view doesn't panic. f.mu must be held.
func (f *Fleet) applySeparately(now time.Time, runners []tracker.Runner) (changes []tracker.Change) {
	f.renewView()
	for _, r := range runners {
		e := tracker.EntryWritten{Runner: r}
		if !f.steps.Call(coreView, e, func() { changes = append(changes, f.view.Step(now, e)...) }) {
			f.renewView()
		}
	}
	return changes
}

// rebuildIsolation rebuilds the isolation from the shared record. f.mu must be held.
func (f *Fleet) rebuildIsolation(now time.Time) []func() {
	read := isolator.RecordRead{Era: f.era, IsMissing: true}
	if entry, ok := f.entries[crashesKey]; ok {
		if r, err := readEntry(f.steps, entry, decodeCrashes); err == nil {
			read = r
		}
	}
	if !f.steps.Call(coreIsolation, rebuildStep("Rebuilt"), func() { f.isolation = f.isolation.Rebuilt() }) {
		f.isolation = isolator.NewStarting(now)
	}
	var outcomes []isolator.Outcome
	isComplete := f.steps.Call(coreIsolation, read, func() { outcomes = f.isolation.Step(now, read) })
	if !isComplete {
		f.isolation, outcomes = isolator.NewStarting(now), nil
	}
	f.recordRebuild(coreIsolation, now, isComplete)
	by := f.rebuildsOf(coreIsolation)
	return []func(){func() { f.performIsolation(by, outcomes) }}
}

// rebuildRates rebuilds the division of rates from the roster and the shared record.
// f.mu must be held.
func (f *Fleet) rebuildRates(now time.Time) []func() {
	read := apportioner.RecordRead{Era: f.era, IsMissing: true}
	if entry, ok := f.entries[ratesKey]; ok {
		if r, err := readEntry(f.steps, entry, decodeRates); err == nil {
			read = r
		}
	}
	vms := apportioner.RosterChanged{Self: f.ownVM(), VMs: f.sharingVMs}
	divide := func() {
		f.rates = apportioner.New(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
		f.rates.Step(now, vms)
	}
	var outcomes []apportioner.Outcome
	isComplete := f.steps.Call(coreRates, vms, divide) && f.steps.Call(coreRates, read, func() { outcomes = f.rates.Step(now, read) })
	if !isComplete {
		// Without the roster this VM would count the whole rate as its part.
		f.steps.Call(coreRates, vms, divide)
		outcomes = nil
	}
	f.recordRebuild(coreRates, now, isComplete)
	by := f.rebuildsOf(coreRates)
	return []func(){func() { f.performRates(by, outcomes) }}
}

// rebuildVersions rebuilds the division of streams from the shared record and the lists
// of VMs. Capacities follow at the next Wake. f.mu must be held.
func (f *Fleet) rebuildVersions(now time.Time) []func() {
	f.versions = f.versions.Restarted()
	var outcomes []versioner.Outcome
	isComplete := true
	call := func(e versioner.Event) {
		isComplete = f.steps.Call(coreVersions, e, func() { outcomes = append(outcomes, f.versions.Step(now, e)...) }) && isComplete
	}
	read := versioner.RecordRead{Era: f.era, IsMissing: true}
	if entry, ok := f.entries[versionsKey]; ok {
		if r, err := readEntry(f.steps, entry, decodeVersions); err == nil {
			read = r
		}
	}
	call(read)
	for key, entry := range f.entries {
		if !strings.HasPrefix(key, streamsPrefix) {
			continue
		}
		if lists, err := readEntry(f.steps, entry, decodeStreams); err == nil {
			lists.IsOwn = key == streamsKey(f.ownVM())
			call(lists)
		}
	}
	f.recordRebuild(coreVersions, now, isComplete)
	by := f.rebuildsOf(coreVersions)
	return []func(){func() { f.performVersions(by, outcomes) }}
}

// rebuildRoster reads the members from the entries of the store. f.mu must be held.
func (f *Fleet) rebuildRoster(now time.Time) {
	former := f.roster
	f.roster = newRoster()
	f.roster.departed, f.roster.isResumed, f.roster.formerSecret = former.departed, former.isResumed, former.formerSecret
	isComplete := true
	for key, entry := range f.entries {
		if strings.HasPrefix(key, rosterPrefix) {
			isComplete = f.steps.Call(coreRoster, rebuildStep(key), func() { _ = f.roster.apply(now, entry) }) && isComplete
		}
	}
	f.recordRebuild(coreRoster, now, isComplete)
}

func isOwnKey(key string) bool {
	switch key {
	case ordersKey, crashesKey, ratesKey, versionsKey:
		return true
	}
	return strings.HasPrefix(key, rosterPrefix) || strings.HasPrefix(key, streamsPrefix)
}

// rebuildCount is how often a core has been rebuilt.
type rebuildCount int

// rebuildsOf returns how often a core has been rebuilt. f.mu must be held.
func (f *Fleet) rebuildsOf(core stepper.Core) rebuildCount {
	if core == coreRates {
		return f.rebuilds[coreRates] + f.rebuilds[coreChoice]
	}
	return f.rebuilds[core]
}

// requestWrite requests a write for a core that had been rebuilt by times. Its result is
// dropped if the core has been rebuilt since. It never blocks: a core asks for no other
// write before the result of one, but a rebuilt core may while the write of its
// predecessor waits.
func (f *Fleet) requestWrite(to chan<- recordWrite, core stepper.Core, by rebuildCount, w recordWrite) {
	isCurrent := func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.rebuildsOf(core) == by
	}
	asked := w
	w.written = func(entry keeper.Entry) {
		if isCurrent() {
			asked.written(entry)
		}
	}
	w.conflicted = func(entry keeper.Entry) bool { return !isCurrent() || asked.conflicted(entry) }
	w.failed = func() {
		if isCurrent() {
			asked.failed()
		}
	}
	select {
	case to <- w:
	default:
		w.failed()
	}
}
