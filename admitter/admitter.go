// Package admitter decides which requests of one shard run, when and where.
//
// The owner VM of a shard keeps one core. Entry VMs send it Ask events and
// what becomes of each attempt; it answers with placements and refusals.
package admitter

import (
	"math/rand/v2"
	"time"

	"github.com/figtrack/figtrack/granter"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/placer"
)

// Core is the state of one shard. It is advanced only by Step.
type Core struct {
	cfg       Settings
	rng       *rand.Rand
	granter   *granter.Core
	placer    *placer.Core
	classes   map[identifier.Class]*class
	upstreams map[identifier.Upstream]Upstream
	queue     *queue
	// active holds the placed attempts; its keys are those of the granter.
	active map[Key]*active
	capacity
	// stale says that the queue or the ledger has changed since the last plan.
	stale bool
	// nextExpiry is when silent grants are looked for again.
	nextExpiry time.Time
	// wakeAt is the last WakeAt that was sent.
	wakeAt time.Time
	firsts firstTokens
	demand demand
	// latePieces is the memory of the active attempts that were placed late.
	latePieces identifier.Pieces
	buf        buffers
	out        []Outcome
}

// capacity sums up the open engines.
type capacity struct {
	prefills, decodes int
	// pieces is the memory of all decode engines, largest the most of one.
	pieces, largest identifier.Pieces
}

// active is an attempt that was placed.
type active struct {
	*pending
	place Place
	// expected is the believed length of the cached prefix.
	expected identifier.Tokens
	// adopted says that an earlier owner placed it, so that its times teach
	// nothing.
	adopted bool
}

// New returns a core without classes and upstreams: they come as events.
func New(cfg Settings, rng *rand.Rand) *Core {
	cfg = cfg.withDefaults()
	return &Core{
		cfg:       cfg,
		rng:       rng,
		granter:   granter.New(ledgerSettings(cfg)),
		placer:    placer.New(placerSettings(cfg)),
		classes:   map[identifier.Class]*class{},
		upstreams: map[identifier.Upstream]Upstream{},
		queue:     newQueue(),
		active:    map[Key]*active{},
		firsts:    newFirstTokens(),
	}
}

func ledgerSettings(cfg Settings) granter.Settings {
	return granter.Settings{
		StepBase:         cfg.StepBase,
		StepPerStream:    cfg.StepPerStream,
		TransferBase:     cfg.TransferBase,
		TransferPerToken: cfg.TransferPerToken,
		CrossDelay:       cfg.CrossDelay,
		Output:           cfg.Output,
		ResultLives:      cfg.ResultLives,
		Grace:            silence,
	}
}

func placerSettings(cfg Settings) placer.Settings {
	return placer.Settings{
		PrefillBase:     cfg.PrefillBase,
		PrefillPerToken: cfg.PrefillPerToken,
	}
}

// Step advances the core. The same events at the same times give the same
// outcomes. The outcomes are valid until the next Step.
func (c *Core) Step(now time.Time, e Event) []Outcome {
	c.out = c.out[:0]
	c.handle(now, e)
	c.expire(now)
	c.rescue(now)
	c.dispatch(now)
	if c.plan(now) {
		c.dispatch(now)
	}
	c.wake(now)
	return c.out
}

func (c *Core) handle(now time.Time, e Event) {
	switch e := e.(type) {
	case Ask:
		c.ask(now, e)
	case Adopt:
		c.adopt(now, e)
	case Withdraw:
		c.withdraw(now, e)
	case PrefillEnded:
		c.prefillEnded(now, e)
	case TransferEnded:
		c.ledger(now, granter.TransferEnded{Key: granter.Key(e.Key), Took: e.Took})
	case TransferFailed:
		c.transferFailed(now, e)
	case FirstToken:
		c.firstToken(now, e)
	case Ended:
		c.ended(now, e)
	case LoadReport:
		c.ledger(now, granter.Load{ID: e.Upstream, At: e.At, FreePieces: e.FreePieces, Running: e.Running})
	case CacheReport:
		c.placer.Step(now, placer.CacheChanged(e))
	case UpstreamChanged:
		c.upstreamChanged(now, e.Upstream)
	case ClassChanged:
		c.classChanged(e.Class)
	case Wake:
		c.wakeAt = time.Time{}
	}
}

// ledger advances the granter and acts on what it finds.
func (c *Core) ledger(now time.Time, e granter.Event) {
	for _, o := range c.granter.Step(now, e) {
		switch o := o.(type) {
		case granter.Expired:
			c.forget(Key(o.Key))
		case granter.Stranded:
			c.buf.stranded = append(c.buf.stranded, o)
		}
	}
	c.stale = true
}

// forget drops an attempt that the ledger dropped or is about to drop.
func (c *Core) forget(k Key) {
	if a, ok := c.active[k]; ok && a.late {
		c.latePieces -= a.pieces
	}
	delete(c.active, k)
}

func (c *Core) emit(o Outcome) { c.out = append(c.out, o) }

func (c *Core) expire(now time.Time) {
	if now.Before(c.nextExpiry) {
		return
	}
	c.nextExpiry = now.Add(expireEvery)
	c.ledger(now, granter.Expire{})
}

func (c *Core) withdraw(now time.Time, e Withdraw) {
	if p := c.queue.find(e.Key); p != nil {
		c.queue.remove(p)
		c.stale = true
		return
	}
	c.release(now, e.Key)
}

// release frees what an attempt holds without learning from it.
func (c *Core) release(now time.Time, k Key) {
	if _, ok := c.active[k]; !ok {
		return
	}
	c.forget(k)
	c.ledger(now, granter.Release{Key: granter.Key(k)})
}

func (c *Core) prefillEnded(now time.Time, e PrefillEnded) {
	a, ok := c.active[e.Key]
	if !ok {
		return
	}
	ended := now.Add(-c.back(a))
	c.ledger(now, granter.PrefillEnded{Key: granter.Key(e.Key), At: ended})
	c.placer.Step(now, placer.Prefilled{
		Upstream: a.place.Prefill,
		Prompt:   a.Prompt,
		Expected: a.expected,
		Cached:   e.Cached,
		Took:     e.Took,
	})
}

func (c *Core) firstToken(now time.Time, e FirstToken) {
	a, ok := c.active[e.Key]
	if !ok {
		return
	}
	c.ledger(now, granter.FirstToken{Key: granter.Key(e.Key)})
	took := now.Sub(a.Arrived) - c.delay(a.FromDataCentre, c.cfg.DataCentre)
	c.firsts.observe(a.place.Predicted, took)
}

func (c *Core) ended(now time.Time, e Ended) {
	a, ok := c.active[e.Key]
	if !ok {
		return
	}
	c.forget(e.Key)
	whole := !e.Failed && e.Output > 0 && !a.adopted
	c.ledger(now, granter.Release{Key: granter.Key(e.Key), Output: e.Output, Whole: whole})
}

// wake asks for the next Wake if its time has changed.
func (c *Core) wake(now time.Time) {
	at := c.next(now)
	if at.IsZero() || at.Equal(c.wakeAt) {
		return
	}
	c.wakeAt = at
	c.emit(WakeAt{At: at})
}
