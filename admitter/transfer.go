package admitter

import (
	"slices"
	"time"

	"github.com/figtrack/figtrack/granter"
	"github.com/figtrack/figtrack/identifier"
)

type grant = granter.Grant

const (
	// A transfer counts as stalled after stallFactor times its predicted time
	// plus stallSlack.
	stallFactor = 3
	stallSlack  = 60 * time.Millisecond
)

func (c *Core) transferTimeout(queue, predicted time.Duration) time.Duration {
	return min(max(0, queue)+stallFactor*predicted+stallSlack, c.cfg.ResultLives)
}

func (p *pending) excludes(id identifier.Upstream) bool {
	return slices.Contains(p.Excluded, id)
}

// transferFailed gives the decode memory back. moveParked then looks for
// another engine.
func (c *Core) transferFailed(now time.Time, e TransferFailed) {
	if _, ok := c.active[e.Key]; !ok {
		return
	}
	decode := c.granter.Find(granter.Key(e.Key)).Decode()
	c.stepLedger(now, granter.Park{Key: granter.Key(e.Key), Stalled: !e.Full})
	if !e.Full {
		c.reassignFrom(now, decode)
	}
}

// reassignFrom moves the prefills in progress that were to transfer over a
// stalled link to other decode engines, as far as those have memory.
func (c *Core) reassignFrom(now time.Time, decode identifier.Upstream) {
	for _, g := range c.granter.PrefillingFor(decode) {
		c.moveResult(now, g)
	}
}

// moveParked moves parked prefill results to decode engines with free memory,
// oldest first. It abandons those that expire too soon or were moved too often.
func (c *Core) moveParked(now time.Time) {
	if c.granter.Parked() == 0 {
		return
	}
	var expired, movable []*grant
	c.granter.EachParked(func(g *grant) bool {
		if !c.canStillTransfer(now, g) || g.Moves > granter.MaxMoves {
			expired = append(expired, g)
		} else {
			movable = append(movable, g)
		}
		return true
	})
	for _, g := range expired {
		c.abandon(now, Key(g.Key), ReasonTargetOutOfReach)
	}
	for _, g := range movable {
		c.moveResult(now, g)
	}
}

// canStillTransfer reports whether a prefill result lives long enough for
// another transfer.
func (c *Core) canStillTransfer(now time.Time, g *grant) bool {
	minTransfer := c.granter.TransferTime(g.Prompt, "", "") + 2*c.cfg.CrossDelay
	return now.Add(minTransfer).Before(g.PrefillEnded.Add(c.cfg.ResultLives))
}

// moveResult assigns a prefill result to a decode engine with free memory, if
// there is one.
func (c *Core) moveResult(now time.Time, g *grant) {
	a := c.active[Key(g.Key)]
	d, ok := c.findDecodeWithRoom(now, a, g)
	if !ok {
		return
	}
	c.stepLedger(now, granter.Reassign{Key: g.Key, Decode: d.ID, Transfer: d.Transfer})
	c.emit(Move{
		Key: a.Key, To: a.From, Decode: d.ID, Pieces: g.Pieces,
		TransferWithin: c.transferTimeout(d.LinkFree.Sub(now), d.Transfer),
	})
}

func (c *Core) findDecodeWithRoom(now time.Time, a *activeAttempt, g *grant) (placerDecode, bool) {
	b := &c.buf
	b.engines = c.granter.Engines(now, identifier.RoleDecode, b.engines[:0])
	b.decodes = b.decodes[:0]
	for _, e := range b.engines {
		if slices.Contains(g.Avoid, e.ID) {
			continue
		}
		b.decodes = append(b.decodes, placerDecode{
			Engine: e, Pace: c.granter.PaceOn(e.ID, e.Streams+1),
			Transfer: c.granter.TransferTime(g.Prompt, g.Prefill, e.ID),
		})
	}
	hasRoom := func(d *placerDecode) bool { return d.Free >= g.Pieces && d.FreeStreams > 0 }
	i, _ := c.placer.Decode(a.placerRequest(), now, b.decodes, hasRoom)
	if i < 0 {
		return placerDecode{}, false
	}
	return b.decodes[i], true
}

// abandon ends an attempt whose prefill result can't be used any more.
func (c *Core) abandon(now time.Time, k Key, reason Reason) {
	a, ok := c.active[k]
	if !ok {
		return
	}
	c.release(now, k)
	c.emit(Abandon{Key: k, To: a.From, Reason: reason})
}

// settleStranded handles attempts whose engine is gone. If only the decode
// engine is gone, another one is assigned; otherwise the attempt is abandoned.
func (c *Core) settleStranded(now time.Time) {
	stranded := c.buf.stranded
	c.buf.stranded = nil
	for _, s := range stranded {
		if s.Decode && c.replaceDecode(now, s) {
			continue
		}
		c.abandon(now, Key(s.Key), ReasonNoUpstream)
	}
}

// replaceDecode takes a dead decode engine away from an attempt. During the
// prefill it assigns another at once, if one has memory; after the prefill
// moveParked does so.
func (c *Core) replaceDecode(now time.Time, s granter.Stranded) bool {
	g := c.granter.Find(s.Key)
	if g == nil {
		return false
	}
	c.stepLedger(now, granter.Park{Key: s.Key})
	if g.Stage == granter.StagePrefill {
		c.moveResult(now, g)
	}
	return true
}
