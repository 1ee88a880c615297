package faker

import (
	"iter"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// Engine is the state of one fake engine. Only Step changes it. It is not safe for
// concurrent use.
type Engine struct {
	cfg         EngineSettings
	rng         *rand.Rand
	impl        roleEngine
	cache       *cacheEventQueue
	loadHistory loadHistory
	// outcomes collects the outcomes of the current Step.
	outcomes []EngineOutcome
}

// roleEngine is the part of an engine that depends on its role.
type roleEngine interface {
	// due returns the time of the next work, or zero if there is none.
	due() time.Time
	// advance does the work that is due at a time.
	advance(at time.Time)
	// apply applies an event.
	apply(now time.Time, e EngineEvent)
	holds() iter.Seq[identifier.Hold]
	// holding reports whether the attempt holds anything.
	holding(hold identifier.Hold) bool
	load() EngineLoad
}

// NewEngine returns an idle engine. rng is the source of its jitter and of the
// losses of cache events. NewEngine panics unless the role is Prefill or Decode.
func NewEngine(cfg EngineSettings, rng *rand.Rand) *Engine {
	e := &Engine{cfg: cfg, rng: rng}
	e.cache = &cacheEventQueue{engine: e}
	switch cfg.Role {
	case identifier.RolePrefill:
		e.impl = newPrefillEngine(e)
	case identifier.RoleDecode:
		e.impl = newDecodeEngine(e)
	default:
		panic("faker: engine " + string(cfg.ID) + " has role " + string(cfg.Role))
	}
	e.loadHistory.loads = []EngineLoad{e.impl.load()}
	return e
}

// DefaultEngine returns the settings of a typical engine on one group of
// accelerators: a prefill of 8,000 tokens takes 170 ms and a decode step of
// twenty streams 36 ms.
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

// Step does all work that is due by now and then applies the event. now must not
// be earlier than in the previous call. The last outcome is AdvanceAt if there is
// work for later.
func (e *Engine) Step(now time.Time, event EngineEvent) []EngineOutcome {
	e.outcomes = nil
	for at := e.nextDue(); !at.IsZero() && !at.After(now); at = e.nextDue() {
		e.impl.advance(at)
		e.cache.flush(at)
		e.loadHistory.record(e.impl.load(), at, e.cfg.LoadLag)
	}
	e.impl.apply(now, event)
	e.loadHistory.record(e.impl.load(), now, e.cfg.LoadLag)
	if at := e.nextDue(); !at.IsZero() {
		e.emit(AdvanceAt{At: at})
	}
	return e.outcomes
}

// Holds returns the attempts that hold memory or a place on the engine, in order.
func (e *Engine) Holds() []identifier.Hold {
	return slices.SortedFunc(e.impl.holds(), compareHolds)
}

// HasHold reports whether an attempt holds memory or a place on the engine.
func (e *Engine) HasHold(hold identifier.Hold) bool { return e.impl.holding(hold) }

// Load returns the engine's load as it was LoadLag ago.
func (e *Engine) Load(now time.Time) EngineLoad {
	return e.loadHistory.loadAt(now.Add(-e.cfg.LoadLag))
}

func (e *Engine) emit(o EngineOutcome) { e.outcomes = append(e.outcomes, o) }

// nextDue returns the time of the next work, or zero if there is none.
func (e *Engine) nextDue() time.Time { return earlier(e.impl.due(), e.cache.due()) }

// addJitter varies a duration at random by the engine's Jitter.
func (e *Engine) addJitter(d time.Duration) time.Duration {
	if e.cfg.Jitter == 0 {
		return d
	}
	return d + time.Duration(float64(d)*e.cfg.Jitter*(2*e.rng.Float64()-1))
}

// earlier returns the earlier of two times, where zero means never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
