package admitter

import (
	"math"
	"time"

	"github.com/figtrack/figtrack/identifier"
)

const (
	// demandHalfLife is the time in which seen demand counts half.
	demandHalfLife = 2 * time.Second
	// strainTime is how long after a request missed its target for want of
	// capacity late requests are held back.
	strainTime = time.Second
)

// demand is the faded rate of the work that arrives.
type demand struct {
	// memory is in piece seconds a second.
	memory float64
	at     time.Time
	// strained is when a request last missed its target.
	strained time.Time
}

func (d *demand) fade(now time.Time) {
	if now.After(d.at) {
		d.memory *= math.Exp2(-now.Sub(d.at).Seconds() / demandHalfLife.Seconds())
		d.at = now
	}
}

// arrive counts one request's use of memory in piece seconds.
func (d *demand) arrive(now time.Time, memory float64) {
	d.fade(now)
	d.memory += memory * math.Ln2 / demandHalfLife.Seconds()
}

// hold is the predicted time for which a request has decode memory.
func (c *Core) hold(p *pending) time.Duration {
	tokens := min(c.granter.Lengths(p.Class).Mean(), float64(p.MaxOutput))
	return time.Duration(tokens * float64(c.granter.Pace(typicalBatch)))
}

func (c *Core) countDemand(now time.Time, p *pending) {
	p.memory = float64(p.pieces) * c.hold(p).Seconds()
	c.demand.arrive(now, p.memory)
}

// leave takes out what a request adds that is to be served late.
func (d *demand) leave(now time.Time, memory float64) {
	d.arrive(now, -memory)
	d.memory = max(0, d.memory)
}

// spare says whether the memory that arriving work leaves free is enough for
// one more late request.
func (c *Core) spare(now time.Time, p *pending) bool {
	if now.Sub(c.demand.strained) < strainTime {
		return false
	}
	c.demand.fade(now)
	var held, whole identifier.Pieces
	for i := range c.buf.decodes {
		whole += c.buf.decodes[i].Pieces
	}
	held = c.latePieces + p.pieces
	return float64(held) <= max(0, float64(whole)-c.demand.memory)
}
