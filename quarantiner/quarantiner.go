// Package quarantiner detects requests that crash the upstreams they run on
// and refuses to run them again.
//
// A request is identified by its fingerprint, the hash of model and content,
// so that it is recognised under a new key and on other VMs. The fingerprints
// in flight on an upstream that dies become suspects: each gets a mark for
// that death. The guard of an upstream lets only one suspect at a time run
// there, so that a second death convicts one of them. A suspect that is
// answered completely is cleared. A VM sends its marks to all other VMs when
// it makes them, and repeats them a few times.
//
// A lost connection makes a mark at once. It counts as a death unless the
// upstream is found alive within ConfirmWait; until then, a request that this
// death might convict waits.
package quarantiner

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/figtrack/figtrack/identifier"
)

// Times and limits of a quarantiner.
const (
	// SuspicionLifetime is how long a suspicion or conviction lasts after its
	// last death.
	SuspicionLifetime = time.Hour
	// ConfirmWait is the time after which a lost connection counts as a death.
	ConfirmWait = 5 * time.Second
	// SpreadWait is how long a conviction waits after its last death for the
	// marks of other VMs to arrive.
	SpreadWait = 500 * time.Millisecond
	// FailedRunRetention is how long a failed run is kept, because the death of
	// its upstream may be reported after it.
	FailedRunRetention = 10 * time.Second
	// GuardTimeout is the longest time that one run of a suspect keeps the others
	// off an upstream.
	GuardTimeout = 10 * time.Minute
	// MaxSuspects is the most fingerprints with marks; the least recently used
	// one is dropped.
	MaxSuspects = 4096
	// MaxMarksPerSuspect is the most deaths kept for one fingerprint.
	MaxMarksPerSuspect = 8
	// MaxDeaths is the most confirmed deaths that are remembered.
	MaxDeaths = 64
	// MaxRuns is the most runs that one VM tracks. Further runs are not marked
	// when their upstream dies.
	MaxRuns = 16_384
	// MaxLostUpstreams is the most upstreams whose lost connections alone count
	// as deaths at the same time.
	MaxLostUpstreams = 2
	// deathsToConvict is the number of deaths after which a suspect can be
	// convicted.
	deathsToConvict = 2
)

// Fingerprint is the hash of a request's model and content.
type Fingerprint uint64

// NewFingerprint returns the fingerprint of a request. The content is what
// upstreams receive of the request, without keys and ids.
func NewFingerprint(model identifier.Model, content ...[]byte) Fingerprint {
	h := sha256.New()
	fmt.Fprintf(h, "%d:%s", len(model), model)
	for _, part := range content {
		h.Write(part)
	}
	return Fingerprint(binary.BigEndian.Uint64(h.Sum(nil)))
}

// Core holds the runs, marks and guarded upstreams of one VM. Only Step
// changes it.
type Core struct {
	suspects *simplelru.LRU[Fingerprint, *suspect]
	// runs has at most MaxRuns entries, in the order of their start.
	runs []run
	// guardedRuns holds, for each upstream that this VM guards, the suspect's
	// run that was allowed last.
	guardedRuns map[identifier.Upstream]guardedRun
	// deaths holds the last MaxDeaths confirmed deaths, oldest first.
	deaths []Death
	// resends holds the marks that will be sent again, at most MaxPendingResends
	// sets.
	resends []pendingResend
	// lastExpiry is when expire last removed outdated entries.
	lastExpiry time.Time
	out        []Outcome
}

// Run identifies one attempt on one upstream.
type Run struct {
	Request  identifier.Request
	Attempt  identifier.Attempt
	Upstream identifier.Upstream
}

// run is a Run that this VM has started, with what a mark for it needs.
type run struct {
	Run
	incarnation identifier.Incarnation
	fingerprint Fingerprint
	alone       bool
	// forgetAt is when a failed run is removed; zero while it runs.
	forgetAt time.Time
}

// New returns a core without suspects.
func New() *Core {
	suspects, err := simplelru.NewLRU[Fingerprint, *suspect](MaxSuspects, nil)
	if err != nil {
		panic(err)
	}
	return &Core{suspects: suspects, guardedRuns: map[identifier.Upstream]guardedRun{}}
}

