package replayer

import (
	"math/rand/v2"
	"slices"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/tracer"
)

// FigtrackPolicy returns the policy of the router's own core. An empty preference
// selects the one in the trace's header.
func FigtrackPolicy(prefer admitter.Prefer) PolicyFactory {
	maker := PolicyFactory{Name: "figtrack"}
	if prefer != "" {
		maker.Name += "-" + string(prefer)
	}
	maker.New = func(header tracer.Header, seed uint64) Policy {
		cfg := admitter.DefaultSettings()
		cfg.Prefer = prefer
		if prefer == "" {
			cfg.Prefer = header.Prefer
		}
		owner := ownerOf(header)
		for _, vm := range header.VMs {
			if vm.ID == owner {
				cfg.DataCentre = vm.DataCentre
			}
		}
		return admitter.New(cfg, rand.New(rand.NewPCG(seed, 3)))
	}
	return maker
}

// AllPolicies returns every policy that can be replayed by name.
func AllPolicies() []PolicyFactory {
	makers := []PolicyFactory{
		FigtrackPolicy(""),
		FigtrackPolicy(admitter.PreferWastedPrefill),
		FigtrackPolicy(admitter.PreferGoodput),
	}
	return append(append(makers, RoutingPolicies()...), BaselinePolicies()...)
}

// FindPolicy returns the policy with the given name.
func FindPolicy(name string) (PolicyFactory, error) {
	makers := AllPolicies()
	at := slices.IndexFunc(makers, func(m PolicyFactory) bool { return m.Name == name })
	if at < 0 {
		names := make([]string, len(makers))
		for i, m := range makers {
			names[i] = m.Name
		}
		return PolicyFactory{}, errors.Errorf("unknown policy %q, allowed are %v", name, names)
	}
	return makers[at], nil
}
