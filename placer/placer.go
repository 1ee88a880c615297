package placer

import (
	"time"

	"github.com/figtrack/figtrack/estimator"
	"github.com/figtrack/figtrack/identifier"
)

// Settings are the priors of the prefill cost.
type Settings struct {
	// PrefillBase and PrefillPerToken are the prior of the prefill time.
	PrefillBase, PrefillPerToken time.Duration
}

const (
	// priorWeight is the weight of the priors in samples.
	priorWeight = 8
	// priorTokenSpan is the range of uncached tokens that the prior covers.
	priorTokenSpan = 20000
	// maxIndexes limits the engines with an index or a cost of their own.
	maxIndexes = 1024
)

// Core holds the learned prefill costs and the cache indexes. Its state is
// changed only by Step; the other methods read it or choose engines.
type Core struct {
	cfg Settings
	// meanCost is learned from all engines together, costs from each engine
	// alone.
	meanCost   *estimator.Line
	costs      map[identifier.Upstream]*estimator.Line
	indexes    map[identifier.Upstream]*index
	deviations Deviations
	// candidates holds the scored engines of the last call of Prefill.
	candidates []ScoredEngine
	out        []Outcome
}

// Deviations are the errors of the learned estimates.
type Deviations struct {
	// Prefill is in seconds, Cached in tokens.
	Prefill, Cached estimator.Deviation
}

// New returns a core without cache indexes.
func New(cfg Settings) *Core {
	return &Core{
		cfg:      cfg,
		meanCost: estimator.NewLine(cfg.PrefillBase.Seconds(), cfg.PrefillPerToken.Seconds(), priorTokenSpan, priorWeight),
		costs:    map[identifier.Upstream]*estimator.Line{},
		indexes:  map[identifier.Upstream]*index{},
	}
}

// Step handles one event. The outcomes are valid until the next Step.
func (c *Core) Step(now time.Time, e Event) []Outcome {
	c.out = c.out[:0]
	switch e := e.(type) {
	case CacheChanged:
		c.cacheChanged(now, e)
	case Placed:
		c.index(e.Upstream).add(now, e.Prefix)
	case Prefilled:
		c.prefilled(e)
	case CacheLost:
		delete(c.indexes, e.Upstream)
	}
	return c.out
}

func (c *Core) cacheChanged(now time.Time, ev CacheChanged) {
	if missed := c.index(ev.Upstream).apply(now, ev); missed > 0 {
		c.out = append(c.out, IndexDropped{ev.Upstream, missed})
	}
}

func (c *Core) prefilled(ev Prefilled) {
	c.index(ev.Upstream).updateTrust(ev.Expected, ev.Cached)
	c.deviations.Cached.Observe(float64(ev.Expected), float64(ev.Cached))
	if ev.Took <= 0 {
		return
	}
	x := float64(max(0, ev.Prompt-ev.Cached))
	line := c.costOf(ev.Upstream)
	c.deviations.Prefill.Observe(line.At(x), ev.Took.Seconds())
	line.Observe(x, ev.Took.Seconds())
	c.meanCost.Observe(x, ev.Took.Seconds())
}

// costOf returns the learned cost of an engine. A new engine starts with the
// mean of all.
func (c *Core) costOf(id identifier.Upstream) *estimator.Line {
	l, ok := c.costs[id]
	if ok {
		return l
	}
	l = estimator.NewLine(c.meanCost.Base(), c.meanCost.Slope(), priorTokenSpan, priorWeight)
	if len(c.costs) < maxIndexes {
		c.costs[id] = l
	}
	return l
}

func (c *Core) index(id identifier.Upstream) *index {
	x, ok := c.indexes[id]
	if ok {
		return x
	}
	x = newIndex()
	if len(c.indexes) < maxIndexes {
		c.indexes[id] = x
	}
	return x
}

// Hit returns the predicted length of the part of a prefix that is in an
// engine's cache.
func (c *Core) Hit(now time.Time, id identifier.Upstream, prefix []identifier.Block) identifier.Tokens {
	x, ok := c.indexes[id]
	if !ok {
		return 0
	}
	return x.hit(now, prefix)
}

// CostOn returns the predicted time of a prefill of n uncached tokens on an
// engine.
func (c *Core) CostOn(id identifier.Upstream, n identifier.Tokens) time.Duration {
	l, ok := c.costs[id]
	if !ok {
		l = c.meanCost
	}
	return seconds(l.At(float64(max(0, n))))
}

// MeanCost returns the predicted time of a prefill of n uncached tokens, averaged
// over all engines.
func (c *Core) MeanCost(n identifier.Tokens) time.Duration {
	return seconds(c.meanCost.At(float64(max(0, n))))
}

// Deviations returns the errors of the estimates.
func (c *Core) Deviations() Deviations { return c.deviations }

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
