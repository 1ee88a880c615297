package tracer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/identifier"
)

// The rate of arrivals over time: lowRateShare of the peak rate, a linear rise,
// the peak, a linear fall and lowRateShare again.
const (
	leadInDuration = 3 * time.Second
	riseDuration   = 2 * time.Second
	peakDuration   = 20 * time.Second
	fallDuration   = 2 * time.Second
	tailDuration   = 3 * time.Second
	lowRateShare   = 0.2
)

// The delays and intervals of both sites.
const (
	delayInside        = 250 * time.Microsecond
	delayBetween       = 4500 * time.Microsecond
	loadReportInterval = 100 * time.Millisecond
)

// defaultReturns is how often a refused caller sends its request again.
const defaultReturns = 2

// Plan specifies a trace to generate.
type Plan struct {
	Site     string
	Scenario string
	// Load is the work at the peak rate as a multiple of capacity, above 0 and up to
	// 100.
	Load float64
	Seed uint64
}

// Record generates a trace. Equal plans give equal traces.
func Record(plan Plan) (*Trace, error) {
	s, err := findSite(plan.Site)
	if err != nil {
		return nil, err
	}
	scenario, err := findScenario(plan.Scenario)
	if err != nil {
		return nil, err
	}
	if plan.Load <= 0 || plan.Load > 100 {
		return nil, errors.Errorf("load %g is out of range, allowed is above 0 up to 100", plan.Load)
	}
	prefills := newMix(&generator{site: s}).bestPrefillCount(s)
	if scenario.changeSite != nil {
		scenario.changeSite(&s)
	}
	gen := &generator{site: s, hot: scenario.hot}
	r := &recorder{
		plan:      plan,
		generator: gen,
		trace:     &Trace{Header: newHeader(plan, s, prefills, gen)},
	}
	r.fitArrivals()
	if scenario.changeTrace != nil {
		scenario.changeTrace(r)
	}
	return r.trace, nil
}

func newHeader(plan Plan, s site, prefills int, gen *generator) Header {
	start := time.Date(2026, time.December, 1, 8, 0, 0, 0, time.UTC)
	h := Header{
		Kind:         KindHeader,
		Time:         start,
		Site:         plan.Site,
		Scenario:     plan.Scenario,
		Seed:         plan.Seed,
		Load:         plan.Load,
		Prefer:       s.prefer,
		PeakFrom:     start.Add(leadInDuration + riseDuration),
		PeakTo:       start.Add(leadInDuration + riseDuration + peakDuration),
		Upstreams:    s.upstreams(prefills),
		VMs:          s.entryVMs(),
		DelayInside:  delayInside,
		DelayBetween: delayBetween,
		LoadEvery:    loadReportInterval,
		Returns:      defaultReturns,
	}
	h.Capacity = newMix(gen).capacity(h.Upstreams)
	for _, l := range s.workloads {
		h.Classes = append(h.Classes, l.Class)
	}
	return h
}

// recorder generates the lines of one trace.
type recorder struct {
	*generator
	plan  Plan
	rng   *rand.Rand
	trace *Trace
}

const (
	// offeredLoadTolerance is the relative error of the offered load at which
	// the search for the rate stops. One long prompt at the edge of the peak
	// can make the final error larger.
	offeredLoadTolerance = 0.005
	// maxRateRounds bounds the rounds of the search for the rate.
	maxRateRounds = 40
)

// fitArrivals draws a Poisson process and searches for the rate at which the work
// of the arrivals at the peak matches the planned load. The mean rate alone is
// not enough: a few long prompts more or less would change the load.
func (r *recorder) fitArrivals() {
	h := &r.trace.Header
	mix := newMix(r.generator)
	rate := h.Capacity.PerSecond * r.plan.Load
	bestError, bestRate := math.Inf(1), rate
	for range maxRateRounds {
		r.drawArrivals(rate)
		relativeError := mix.offeredLoad(r.atPeak(), peakDuration, h.Capacity, h.Upstreams)/r.plan.Load - 1
		if math.Abs(relativeError) < bestError {
			bestError, bestRate = math.Abs(relativeError), rate
		}
		if bestError < offeredLoadTolerance {
			break
		}
		rate /= 1 + relativeError/2
	}
	r.drawArrivals(bestRate)
	h.Offered = mix.offeredLoad(r.atPeak(), peakDuration, h.Capacity, h.Upstreams)
}

