// Package follower reports the store's keys below a prefix and their changes: it
// lists the keys once and then long-polls for changes.
//
// After a failed poll it continues from the last change that it has seen. It
// lists the keys again only if the store has dropped that part of its history or
// has come back from a copy. A list that fails goes on after the last key that has
// arrived. After an outage, or when the changes arrive too slowly, it reads the most
// important record as it is now, and only then what else has changed.
// The core does no I/O; Shell makes the calls.
package follower

import (
	"fmt"
	"strings"
	"time"

	"github.com/figtrack/figtrack/keeper"
)

// Delays of the calls to the store.
const (
	// InitialRetryDelay is the delay after the first failure. It doubles with
	// each further one.
	InitialRetryDelay = 50 * time.Millisecond
	// MaxRetryDelay bounds the time from a failed call to the next, so that the end of an
	// outage is noticed soon; refused calls are charged like others. Runners whose entries
	// expired in an outage are used until Settings.Contact after the latest failed call, and
	// entries are back two seconds after the store: the rest is for this delay.
	MaxRetryDelay = 900 * time.Millisecond
	// MaxFirstRetryDelay is the bound before the first list, without which a VM
	// can't serve.
	MaxFirstRetryDelay = 400 * time.Millisecond
	// StartupPeriod is the time after the start in which batches are longer: when
	// a whole fleet starts, its VMs and runners register one after another, and
	// each would otherwise end a call of every VM.
	StartupPeriod = 10 * time.Second
	// UnavailableAfter is how long calls have to fail until the store counts as
	// unavailable. Replacing a lost connection takes less time.
	UnavailableAfter = time.Second
	// actMargin is the time that a request takes from the choice of its runner until it is there.
	actMargin = 100 * time.Millisecond
	// removalTime is how long after its removal a runner may get requests.
	removalTime = 2 * time.Second
)

// Parts of the time until a change has to be in force that the delay after a call
// with changes takes. One call then returns all changes that are written shortly
// after each other.
const (
	batchShare        = 0.2
	startupBatchShare = 0.6
)

// Event is an input of the core. Only this package defines events.
type Event interface{ event() }

// Begin asks the core for its first call.
type Begin struct{}

// Listed reports all keys.
type Listed struct{ keeper.Snapshot }

// Changed reports the changes after the version of an Await.
type Changed struct{ keeper.Changes }

// Failed reports that the last call failed.
type Failed struct {
	Err error
	// CalledAt is when the call was made; zero if it wasn't.
	CalledAt time.Time
	// IsServed is true if the answer shows that the store is up: it has refused the call
	// for its rate or for the history that was asked for.
	IsServed bool
	// IsCompacted is true if the store has dropped the history that was asked
	// for.
	IsCompacted bool
	// IsTooLong is true if the history that was asked for takes too long to arrive.
	IsTooLong bool
	// Era is the era that the answer stated; zero without an answer.
	Era keeper.Era
	// Arrived holds the first entries of a list, if the call was a List.
	Arrived keeper.Snapshot
}

// Reading reports that a List is still in progress.
type Reading struct{}

// Rested reports that the delay of a Rest has passed.
type Rested struct{}

func (Begin) event()   {}
func (Listed) event()  {}
func (Changed) event() {}
func (Failed) event()  {}
func (Reading) event() {}
func (Rested) event()  {}

// Outcome tells the shell what to do. Only this package defines outcomes.
type Outcome interface{ outcome() }

// List asks for the keys that start with Prefix and come after the key After.
type List struct{ Prefix, After string }

// Await asks for the changes after a version of keys that start with Prefix. The call
// waits for the first one,
// unless it IsProbe: after a failure it shows at once whether the store answers,
// and in which era.
type Await struct {
	Prefix  string
	After   keeper.Version
	IsProbe bool
}

// Rest asks for a delay before the next call.
type Rest struct{ For time.Duration }

// TakeAll passes all entries of an era to the Receiver, in place of those passed
// before.
type TakeAll struct {
	Entries []keeper.Entry
	Era     keeper.Era
}

// Take passes one change to the Receiver; a deletion has a nil Value.
type Take struct{ Entry keeper.Entry }