// Step applies an event at the time now and returns the outcomes.
func (c *Core) Step(now time.Time, e Event) []Outcome {
	c.out = nil
	c.expire(now)
	switch e := e.(type) {
	case CheckAsked:
		c.check(now, e)
	case Started:
		c.addRun(e)
	case Ended:
		c.endRun(now, e)
	case Withdrawn:
		c.runs = slices.DeleteFunc(c.runs, func(r run) bool { return r.Run == e.Run && r.forgetAt.IsZero() })
	case UpstreamLost:
		c.markInFlight(now, e.Death, StateLost)
	case UpstreamDied:
		c.markInFlight(now, e.Death, StateDied)
	case UpstreamAlive:
		c.clearLost(now, e.Death)
	case MarksReceived:
		c.mergeMarks(now, e)
	case VMJoined:
		c.sendAllMarks(e.VM)
	case GuardAsked:
		c.allowRun(now, e)
	case GuardFreed:
		c.freeUpstream(e.Run)
	case Wake:
	default:
		panic(fmt.Sprintf("quarantiner: event %T", e))
	}
	c.resendMarks(now)
	c.scheduleWake()
	return c.out
}

func (c *Core) emit(o Outcome) { c.out = append(c.out, o) }

// check answers whether a request may run now.
func (c *Core) check(now time.Time, e CheckAsked) {
	v := Verdict{Request: e.Request, Kind: KindRun}
	if s, ok := c.suspects.Get(e.Fingerprint); ok {
		v.Kind, v.After = c.judgeSuspect(now, e.Fingerprint, s)
	}
	c.emit(v)
}

// judgeSuspect returns the kind of the verdict on a suspect, and
// Verdict.After.
func (c *Core) judgeSuspect(now time.Time, fingerprint Fingerprint, s *suspect) (Kind, time.Duration) {
	died, lost := s.countDeaths()
	switch {
	case died >= deathsToConvict && now.Sub(s.lastMarked) < SpreadWait:
		return KindWait, SpreadWait
	case died >= deathsToConvict && c.isConvicted(fingerprint, s):
		return KindRefuse, s.lastMarked.Add(SuspicionLifetime).Sub(now)
	case lost > 0 && died+lost >= deathsToConvict:
		return KindWait, ConfirmWait
	case died+lost > 0:
		return KindRunAlone, 0
	default:
		return KindRun, 0
	}
}

// isConvicted reports whether one of its deaths singles the suspect out: no
// other suspect with enough deaths to be convicted was in flight, or this one
// was the only one that the guard had allowed. Otherwise, as after a mistake
// of a guard, the next death decides.
func (c *Core) isConvicted(fingerprint Fingerprint, s *suspect) bool {
	for _, m := range s.marks {
		if m.State == StateDied && !c.hasRival(fingerprint, m) {
			return true
		}
	}
	return false
}

// hasRival reports whether another suspect could equally be the cause of the
// death of m.
func (c *Core) hasRival(fingerprint Fingerprint, m mark) bool {
	for _, other := range c.fingerprintsWith(m.Death, StateDied) {
		s, _ := c.suspects.Peek(other)
		died, _ := s.countDeaths()
		if other != fingerprint && died >= deathsToConvict && (s.markFor(m.Death).Alone || !m.Alone) {
			return true
		}
	}
	return false
}

// addRun tracks a run, unless MaxRuns are tracked already.
func (c *Core) addRun(e Started) {
	if len(c.runs) < MaxRuns {
		c.runs = append(c.runs, run{Run: e.Run, incarnation: e.Incarnation, fingerprint: e.Fingerprint, alone: e.Alone})
	}
}

// endRun removes a run that was answered completely and clears its request. A
// failed run is kept for FailedRunRetention.
func (c *Core) endRun(now time.Time, e Ended) {
	for i := range c.runs {
		r := &c.runs[i]
		if r.Run != e.Run || !r.forgetAt.IsZero() {
			continue
		}
		if !e.Completed {
			r.forgetAt = now.Add(FailedRunRetention)
			return
		}
		c.clearSuspect(now, r.fingerprint)
		c.runs = append(c.runs[:i], c.runs[i+1:]...)
		return
	}
}
