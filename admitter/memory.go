package admitter

import (
	"math"
	"time"

	"github.com/figtrack/figtrack/identifier"
)

const (
	// safeDeviations and likelyDeviations are the standard deviations taken
	// off the memory that is expected to become free.
	safeDeviations   = 2
	likelyDeviations = 0.5
	// promiseShare is the share of a prefill result's life in which promised
	// memory may still come.
	promiseShare = 0.25
)

// decodeFor chooses a decode engine for a prefill that ends at a time. It
// returns -1 if no memory is there, and whether it is only promised.
func (c *Core) decodeFor(now time.Time, p *pending, prefill identifier.Upstream, ends time.Time) (int, bool, time.Duration) {
	b := &c.buf
	for i := range b.decodes {
		b.decodes[i].Transfer = c.granter.Transfer(p.Prompt, prefill, b.decodes[i].ID)
	}
	held := func(d *placerDecode) bool { return d.Free >= p.pieces && d.Room > 0 }
	if i, after := c.placer.Decode(p.request(), ends, b.decodes, held); i >= 0 {
		return i, false, after
	}
	if !c.promising(now, p, ends) {
		return -1, false, 0
	}
	i, after := c.bestPromise(now, p, ends)
	return i, true, after
}

// promising says whether the pool is expected to free enough memory by the
// time that a prefill ends, beside what is promised already.
func (c *Core) promising(now time.Time, p *pending, ends time.Time) bool {
	b := &c.buf
	mean, variance := 0.0, 0.0
	by := ends.Add(c.slackOfPromise())
	for i := range b.decodes {
		d := &b.decodes[i]
		f := c.granter.FreedBy(now, by, d.ID)
		mean += f.Pieces + float64(min(d.Free, 0))
		variance += f.Variance
	}
	c.granter.EachParked(func(g *grant) bool {
		mean -= float64(g.Pieces)
		return true
	})
	return mean-c.deviations()*math.Sqrt(variance) >= float64(p.pieces)
}

func (c *Core) deviations() float64 {
	if c.cfg.Prefer == PreferWastedPrefill {
		return safeDeviations
	}
	return likelyDeviations
}

func (c *Core) slackOfPromise() time.Duration {
	return time.Duration(promiseShare * float64(c.cfg.ResultLives))
}

// bestPromise returns the decode engine expected to have most room.
func (c *Core) bestPromise(now time.Time, p *pending, ends time.Time) (int, time.Duration) {
	b := &c.buf
	best, most := -1, math.Inf(-1)
	for i := range b.decodes {
		d := &b.decodes[i]
		f := c.granter.FreedBy(now, ends, d.ID)
		room := float64(d.Free) + f.Pieces
		if d.Paused || d.Pieces < p.pieces || p.excludes(d.ID) || float64(d.Room)+f.Streams < 1 {
			continue
		}
		if room > most {
			best, most = i, room
		}
	}
	if best < 0 {
		return -1, 0
	}
	d := &b.decodes[best]
	return best, max(0, d.LinkFree.Sub(ends)) + d.Transfer + firstSteps(d.Pace)
}
