package tracer

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// capacityFormula documents the computation of Capacity in a trace's Header.
const capacityFormula = "PerSecond = min(Prefill, Memory, Streams); each is a sum over engines; " +
	"Prefill = 1 / E[PrefillBase + uncached x PrefillPerToken]; " +
	"Memory = Pieces / E[pieces x hold]; Streams = streams / E[hold]; " +
	"uncached = prompt - shared prefix; pieces = those of prompt + MaxOutput; " +
	"hold = prompt / LinkTokensPerSecond + (Output + 1/2) x step; " +
	"step = StepBase + StepPerStream x min(streams, Pieces x E[hold] / E[pieces x hold]); " +
	"streams = min(Streams, those at which step is the shortest PerToken target)"

// capacitySamples is how many drawn requests the mean lengths are computed
// from.
const capacitySamples = 20_000

// mix holds the means over the requests that a generator draws. Lengths are in
// tokens.
type mix struct {
	// uncached is the part of the prompt outside the shared prefix.
	uncached, prompt, output float64
	// piecesTimesPrompt and piecesTimesOutput are the means of the pieces
	// for the prompt and MaxOutput, multiplied by each length.
	piecesTimesPrompt, piecesTimesOutput float64
	// perTokenTarget is the shortest PerToken target of the classes.
	perTokenTarget time.Duration
}

// newMix computes the means over capacitySamples requests drawn from gen.
func newMix(gen *generator) mix {
	rng := rand.New(rand.NewPCG(capacitySamples, 1))
	m := mix{perTokenTarget: gen.site.minPerTokenTarget()}
	for range capacitySamples {
		a := gen.drawRequest(rng)
		pieces := float64(identifier.PiecesFor(a.Prompt + a.MaxOutput))
		output := float64(a.Output) + 0.5
		m.uncached += float64(a.Prompt-a.SharedBlockTokens()) / capacitySamples
		m.prompt += float64(a.Prompt) / capacitySamples
		m.output += output / capacitySamples
		m.piecesTimesPrompt += pieces * float64(a.Prompt) / capacitySamples
		m.piecesTimesOutput += pieces * output / capacitySamples
	}
	return m
}

// capacity returns the rate of requests that upstreams can serve.
func (m mix) capacity(upstreams []Upstream) Capacity {
	c := Capacity{Formula: capacityFormula}
	for _, u := range upstreams {
		if u.Role == identifier.RolePrefill {
			c.Prefill += 1 / (u.PrefillBase.Seconds() + m.uncached*u.PrefillPerToken.Seconds())
			continue
		}
		streams := min(float64(u.Streams), float64(m.perTokenTarget-u.StepBase)/float64(u.StepPerStream))
		hold, pieceSeconds := m.holdTimes(u, m.runningStreams(u, streams))
		c.Memory += float64(u.Pieces) / pieceSeconds
		c.Streams += streams / hold
	}
	c.PerSecond = min(c.Prefill, c.Memory, c.Streams)
	return c
}

// runningStreams returns how many streams a decode engine runs at once when its
// memory is full, at most the given number.
func (m mix) runningStreams(u Upstream, streams float64) float64 {
	hold, pieceSeconds := m.holdTimes(u, streams)
	return min(streams, float64(u.Pieces)*hold/pieceSeconds)
}

// offeredLoad returns the rate of work that arrivals bring within a time, as a
// multiple of the capacity c of upstreams.
func (m mix) offeredLoad(arrivals []Arrival, within time.Duration, c Capacity, upstreams []Upstream) float64 {
	pre := upstreams[slices.IndexFunc(upstreams, func(u Upstream) bool { return u.Role == identifier.RolePrefill })]
	dec := upstreams[slices.IndexFunc(upstreams, func(u Upstream) bool { return u.Role == identifier.RoleDecode })]
	streams := m.runningStreams(dec, float64(dec.Streams))
	step := dec.StepBase.Seconds() + dec.StepPerStream.Seconds()*streams
	var prefills, holds, held float64
	for _, a := range arrivals {
		hold := float64(a.Prompt)/dec.LinkTokensPerSecond + (float64(a.Output)+0.5)*step
		prefills += pre.PrefillBase.Seconds() + float64(a.Prompt-a.SharedBlockTokens())*pre.PrefillPerToken.Seconds()
		holds += hold
		held += hold * float64(identifier.PiecesFor(a.Prompt+a.MaxOutput))
	}
	meanPrefill := pre.PrefillBase.Seconds() + m.uncached*pre.PrefillPerToken.Seconds()
	meanHold, meanHeld := m.holdTimes(dec, streams)
	return max(
		prefills/meanPrefill/c.Prefill,
		holds/meanHold/c.Streams,
		held/meanHeld/c.Memory,
	) / within.Seconds()
}

// holdTimes returns the mean time in seconds and the mean piece-seconds for which
// a request occupies a decode engine that runs the given number of streams.
func (m mix) holdTimes(u Upstream, streams float64) (hold, pieceSeconds float64) {
	step := u.StepBase.Seconds() + u.StepPerStream.Seconds()*streams
	hold = m.prompt/u.LinkTokensPerSecond + m.output*step
	pieceSeconds = m.piecesTimesPrompt/u.LinkTokensPerSecond + m.piecesTimesOutput*step
	return hold, pieceSeconds
}

// bestPrefillCount returns how many of a site's runners must be prefill engines
// for the highest capacity.
func (m mix) bestPrefillCount(s site) int {
	best, prefills := 0.0, 1
	for n := 1; n < s.runners; n++ {
		c := m.capacity(s.upstreams(n)).PerSecond
		if c > best {
			best, prefills = c, n
		}
	}
	return prefills
}
