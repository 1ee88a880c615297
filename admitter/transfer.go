package admitter

import (
	"slices"
	"time"

	"github.com/figtrack/figtrack/granter"
	"github.com/figtrack/figtrack/identifier"
)

type grant = granter.Grant

const (
	// stallFactor times the predicted transfer, plus stallSlack, is when a
	// transfer counts as stalled.
	stallFactor = 3
	stallSlack  = 60 * time.Millisecond
)

func (c *Core) transferWithin(queue, predicted time.Duration) time.Duration {
	return min(max(0, queue)+stallFactor*predicted+stallSlack, c.cfg.ResultLives)
}

func (p *pending) excludes(id identifier.Upstream) bool {
	return slices.Contains(p.Excluded, id)
}

// transferFailed takes the decode memory back; rescue looks for another.
func (c *Core) transferFailed(now time.Time, e TransferFailed) {
	if _, ok := c.active[e.Key]; !ok {
		return
	}
	decode := c.granter.Find(granter.Key(e.Key)).Decode()
	c.ledger(now, granter.Park{Key: granter.Key(e.Key), Stalled: !e.Full})
	if !e.Full {
		c.avoid(now, decode)
	}
}

// avoid names other decode engines for the prefills whose results were to go
// over a stalled link, as far as others have memory.
func (c *Core) avoid(now time.Time, decode identifier.Upstream) {
	for _, g := range c.granter.Bound(decode) {
		c.move(now, g)
	}
}

// rescue moves parked prefill results to decode engines with memory, oldest
// first, and abandons those whose life is over.
func (c *Core) rescue(now time.Time) {
	if c.granter.Parked() == 0 {
		return
	}
	var over, moved []*grant
	c.granter.EachParked(func(g *grant) bool {
		if !c.livesOn(now, g) || g.Moves > granter.MaxMoves {
			over = append(over, g)
		} else {
			moved = append(moved, g)
		}
		return true
	})
	for _, g := range over {
		c.abandon(now, Key(g.Key), ReasonTargetOutOfReach)
	}
	for _, g := range moved {
		c.move(now, g)
	}
}

// livesOn says whether a prefill result can still be transferred.
func (c *Core) livesOn(now time.Time, g *grant) bool {
	least := c.granter.Transfer(g.Prompt, "", "") + 2*c.cfg.CrossDelay
	return now.Add(least).Before(g.PrefillEnded.Add(c.cfg.ResultLives))
}

// move sends a prefill result to a decode engine with free memory, if any.
func (c *Core) move(now time.Time, g *grant) {
	a := c.active[Key(g.Key)]
	d, ok := c.moveTarget(now, a, g)
	if !ok {
		return
	}
	c.ledger(now, granter.Reassign{Key: g.Key, Decode: d.ID, Transfer: d.Transfer})
	c.emit(Move{
		Key: a.Key, To: a.From, Decode: d.ID, Pieces: g.Pieces,
		TransferWithin: c.transferWithin(d.LinkFree.Sub(now), d.Transfer),
	})
}

func (c *Core) moveTarget(now time.Time, a *active, g *grant) (placerDecode, bool) {
	b := &c.buf
	b.engines = c.granter.Engines(now, identifier.RoleDecode, b.engines[:0])
	b.decodes = b.decodes[:0]
	for _, e := range b.engines {
		if slices.Contains(g.Avoid, e.ID) {
			continue
		}
		b.decodes = append(b.decodes, placerDecode{
			Engine: e, Pace: c.granter.PaceOn(e.ID, e.Streams+1),
			Transfer: c.granter.Transfer(g.Prompt, g.Prefill, e.ID),
		})
	}
	held := func(d *placerDecode) bool { return d.Free >= g.Pieces && d.Room > 0 }
	i, _ := c.placer.Decode(a.request(), now, b.decodes, held)
	if i < 0 {
		return placerDecode{}, false
	}
	return b.decodes[i], true
}

// abandon ends an attempt whose prefill result is lost.
func (c *Core) abandon(now time.Time, k Key, reason Reason) {
	a, ok := c.active[k]
	if !ok {
		return
	}
	c.release(now, k)
	c.emit(Abandon{Key: k, To: a.From, Reason: reason})
}

// unstrand settles the attempts whose engine is gone. A prefill that goes on
// gets another decode engine.
func (c *Core) unstrand(now time.Time) {
	stranded := c.buf.stranded
	c.buf.stranded = nil
	for _, s := range stranded {
		if s.Decode && c.redirect(now, s) {
			continue
		}
		c.abandon(now, Key(s.Key), ReasonNoUpstream)
	}
}

// redirect takes a dead decode engine away from an attempt. After the end of
// the prefill rescue finds another; before it, one is named at once.
func (c *Core) redirect(now time.Time, s granter.Stranded) bool {
	g := c.granter.Find(s.Key)
	if g == nil {
		return false
	}
	c.ledger(now, granter.Park{Key: s.Key})
	if g.Stage == granter.StagePrefill {
		c.move(now, g)
	}
	return true
}
