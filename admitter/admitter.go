// Package admitter decides which requests of one shard run, when, and on which
// engines.
//
// The VM that owns a shard runs its core. Entry VMs send Ask events and report
// the progress of each attempt; the core replies with placements and refusals.
package admitter

import (
	"math/rand/v2"
	"time"

	"github.com/figtrack/figtrack/granter"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/placer"
)

// Core is the admission and placement state of one shard. It is advanced only
// by Step.
type Core struct {
	cfg       Settings
	rng       *rand.Rand
	granter   *granter.Core
	placer    *placer.Core
	classes   map[identifier.Class]*classState
	upstreams map[identifier.Upstream]Upstream
	queue     *queue
	// active holds the placed attempts under the same keys as the granter.
	active map[Key]*activeAttempt
	capacity
	// needsPlan is set once the queue or the ledger has changed since the last
	// plan.
	needsPlan bool
	// nextExpiry is when the next search for expired grants is due.
	nextExpiry time.Time
	// wakeAt is the time of the last WakeAt outcome; zero if it has fired.
	wakeAt      time.Time
	firstTokens firstTokenErrors
	demand      demand
	// latePieces is the decode memory reserved for attempts that were late when
	// they were placed.
	latePieces identifier.Pieces
	buf        buffers
	out        []Outcome
}

// capacity is the total capacity of the open engines.
type capacity struct {
	openPrefills, openDecodes int
	// decodePieces is the memory of all open decode engines, largestDecode that
	// of the largest one.
	decodePieces, largestDecode identifier.Pieces
}

// activeAttempt is an attempt that has been placed.
type activeAttempt struct {
	*pending
	place Place
	// expectedCached is the predicted length of the prompt prefix in the
	// engine's cache.
	expectedCached identifier.Tokens
	// adopted is true if an earlier owner placed the attempt. Its times are then
	// not used for learning.
	adopted bool
}

// New returns a core without classes and upstreams, which are added by
// ClassChanged and UpstreamChanged events.
func New(cfg Settings, rng *rand.Rand) *Core {
	cfg = cfg.withDefaults()
	return &Core{
		cfg:         cfg,
		rng:         rng,
		granter:     granter.New(ledgerSettings(cfg)),
		placer:      placer.New(placerSettings(cfg)),
		classes:     map[identifier.Class]*classState{},
		upstreams:   map[identifier.Upstream]Upstream{},
		queue:       newQueue(),
		active:      map[Key]*activeAttempt{},
		firstTokens: newFirstTokenErrors(),
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
		Grace:            grantGrace,
	}
}

func placerSettings(cfg Settings) placer.Settings {
	return placer.Settings{
		PrefillBase:     cfg.PrefillBase,
		PrefillPerToken: cfg.PrefillPerToken,
	}
}

// Step handles one event and returns the decisions. It is deterministic: the
// same events at the same times give the same outcomes. The outcomes are valid
// until the next Step.
func (c *Core) Step(now time.Time, e Event) []Outcome {
	c.out = c.out[:0]
	c.handle(now, e)
	c.expireGrants(now)
	c.moveParked(now)
	c.dispatch(now)
	if c.plan(now) {
		c.dispatch(now)
	}
	c.scheduleWake(now)
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
		c.stepLedger(now, granter.TransferEnded{Key: granter.Key(e.Key), Took: e.Took})
	case TransferFailed:
		c.transferFailed(now, e)
	case FirstToken:
		c.firstToken(now, e)
	case Ended:
		c.ended(now, e)
	case LoadReport:
		c.stepLedger(now, granter.Load{ID: e.Upstream, At: e.At, FreePieces: e.FreePieces, Running: e.Running})
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

// stepLedger passes an event to the granter and handles its outcomes.
func (c *Core) stepLedger(now time.Time, e granter.Event) {
	for _, o := range c.granter.Step(now, e) {
		switch o := o.(type) {
		case granter.Expired:
			c.dropActive(Key(o.Key))
		case granter.Stranded:
			c.buf.stranded = append(c.buf.stranded, o)
		}
	}
	c.needsPlan = true
}

// dropActive removes an attempt from the active ones. The caller releases its
// grant unless the ledger has already dropped it.
func (c *Core) dropActive(k Key) {
	if a, ok := c.active[k]; ok && a.late {
		c.latePieces -= a.pieces
	}
	delete(c.active, k)
}

func (c *Core) emit(o Outcome) { c.out = append(c.out, o) }

func (c *Core) expireGrants(now time.Time) {
	if now.Before(c.nextExpiry) {
		return
	}
	c.nextExpiry = now.Add(expiryInterval)
	c.stepLedger(now, granter.Expire{})
}

func (c *Core) withdraw(now time.Time, e Withdraw) {
	if p := c.queue.find(e.Key); p != nil {
		c.queue.remove(p)
		c.needsPlan = true
		return
	}
	c.release(now, e.Key)
}

// release frees everything that an attempt holds, without learning from it.
func (c *Core) release(now time.Time, k Key) {
	if _, ok := c.active[k]; !ok {
		return
	}
	c.dropActive(k)
	c.stepLedger(now, granter.Release{Key: granter.Key(k)})
}

func (c *Core) prefillEnded(now time.Time, e PrefillEnded) {
	a, ok := c.active[e.Key]
	if !ok {
		return
	}
	ended := now.Add(-c.returnDelay(a))
	c.stepLedger(now, granter.PrefillEnded{Key: granter.Key(e.Key), At: ended})
	c.placer.Step(now, placer.Prefilled{
		Upstream: a.place.Prefill,
		Prompt:   a.Prompt,
		Expected: a.expectedCached,
		Cached:   e.Cached,
		Took:     e.Took,
	})
}

func (c *Core) firstToken(now time.Time, e FirstToken) {
	a, ok := c.active[e.Key]
	if !ok {
		return
	}
	c.stepLedger(now, granter.FirstToken{Key: granter.Key(e.Key)})
	took := now.Sub(a.Arrived) - c.messageDelay(a.FromDataCentre, c.cfg.DataCentre)
	c.firstTokens.observe(a.place.Predicted, took)
}

func (c *Core) ended(now time.Time, e Ended) {
	a, ok := c.active[e.Key]
	if !ok {
		return
	}
	c.dropActive(e.Key)
	complete := !e.Failed && e.Output > 0 && !a.adopted
	c.stepLedger(now, granter.Release{Key: granter.Key(e.Key), Output: e.Output, Completed: complete})
}

// scheduleWake emits a WakeAt if the time of the next wake has changed.
func (c *Core) scheduleWake(now time.Time) {
	at := c.nextWake(now)
	if at.IsZero() || at.Equal(c.wakeAt) {
		return
	}
	c.wakeAt = at
	c.emit(WakeAt{At: at})
}
