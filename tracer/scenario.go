package tracer

import (
	"time"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/identifier"
)

// Scenarios are the names of the scenarios that Record accepts.
var Scenarios = []string{"surge", "hot-prefix", "mixed", "death", "stall", "cancel", "uneven", "links"}

// scenario changes a site before a trace is generated, and the trace afterwards.
type scenario struct {
	hot hotPrefix
	// changeSite and changeTrace are nil if the scenario changes nothing there.
	changeSite  func(*site)
	changeTrace func(*recorder)
}

// hotPrefix puts the same long prefix before a share of the prompts.
type hotPrefix struct {
	share  float64
	tokens identifier.Tokens
}

func findScenario(name string) (scenario, error) {
	switch name {
	case "surge":
		return scenario{}, nil
	case "hot-prefix":
		return scenario{hot: hotPrefix{share: 0.8, tokens: 3072}}, nil
	case "mixed":
		return scenario{changeSite: setMixedWorkloads}, nil
	case "uneven":
		return scenario{changeSite: setUnevenCosts}, nil
	case "links":
		return scenario{changeTrace: degradeLinks}, nil
	case "death":
		return scenario{changeTrace: addRunnerDeath}, nil
	case "stall":
		return scenario{changeTrace: addTransferStalls}, nil
	case "cancel":
		return scenario{changeTrace: func(r *recorder) { r.addCancels(0.2) }}, nil
	}
	return scenario{}, errors.Errorf("unknown scenario %q, allowed are %v", name, Scenarios)
}

// setMixedWorkloads makes the prompts of the last workload longer and raises its
// share of the requests to 0.4.
func setMixedWorkloads(s *site) {
	last := len(s.workloads) - 1
	for i := range s.workloads {
		s.workloads[i].share *= 0.6 / (1 - s.workloads[last].share)
	}
	s.workloads[last].share = 0.4
	s.workloads[last].prompt = lengthDistribution{median: 10_000, sigma: 0.7, min: 1000, max: 60_000}
}

// setUnevenCosts gives the runners different speeds, so that no two runners of a
// role cost the same and the slowest can't run all its streams within the shortest
// PerToken target.
func setUnevenCosts(s *site) {
	s.costFactors = []float64{1.25, 0.85, 1.1, 0.95, 1.2, 0.9, 1.15}
}

// degradeLinks makes messages between data centres take up to twice as long and
// loses one in a hundred.
func degradeLinks(r *recorder) {
	r.trace.Header.DelaySpread = 1
	r.trace.Header.Loss = 0.01
}

// addRunnerDeath stops one runner during the peak and restarts it after ten
// seconds: a prefill engine at sites that prefer goodput, a decode engine at the
// others.
func addRunnerDeath(r *recorder) {
	role := identifier.RoleDecode
	if r.site.prefer == admitter.PreferGoodput {
		role = identifier.RolePrefill
	}
	at := r.trace.Header.PeakFrom.Add(5 * time.Second)
	victim := r.firstUpstream(role)
	r.trace.Faults = []Fault{
		{Kind: KindFault, Time: at, Fault: FaultUpstreamDies, Upstream: victim},
		{Kind: KindFault, Time: at.Add(10 * time.Second), Fault: FaultUpstreamRestarts, Upstream: victim},
	}
}

// addTransferStalls stops the import links of two decode engines for three
// seconds each.
func addTransferStalls(r *recorder) {
	at := r.trace.Header.PeakFrom.Add(5 * time.Second)
	for i, u := range r.decodeUpstreams()[:2] {
		from := at.Add(time.Duration(i) * 5 * time.Second)
		r.trace.Faults = append(r.trace.Faults, Fault{
			Kind: KindFault, Time: from, Fault: FaultTransfersStall,
			Upstream: u, Until: from.Add(3 * time.Second),
		})
	}
}

func (r *recorder) firstUpstream(role identifier.Role) identifier.Upstream {
	for _, u := range r.trace.Header.Upstreams {
		if u.Role == role {
			return u.ID
		}
	}
	panic("tracer: no upstream with role " + string(role))
}

func (r *recorder) decodeUpstreams() []identifier.Upstream {
	var decodes []identifier.Upstream
	for _, u := range r.trace.Header.Upstreams {
		if u.Role == identifier.RoleDecode {
			decodes = append(decodes, u.ID)
		}
	}
	return decodes
}
