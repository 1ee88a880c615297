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

// The shape of a trace: the rate is lowRate of the peak, rises to it within
// rise, holds and falls again.
const (
	lead    = 3 * time.Second
	rise    = 2 * time.Second
	hold    = 20 * time.Second
	fall    = 2 * time.Second
	tail    = 3 * time.Second
	lowRate = 0.2
)

// The delays and intervals of both sites.
const (
	delayInside  = 250 * time.Microsecond
	delayBetween = 4500 * time.Microsecond
	loadEvery    = 100 * time.Millisecond
)

// defaultReturns is how often a refused caller comes again.
const defaultReturns = 2

// Plan says which trace to record.
type Plan struct {
	Site     string
	Scenario string
	// Load is the peak rate as a multiple of capacity, above 0.
	Load float64
	Seed uint64
}

// Record makes a trace. The same plan gives the same trace.
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
	prefills := newMix(&generator{site: s}).split(s)
	if scenario.change != nil {
		scenario.change(&s)
	}
	gen := &generator{site: s, hot: scenario.hot}
	r := &recorder{
		plan:      plan,
		generator: gen,
		trace:     &Trace{Header: newHeader(plan, s, prefills, gen)},
	}
	r.arrivals()
	if scenario.finish != nil {
		scenario.finish(r)
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
		PeakFrom:     start.Add(lead + rise),
		PeakTo:       start.Add(lead + rise + hold),
		Upstreams:    s.upstreams(prefills),
		VMs:          s.entryVMs(),
		DelayInside:  delayInside,
		DelayBetween: delayBetween,
		LoadEvery:    loadEvery,
		Returns:      defaultReturns,
	}
	h.Capacity = newMix(gen).capacity(h.Upstreams)
	for _, l := range s.loads {
		h.Classes = append(h.Classes, l.Class)
	}
	return h
}

// recorder adds the lines of one trace.
type recorder struct {
	*generator
	plan  Plan
	rng   *rand.Rand
	trace *Trace
}

const (
	// offeredWithin is how near the offered work is meant to come to the asked
	// load. One long prompt at the edge of the time can make it miss more.
	offeredWithin = 0.005
	// maxRounds bounds the search for the rate.
	maxRounds = 40
)

// arrivals draws a Poisson process whose rate has the shape of the trace. The
// rate is set so that the work at the full rate is what the plan asks for: a
// few long prompts more or less would make another load of it.
func (r *recorder) arrivals() {
	h := &r.trace.Header
	mix := newMix(r.generator)
	rate := h.Capacity.PerSecond * r.plan.Load
	best, bestRate := math.Inf(1), rate
	for range maxRounds {
		r.drawAll(rate)
		miss := mix.offered(r.atPeak(), hold, h.Capacity, h.Upstreams)/r.plan.Load - 1
		if math.Abs(miss) < best {
			best, bestRate = math.Abs(miss), rate
		}
		if best < offeredWithin {
			break
		}
		rate /= 1 + miss/2
	}
	r.drawAll(bestRate)
	h.Offered = mix.offered(r.atPeak(), hold, h.Capacity, h.Upstreams)
}

// drawAll draws the arrivals at a rate. The requests and their order are the
// same at each rate, only the times differ.
func (r *recorder) drawAll(rate float64) {
	r.rng = rand.New(rand.NewPCG(r.plan.Seed, xxhash.Sum64String(r.plan.Site+"/"+r.plan.Scenario)))
	gaps := rand.New(rand.NewPCG(r.plan.Seed, xxhash.Sum64String(r.plan.Scenario+"/"+r.plan.Site)))
	r.trace.Arrivals = nil
	const step = 100 * time.Microsecond
	next, passed := gaps.ExpFloat64(), 0.0
	for at := time.Duration(0); at < lead+rise+hold+fall+tail; at += step {
		passed += shape(at) * rate * step.Seconds()
		for ; next < passed; next += gaps.ExpFloat64() {
			r.arrive(at + time.Duration(gaps.Int64N(int64(step))).Truncate(time.Microsecond))
		}
	}
	slices.SortStableFunc(r.trace.Arrivals, func(a, b Arrival) int { return a.Time.Compare(b.Time) })
}

func (r *recorder) arrive(at time.Duration) {
	a := r.draw(r.rng)
	a.Kind = KindArrival
	a.Time = r.trace.Header.Time.Add(at)
	a.Request = identifier.Request(fmt.Sprintf("request-%d", len(r.trace.Arrivals)+1))
	a.VM = r.trace.Header.VMs[r.rng.IntN(len(r.trace.Header.VMs))].ID
	r.trace.Arrivals = append(r.trace.Arrivals, a)
}

// atPeak returns the arrivals at the full rate.
func (r *recorder) atPeak() []Arrival {
	var peak []Arrival
	for _, a := range r.trace.Arrivals {
		if !a.Time.Before(r.trace.Header.PeakFrom) && a.Time.Before(r.trace.Header.PeakTo) {
			peak = append(peak, a)
		}
	}
	return peak
}

// shape returns the rate at a time as a share of the peak.
func shape(at time.Duration) float64 {
	switch {
	case at < lead:
		return lowRate
	case at < lead+rise:
		return lowRate + (1-lowRate)*(at-lead).Seconds()/rise.Seconds()
	case at < lead+rise+hold:
		return 1
	case at < lead+rise+hold+fall:
		return 1 - (1-lowRate)*(at-lead-rise-hold).Seconds()/fall.Seconds()
	default:
		return lowRate
	}
}

// generator draws requests of a site's mix.
type generator struct {
	site site
	hot  hotPrefix
}

// workspacePrefix is the length of the instructions that each workspace puts
// before its prompts, if the prompt is longer.
const workspacePrefix identifier.Tokens = 256

func (g *generator) draw(rng *rand.Rand) Arrival {
	l := g.pick(rng)
	a := Arrival{
		Class:     l.Name,
		Model:     g.site.model,
		Prompt:    l.prompt.draw(rng),
		Output:    l.output.draw(rng),
		MaxOutput: l.maxOutput,
	}
	workspace := g.workspace(rng)
	a.Workspace = identifier.Workspace(fmt.Sprintf("workspace-%d", workspace+1))
	a.Chain = uint64(workspace) + 1
	a.Shared = workspacePrefix
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

func (g *generator) pick(rng *rand.Rand) load {
	x := rng.Float64()
	for _, l := range g.site.loads {
		x -= l.share
		if x < 0 {
			return l
		}
	}
	return g.site.loads[len(g.site.loads)-1]
}

// workspace draws a workspace; low numbers come more often.
func (g *generator) workspace(rng *rand.Rand) int {
	u := rng.Float64()
	return int(u * u * float64(g.site.workspaces))
}

// cancels makes a share of the callers go away at a time spread evenly over
// the time that an answer takes.
func (r *recorder) cancels(share float64) {
	for _, a := range r.trace.Arrivals {
		if r.rng.Float64() >= share {
			continue
		}
		stay := time.Duration(r.rng.Float64() * float64(answerTime(a)))
		r.trace.Cancels = append(r.trace.Cancels, Cancel{
			Kind: KindCancel, Time: a.Time.Add(stay.Truncate(time.Microsecond)), Request: a.Request,
		})
	}
	slices.SortStableFunc(r.trace.Cancels, func(a, b Cancel) int { return a.Time.Compare(b.Time) })
}

// answerTime is about how long a caller waits for the whole answer.
func answerTime(a Arrival) time.Duration {
	const step = 36 * time.Millisecond
	return 500*time.Millisecond + time.Duration(a.Output)*step
}
