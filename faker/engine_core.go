package faker

import (
	"iter"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// Engine is the state of one stand-in engine. It is advanced only by Step
// and is not safe for concurrent use.
type Engine struct {
	cfg   EngineSettings
	rng   *rand.Rand
	duty  engineDuty
	cache *cacheFeed
	loads loadHistory
	out   []EngineOutcome
}

// engineDuty is the part of an engine that depends on its role.
type engineDuty interface {
	// due is the time of the next thing to do; zero means nothing.
	due() time.Time
	// advance does what is due at a time.
	advance(at time.Time)
	apply(now time.Time, e EngineEvent)
	holds() iter.Seq[identifier.Hold]
	holding(hold identifier.Hold) bool
	load() EngineLoad
}

// NewEngine returns an idle engine. The source makes its costs vary and its
// cache events get lost. The role must be Prefill or Decode.
func NewEngine(cfg EngineSettings, rng *rand.Rand) *Engine {
	e := &Engine{cfg: cfg, rng: rng}
	e.cache = &cacheFeed{engine: e}
	switch cfg.Role {
	case identifier.RolePrefill:
		e.duty = newPrefillDuty(e)
	case identifier.RoleDecode:
		e.duty = newDecodeDuty(e)
	default:
		panic("faker: engine " + string(cfg.ID) + " has role " + string(cfg.Role))
	}
	e.loads.readings = []EngineLoad{e.duty.load()}
	return e
}

// DefaultEngine returns the costs of one accelerator group of the pools: a
// prefill of 8,000 tokens takes 170 ms and a decode step of twenty streams
// 36 ms.
func DefaultEngine(role identifier.Role) EngineSettings {
	cfg := EngineSettings{
		Role:     role,
		LoadLag:  250 * time.Millisecond,
		CacheLag: 100 * time.Millisecond,
	}
	if role == identifier.RolePrefill {
		cfg.PrefillBase = 10 * time.Millisecond
		cfg.PrefillPerToken = 20 * time.Microsecond
		cfg.ResultLives = 800 * time.Millisecond
		cfg.CacheBlocks = 2000
		return cfg
	}
	cfg.StepBase = 18 * time.Millisecond
	cfg.StepPerStream = 900 * time.Microsecond
	cfg.Pieces = 44
	cfg.Streams = 20
	cfg.LinkTokensPerSecond = 100_000
	return cfg
}

// Step does what has become due and then applies the event. Times never go
// back. The last outcome is AdvanceAt as long as anything is to do later.
func (e *Engine) Step(now time.Time, event EngineEvent) []EngineOutcome {
	e.out = nil
	for at := e.next(); !at.IsZero() && !at.After(now); at = e.next() {
		e.duty.advance(at)
		e.cache.flush(at)
		e.loads.record(e.duty.load(), at, e.cfg.LoadLag)
	}
	e.duty.apply(now, event)
	e.loads.record(e.duty.load(), now, e.cfg.LoadLag)
	if at := e.next(); !at.IsZero() {
		e.emit(AdvanceAt{At: at})
	}
	return e.out
}

// Holds returns the attempts that hold memory or a place on the engine.
func (e *Engine) Holds() []identifier.Hold {
	return slices.SortedFunc(e.duty.holds(), compareHolds)
}

// Holding says whether an attempt holds memory or a place on the engine.
func (e *Engine) Holding(hold identifier.Hold) bool { return e.duty.holding(hold) }

// Load returns the engine's load as it was LoadLag ago.
func (e *Engine) Load(now time.Time) EngineLoad {
	return e.loads.at(now.Add(-e.cfg.LoadLag))
}

func (e *Engine) emit(o EngineOutcome) { e.out = append(e.out, o) }

func (e *Engine) next() time.Time { return earlier(e.duty.due(), e.cache.due()) }

// spread varies a duration by the engine's Jitter.
func (e *Engine) spread(d time.Duration) time.Duration {
	if e.cfg.Jitter == 0 {
		return d
	}
	return d + time.Duration(float64(d)*e.cfg.Jitter*(2*e.rng.Float64()-1))
}

// earlier returns the earlier of two times, of which zero means never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