// EraChanged reports that the store has come back from a copy that lacks some of
// the writes passed on before. The entries of the copy follow in a TakeAll; until
// then, and for keys that are missing there, the earlier entries remain the
// latest that are known.
type EraChanged struct {
	From, To keeper.Era
	// ActBy is when the VM has to act on entries that are absent from the copy. They may have
	// been removed after it was made, if the VM didn't reach the store meanwhile. It is zero
	// without an outage.
	ActBy time.Time
}

// StoreLost reports that the store has been unavailable since Since. Err is the
// latest failure.
type StoreLost struct {
	Since time.Time
	Err   error
}

// StoreFound reports that the store answers again.
type StoreFound struct {
	// Away is the time since the first failure.
	Away time.Duration
	// FailedCallAt is when the latest call was made that failed without an answer of a
	// store that is up: it was out of reach until then at least. It is zero if there
	// was none, and so no outage of the store in which entries expire.
	FailedCallAt time.Time
	// ActBy is when the VM has to act on all changes, also on those of the outage, as it may
	// have reached the store again right after FailedCallAt, and zero as that.
	ActBy time.Time
	// Version is the version of the store at its first answer; zero if it isn't known.
	Version keeper.Version
}

// ReadDone reports that all entries are known as they are now. The read has taken
// Calls calls since Since and Bytes bytes; if FromHistory is true, only the first of
// the Parts was read whole.
type ReadDone struct {
	Since        time.Time
	Calls, Bytes int
	FromHistory  bool
}

// ReadFailed reports that a call of such a read has failed. Bytes have arrived in it.
type ReadFailed struct {
	Prefix      string
	Call, Bytes int
	Err         error
}

func (ReadDone) outcome()   {}
func (ReadFailed) outcome() {}

func (List) outcome()       {}
func (Await) outcome()      {}
func (Rest) outcome()       {}
func (TakeAll) outcome()    {}
func (Take) outcome()       {}
func (EraChanged) outcome() {}
func (StoreLost) outcome()  {}
func (StoreFound) outcome() {}

// Core is the state of following one prefix. Only Step changes it.
type Core struct {
	// version is the version up to which all changes are known; zero before the
	// first list.
	version keeper.Version
	// era is the latest era that an answer stated. version and versions belong
	// to it.
	era keeper.Era
	// versions holds the version of each known key. Pages of a list may be newer
	// than version, so that some of the following changes are already known.
	versions map[string]keeper.Version
	// failingSince is the time of the first failure after the last answer, or zero
	// if the last call was answered.
	failingSince time.Time
	// failedCallAt is when the latest call since failingSince was made that failed without
	// an answer of a store that is up; zero if there was none.
	failedCallAt time.Time
	// answeredAt is when all changes were known last.
	answeredAt time.Time
	// isUnavailable is true if StoreLost was reported and StoreFound not yet.
	isUnavailable bool
	// retryDelay is the delay after the last failure; zero if the last call was
	// answered.
	retryDelay time.Duration
	// startedAt is the time of Begin.
	startedAt time.Time
	cfg       Settings
	// read is the read in progress; nil while changes are awaited.
	read *read
	// passed holds, by prefix, the version up to which changes were passed on ahead
	// of version.
	passed map[string]keeper.Version
	out    []Outcome
}

// Settings configures a Core.
type Settings struct {
	// ApplyWithin is the time within which a change has to be in force.
	ApplyWithin time.Duration
	// Contact is the time from which on a VM that reaches the store again has to act on all
	// changes.
	Contact time.Duration
	// Parts are the prefixes of all keys that matter, the most important first, which
	// has few keys that aren't removed. Without any, the store is read as a whole.
	Parts []string
	// Spread is the delay before all keys are listed because the store has dropped its
	// history. It differs between VMs, which find that at the same time.
	Spread time.Duration
}

// read is the state of a read of all entries.
type read struct {
	parts []string
	// part is the index of the part that is read, after the last key that has arrived
	// of it.
	part  int
	after string
	// at is the version of the first answer, entries what has arrived.
	at      keeper.Version
	entries []keeper.Entry
	// fromHistory is true if only the first part is listed, and of the others the
	// changes since the last known version are read.
	fromHistory  bool
	since        time.Time
	calls, bytes int
}

