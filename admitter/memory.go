package admitter

import (
	"math"
	"time"

	"github.com/figtrack/figtrack/identifier"
)

const (
	// strictMaxWaste and relaxedMaxWaste limit the expected waste of a prefill
	// that starts on promised memory: its time multiplied by the probability
	// that the memory does not become free in time.
	strictMaxWaste  = 15 * time.Millisecond
	relaxedMaxWaste = 35 * time.Millisecond
	// minPromiseProbability is the lowest acceptable probability that promised
	// memory becomes free in time.
	minPromiseProbability = 0.9
	// promiseLifeShare is the share of the life of a prefill result during which
	// promised memory may still become free.
	promiseLifeShare = 0.0
)

// chooseDecode chooses a decode engine for a prefill that ends at a given time.
// It returns the engine's index or -1, whether its memory is only promised, and
// the time from the end of the prefill to the first token without message
// delays.
func (c *Core) chooseDecode(now time.Time, p *pending, prefill identifier.Upstream, prefillEnds time.Time) (int, bool, time.Duration) {
	b := &c.buf
	for i := range b.decodes {
		b.decodes[i].Transfer = c.granter.TransferTime(p.Prompt, prefill, b.decodes[i].ID)
	}
	hasRoom := func(d *placerDecode) bool { return d.Free >= p.pieces && d.FreeStreams > 0 }
	if i, untilFirstToken := c.placer.Decode(p.placerRequest(), prefillEnds, b.decodes, hasRoom); i >= 0 {
		return i, false, untilFirstToken
	}
	if c.granter.Parked() > 0 || !c.expectsMemory(now, p, prefillEnds) {
		return -1, false, 0
	}
	i, after := c.roomiestDecode(now, p, prefillEnds)
	return i, true, after
}

// expectsMemory reports whether a decode engine is likely to have enough free
// memory by the end of a prefill, beyond what is already promised. All pieces
// of a request must be on one engine.
func (c *Core) expectsMemory(now time.Time, p *pending, prefillEnds time.Time) bool {
	by := prefillEnds.Add(c.promiseSlack())
	noneFrees := 1.0
	for i := range c.buf.decodes {
		d := &c.buf.decodes[i]
		if d.Paused || p.excludes(d.ID) {
			continue
		}
		f := c.granter.PredictFreed(now, by, d.ID)
		noneFrees *= 1 - probabilityNonNegative(float64(d.Free)+f.Pieces-float64(p.pieces), f.Variance)
	}
	return 1-noneFrees >= c.minMemoryProbability(p.prefillCost)
}

// probabilityNonNegative returns the probability that a normally distributed
// value is at least zero.
func probabilityNonNegative(mean, variance float64) float64 {
	if variance <= 0 {
		variance = 1e-9
	}
	return 0.5 * math.Erfc(-mean/math.Sqrt(2*variance))
}

// minMemoryProbability returns the probability of free memory that is required
// to start a prefill of the given cost.
func (c *Core) minMemoryProbability(cost time.Duration) float64 {
	waste := relaxedMaxWaste
	if c.cfg.Prefer == PreferWastedPrefill {
		waste = strictMaxWaste
	}
	return max(minPromiseProbability, 1-waste.Seconds()/max(cost.Seconds(), 1e-6))
}

func (c *Core) promiseSlack() time.Duration {
	return time.Duration(promiseLifeShare * float64(c.cfg.ResultLives))
}

// setAsideForParked sets aside memory for the parked prefill results until they
// can be moved.
func (c *Core) setAsideForParked(now time.Time) {
	c.granter.EachParked(func(g *grant) bool {
		c.setAsideMemory(now, g.Pieces, c.parkedGiveUpAt(g))
		return true
	})
}

// setAsideMemory sets aside memory for the rest of this step on the decode
// engine that is expected to have the most free memory by a given time. It
// returns false if no engine has room left for other requests.
func (c *Core) setAsideMemory(now time.Time, pieces identifier.Pieces, by time.Time) bool {
	b := &c.buf
	best, mostRoom, withRoom := -1, math.Inf(-1), 0
	for i := range b.decodes {
		d := &b.decodes[i]
		if d.Paused {
			continue
		}
		if d.Free > 0 && d.FreeStreams > 0 {
			withRoom++
		}
		room := float64(d.Free) + c.granter.PredictFreed(now, by, d.ID).Pieces
		if d.Pieces >= pieces && room > mostRoom {
			best, mostRoom = i, room
		}
	}
	if best < 0 {
		return withRoom > 0
	}
	d := &b.decodes[best]
	if d.Free > 0 && d.FreeStreams > 0 {
		withRoom--
	}
	d.Free -= pieces
	d.FreeStreams--
	return withRoom > 0
}

// roomiestDecode returns the index of the decode engine that is expected to
// have the most free memory, or -1, and the time from the end of the prefill to
// the first token.
func (c *Core) roomiestDecode(now time.Time, p *pending, prefillEnds time.Time) (int, time.Duration) {
	b := &c.buf
	best, mostRoom := -1, math.Inf(-1)
	for i := range b.decodes {
		d := &b.decodes[i]
		f := c.granter.PredictFreed(now, prefillEnds, d.ID)
		room := float64(d.Free) + f.Pieces
		if d.Paused || d.Pieces < p.pieces || p.excludes(d.ID) || float64(d.FreeStreams)+f.Streams < 1 {
			continue
		}
		if room > mostRoom {
			best, mostRoom = i, room
		}
	}
	if best < 0 {
		return -1, 0
	}
	d := &b.decodes[best]
	return best, max(0, d.LinkFree.Sub(prefillEnds)) + d.Transfer + decodeToFirstToken(d.Pace)
}
