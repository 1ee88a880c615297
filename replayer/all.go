package replayer

import (
	"runtime"
	"sync"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/tracer"
)

// Plans returns the plans of the traces, for all sites, on which policies are
// measured and checked.
func Plans(seed uint64) []tracer.Plan {
	var plans []tracer.Plan
	for _, site := range tracer.Sites {
		for _, load := range []float64{1, 1.5, 3} {
			plans = append(plans, tracer.Plan{Site: site, Scenario: "surge", Load: load, Seed: seed})
		}
		for _, scenario := range tracer.Scenarios {
			if scenario != "surge" {
				plans = append(plans, tracer.Plan{Site: site, Scenario: scenario, Load: 1, Seed: seed})
			}
		}
	}
	return plans
}

// ComparedPolicies returns the policies that a full measurement compares.
func ComparedPolicies() []PolicyFactory {
	makers := []PolicyFactory{FigtrackPolicy(admitter.PreferWastedPrefill), FigtrackPolicy(admitter.PreferGoodput)}
	return append(makers, BaselinePolicies()...)
}

// RunAll replays the traces of all Plans under each policy, with GOMAXPROCS
// replays in parallel. The results are in the order of the plans; those of a
// plan begin with Clairvoyant, followed by the policies in order.
func RunAll(seed uint64, makers []PolicyFactory) ([]Result, error) {
	plans := Plans(seed)
	width := len(makers) + 1
	results := make([]Result, len(plans)*width)
	jobs := make(chan func())
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for job := range jobs {
				job()
			}
		})
	}
	err := runPlans(plans, makers, results, jobs)
	close(jobs)
	workers.Wait()
	return results, err
}

func runPlans(plans []tracer.Plan, makers []PolicyFactory, results []Result, jobs chan<- func()) error {
	width := len(makers) + 1
	for i, plan := range plans {
		trace, err := tracer.Record(plan)
		if err != nil {
			return err
		}
		jobs <- func() { results[i*width] = Clairvoyant(trace) }
		for j, maker := range makers {
			at := i*width + 1 + j
			jobs <- func() { results[at] = Run(trace, maker, plan.Seed) }
		}
	}
	return nil
}