// readingError is the cause if a read takes so long that the view is old.
type readingError struct{}

func (readingError) Error() string { return "the store's answer is still arriving" }

// New returns a core that has listed no keys yet.
func New(cfg Settings) *Core {
	return &Core{versions: map[string]keeper.Version{}, passed: map[string]keeper.Version{}, cfg: cfg}
}

// Restarted returns a core that has listed no keys in place of one that was lost. It
// knows what was reported of eras and outages.
func (c *Core) Restarted() *Core {
	n := New(c.cfg)
	n.era, n.startedAt, n.answeredAt = c.era, c.startedAt, c.answeredAt
	n.failingSince, n.failedCallAt, n.isUnavailable = c.failingSince, c.failedCallAt, c.isUnavailable
	return n
}

// Step handles one event and returns what the shell has to do, in order. The last
// outcome is the next call or a delay before it.
func (c *Core) Step(now time.Time, e Event) []Outcome {
	c.out = nil
	switch e := e.(type) {
	case Begin:
		c.startedAt = now
		c.emitCall(now)
	case Rested:
		c.emitCall(now)
	case Reading:
		c.handleReading(now)
	case Listed:
		if c.isEnded(e.Era) {
			c.handleEnded(now, e.Era)
			break
		}
		c.handleListed(now, e)
	case Changed:
		if c.isEnded(e.Era) {
			c.handleEnded(now, e.Era)
			break
		}
		c.handleChanged(now, e)
	case Failed:
		if c.isEnded(e.Era) {
			c.handleEnded(now, e.Era)
			break
		}
		c.handleFailed(now, e)
	default:
		panic(fmt.Sprintf("follower: unexpected event of type %T", e))
	}
	return c.out
}

func (c *Core) emit(o Outcome) { c.out = append(c.out, o) }

// batchDelay returns the delay after a call that returned changes.
func (c *Core) batchDelay(now time.Time) time.Duration {
	share := batchShare
	if now.Sub(c.startedAt) < StartupPeriod {
		share = startupBatchShare
	}
	return time.Duration(share * float64(c.cfg.ApplyWithin))
}

// emitCall asks for the next call: that of the read in progress, a list if there was
// none yet, else the changes after the last known version.
func (c *Core) emitCall(now time.Time) {
	if c.version == 0 && c.read == nil {
		c.beginList(now)
	}
	r := c.read
	if r == nil {
		c.emit(Await{After: c.version, IsProbe: !c.failingSince.IsZero()})
		return
	}
	if r.calls++; r.calls == 1 {
		r.since = now
	}
	if r.fromHistory && r.part > 0 {
		c.emit(Await{Prefix: r.parts[r.part], After: c.version, IsProbe: true})
		return
	}
	c.emit(List{r.parts[r.part], r.after})
}

// beginList begins to list all keys, which takes the fewest calls.
func (c *Core) beginList(now time.Time) {
	c.read = &read{parts: []string{""}, since: now}
}

// beginCatchUp begins to read the first part as it is now and the changes of the others.
func (c *Core) beginCatchUp(now time.Time) {
	if len(c.cfg.Parts) > 0 && c.version != 0 {
		c.read = &read{parts: c.cfg.Parts, fromHistory: true, since: now}
	}
}

// resetFailures handles an answer of the store at version at: it clears the state of
// failures and reports the end of an outage.
func (c *Core) resetFailures(now time.Time, at keeper.Version) {
	if c.read != nil && c.read.at != 0 {
		at = c.read.at
	}
	if c.isOutage(now) {
		c.emit(StoreFound{Away: now.Sub(c.failingSince), FailedCallAt: c.failedCallAt, ActBy: c.actBy(), Version: at})
	}
	c.failingSince, c.failedCallAt, c.isUnavailable, c.retryDelay = time.Time{}, time.Time{}, false, 0
}

// actBy returns when the VM has to act on all changes; zero if failedCallAt is.
func (c *Core) actBy() time.Time {
	if c.failedCallAt.IsZero() {
		return time.Time{}
	}
	return c.failedCallAt.Add(c.cfg.Contact - actMargin)
}

