// Package isolator finds the trait that the requests have in common on which
// engines crash, such as a part of their prompts or their whole content, and blocks
// requests with it.
//
// Requests with such a trait reach all VMs, no two of them alike. Each ends the
// engine that begins to answer it, and with it the streams of many other requests,
// which share parts of their prompts with the crashing ones. A surge of them ends
// engines faster than these come back. So the VMs count crashes together, in one
// record in the store, and a whole answer to any request with a trait clears it.
//
// A trait may be blocked by mistake, as engines also crash at one moment for other reasons: all of
// those that run one kind of request. While it is blocked, no whole answer could clear it. So at
// growing intervals one VM claims a probe in the record and lets a request with the trait through.
// Few are allowed, as each ends an engine if the block is right.
//
// Connections are also closed where no engine crashes, so a broken run counts only
// once its engine is known to have ended. A write of the record wakes all VMs: what
// blocks no trait yet waits for others to be written with it.
package isolator

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/figtrack/figtrack/keeper"
)

const (
	// MaxSuspectLife is the longest life of a run that counts against its traits:
	// the engine crashes when it begins to write the answer.
	MaxSuspectLife = 300 * time.Millisecond
	// SurvivorTime is how long a whole answer shows at least that its traits crash
	// no engine.
	SurvivorTime = 10 * time.Second
	// MaxAliveDelay is how long after a crash was known an answer of the engine still
	// shows that it was none. Later, a new process may have the engine's id.
	MaxAliveDelay = 2 * time.Second
	// SuspectTTL is how long a trait stays suspect after its last crash.
	SuspectTTL = time.Hour
	// CheckDelay is the time from a broken run to the check of its engine, in which one
	// that has not crashed mostly answers another call.
	CheckDelay = 100 * time.Millisecond
	// ConfirmTime is how long after a broken run the end of its engine still shows that
	// it has crashed.
	ConfirmTime = 5 * time.Second
	// MaxWriteDelay is the longest time from a change of the record to its write. All
	// VMs have to know a third crash within three seconds.
	MaxWriteDelay = 800 * time.Millisecond
	// MinWriteDelay is the same for a change that may decide whether a trait is blocked.
	MinWriteDelay = 50 * time.Millisecond
	// RetryInterval is the time from a failed write to the next one.
	RetryInterval = 250 * time.Millisecond
	// MaxSuspects is the most suspects in the record.
	MaxSuspects = 128
	// MaxCrashes is the most crashes of a suspect in the record.
	MaxCrashes = 32
	// LearnTime is how long a VM that has started waits for whole answers before it
	// suspects what requests share: without them, a crash counts against all that ran on
	// the engine.
	LearnTime = 3 * time.Second
	// ProbeDelay is the time from the last crash on a blocked trait to the first probe.
	ProbeDelay = 2 * time.Second
	// ProbeBackoff is how many times as long each further probe waits, since the one before.
	ProbeBackoff = 4
	// MaxProbes is the most probes of all VMs while a trait is blocked. Callers may send three
	// requests to engines after its third crash, and one may be on its way.
	MaxProbes = 2
	// maxBroken is the most broken runs that wait for the end of their engines.
	maxBroken = 256
	// maxSurvivors is the most traits that are remembered as survivors for one
	// SurvivorTime.
	maxSurvivors = 4096
)