// drawArrivals draws the arrivals at a peak rate in requests per second. Each
// rate gives the same requests in the same order; only the times differ.
func (r *recorder) drawArrivals(rate float64) {
	r.rng = rand.New(rand.NewPCG(r.plan.Seed, xxhash.Sum64String(r.plan.Site+"/"+r.plan.Scenario)))
	gaps := rand.New(rand.NewPCG(r.plan.Seed, xxhash.Sum64String(r.plan.Scenario+"/"+r.plan.Site)))
	r.trace.Arrivals = nil
	const step = 100 * time.Microsecond
	next, passed := gaps.ExpFloat64(), 0.0
	for at := time.Duration(0); at < leadInDuration+riseDuration+peakDuration+fallDuration+tailDuration; at += step {
		passed += rateShare(at) * rate * step.Seconds()
		for ; next < passed; next += gaps.ExpFloat64() {
			r.addArrival(at + time.Duration(gaps.Int64N(int64(step))).Truncate(time.Microsecond))
		}
	}
	slices.SortStableFunc(r.trace.Arrivals, func(a, b Arrival) int { return a.Time.Compare(b.Time) })
}

func (r *recorder) addArrival(at time.Duration) {
	a := r.drawRequest(r.rng)
	a.Kind = KindArrival
	a.Time = r.trace.Header.Time.Add(at)
	a.Request = identifier.Request(fmt.Sprintf("request-%d", len(r.trace.Arrivals)+1))
	a.VM = r.trace.Header.VMs[r.rng.IntN(len(r.trace.Header.VMs))].ID
	r.trace.Arrivals = append(r.trace.Arrivals, a)
}

// atPeak returns the arrivals at the peak rate.
func (r *recorder) atPeak() []Arrival {
	var peak []Arrival
	for _, a := range r.trace.Arrivals {
		if !a.Time.Before(r.trace.Header.PeakFrom) && a.Time.Before(r.trace.Header.PeakTo) {
			peak = append(peak, a)
		}
	}
	return peak
}

// rateShare returns the rate at a time after the start as a share of the peak
// rate.
func rateShare(at time.Duration) float64 {
	switch {
	case at < leadInDuration:
		return lowRateShare
	case at < leadInDuration+riseDuration:
		return lowRateShare + (1-lowRateShare)*(at-leadInDuration).Seconds()/riseDuration.Seconds()
	case at < leadInDuration+riseDuration+peakDuration:
		return 1
	case at < leadInDuration+riseDuration+peakDuration+fallDuration:
		return 1 - (1-lowRateShare)*(at-leadInDuration-riseDuration-peakDuration).Seconds()/fallDuration.Seconds()
	default:
		return lowRateShare
	}
}

// generator draws requests of a site's workloads.
type generator struct {
	site site
	hot  hotPrefix
}

// workspacePrefixTokens is the length of the instructions that each workspace
// puts before its prompts. Shorter prompts have no shared prefix.
const workspacePrefixTokens identifier.Tokens = 256

func (g *generator) drawRequest(rng *rand.Rand) Arrival {
	l := g.drawWorkload(rng)
	a := Arrival{
		Class:     l.Name,
		Model:     g.site.model,
		Prompt:    l.prompt.draw(rng),
		Output:    l.output.draw(rng),
		MaxOutput: l.maxOutput,
	}
	workspace := g.drawWorkspace(rng)
	a.Workspace = identifier.Workspace(fmt.Sprintf("workspace-%d", workspace+1))
	a.Chain = uint64(workspace) + 1
	a.Shared = workspacePrefixTokens
	if g.hot.share > 0 && rng.Float64() < g.hot.share {
		a.Chain = 0
		a.Shared = g.hot.tokens
		a.Prompt = min(a.Prompt, l.prompt.max) + g.hot.tokens
	}
	if a.Shared > a.Prompt {
		a.Shared = 0
	}
	return a
}

// drawWorkload draws one of the site's workloads by its share.
func (g *generator) drawWorkload(rng *rand.Rand) workload {
	x := rng.Float64()
	for _, l := range g.site.workloads {
		x -= l.share
		if x < 0 {
			return l
		}
	}
	return g.site.workloads[len(g.site.workloads)-1]
}

// drawWorkspace draws the index of a workspace; low indexes are more frequent.
func (g *generator) drawWorkspace(rng *rand.Rand) int {
	u := rng.Float64()
	return int(u * u * float64(g.site.workspaces))
}

// addCancels makes a share of the callers abandon their requests, at a time
// uniformly distributed over the estimated time of the answer.
func (r *recorder) addCancels(share float64) {
	for _, a := range r.trace.Arrivals {
		if r.rng.Float64() >= share {
			continue
		}
		stay := time.Duration(r.rng.Float64() * float64(estimateAnswerTime(a)))
		r.trace.Cancels = append(r.trace.Cancels, Cancel{
			Kind: KindCancel, Time: a.Time.Add(stay.Truncate(time.Microsecond)), Request: a.Request,
		})
	}
	slices.SortStableFunc(r.trace.Cancels, func(a, b Cancel) int { return a.Time.Compare(b.Time) })
}

// estimateAnswerTime estimates how long a caller waits for the whole answer.
func estimateAnswerTime(a Arrival) time.Duration {
	const step = 36 * time.Millisecond
	return 500*time.Millisecond + time.Duration(a.Output)*step
}
