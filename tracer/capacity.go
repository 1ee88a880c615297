package tracer

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// capacityFormula says how Capacity is worked out.
const capacityFormula = "PerSecond = min(Prefill, Memory, Streams); each is a sum over engines; " +
	"Prefill = 1 / E[PrefillBase + uncached x PrefillPerToken]; " +
	"Memory = Pieces / E[pieces x hold]; Streams = streams / E[hold]; " +
	"uncached = prompt - shared prefix; pieces = those of prompt + MaxOutput; " +
	"hold = prompt / LinkTokensPerSecond + (Output + 1/2) x step; " +
	"step = StepBase + StepPerStream x min(streams, Pieces x E[hold] / E[pieces x hold]); " +
	"streams = min(Streams, those at which step is the shortest PerToken target)"

// capacitySamples is how many requests the mean lengths are taken from.
const capacitySamples = 20_000

// mix holds the mean lengths of a mix of requests.
type mix struct {
	uncached, prompt, output float64
	// pieces is the memory for the prompt and MaxOutput; the others are
	// products with it.
	piecesPrompt, piecesOutput float64
	// pace is the shortest PerToken target.
	pace time.Duration
}

// newMix takes the mean lengths of the requests that gen draws.
func newMix(gen *generator) mix {
	rng := rand.New(rand.NewPCG(capacitySamples, 1))
	m := mix{pace: gen.site.shortestPace()}
	for range capacitySamples {
		a := gen.draw(rng)
		pieces := float64(identifier.PiecesFor(a.Prompt + a.MaxOutput))
		output := float64(a.Output) + 0.5
		m.uncached += float64(a.Prompt-a.SharedBlocks()) / capacitySamples
		m.prompt += float64(a.Prompt) / capacitySamples
		m.output += output / capacitySamples
		m.piecesPrompt += pieces * float64(a.Prompt) / capacitySamples
		m.piecesOutput += pieces * output / capacitySamples
	}
	return m
}

// capacity returns what upstreams carry.
func (m mix) capacity(upstreams []Upstream) Capacity {
	c := Capacity{Formula: capacityFormula}
	for _, u := range upstreams {
		if u.Role == identifier.RolePrefill {
			c.Prefill += 1 / (u.PrefillBase.Seconds() + m.uncached*u.PrefillPerToken.Seconds())
			continue
		}
		streams := min(float64(u.Streams), float64(m.pace-u.StepBase)/float64(u.StepPerStream))
		hold, heldPieces := m.holds(u, m.running(u, streams))
		c.Memory += float64(u.Pieces) / heldPieces
		c.Streams += streams / hold
	}
	c.PerSecond = min(c.Prefill, c.Memory, c.Streams)
	return c
}

// running returns how many streams a full decode engine runs at once.
func (m mix) running(u Upstream, streams float64) float64 {
	hold, heldPieces := m.holds(u, streams)
	return min(streams, float64(u.Pieces)*hold/heldPieces)
}

// offered returns the work that arrivals bring within a time as a multiple of
// what upstreams of a capacity carry.
func (m mix) offered(arrivals []Arrival, within time.Duration, c Capacity, upstreams []Upstream) float64 {
	pre := upstreams[slices.IndexFunc(upstreams, func(u Upstream) bool { return u.Role == identifier.RolePrefill })]
	dec := upstreams[slices.IndexFunc(upstreams, func(u Upstream) bool { return u.Role == identifier.RoleDecode })]
	streams := m.running(dec, float64(dec.Streams))
	step := dec.StepBase.Seconds() + dec.StepPerStream.Seconds()*streams
	var prefills, holds, held float64
	for _, a := range arrivals {
		hold := float64(a.Prompt)/dec.LinkTokensPerSecond + (float64(a.Output)+0.5)*step
		prefills += pre.PrefillBase.Seconds() + float64(a.Prompt-a.SharedBlocks())*pre.PrefillPerToken.Seconds()
		holds += hold
		held += hold * float64(identifier.PiecesFor(a.Prompt+a.MaxOutput))
	}
	meanPrefill := pre.PrefillBase.Seconds() + m.uncached*pre.PrefillPerToken.Seconds()
	meanHold, meanHeld := m.holds(dec, streams)
	return max(
		prefills/meanPrefill/c.Prefill,
		holds/meanHold/c.Streams,
		held/meanHeld/c.Memory,
	) / within.Seconds()
}

// holds returns the mean seconds and piece-seconds that a request holds on a
// decode engine.
func (m mix) holds(u Upstream, streams float64) (hold, heldPieces float64) {
	step := u.StepBase.Seconds() + u.StepPerStream.Seconds()*streams
	hold = m.prompt/u.LinkTokensPerSecond + m.output*step
	heldPieces = m.piecesPrompt/u.LinkTokensPerSecond + m.piecesOutput*step
	return hold, heldPieces
}

// split returns how many of a site's runners prefill at the highest capacity.
func (m mix) split(s site) int {
	best, prefills := 0.0, 1
	for n := 1; n < s.runners; n++ {
		c := m.capacity(s.upstreams(n)).PerSecond
		if c > best {
			best, prefills = c, n
		}
	}
	return prefills
}