// Core is what one VM knows of the suspects. Only Step changes it.
type Core struct {
	// shared is the record in the store, as last read or written, at version and
	// era. It is empty if the record isMissing.
	shared    map[Trait]Suspect
	version   keeper.Version
	era       keeper.Era
	isMissing bool
	// added holds the crashes that are not in shared, removed the traits in shared
	// that are no longer suspect.
	added   map[Trait]Suspect
	removed map[Trait]bool
	// broken holds the broken runs on engines that may have ended, in the order of
	// their reports.
	broken []brokenRun
	// learnUntil is the end of LearnTime; zero for a core that does not learn. deferred
	// holds the crashes since the start whose shared traits were not suspected yet.
	learnUntil time.Time
	deferred   []RunBroken
	// knownSince is when this VM first knew of each crash of a suspect; voided holds
	// the crashes in shared that have turned out to be none.
	knownSince map[Crash]time.Time
	voided     map[Crash]bool
	// changedAt is when the crashes of each suspect last changed.
	changedAt map[Trait]time.Time
	// survivors and formerSurvivors hold the traits of whole answers in the
	// current and in the last SurvivorTime, which began at survivorsSince.
	survivors, formerSurvivors map[Trait]bool
	survivorsSince             time.Time
	// probes holds the probes of each blocked trait. wanted are those that this VM wants to
	// claim, claiming those in the Write in progress, permits those that it has claimed and not
	// yet used. returned and returning are the same for those that it gives back.
	probes                    map[Trait]probes
	wanted, claiming, permits map[Trait]bool
	returned, returning       map[Trait]bool
	// writing is the record of the Write in progress; nil without one.
	writing map[Trait]Suspect
	// writeAt is when the next Write is due; zero while none is. None follows before
	// retryAt.
	writeAt, retryAt time.Time
	// blocked holds the blocked traits with their numbers of crashes. It is computed
	// again at the end of a Step that has set isChanged.
	blocked   map[Trait]int
	isChanged bool
	outcomes  []Outcome
}

// brokenRun is a run that was broken at a time.
type brokenRun struct {
	RunBroken
	at time.Time
	// isChecked is true once a Check of the engine was asked for.
	isChecked bool
}

// New returns a core that suspects nothing.
func New() *Core {
	return &Core{
		shared: map[Trait]Suspect{}, added: map[Trait]Suspect{}, removed: map[Trait]bool{},
		changedAt: map[Trait]time.Time{}, survivors: map[Trait]bool{}, blocked: map[Trait]int{},
		knownSince: map[Crash]time.Time{}, voided: map[Crash]bool{}, isMissing: true,
		probes: map[Trait]probes{}, wanted: map[Trait]bool{}, claiming: map[Trait]bool{}, permits: map[Trait]bool{},
		returned: map[Trait]bool{}, returning: map[Trait]bool{},
	}
}

// NewStarting returns the core of a VM that starts now.
func NewStarting(now time.Time) *Core {
	c := New()
	c.learnUntil = now.Add(LearnTime)
	return c
}

// Rebuilt returns a core that has read no record, in place of one whose step was
// interrupted by a panic. It knows which traits are sound and which crashes were none.
func (c *Core) Rebuilt() *Core {
	n := New()
	n.learnUntil, n.deferred = c.learnUntil, slices.Clone(c.deferred)
	maps.Copy(n.survivors, c.survivors)
	n.formerSurvivors, n.survivorsSince = maps.Clone(c.formerSurvivors), c.survivorsSince
	maps.Copy(n.knownSince, c.knownSince)
	maps.Copy(n.voided, c.voided)
	return n
}

// FindBlocked returns the first blocked trait of a request, and until when it is
// blocked.
func (c *Core) FindBlocked(traits []Trait) (t Trait, until time.Time, found bool) {
	for _, t := range traits {
		if _, ok := c.blocked[t]; !ok {
			continue
		}
		if c.probes[t].sent() < MaxProbes {
			return t, c.probeDue(t), true
		}
		return t, c.changedAt[t].Add(SuspectTTL), true
	}
	return "", time.Time{}, false
}

// BlockedCount returns the number of blocked traits.
func (c *Core) BlockedCount() int { return len(c.blocked) }

