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
	// enginesByID holds the values of engines, sorted by ID.
	enginesByID []*engine
	grants      map[Key]*Grant
	// grantsByAge holds the values of grants in the order of their reservation.
	grantsByAge []*Grant
	// lengths are the learned output lengths of at most maxClasses classes.
	lengths map[identifier.Class]*estimator.Lengths
	// pace is the learned pace over all engines by batch size, in seconds; each
	// engine also has its own. It is the prior of an engine that joins.
	pace *estimator.Line
	// transfer is the learned time of a transfer by prompt length, in seconds.
	transfer   *estimator.Line
	deviations Deviations
	out        []Outcome
}

// Deviations are the errors of the learned estimates.
type Deviations struct {
	// Pace is in seconds per token, Transfer in seconds, Output in tokens.
	Pace, Transfer, Output estimator.Deviation
}

// New returns an empty ledger.
func New(cfg Settings) *Core {
	return &Core{
		cfg:      cfg,
		engines:  map[identifier.Upstream]*engine{},
		grants:   map[Key]*Grant{},
		lengths:  map[identifier.Class]*estimator.Lengths{},
		pace:     estimator.NewLine(cfg.StepBase.Seconds(), cfg.StepPerStream.Seconds(), priorBatchSpan, priorWeight),
		transfer: estimator.NewLine(cfg.TransferBase.Seconds(), cfg.TransferPerToken.Seconds(), priorTokenSpan, priorWeight),
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
		c.correctDrift(now, e)
	case Expire:
		c.expireSilent(now)
	}
	return c.out
}

// Find returns the grant of an attempt, or nil.
func (c *Core) Find(k Key) *Grant { return c.grants[k] }

// Len returns the number of grants.
func (c *Core) Len() int { return len(c.grants) }

func (c *Core) engineChanged(now time.Time, ev EngineChanged) {
	c.removeDeadEngines()
	e, ok := c.engines[ev.ID]
	if !ok {
		if len(c.engines) >= maxEngines || !ev.Alive {
			return
		}
		e = &engine{id: ev.ID, streamSecondsUntil: now, strictestPace: noPaceTarget, pace: estimator.NewLine(c.pace.Base(), c.pace.Slope(), priorBatchSpan, priorWeight)}
		c.engines[ev.ID] = e
		i, _ := slices.BinarySearchFunc(c.enginesByID, ev.ID, compareID)
		c.enginesByID = slices.Insert(c.enginesByID, i, e)
	}
	e.dataCentre, e.role = ev.DataCentre, ev.Role
	e.pieces, e.streams = ev.Pieces, ev.Streams
	e.open, e.alive = ev.Open, ev.Alive
	if !ev.Alive {
		c.reportStranded(e)
	}
}