// actOnCopyBy returns when the VM has to act on entries that are absent from a copy: the copy may
// have been in use, and stable after Contact, since the latest answer. It is zero without an
// outage.
func (c *Core) actOnCopyBy(now time.Time) time.Time {
	if !c.isOutage(now) {
		return time.Time{}
	}
	by := c.actBy()
	if earliest := c.answeredAt.Add(c.cfg.Contact + removalTime - actMargin); !by.IsZero() && earliest.After(by) {
		return earliest
	}
	return by
}

// isOutage reports whether calls have failed for UnavailableAfter.
func (c *Core) isOutage(now time.Time) bool {
	return c.isUnavailable || !c.failingSince.IsZero() && now.Sub(c.failingSince) >= UnavailableAfter
}

// isEnded reports whether an answer was sent before the store was replaced by a
// copy. Zero states no era.
func (c *Core) isEnded(era keeper.Era) bool { return era != 0 && era < c.era }

// endedEraError is the error of an answer of an ended era.
type endedEraError struct{ era, current keeper.Era }

func (e endedEraError) Error() string {
	return fmt.Sprintf("the store's answer is of era %d, expected %d or later", e.era, e.current)
}

// handleEnded treats an answer of an ended era like a failure, with the same delay
// before the next call.
func (c *Core) handleEnded(now time.Time, era keeper.Era) {
	c.handleFailed(now, Failed{Err: endedEraError{era, c.era}})
}

// updateEra handles the era of an answer and reports whether a new one has begun.
// The known versions are void then, and the next call lists all keys.
func (c *Core) updateEra(now time.Time, era keeper.Era) bool {
	if era <= c.era {
		return false
	}
	from := c.era
	c.era = era
	if from == 0 && c.version == 0 {
		return false // The first answer of all.
	}
	c.version, c.read = 0, nil
	clear(c.versions)
	clear(c.passed)
	c.emit(EraChanged{From: from, To: era, ActBy: c.actOnCopyBy(now)})
	return true
}

// inEra sets the era of entries whose answer stated none: it is the latest one, as
// no answer said otherwise.
func (c *Core) inEra(entries []keeper.Entry) []keeper.Entry {
	for i := range entries {
		entries[i].Era = max(entries[i].Era, c.era)
	}
	return entries
}

// handleReading reports the store as lost if the read in progress lasts so long that
// the view is old.
func (c *Core) handleReading(now time.Time) {
	if c.failingSince.IsZero() && c.read != nil && c.version != 0 && now.Sub(c.read.since) >= UnavailableAfter {
		c.failingSince = c.read.since
	}
	c.reportLost(now, readingError{})
}

// reportLost reports the store as lost once it has been failing for UnavailableAfter.
func (c *Core) reportLost(now time.Time, err error) {
	if !c.isUnavailable && !c.failingSince.IsZero() && now.Sub(c.failingSince) >= UnavailableAfter {
		c.isUnavailable = true
		c.emit(StoreLost{Since: c.failingSince, Err: err})
	}
}

// handleListed adds what a List has returned. The first part is passed on at once, the
// others when all are known.
func (c *Core) handleListed(now time.Time, e Listed) {
	r := c.read
	if r == nil {
		r = &read{parts: []string{""}, since: now}
	}
	if c.updateEra(now, e.Era) {
		if r.part > 0 || r.after != "" {
			c.emitCall(now)
			return
		}
		r.fromHistory = false
	}
	c.read, c.retryDelay = r, 0
	r.add(e.Snapshot)
	if len(r.parts) > 1 && r.part == 0 {
		c.takeNews(c.inEra(r.entries))
	}
	r.part, r.after = r.part+1, ""
	if r.part < len(r.parts) {
		c.emitCall(now)
		return
	}
	c.resetFailures(now, r.at)
	c.version = r.at
	clear(c.versions)
	clear(c.passed)
	for _, entry := range r.entries {
		c.versions[entry.Key] = entry.Version
	}
	c.emit(TakeAll{c.inEra(r.entries), c.era})
	c.endRead(now)
}

// add adds the entries of a list that has arrived in whole or in part.
func (r *read) add(s keeper.Snapshot) {
	r.bytes += s.Bytes
	if len(r.entries) == 0 && r.part == 0 {
		r.at = s.At
	}
	r.entries = append(r.entries, s.Entries...)
	if n := len(s.Entries); n > 0 {
		r.after = s.Entries[n-1].Key
	}
}

