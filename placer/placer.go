package placer

import (
	"time"

	"github.com/figtrack/figtrack/estimator"
	"github.com/figtrack/figtrack/identifier"
)

// Settings are the priors of the costs.
type Settings struct {
	// PrefillBase and PrefillPerToken are the prior of a prefill's time.
	PrefillBase, PrefillPerToken time.Duration
}

const (
	// priorWeight is the weight of the priors in samples.
	priorWeight = 8
	// tokenSpan is the span of uncached tokens of the prior.
	tokenSpan = 20000
	// maxIndexes bounds the engines with an index.
	maxIndexes = 1024
)

// Core knows costs and caches. It is advanced only by Step; the other
// methods read.
type Core struct {
	cfg Settings
	// cost is that of all engines together; each has its own in costs.
	cost    *estimator.Line
	costs   map[identifier.Upstream]*estimator.Line
	indexes map[identifier.Upstream]*index
	errs    Deviations
	// weighed holds the candidates of the last choice.
	weighed []Weighed
	out     []Outcome
}

// Deviations are the errors of the learned estimates.
type Deviations struct {
	// Prefill is in seconds, Cached in tokens.
	Prefill, Cached estimator.Deviation
}

// New returns a core without knowledge of caches.
func New(cfg Settings) *Core {
	return &Core{
		cfg:     cfg,
		cost:    estimator.NewLine(cfg.PrefillBase.Seconds(), cfg.PrefillPerToken.Seconds(), tokenSpan, priorWeight),
		costs:   map[identifier.Upstream]*estimator.Line{},
		indexes: map[identifier.Upstream]*index{},
	}
}

// Step advances the core. The outcomes are valid until the next Step.
func (c *Core) Step(now time.Time, e Event) []Outcome {
	c.out = c.out[:0]
	switch e := e.(type) {
	case CacheChanged:
		c.cacheChanged(now, e)
	case Placed:
		c.index(e.Upstream).add(now, e.Prefix)
	case Prefilled:
		c.prefilled(e)
	case Gone:
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
	c.index(ev.Upstream).check(ev.Expected, ev.Cached)
	c.errs.Cached.Observe(float64(ev.Expected), float64(ev.Cached))
	if ev.Took <= 0 {
		return
	}
	x := float64(max(0, ev.Prompt-ev.Cached))
	line := c.costOf(ev.Upstream)
	c.errs.Prefill.Observe(line.At(x), ev.Took.Seconds())
	line.Observe(x, ev.Took.Seconds())
	c.cost.Observe(x, ev.Took.Seconds())
}

// costOf returns the learned cost of an engine. A new one starts at the mean.
func (c *Core) costOf(id identifier.Upstream) *estimator.Line {
	l, ok := c.costs[id]
	if ok {
		return l
	}
	l = estimator.NewLine(c.cost.Base(), c.cost.Slope(), tokenSpan, priorWeight)
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

// Hit returns the believed length of a prefix in an engine's cache.
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
		l = c.cost
	}
	return seconds(l.At(float64(max(0, n))))
}

// Cost returns the predicted time of a prefill of n uncached tokens, as a
// mean of all engines.
func (c *Core) Cost(n identifier.Tokens) time.Duration {
	return seconds(c.cost.At(float64(max(0, n))))
}

// Deviations returns the errors of the estimates.
func (c *Core) Deviations() Deviations { return c.errs }

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
