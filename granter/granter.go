package granter

import (
	"slices"
	"time"

	"github.com/figtrack/figtrack/estimator"
	"github.com/figtrack/figtrack/identifier"
)

// Core is the ledger of one shard. It is advanced only by Step; the other
// methods read.
type Core struct {
	cfg     Settings
	engines map[identifier.Upstream]*engine
	// order holds the same engines, sorted by id.
	order  []*engine
	grants map[Key]*Grant
	// byAge holds the grants in order of their reservation.
	byAge   []*Grant
	lengths map[identifier.Class]*estimator.Lengths
	// pace is that of all engines together; each has its own beside it.
	pace     *estimator.Line
	transfer *estimator.Line
	errs     Deviations
	out      []Outcome
}

// Deviations are the errors of the learned estimates.
type Deviations struct {
	// Pace is in seconds a token, Transfer in seconds, Output in tokens.
	Pace, Transfer, Output estimator.Deviation
}

// New returns an empty ledger.
func New(cfg Settings) *Core {
	return &Core{
		cfg:      cfg,
		engines:  map[identifier.Upstream]*engine{},
		grants:   map[Key]*Grant{},
		lengths:  map[identifier.Class]*estimator.Lengths{},
		pace:     estimator.NewLine(cfg.StepBase.Seconds(), cfg.StepPerStream.Seconds(), batchSpan, priorWeight),
		transfer: estimator.NewLine(cfg.TransferBase.Seconds(), cfg.TransferPerToken.Seconds(), tokenSpan, priorWeight),
	}
}

// Step advances the ledger. The outcomes are valid until the next Step.
func (c *Core) Step(now time.Time, e Event) []Outcome {
	c.out = c.out[:0]
	switch e := e.(type) {
	case EngineChanged:
		c.engineChanged(now, e)
	case Reserve:
		c.reserve(now, e)
	case PrefillEnded:
		c.prefillEnded(now, e)
	case TransferEnded:
		c.transferEnded(now, e)
	case FirstToken:
		c.firstToken(now, e)
	case Release:
		c.release(now, e)
	case Reassign:
		c.reassign(now, e)
	case Park:
		c.park(now, e)
	case Load:
		c.load(now, e)
	case Expire:
		c.expire(now)
	}
	return c.out
}

// Find returns the grant of an attempt, or nil.
func (c *Core) Find(k Key) *Grant { return c.grants[k] }

// Len returns the number of grants.
func (c *Core) Len() int { return len(c.grants) }

func (c *Core) engineChanged(now time.Time, ev EngineChanged) {
	c.sweep()
	e, ok := c.engines[ev.ID]
	if !ok {
		if len(c.engines) >= maxEngines || !ev.Alive {
			return
		}
		e = &engine{id: ev.ID, areaAt: now, strictest: noTarget, pace: estimator.NewLine(c.pace.Base(), c.pace.Slope(), batchSpan, priorWeight)}
		c.engines[ev.ID] = e
		i, _ := slices.BinarySearchFunc(c.order, ev.ID, compareID)
		c.order = slices.Insert(c.order, i, e)
	}
	e.dataCentre, e.role = ev.DataCentre, ev.Role
	e.pieces, e.streams = ev.Pieces, ev.Streams
	e.open, e.alive = ev.Open, ev.Alive
	if !ev.Alive {
		c.strand(e)
	}
}

// sweep forgets dead engines that nothing refers to any more.
func (c *Core) sweep() {
	c.order = slices.DeleteFunc(c.order, func(e *engine) bool {
		over := !e.alive && len(e.grants) == 0 && len(e.queue) == 0
		if over {
			delete(c.engines, e.id)
		}
		return over
	})
}

func compareID(e *engine, id identifier.Upstream) int {
	switch {
	case e.id < id:
		return -1
	case e.id > id:
		return 1
	}
	return 0
}

// strand reports all grants that need a dead engine and forgets the engine.
func (c *Core) strand(e *engine) {
	for _, g := range c.byAge {
		switch {
		case g.Prefill == e.id && g.Stage != StageDecode:
			c.out = append(c.out, Stranded{Key: g.Key})
		case g.decode == e:
			c.out = append(c.out, Stranded{Key: g.Key, Decode: g.Stage != StageDecode})
		}
	}
	e.foreign = 0
}

func (c *Core) reserve(now time.Time, ev Reserve) {
	p, d := c.engines[ev.Prefill], c.engines[ev.Decode]
	if p == nil || d == nil {
		panic("granter: reservation on an unknown engine")
	}
	if c.grants[ev.Key] != nil {
		panic("granter: attempt reserved twice")
	}
	g := &Grant{
		Key: ev.Key, VM: ev.VM, Class: ev.Class, Prefill: ev.Prefill,
		Prompt: ev.Prompt, Pieces: ev.Pieces, MaxOutput: ev.MaxOutput,
		PerToken: ev.PerToken, Promised: ev.Promised, Cost: ev.Cost, prefill: p,
	}
	g.Started = ev.Reaches
	if idle := p.idleAt(now); idle.After(g.Started) {
		g.Started = idle
	}
	ends := g.Started.Add(g.Cost)
	c.book(g, d, ends, ev.Transfer)
	g.expires = g.transferEnds.Add(g.Cost + c.cfg.Grace)
	p.queue = append(p.queue, g)
	d.take(g, now)
	c.grants[g.Key] = g
	c.byAge = append(c.byAge, g)
}