// Step handles one event and returns the outcomes, in order.
func (c *Core) Step(now time.Time, e Event) []Outcome {
	c.outcomes = nil
	switch e := e.(type) {
	case RunBroken:
		c.handleBroken(now, e)
	case EngineEnded:
		c.handleEnded(now, e)
	case RunCompleted:
		c.handleCompleted(now, e)
	case EngineAnswered:
		c.handleAnswered(e)
	case RecordRead:
		c.handleRead(now, e)
	case Written:
		c.grantPermits()
		c.handleWritten(now, e)
	case Conflicted:
		c.writing = nil
		clear(c.claiming)
		maps.Copy(c.returned, c.returning)
		clear(c.returning)
		if e.IsMissing && e.Era == c.era {
			c.version = 0 // The record was removed at an unknown version.
		}
		c.handleRead(now, e.RecordRead)
	case WriteFailed:
		c.writing, c.retryAt = nil, now.Add(RetryInterval)
		clear(c.claiming)
		clear(c.returning)
	case Wake:
		c.expire(now)
	default:
		panic(fmt.Sprintf("isolator: unknown event %T", e))
	}
	c.suspectDeferred(now)
	c.checkBroken(now)
	if c.isChanged {
		c.updateBlocked()
	}
	c.startWrite(now)
	return c.outcomes
}

func (c *Core) emit(o Outcome) { c.outcomes = append(c.outcomes, o) }

func (c *Core) handleBroken(now time.Time, e RunBroken) {
	if e.Lived >= MaxSuspectLife {
		return
	}
	if _, isKnown := c.knownSince[e.On]; isKnown {
		c.suspect(now, e)
		return
	}
	if len(c.broken) < maxBroken {
		c.broken = append(c.broken, brokenRun{RunBroken: e, at: now})
	}
}

// handleEnded counts the runs that broke shortly before.
func (c *Core) handleEnded(now time.Time, e EngineEnded) {
	var rest []brokenRun
	for _, b := range c.broken {
		if b.On == e.By {
			c.suspect(now, b.RunBroken)
			continue
		}
		rest = append(rest, b)
	}
	c.broken = rest
}

// checkBroken asks for the checks that are due, one for each engine, and forgets the
// runs whose engines have not ended in time.
func (c *Core) checkBroken(now time.Time) {
	c.broken = slices.DeleteFunc(c.broken, func(b brokenRun) bool { return now.Sub(b.at) >= ConfirmTime })
	for i, b := range c.broken {
		if b.isChecked || now.Sub(b.at) < CheckDelay {
			continue
		}
		c.emit(Check{b.On})
		for j := range c.broken[i:] {
			if other := &c.broken[i+j]; other.On == b.On {
				other.isChecked = true
			}
		}
	}
}

// suspect adds a crash to the traits of a run.
func (c *Core) suspect(now time.Time, e RunBroken) {
	c.rotateSurvivors(now)
	isLearning := now.Before(c.learnUntil)
	if isLearning && len(c.deferred) < maxBroken {
		c.deferred = append(c.deferred, e)
	}
	for depth, t := range e.Traits {
		isShared := depth < len(e.Traits)-1 // The last trait is the whole content.
		if isLearning && isShared || c.survivors[t] || c.formerSurvivors[t] {
			continue
		}
		known := c.effective(t)
		if slices.Contains(known.Crashes, e.On) || len(known.Crashes) >= MaxCrashes {
			continue
		}
		s := c.added[t]
		c.added[t] = Suspect{Trait: t, Depth: depth, Crashes: append(slices.Clone(s.Crashes), e.On)}
		delete(c.removed, t)
		c.changedAt[t], c.isChanged = now, true
		c.recordKnown(now, e.On)
		c.emit(Suspected{t, e.On, len(known.Crashes) + 1})
	}
}

// suspectDeferred suspects, once the VM has learnt which traits are sound, the others for
// the crashes since its start.
func (c *Core) suspectDeferred(now time.Time) {
	if now.Before(c.learnUntil) {
		return
	}
	for _, e := range c.deferred {
		c.suspect(now, e)
	}
	c.deferred = nil
}

func (c *Core) handleCompleted(now time.Time, e RunCompleted) {
	c.rotateSurvivors(now)
	for _, t := range e.Traits {
		if len(c.survivors) < maxSurvivors {
			c.survivors[t] = true
		}
		c.clear(t)
	}
}

func (c *Core) recordKnown(now time.Time, crash Crash) {
	if _, ok := c.knownSince[crash]; !ok {
		c.knownSince[crash] = now
	}
}

