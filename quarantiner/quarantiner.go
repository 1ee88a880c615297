// Package quarantiner finds the requests that crash the upstreams which run
// them.
//
// A request is known by its fingerprint, the hash of model and content, so
// that new keys and other VMs don't hide it. Fingerprints in flight on an
// upstream that dies are suspects. A suspect runs only where no other suspect
// runs, which the guard of the upstream sees to, so that a second death
// convicts one of them. A suspect whose answer is whole is cleared. Marks
// spread to all VMs as they are made and are told again a few times.
//
// A lost connection marks at once, and counts as a death unless the upstream
// is found alive within ConfirmWait; until then a request that might be
// convicted by it waits.
package quarantiner

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/figtrack/figtrack/identifier"
)

// Times and limits of a quarantiner.
const (
	// Life is how long a suspicion or conviction lasts after its last death.
	Life = time.Hour
	// ConfirmWait is when a lost connection counts as a death.
	ConfirmWait = 5 * time.Second
	// SpreadWait is how long a conviction waits for what other VMs know of
	// its last death.
	SpreadWait = 500 * time.Millisecond
	// RecentFor is how long a failed run is remembered, for a death that is
	// reported after it.
	RecentFor = 10 * time.Second
	// GuardLife is how long a suspect may keep an upstream from the others.
	GuardLife = 10 * time.Minute
	// MaxSuspects is the most fingerprints; the one unused longest goes.
	MaxSuspects = 4096
	// MaxMarks is the most deaths kept for one fingerprint.
	MaxMarks = 8
	// MaxDeaths is the most certain deaths that are remembered.
	MaxDeaths = 64
	// MaxRuns is the most runs that are followed on one VM.
	MaxRuns = 16_384
	// MaxLost is the most upstreams that count as dead together only because
	// their connections are lost.
	MaxLost = 2
	// deathsToConvict is the number of deaths that convicts.
	deathsToConvict = 2
)

// Fingerprint is the hash of a request's model and content.
type Fingerprint uint64

// Print returns the fingerprint of a request. The content is what upstreams
// get of it, without keys and ids.
func Print(model identifier.Model, content []byte) Fingerprint {
	h := sha256.New()
	fmt.Fprintf(h, "%d:%s", len(model), model)
	h.Write(content)
	return Fingerprint(binary.BigEndian.Uint64(h.Sum(nil)))
}

// Core is the state of one VM. It is advanced only by Step.
type Core struct {
	suspects *simplelru.LRU[Fingerprint, *suspect]
	// runs has at most MaxRuns entries, in the order of their start.
	runs []run
	// guards holds the upstreams that this VM guards and that a suspect has.
	guards map[identifier.Upstream]guard
	// deaths holds the last MaxDeaths that are certain.
	deaths []Death
	// retells holds the marks that are told again.
	retells []retell
	// expired is when what is past its time was last searched for.
	expired time.Time
	out     []Outcome
}

// Run names one attempt on one upstream.
type Run struct {
	Request  identifier.Request
	Attempt  identifier.Attempt
	Upstream identifier.Upstream
}

type run struct {
	Run
	incarnation identifier.Incarnation
	content     Fingerprint
	alone       bool
	// over is when a failed run is forgotten; zero while it runs.
	over time.Time
}

// New returns a core without suspects.
func New() *Core {
	suspects, err := simplelru.NewLRU[Fingerprint, *suspect](MaxSuspects, nil)
	if err != nil {
		panic(err)
	}
	return &Core{suspects: suspects, guards: map[identifier.Upstream]guard{}}
}

// Step advances the core.
func (c *Core) Step(now time.Time, e Event) []Outcome {
	c.out = nil
	c.expire(now)
	switch e := e.(type) {
	case Checked:
		c.checked(now, e)
	case Started:
		c.started(e)
	case Ended:
		c.ended(now, e)
	case UpstreamLost:
		c.mark(now, e.Death, StateLost)
	case UpstreamDied:
		c.mark(now, e.Death, StateDied)
	case UpstreamAlive:
		c.alive(now, e.Death)
	case Told:
		c.told(now, e)
	case VMJoined:
		c.tellAll(e.VM)
	case GuardAsked:
		c.guardAsked(now, e)
	case GuardFreed:
		c.guardFreed(e.Run)
	case Wake:
	default:
		panic(fmt.Sprintf("quarantiner: event %T", e))
	}
	c.retell(now)
	c.schedule()
	return c.out
}

func (c *Core) emit(o Outcome) { c.out = append(c.out, o) }

// checked says whether a request may run now.
func (c *Core) checked(now time.Time, e Checked) {
	v := Verdict{Request: e.Request, Kind: KindRun}
	if s, ok := c.suspects.Get(e.Fingerprint); ok {
		v.Kind, v.After = c.judge(now, e.Fingerprint, s)
	}
	c.emit(v)
}

func (c *Core) judge(now time.Time, content Fingerprint, s *suspect) (Kind, time.Duration) {
	died, lost := s.count()
	switch {
	case died >= deathsToConvict && now.Sub(s.last) < SpreadWait:
		return KindWait, SpreadWait
	case died >= deathsToConvict && c.convicted(content, s):
		return KindRefuse, s.last.Add(Life).Sub(now)
	case lost > 0 && died+lost >= deathsToConvict:
		return KindWait, ConfirmWait
	case died+lost > 0:
		return KindRunAlone, 0
	default:
		return KindRun, 0
	}
}

// convicted says that in one of its deaths the suspect stands out: no other
// that has died elsewhere too was in flight, or it alone was let run by the
// guard. Otherwise, as after a guard's mistake, the next death decides.
func (c *Core) convicted(content Fingerprint, s *suspect) bool {
	for _, m := range s.marks {
		if m.State == StateDied && !c.rivalled(content, m) {
			return true
		}
	}
	return false
}

func (c *Core) rivalled(content Fingerprint, m mark) bool {
	for _, other := range c.marked(m.Death, StateDied) {
		s, _ := c.suspects.Peek(other)
		died, _ := s.count()
		if other != content && died >= deathsToConvict && (s.mark(m.Death).Alone || !m.Alone) {
			return true
		}
	}
	return false
}

func (c *Core) started(e Started) {
	if len(c.runs) < MaxRuns {
		c.runs = append(c.runs, run{Run: e.Run, incarnation: e.Incarnation, content: e.Fingerprint, alone: e.Alone})
	}
}

// ended forgets a run. A whole answer clears its request.
func (c *Core) ended(now time.Time, e Ended) {
	for i := range c.runs {
		r := &c.runs[i]
		if r.Run != e.Run || !r.over.IsZero() {
			continue
		}
		if !e.Whole {
			r.over = now.Add(RecentFor)
			return
		}
		c.clear(now, r.content)
		c.runs = append(c.runs[:i], c.runs[i+1:]...)
		return
	}
}
