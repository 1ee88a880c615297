package tracer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/faker"
	"github.com/figtrack/figtrack/identifier"
)

// Sites are the names of the sites that Record knows.
var Sites = []string{"himal", "tafelbaai"}

// site is a deployment at its size of today.
type site struct {
	name        string
	runner      string
	runners     int
	dataCentres []identifier.DataCentre
	vms         int
	prefer      admitter.Prefer
	model       identifier.Model
	workspaces  int
	loads       []load
	// scales, if any, multiply the costs of the runners in turn.
	scales []float64
}

// load is one class of work with its share of the requests.
type load struct {
	admitter.Class
	share  float64
	prompt spread
	output spread
	// maxOutput is what callers of the class ask for at most.
	maxOutput identifier.Tokens
}

// spread is a log-normal distribution of lengths with bounds.
type spread struct {
	median   float64
	sigma    float64
	min, max identifier.Tokens
}

func (s spread) draw(rng *rand.Rand) identifier.Tokens {
	n := identifier.Tokens(s.median * math.Exp(s.sigma*rng.NormFloat64()))
	return min(max(n, s.min), s.max)
}

func findSite(name string) (site, error) {
	switch name {
	case "himal":
		return himal(), nil
	case "tafelbaai":
		return tafelbaai(), nil
	}
	return site{}, errors.Errorf("unknown site %q, allowed are %v", name, Sites)
}

func himal() site {
	return site{
		name:        "himal",
		runner:      "spec-desk",
		runners:     9,
		dataCentres: []identifier.DataCentre{"thamel-room", "lalitpur-room", "bhaktapur-room"},
		vms:         7,
		prefer:      admitter.PreferWastedPrefill,
		model:       "kit-spec",
		workspaces:  40,
		loads: []load{
			quick("LoadNote", 0.75, 400, 90),
			reading("SpecReading", 0.25, 6000, 150),
		},
	}
}

func tafelbaai() site {
	return site{
		name:        "tafelbaai",
		runner:      "boat-scribe",
		runners:     12,
		dataCentres: []identifier.DataCentre{"saldanha", "hout-bay", "table-bay"},
		vms:         7,
		prefer:      admitter.PreferGoodput,
		model:       "hull-notes",
		workspaces:  120,
		loads: []load{
			quick("PaperCheck", 0.6, 300, 70),
			price("PriceNote", 0.2, 2000, 120),
			reading("ListingSummary", 0.2, 7000, 180),
		},
	}
}

func quick(name identifier.Class, share, prompt, output float64) load {
	return load{
		Class:     admitter.Class{Name: name, FirstToken: 380 * time.Millisecond, PerToken: 43 * time.Millisecond},
		share:     share,
		prompt:    spread{median: prompt, sigma: 0.8, min: 30, max: 6000},
		output:    spread{median: output, sigma: 0.5, min: 4, max: 256},
		maxOutput: 256,
	}
}

func price(name identifier.Class, share, prompt, output float64) load {
	return load{
		Class:     admitter.Class{Name: name, FirstToken: time.Second, PerToken: 50 * time.Millisecond},
		share:     share,
		prompt:    spread{median: prompt, sigma: 0.5, min: 200, max: 8000},
		output:    spread{median: output, sigma: 0.4, min: 10, max: 384},
		maxOutput: 384,
	}
}

func reading(name identifier.Class, share, prompt, output float64) load {
	return load{
		Class: admitter.Class{
			Name: name, FirstToken: 2500 * time.Millisecond, PerToken: 60 * time.Millisecond,
			Patience: 20 * time.Second,
		},
		share:     share,
		prompt:    spread{median: prompt, sigma: 0.6, min: 1000, max: 40_000},
		output:    spread{median: output, sigma: 0.4, min: 20, max: 512},
		maxOutput: 512,
	}
}

// upstreams builds the runners, of which the first prefills are prefill
// engines, spread over the data centres.
func (s site) upstreams(prefills int) []Upstream {
	upstreams := make([]Upstream, s.runners)
	for i := range upstreams {
		role := identifier.RoleDecode
		if i < prefills {
			role = identifier.RolePrefill
		}
		engine := faker.DefaultEngine(role)
		engine.ID = identifier.Upstream(fmt.Sprintf("%s-%d", s.runner, i+1))
		engine.Jitter = 0.02
		engine.CacheLoss = 0.01
		if len(s.scales) > 0 {
			scale(&engine, s.scales[i%len(s.scales)])
		}
		upstreams[i] = Upstream{DataCentre: s.dataCentres[i%len(s.dataCentres)], EngineSettings: engine}
	}
	return upstreams
}

// scale multiplies the costs of an engine.
func scale(engine *faker.EngineSettings, by float64) {
	for _, cost := range []*time.Duration{
		&engine.PrefillBase, &engine.PrefillPerToken, &engine.StepBase, &engine.StepPerStream,
	} {
		*cost = time.Duration(float64(*cost) * by)
	}
}

// shortestPace is the shortest PerToken target of the site's classes.
func (s site) shortestPace() time.Duration {
	shortest := s.loads[0].PerToken
	for _, l := range s.loads {
		shortest = min(shortest, l.PerToken)
	}
	return shortest
}

func (s site) entryVMs() []VM {
	vms := make([]VM, s.vms)
	for i := range vms {
		vms[i] = VM{
			ID:         identifier.VM(fmt.Sprintf("vm-%d", i+1)),
			DataCentre: s.dataCentres[i%len(s.dataCentres)],
		}
	}
	return vms
}
