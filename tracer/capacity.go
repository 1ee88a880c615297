package tracer

import (
	"math/rand/v2"
	"time"

	"github.com/figtrack/figtrack/faker"
	"github.com/figtrack/figtrack/identifier"
)

// capacityFormula says how Capacity is worked out.
const capacityFormula = "PerSecond = min(Prefill, Memory, Streams); " +
	"Prefill = prefill engines / E[PrefillBase + uncached x PrefillPerToken]; " +
	"Memory = decode engines x Pieces / E[pieces x hold]; " +
	"Streams = decode engines x Streams / E[hold]; " +
	"uncached = prompt - shared prefix; pieces = those of prompt + MaxOutput; " +
	"hold = (prompt / LinkTokensPerSecond) + (Output + 1/2) x step; " +
	"step = StepBase + StepPerStream x min(Streams, Pieces x E[hold] / E[pieces x hold])"

// capacitySamples is how many requests the mean costs are taken from.
const capacitySamples = 20_000

// meanCost is what one request costs on average.
type meanCost struct {
	// prefill is in seconds of a prefill engine.
	prefill float64
	// hold is in seconds of a decode stream, heldPieces in piece-seconds.
	hold, heldPieces float64
}

// mix is the mean cost of a mix of requests on the engines of a site.
type mix struct {
	prefill, decode faker.EngineSettings
	cost            meanCost
}

// newMix takes the costs of the requests that draw makes.
func newMix(draw func(*rand.Rand) Arrival) mix {
	m := mix{
		prefill: faker.DefaultEngine(identifier.RolePrefill),
		decode:  faker.DefaultEngine(identifier.RoleDecode),
	}
	most := float64(m.decode.Streams)
	m.cost = meanOf(m.prefill, m.decode, most, draw)
	streams := min(most, float64(m.decode.Pieces)*m.cost.hold/m.cost.heldPieces)
	m.cost = meanOf(m.prefill, m.decode, streams, draw)
	return m
}

// capacity returns what a number of prefill and decode engines carry.
func (m mix) capacity(prefills, decodes int) Capacity {
	c := Capacity{
		Prefill: float64(prefills) / m.cost.prefill,
		Memory:  float64(decodes) * float64(m.decode.Pieces) / m.cost.heldPieces,
		Streams: float64(decodes) * float64(m.decode.Streams) / m.cost.hold,
		Formula: capacityFormula,
	}
	c.PerSecond = min(c.Prefill, c.Memory, c.Streams)
	return c
}

// split returns how many of the runners prefill at the highest capacity.
func (m mix) split(runners int) int {
	best, prefills := 0.0, 1
	for n := 1; n < runners; n++ {
		c := m.capacity(n, runners-n).PerSecond
		if c > best {
			best, prefills = c, n
		}
	}
	return prefills
}

func meanOf(pre, dec faker.EngineSettings, streams float64, draw func(*rand.Rand) Arrival) meanCost {
	step := dec.StepBase.Seconds() + dec.StepPerStream.Seconds()*streams
	rng := rand.New(rand.NewPCG(capacitySamples, 1))
	var sum meanCost
	for range capacitySamples {
		a := draw(rng)
		uncached := a.Prompt - a.SharedBlocks()
		sum.prefill += (pre.PrefillBase + time.Duration(uncached)*pre.PrefillPerToken).Seconds()
		hold := float64(a.Prompt)/dec.LinkTokensPerSecond + (float64(a.Output)+0.5)*step
		sum.hold += hold
		sum.heldPieces += hold * float64(identifier.PiecesFor(a.Prompt+a.MaxOutput))
	}
	sum.prefill /= capacitySamples
	sum.hold /= capacitySamples
	sum.heldPieces /= capacitySamples
	return sum
}
