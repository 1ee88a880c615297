package tracer

import (
	"time"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/identifier"
)

// Scenarios are the names of the scenarios that Record knows.
var Scenarios = []string{"surge", "hot-prefix", "mixed", "death", "stall", "cancel", "uneven", "links"}

// scenario changes a site's load and adds what breaks.
type scenario struct {
	hot    hotPrefix
	change func(*site)
	finish func(*recorder)
}

// hotPrefix puts one long prefix before a share of the prompts.
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
		return scenario{change: mixed}, nil
	case "uneven":
		return scenario{change: uneven}, nil
	case "links":
		return scenario{finish: links}, nil
	case "death":
		return scenario{finish: death}, nil
	case "stall":
		return scenario{finish: stall}, nil
	case "cancel":
		return scenario{finish: func(r *recorder) { r.cancels(0.2) }}, nil
	}
	return scenario{}, errors.Errorf("unknown scenario %q, allowed are %v", name, Scenarios)
}

// mixed makes the long reading work longer and as much as the rest.
func mixed(s *site) {
	last := len(s.loads) - 1
	for i := range s.loads {
		s.loads[i].share *= 0.6 / (1 - s.loads[last].share)
	}
	s.loads[last].share = 0.4
	s.loads[last].prompt = spread{median: 10_000, sigma: 0.7, min: 1000, max: 60_000}
}

// uneven makes the runners differ in speed, so that no two cost the same and
// the slowest can't run all its streams at the pace of quick replies.
func uneven(s *site) {
	s.scales = []float64{1.25, 0.85, 1.1, 0.95, 1.2, 0.9, 1.15}
}

// links makes messages between data centres take up to twice as long, and
// loses one in a hundred.
func links(r *recorder) {
	r.trace.Header.DelaySpread = 1
	r.trace.Header.Loss = 0.01
}

// death ends one runner at the peak: a decode engine at the first site, a
// prefill engine at the second. It comes back after ten seconds.
func death(r *recorder) {
	role := identifier.RoleDecode
	if r.site.prefer == admitter.PreferGoodput {
		role = identifier.RolePrefill
	}
	at := r.trace.Header.PeakFrom.Add(5 * time.Second)
	victim := r.firstOf(role)
	r.trace.Faults = []Fault{
		{Kind: KindFault, Time: at, Fault: FaultUpstreamDies, Upstream: victim},
		{Kind: KindFault, Time: at.Add(10 * time.Second), Fault: FaultUpstreamRestarts, Upstream: victim},
	}
}

// stall stops the import links of two decode engines for three seconds each.
func stall(r *recorder) {
	at := r.trace.Header.PeakFrom.Add(5 * time.Second)
	for i, u := range r.decodes()[:2] {
		from := at.Add(time.Duration(i) * 5 * time.Second)
		r.trace.Faults = append(r.trace.Faults, Fault{
			Kind: KindFault, Time: from, Fault: FaultTransfersStall,
			Upstream: u, Until: from.Add(3 * time.Second),
		})
	}
}

func (r *recorder) firstOf(role identifier.Role) identifier.Upstream {
	for _, u := range r.trace.Header.Upstreams {
		if u.Role == role {
			return u.ID
		}
	}
	panic("tracer: no upstream with role " + string(role))
}

func (r *recorder) decodes() []identifier.Upstream {
	var decodes []identifier.Upstream
	for _, u := range r.trace.Header.Upstreams {
		if u.Role == identifier.RoleDecode {
			decodes = append(decodes, u.ID)
		}
	}
	return decodes
}
