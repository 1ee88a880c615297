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

// Sites are the names of the sites that Record accepts.
var Sites = []string{"himal", "tafelbaai"}

// site describes a deployment at its present size.
type site struct {
	name        string
	runner      string
	runners     int
	dataCentres []identifier.DataCentre
	vms         int
	prefer      admitter.Prefer
	model       identifier.Model
	workspaces  int
	workloads   []workload
	// costFactors multiply the costs of the runners, repeating after the last
	// factor. If empty, all runners have the default costs.
	costFactors []float64
}

// workload is the requests of one class and their share of all requests.
type workload struct {
	admitter.Class
	share  float64
	prompt lengthDistribution
	output lengthDistribution
	// maxOutput is the MaxOutput of every request of the class.
	maxOutput identifier.Tokens
}

// lengthDistribution is a log-normal distribution of lengths in tokens, limited
// to min and max.
type lengthDistribution struct {
	median   float64
	sigma    float64
	min, max identifier.Tokens
}

func (s lengthDistribution) draw(rng *rand.Rand) identifier.Tokens {
	n := identifier.Tokens(s.median * math.Exp(s.sigma*rng.NormFloat64()))
	return min(max(n, s.min), s.max)
}

func findSite(name string) (site, error) {
	switch name {
	case "himal":
		return himalSite(), nil
	case "tafelbaai":
		return tafelbaaiSite(), nil
	}
	return site{}, errors.Errorf("unknown site %q, allowed are %v", name, Sites)
}

func himalSite() site {
	return site{
		name:        "himal",
		runner:      "spec-desk",
		runners:     9,
		dataCentres: []identifier.DataCentre{"thamel-room", "lalitpur-room", "bhaktapur-room"},
		vms:         7,
		prefer:      admitter.PreferWastedPrefill,
		model:       "kit-spec",
		workspaces:  40,
		workloads: []workload{
			quickWorkload("LoadNote", 0.75, 400, 90),
			readingWorkload("SpecReading", 0.25, 6000, 150),
		},
	}
}

func tafelbaaiSite() site {
	return site{
		name:        "tafelbaai",
		runner:      "boat-scribe",
		runners:     12,
		dataCentres: []identifier.DataCentre{"saldanha", "hout-bay", "table-bay"},
		vms:         7,
		prefer:      admitter.PreferGoodput,
		model:       "hull-notes",
		workspaces:  120,
		workloads: []workload{
			quickWorkload("PaperCheck", 0.6, 300, 70),
			pricingWorkload("PriceNote", 0.2, 2000, 120),
			readingWorkload("ListingSummary", 0.2, 7000, 180),
		},
	}
}

func quickWorkload(name identifier.Class, share, prompt, output float64) workload {
	return workload{
		Class:     admitter.Class{Name: name, FirstToken: 380 * time.Millisecond, PerToken: 43 * time.Millisecond},
		share:     share,
		prompt:    lengthDistribution{median: prompt, sigma: 0.8, min: 30, max: 6000},
		output:    lengthDistribution{median: output, sigma: 0.5, min: 4, max: 256},
		maxOutput: 256,
	}
}

func pricingWorkload(name identifier.Class, share, prompt, output float64) workload {
	return workload{
		Class:     admitter.Class{Name: name, FirstToken: time.Second, PerToken: 50 * time.Millisecond},
		share:     share,
		prompt:    lengthDistribution{median: prompt, sigma: 0.5, min: 200, max: 8000},
		output:    lengthDistribution{median: output, sigma: 0.4, min: 10, max: 384},
		maxOutput: 384,
	}
}

func readingWorkload(name identifier.Class, share, prompt, output float64) workload {
	return workload{
		Class: admitter.Class{
			Name: name, FirstToken: 2500 * time.Millisecond, PerToken: 60 * time.Millisecond,
			Patience: 20 * time.Second,
		},
		share:     share,
		prompt:    lengthDistribution{median: prompt, sigma: 0.6, min: 1000, max: 40_000},
		output:    lengthDistribution{median: output, sigma: 0.4, min: 20, max: 512},
		maxOutput: 512,
	}
}

// upstreams builds the runners, spread over the data centres. The first prefills
// of them are prefill engines, the others are decode engines.
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
		if len(s.costFactors) > 0 {
			scaleCosts(&engine, s.costFactors[i%len(s.costFactors)])
		}
		upstreams[i] = Upstream{DataCentre: s.dataCentres[i%len(s.dataCentres)], EngineSettings: engine}
	}
	return upstreams
}

// scaleCosts multiplies the prefill and step costs of an engine by a factor.
func scaleCosts(engine *faker.EngineSettings, factor float64) {
	for _, cost := range []*time.Duration{
		&engine.PrefillBase, &engine.PrefillPerToken, &engine.StepBase, &engine.StepPerStream,
	} {
		*cost = time.Duration(float64(*cost) * factor)
	}
}

// minPerTokenTarget returns the shortest PerToken target of the site's classes.
func (s site) minPerTokenTarget() time.Duration {
	shortest := s.workloads[0].PerToken
	for _, l := range s.workloads {
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