func (c *Core) handleAnswered(e EngineAnswered) {
	c.broken = slices.DeleteFunc(c.broken, func(b brokenRun) bool { return b.On == e.By && e.SentAt.After(b.at) })
	since, isKnown := c.knownSince[e.By]
	if !isKnown || !e.SentAt.After(since) || e.SentAt.Sub(since) > MaxAliveDelay {
		return
	}
	delete(c.knownSince, e.By)
	c.isChanged = true
	c.voided[e.By] = true
	c.deferred = slices.DeleteFunc(c.deferred, func(b RunBroken) bool { return b.On == e.By })
	c.setShared(c.shared)
}

// clear removes a trait from the suspects.
func (c *Core) clear(t Trait) {
	if len(c.effective(t).Crashes) == 0 {
		return
	}
	c.isChanged = true
	delete(c.added, t)
	if _, ok := c.shared[t]; ok {
		c.removed[t] = true
	}
}

func (c *Core) rotateSurvivors(now time.Time) {
	if age := now.Sub(c.survivorsSince); age >= SurvivorTime {
		c.formerSurvivors, c.survivors, c.survivorsSince = c.survivors, map[Trait]bool{}, now
		if age >= 2*SurvivorTime {
			c.formerSurvivors = nil
		}
	}
}

// handleRead takes over the shared record. A store that came back from a copy may
// lack what it once had, which is added again.
func (c *Core) handleRead(now time.Time, e RecordRead) {
	if e.Era < c.era || e.Era == c.era && e.Version < c.version {
		return
	}
	if e.Era > c.era {
		for t := range c.shared {
			if s := c.effective(t); len(s.Crashes) > 0 {
				c.added[t] = s
			}
		}
	}
	former := c.shared
	c.version, c.era, c.isMissing = e.Version, e.Era, e.IsMissing
	c.setShared(toMap(e.Record))
	c.recordProbes(now)
	c.rotateSurvivors(now)
	for t, s := range c.shared {
		if len(s.Crashes) > len(former[t].Crashes) {
			c.changedAt[t] = now
		}
		for _, crash := range s.Crashes {
			c.recordKnown(now, crash)
		}
		if c.survivors[t] || c.formerSurvivors[t] {
			c.clear(t)
		}
	}
}

// handleWritten takes over the record that was written, unless RecordRead has
// brought it or a later one.
func (c *Core) handleWritten(now time.Time, e Written) {
	shared := c.writing
	c.writing = nil
	if e.Era != c.era || e.Version <= c.version {
		return
	}
	c.version, c.isMissing = e.Version, false
	c.setShared(shared)
	c.recordProbes(now)
}

// setShared sets the record in the store and forgets the changes that it has.
func (c *Core) setShared(shared map[Trait]Suspect) {
	c.shared, c.isChanged = shared, true
	for t := range c.removed {
		if _, ok := shared[t]; !ok {
			delete(c.removed, t)
		}
	}
	inShared := map[Crash]bool{}
	for _, s := range shared {
		for _, crash := range s.Crashes {
			inShared[crash] = true
		}
	}
	for t, s := range c.added {
		s.Crashes = slices.DeleteFunc(s.Crashes, func(one Crash) bool { return c.voided[one] || slices.Contains(shared[t].Crashes, one) })
		if c.added[t] = s; len(s.Crashes) == 0 {
			delete(c.added, t)
		}
	}
	maps.DeleteFunc(c.voided, func(crash Crash, _ bool) bool { return !inShared[crash] })
	maps.DeleteFunc(c.knownSince, func(crash Crash, _ time.Time) bool { return !inShared[crash] && !c.isAdded(crash) })
	for t := range c.changedAt {
		if len(c.effective(t).Crashes) == 0 {
			delete(c.changedAt, t)
		}
	}
}

func (c *Core) isAdded(crash Crash) bool {
	for _, s := range c.added {
		if slices.Contains(s.Crashes, crash) {
			return true
		}
	}
	return false
}

