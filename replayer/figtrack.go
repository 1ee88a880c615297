package replayer

import (
	"math/rand/v2"
	"slices"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/tracer"
)

// Figtrack returns the policy of the router's own core. An empty preference
// selects the one in the trace's header.
func Figtrack(prefer admitter.Prefer) Maker {
	maker := Maker{Name: "figtrack"}
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

// Makers returns every policy that can be replayed by name.
func Makers() []Maker {
	makers := []Maker{
		Figtrack(""),
		Figtrack(admitter.PreferWastedPrefill),
		Figtrack(admitter.PreferGoodput),
	}
	return append(append(makers, Routings()...), Baselines()...)
}

// Find returns the policy with the given name.
func Find(name string) (Maker, error) {
	makers := Makers()
	at := slices.IndexFunc(makers, func(m Maker) bool { return m.Name == name })
	if at < 0 {
		names := make([]string, len(makers))
		for i, m := range makers {
			names[i] = m.Name
		}
		return Maker{}, errors.Errorf("unknown policy %q, allowed are %v", name, names)
	}
	return makers[at], nil
}