// removeDeadEngines removes dead engines that no grant refers to.
func (c *Core) removeDeadEngines() {
	c.enginesByID = slices.DeleteFunc(c.enginesByID, func(e *engine) bool {
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

// reportStranded reports all grants that need a dead engine. The engine itself is
// removed once no grant refers to it.
func (c *Core) reportStranded(e *engine) {
	for _, g := range c.grantsByAge {
		switch {
		case g.Prefill == e.id && g.Stage != StageDecode:
			c.out = append(c.out, Stranded{Key: g.Key})
		case g.decode == e:
			c.out = append(c.out, Stranded{Key: g.Key, Decode: g.Stage != StageDecode})
		}
	}
	e.usedByOthers = 0
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
	g.Started = ev.ArrivesAt
	if idle := p.idleAt(now); idle.After(g.Started) {
		g.Started = idle
	}
	ends := g.Started.Add(g.Cost)
	c.bookTransfer(g, d, ends, ev.Transfer)
	g.expires = g.transferEnds.Add(g.Cost + c.cfg.Grace)
	p.queue = append(p.queue, g)
	d.reserve(g, now)
	c.grants[g.Key] = g
	c.grantsByAge = append(c.grantsByAge, g)
}

// bookTransfer schedules a transfer on the link of a decode engine, behind those
// booked before.
func (c *Core) bookTransfer(g *Grant, d *engine, from time.Time, took time.Duration) {
	g.transferQueued = d.linkFree.After(from)
	if g.transferQueued {
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
	c.dequeuePrefill(g, ev.At)
	g.PrefillEnded = ev.At
	g.expires = now.Add(c.cfg.ResultLives + c.cfg.Grace)
	if g.decode == nil {
		g.Stage = StageParked
		return
	}
	g.Stage = StageTransfer
	g.decode.drift.record(now, g.decode.expectedUse())
}

// dequeuePrefill removes a grant from its prefill queue, if it is still there.
func (c *Core) dequeuePrefill(g *Grant, at time.Time) {
	if g.prefill != nil {
		g.prefill.dequeue(g, at)
		g.prefill = nil
	}
}

func (c *Core) transferEnded(now time.Time, ev TransferEnded) {
	g := c.grants[ev.Key]
	if g == nil || g.Stage >= StageDecode || g.decode == nil {
		return
	}
	if ev.Took > 0 && !g.transferQueued {
		x := float64(g.Prompt)
		c.deviations.Transfer.Observe(c.transfer.At(x), ev.Took.Seconds())
		c.transfer.Observe(x, ev.Took.Seconds())
	}
	g.decode.stalls = 0
	c.startDecode(now, g)
}

// startDecode enters StageDecode. The stream expires after twice the time of its
// longest output at the engine's full batch size, plus the grace.
func (c *Core) startDecode(now time.Time, g *Grant) {
	c.dequeuePrefill(g, now)
	d := g.decode
	d.updateStreamSeconds(now)
	d.running++
	g.Stage = StageDecode
	g.Promised = false
	g.decodeStart = now
	g.startStreamSeconds = d.streamSeconds
	longest := time.Duration(float64(g.MaxOutput) * 2 * d.paceSecondsAt(float64(d.streams)) * float64(time.Second))
	g.expires = now.Add(longest + c.cfg.Grace)
	d.drift.record(now, d.expectedUse())
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
	g.decode.updateStreamSeconds(now)
	g.decodeStart = now
	g.startStreamSeconds = g.decode.streamSeconds
}

func (c *Core) release(now time.Time, ev Release) {
	g := c.grants[ev.Key]
	if g == nil {
		return
	}
	if ev.Completed {
		c.updateEstimates(now, g, ev.Output)
	}
	c.removeGrant(now, g)
}

// updateEstimates learns from the pace and the length of a completed stream.
func (c *Core) updateEstimates(now time.Time, g *Grant, output identifier.Tokens) {
	l := c.Lengths(g.Class)
	c.deviations.Output.Observe(l.Quantile(0.5), float64(output))
	l.Observe(float64(output))
	took := now.Sub(g.decodeStart).Seconds()
	if g.Stage != StageDecode || output < 2 || took <= 0 {
		return
	}
	g.decode.updateStreamSeconds(now)
	batch := (g.decode.streamSeconds - g.startStreamSeconds) / took
	pace := took / float64(output-1)
	c.deviations.Pace.Observe(g.decode.paceSecondsAt(batch), pace)
	g.decode.pace.Observe(batch, pace)
	c.pace.Observe(batch, pace)
}

// removeGrant removes a grant and frees what it has booked.
func (c *Core) removeGrant(now time.Time, g *Grant) {
	c.dequeuePrefill(g, now)
	if g.decode != nil {
		g.decode.release(g, now)
	}
	delete(c.grants, g.Key)
	i := slices.Index(c.grantsByAge, g)
	c.grantsByAge = slices.Delete(c.grantsByAge, i, i+1)
}

func (c *Core) reassign(now time.Time, ev Reassign) {
	g, d := c.grants[ev.Key], c.engines[ev.Decode]
	if g == nil || d == nil || g.Stage == StageDecode {
		panic("granter: reassignment of an attempt without a live prefill result")
	}
	if g.decode != nil {
		g.decode.release(g, now)
	}
	g.Moves++
	g.Promised = false
	from := now
	if g.Stage == StagePrefill {
		from = g.Started.Add(g.Cost)
	} else {
		g.Stage = StageTransfer
	}
	c.bookTransfer(g, d, from, ev.Transfer)
	g.expires = g.transferEnds.Add(c.cfg.Grace)
	d.reserve(g, now)
}

func (c *Core) park(now time.Time, ev Park) {
	g := c.grants[ev.Key]
	if g == nil || g.Stage == StageDecode {
		return
	}
	if g.decode != nil {
		c.pauseStalledLink(now, g, ev.Stalled)
		g.decode.release(g, now)
	}
	if g.Stage == StageTransfer {
		g.Stage = StageParked
	}
}

// pauseStalledLink pauses the link of a grant's decode engine if the transfer
// stalled. The pause doubles with consecutive stalls, up to maxPauseDoublings
// times.
func (c *Core) pauseStalledLink(now time.Time, g *Grant, stalled bool) {
	if !stalled {
		return
	}
	d := g.decode
	g.Avoid = append(g.Avoid, d.id)
	d.avoidUntil = now.Add(firstStallPause << min(d.stalls, maxPauseDoublings))
	d.stalls++
}