// effective returns what is known of a trait; without crashes if it isn't suspect.
func (c *Core) effective(t Trait) Suspect {
	s, isShared := c.shared[t]
	if c.removed[t] {
		s, isShared = Suspect{}, false
	}
	s.Crashes = slices.DeleteFunc(slices.Clone(s.Crashes), func(one Crash) bool { return c.voided[one] })
	known := c.probes[t] // A copy of the store may lack some.
	s.Probes, s.Returned = max(s.Probes, known.claimed), max(s.Returned, known.returned)
	added, isAdded := c.added[t]
	if !isAdded {
		return s
	}
	if !isShared {
		added.Crashes, added.Probes, added.Returned = slices.Clone(added.Crashes), s.Probes, s.Returned
		return added
	}
	s.Crashes = append(s.Crashes, added.Crashes...)
	return s
}

// record returns all suspects, at most MaxSuspects of them: those with the most
// and then with the latest crashes.
func (c *Core) record() Record {
	all := map[Trait]bool{}
	for t := range c.shared {
		all[t] = true
	}
	for t := range c.added {
		all[t] = true
	}
	var r Record
	for t := range all {
		if s := c.effective(t); len(s.Crashes) > 0 {
			r = append(r, s)
		}
	}
	slices.SortFunc(r, func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(len(b.Crashes), len(a.Crashes)), c.changedAt[b.Trait].Compare(c.changedAt[a.Trait]), cmp.Compare(a.Trait, b.Trait))
	})
	r = r[:min(len(r), MaxSuspects)]
	slices.SortFunc(r, func(a, b Suspect) int { return cmp.Compare(a.Trait, b.Trait) })
	return r
}

// expire removes suspects whose last crash is long ago.
func (c *Core) expire(now time.Time) {
	for t, at := range c.changedAt {
		if now.Sub(at) >= SuspectTTL {
			c.clear(t)
			delete(c.changedAt, t)
		}
	}
}

func (c *Core) updateBlocked() {
	blocked := findBlocked(c.record())
	for _, t := range slices.Sorted(maps.Keys(blocked)) {
		if _, ok := c.blocked[t]; !ok {
			c.emit(Blocked{t, blocked[t]})
		}
	}
	for _, t := range slices.Sorted(maps.Keys(c.blocked)) {
		if _, ok := blocked[t]; !ok {
			c.emit(Unblocked{t})
		}
	}
	c.blocked, c.isChanged = blocked, false
	c.forgetProbes()
}

// writeDelay returns the time from now to the next write; false if no change needs
// one. What blocks no trait by itself is written with later changes.
func (c *Core) writeDelay() (delay time.Duration, isNeeded bool) {
	delay = MaxWriteDelay
	for t := range c.added {
		if len(c.effective(t).Crashes) >= BlockThreshold-1 {
			delay = MinWriteDelay
		}
	}
	if len(c.wanted)+len(c.returned) > 0 || c.lacksProbes() {
		return MinWriteDelay, true
	}
	isNeeded = len(c.added)+len(c.voided) > 0
	for t := range c.removed {
		isNeeded = isNeeded || len(c.shared[t].Crashes) >= BlockThreshold-1
	}
	return delay, isNeeded
}

// startWrite asks for a write if the record in the store lacks a change.
func (c *Core) startWrite(now time.Time) {
	delay, isNeeded := c.writeDelay()
	if !isNeeded {
		c.writeAt = time.Time{}
		return
	}
	if at := now.Add(delay); c.writeAt.IsZero() || at.Before(c.writeAt) {
		c.writeAt = at
	}
	if c.writing != nil || now.Before(c.writeAt) || now.Before(c.retryAt) {
		return
	}
	r := c.record()
	c.claimProbes(r)
	next := toMap(r)
	for t := range c.added {
		if _, ok := next[t]; !ok {
			delete(c.added, t) // The record has no room for it.
		}
	}
	if _, isNeeded := c.writeDelay(); !isNeeded && len(c.claiming)+len(c.returning) == 0 {
		return
	}
	c.writing, c.writeAt = next, time.Time{}
	expected := c.version
	if c.isMissing {
		expected = 0
	}
	c.emit(Write{Record: r, Expected: expected})
}

func toMap(r Record) map[Trait]Suspect {
	m := make(map[Trait]Suspect, len(r))
	for _, s := range r {
		m[s.Trait] = s
	}
	return m
}
