package admitter

import (
	"math"
	"time"

	"github.com/figtrack/figtrack/identifier"
)

const (
	// safeWaste and likelyWaste are the most prefill time that a promise may
	// be expected to waste: the time of the prefill times the probability that
	// its memory does not come.
	safeWaste   = 15 * time.Millisecond
	likelyWaste = 35 * time.Millisecond
	// leastChance is the least probability of the memory of any promise.
	leastChance = 0.9
	// promiseShare is the share of a prefill result's life in which promised
	// memory may still come.
	promiseShare = 0.0
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
	if c.granter.Parked() > 0 || !c.promising(now, p, ends) {
		return -1, false, 0
	}
	i, after := c.bestPromise(now, p, ends)
	return i, true, after
}

// promising says whether some decode engine is expected to free enough
// memory by the time that a prefill ends, beside what is promised already.
// A request needs all its pieces on one engine.
func (c *Core) promising(now time.Time, p *pending, ends time.Time) bool {
	by := ends.Add(c.slackOfPromise())
	none := 1.0
	for i := range c.buf.decodes {
		d := &c.buf.decodes[i]
		if d.Paused || p.excludes(d.ID) {
			continue
		}
		f := c.granter.FreedBy(now, by, d.ID)
		none *= 1 - chance(float64(d.Free)+f.Pieces-float64(p.pieces), f.Variance)
	}
	return 1-none >= c.needed(p.cost)
}

// chance is the probability that a normal value with a mean and a variance
// is not below zero.
func chance(mean, variance float64) float64 {
	if variance <= 0 {
		variance = 1e-9
	}
	return 0.5 * math.Erfc(-mean/math.Sqrt(2*variance))
}

// needed is the least probability of memory for a prefill of some cost.
func (c *Core) needed(cost time.Duration) float64 {
	waste := likelyWaste
	if c.cfg.Prefer == PreferWastedPrefill {
		waste = safeWaste
	}
	return max(leastChance, 1-waste.Seconds()/max(cost.Seconds(), 1e-6))
}

func (c *Core) slackOfPromise() time.Duration {
	return time.Duration(promiseShare * float64(c.cfg.ResultLives))
}

// earmark keeps memory for the parked prefill results until they can be
// moved there.
func (c *Core) earmark(now time.Time) {
	c.granter.EachParked(func(g *grant) bool {
		c.claim(now, g.Pieces, c.lifeEnds(g))
		return true
	})
}

// claim takes memory for this step on the decode engine that is expected to
// have most room at a time. It returns false if no memory is left to others.
func (c *Core) claim(now time.Time, pieces identifier.Pieces, by time.Time) bool {
	b := &c.buf
	best, most, left := -1, math.Inf(-1), 0
	for i := range b.decodes {
		d := &b.decodes[i]
		if d.Paused {
			continue
		}
		if d.Free > 0 && d.Room > 0 {
			left++
		}
		room := float64(d.Free) + c.granter.FreedBy(now, by, d.ID).Pieces
		if d.Pieces >= pieces && room > most {
			best, most = i, room
		}
	}
	if best < 0 {
		return left > 0
	}
	d := &b.decodes[best]
	if d.Free > 0 && d.Room > 0 {
		left--
	}
	d.Free -= pieces
	d.Room--
	return left > 0
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