// book lines a transfer up on the link of a decode engine.
func (c *Core) book(g *Grant, d *engine, from time.Time, took time.Duration) {
	g.queued = d.linkFree.After(from)
	if g.queued {
		from = d.linkFree
	}
	g.transferEnds = from.Add(took)
	d.linkFree = g.transferEnds
}

func (c *Core) prefillEnded(now time.Time, ev PrefillEnded) {
	g := c.grants[ev.Key]
	if g == nil || g.Stage != StagePrefill {
		return
	}
	c.leavePrefill(g, ev.At)
	g.PrefillEnded = ev.At
	g.expires = now.Add(c.cfg.ResultLives + c.cfg.Grace)
	if g.decode == nil {
		g.Stage = StageParked
		return
	}
	g.Stage = StageTransfer
	g.decode.drift.note(now, g.decode.onEngine())
}

func (c *Core) leavePrefill(g *Grant, at time.Time) {
	if g.prefill != nil {
		g.prefill.unqueue(g, at)
		g.prefill = nil
	}
}

func (c *Core) transferEnded(now time.Time, ev TransferEnded) {
	g := c.grants[ev.Key]
	if g == nil || g.Stage >= StageDecode || g.decode == nil {
		return
	}
	if ev.Took > 0 && !g.queued {
		x := float64(g.Prompt)
		c.errs.Transfer.Observe(c.transfer.At(x), ev.Took.Seconds())
		c.transfer.Observe(x, ev.Took.Seconds())
	}
	g.decode.stalls = 0
	c.startDecode(now, g)
}

func (c *Core) startDecode(now time.Time, g *Grant) {
	c.leavePrefill(g, now)
	d := g.decode
	d.advance(now)
	d.running++
	g.Stage = StageDecode
	g.Promised = false
	g.decoding = now
	g.areaAt = d.area
	longest := time.Duration(float64(g.MaxOutput) * 2 * d.paceAt(float64(d.streams)) * float64(time.Second))
	g.expires = now.Add(longest + c.cfg.Grace)
	d.drift.note(now, d.onEngine())
}

func (c *Core) firstToken(now time.Time, ev FirstToken) {
	g := c.grants[ev.Key]
	if g == nil || g.decode == nil {
		return
	}
	if g.Stage != StageDecode {
		c.startDecode(now, g)
		return
	}
	g.decode.advance(now)
	g.decoding = now
	g.areaAt = g.decode.area
}

func (c *Core) release(now time.Time, ev Release) {
	g := c.grants[ev.Key]
	if g == nil {
		return
	}
	if ev.Whole {
		c.learn(now, g, ev.Output)
	}
	c.drop(now, g)
}

// learn takes the pace and the length of a whole stream.
func (c *Core) learn(now time.Time, g *Grant, output identifier.Tokens) {
	l := c.Lengths(g.Class)
	c.errs.Output.Observe(l.Quantile(0.5), float64(output))
	l.Observe(float64(output))
	took := now.Sub(g.decoding).Seconds()
	if g.Stage != StageDecode || output < 2 || took <= 0 {
		return
	}
	g.decode.advance(now)
	batch := (g.decode.area - g.areaAt) / took
	pace := took / float64(output-1)
	c.errs.Pace.Observe(g.decode.paceAt(batch), pace)
	g.decode.pace.Observe(batch, pace)
	c.pace.Observe(batch, pace)
}

func (c *Core) drop(now time.Time, g *Grant) {
	c.leavePrefill(g, now)
	if g.decode != nil {
		g.decode.giveBack(g, now)
	}
	delete(c.grants, g.Key)
	i := slices.Index(c.byAge, g)
	c.byAge = slices.Delete(c.byAge, i, i+1)
}

func (c *Core) reassign(now time.Time, ev Reassign) {
	g, d := c.grants[ev.Key], c.engines[ev.Decode]
	if g == nil || d == nil || g.Stage == StageDecode {
		panic("granter: reassignment of an attempt without a live prefill result")
	}
	if g.decode != nil {
		g.decode.giveBack(g, now)
	}
	g.Moves++
	g.Promised = false
	from := now
	if g.Stage == StagePrefill {
		from = g.Started.Add(g.Cost)
	} else {
		g.Stage = StageTransfer
	}
	c.book(g, d, from, ev.Transfer)
	g.expires = g.transferEnds.Add(c.cfg.Grace)
	d.take(g, now)
}

func (c *Core) park(now time.Time, ev Park) {
	g := c.grants[ev.Key]
	if g == nil || g.Stage == StageDecode {
		return
	}
	if g.decode != nil {
		c.stalled(now, g, ev.Stalled)
		g.decode.giveBack(g, now)
	}
	if g.Stage == StageTransfer {
		g.Stage = StageParked
	}
}

// stalled pauses a link for a time that doubles with each stall in a row.
func (c *Core) stalled(now time.Time, g *Grant, stalled bool) {
	if !stalled {
		return
	}
	d := g.decode
	g.Avoid = append(g.Avoid, d.id)
	d.avoidUntil = now.Add(stallPause << min(d.stalls, maxStalls))
	d.stalls++
}