// endRead reports the end of a read and asks for the changes after it.
func (c *Core) endRead(now time.Time) {
	r := c.read
	c.read, c.answeredAt = nil, now
	c.emit(ReadDone{Since: r.since, Calls: r.calls, Bytes: r.bytes, FromHistory: r.fromHistory})
	c.emitCall(now)
}

// handleChanged passes on the changes that are newer than the known versions.
func (c *Core) handleChanged(now time.Time, e Changed) {
	r := c.read
	hasNewEra := c.updateEra(now, e.Era)
	if r == nil || r.part == len(r.parts)-1 {
		c.resetFailures(now, e.At)
	}
	if hasNewEra {
		c.emitCall(now)
		return
	}
	c.takeNews(c.inEra(e.Entries))
	if r == nil {
		c.version, c.answeredAt = max(c.version, e.At), now
		if len(e.Entries) > 0 {
			c.emit(Rest{max(0, c.batchDelay(now)-e.Transfer)})
			return
		}
		c.emitCall(now)
		return
	}
	c.passed[r.parts[r.part]] = e.At
	r.bytes += e.Bytes
	r.part++
	if r.part < len(r.parts) {
		c.emitCall(now)
		return
	}
	c.version = max(c.version, r.at)
	c.endRead(now)
}

// takeNews passes on the entries that are newer than the known versions.
func (c *Core) takeNews(entries []keeper.Entry) {
	for _, entry := range entries {
		if entry.Version <= c.versions[entry.Key] || c.isPassed(entry) {
			continue
		}
		c.versions[entry.Key] = entry.Version
		if entry.Value == nil {
			delete(c.versions, entry.Key)
		}
		c.emit(Take{entry})
	}
}

// isPassed reports whether a change was passed on ahead of version.
func (c *Core) isPassed(entry keeper.Entry) bool {
	for prefix, at := range c.passed {
		if entry.Version <= at && strings.HasPrefix(entry.Key, prefix) {
			return true
		}
	}
	return false
}

// handleFailed asks for a retry after a delay, or for a read at once if the store has
// dropped the history or it takes too long to arrive.
func (c *Core) handleFailed(now time.Time, e Failed) {
	r := c.read
	hasNewEra := c.updateEra(now, e.Era)
	if r != nil {
		c.emit(ReadFailed{Prefix: r.parts[r.part], Call: r.calls, Bytes: e.Arrived.Bytes, Err: e.Err})
	}
	if c.failingSince.IsZero() {
		c.failingSince = now
	}
	if !e.IsServed && !e.CalledAt.IsZero() {
		c.failedCallAt = e.CalledAt
	}
	if e.IsCompacted || e.IsTooLong {
		c.handleNoHistory(now, e.IsCompacted)
		return
	}
	if r != nil && !hasNewEra && len(e.Arrived.Entries) > 0 {
		r.add(e.Arrived)
		c.retryDelay = 0
	}
	c.reportLost(now, e.Err)
	bound, rest := MaxRetryDelay, MaxRetryDelay
	if c.version == 0 {
		bound = MaxFirstRetryDelay
	}
	if !e.CalledAt.IsZero() {
		rest = max(InitialRetryDelay, rest-now.Sub(e.CalledAt))
	}
	if c.isUnavailable && c.read == nil {
		c.beginCatchUp(now)
	}
	c.retryDelay = min(max(2*c.retryDelay, InitialRetryDelay), bound)
	c.emit(Rest{min(c.retryDelay, rest)})
}

// handleNoHistory asks for a read in place of a history that the store has dropped or
// that takes too long to arrive.
func (c *Core) handleNoHistory(now time.Time, isCompacted bool) {
	c.retryDelay = 0
	switch r := c.read; {
	case r != nil:
		r.fromHistory, r.part, r.after = false, 1, ""
	case !isCompacted && len(c.cfg.Parts) > 0:
		c.beginCatchUp(now)
	case c.version != 0:
		c.beginList(now)
		if c.cfg.Spread > 0 {
			c.emit(Rest{c.cfg.Spread})
			return
		}
	}
	c.emitCall(now)
}
