package admitter

import (
	"math"
	"time"

	"github.com/figtrack/figtrack/identifier"
)

const (
	// demandHalfLife is the half-life of the weight of past arrivals.
	demandHalfLife = 2 * time.Second
	// lateHoldback is how long late requests are held back after a request
	// missed its target for lack of capacity.
	lateHoldback = time.Second
)

// demand is the recent arrival rate of work, with exponential decay.
type demand struct {
	// memoryRate is in piece-seconds per second.
	memoryRate float64
	updated    time.Time
	// lastMiss is when a request last missed its target for lack of capacity.
	lastMiss time.Time
}

func (d *demand) decay(now time.Time) {
	if now.After(d.updated) {
		d.memoryRate *= math.Exp2(-now.Sub(d.updated).Seconds() / demandHalfLife.Seconds())
		d.updated = now
	}
}

// add counts the decode memory use of one request, in piece-seconds.
func (d *demand) add(now time.Time, memory float64) {
	d.decay(now)
	d.memoryRate += memory * math.Ln2 / demandHalfLife.Seconds()
}

// decodeHoldTime returns the predicted time for which a request occupies decode
// memory.
func (c *Core) decodeHoldTime(p *pending) time.Duration {
	tokens := min(c.granter.Lengths(p.Class).Mean(), float64(p.MaxOutput))
	return time.Duration(tokens * float64(c.granter.Pace(typicalBatchSize)))
}

func (c *Core) countDemand(now time.Time, p *pending) {
	p.pieceSeconds = float64(p.pieces) * c.decodeHoldTime(p).Seconds()
	c.demand.add(now, p.pieceSeconds)
}

// subtract removes the demand of a request that will be served late.
func (d *demand) subtract(now time.Time, memory float64) {
	d.add(now, -memory)
	d.memoryRate = max(0, d.memoryRate)
}

// hasMemoryForLate reports whether the predicted demand of new requests leaves
// enough decode memory for one more late request.
func (c *Core) hasMemoryForLate(now time.Time, p *pending) bool {
	if now.Sub(c.demand.lastMiss) < lateHoldback {
		return false
	}
	c.demand.decay(now)
	var lateMemory, totalMemory identifier.Pieces
	for i := range c.buf.decodes {
		totalMemory += c.buf.decodes[i].Pieces
	}
	lateMemory = c.latePieces + p.pieces
	return float64(lateMemory) <= max(0, float64(totalMemory)-c.demand.memoryRate)
}
