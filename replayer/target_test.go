package replayer_test

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/replayer"
	"github.com/figtrack/figtrack/tracer"
)

// Bounds of the stated targets.
const (
	// minGoodput is the lowest share of requests of each class answered within
	// both targets at 1 x capacity.
	minGoodput = 0.95
	// minShareOfCapacity is the lowest goodput at a load above capacity as a
	// share of the capacity, and minGoodputRatio as a share of the goodput at 1 x.
	minShareOfCapacity = 0.90
	minGoodputRatio    = 0.95
	// minBaselineRatio is the lowest goodput at 1.5 x, as a multiple of that of
	// the best baseline. A policy with equal goodput passes as well if its waste
	// is at most maxWasteRatio times that of the baseline.
	minBaselineRatio = 1.5
	maxWasteRatio    = 0.1
	// equalGoodputRatio is the lowest ratio at which two goodputs count as equal.
	equalGoodputRatio = 0.98
)

// maxWaste returns the highest share of wasted prefill time that a preference
// allows, in scenarios with or without faults.
func maxWaste(prefer admitter.Prefer, faults bool) float64 {
	switch {
	case prefer == admitter.PreferWastedPrefill && faults:
		return 0.05
	case prefer == admitter.PreferWastedPrefill:
		return 0.02
	case faults:
		return 0.08
	default:
		return 0.05
	}
}

// faultScenarios are the scenarios in which engines fail, transfers stall or
// callers cancel.
var faultScenarios = map[string]bool{"death": true, "stall": true, "cancel": true}

// clairvoyant is the policy name of the results of replayer.Clairvoyant.
const clairvoyant = "clairvoyant"

// targetSeed is the seed of the traces on which all targets are checked.
const targetSeed = 1

var preferences = []admitter.Prefer{admitter.PreferWastedPrefill, admitter.PreferGoodput}

// TestStatedTargets replays the recorded traces under the router's core and
// checks the stated targets. A failing case that KNOWN-RED.txt lists is printed
// and doesn't fail the test.
func TestStatedTargets(t *testing.T) {
	c := &checks{T: t, knownRed: readKnownRed(t), seen: map[string]bool{}}
	results := replayAll(t, append(replayer.Plans(targetSeed), otherSeedPlans()...))
	for _, plan := range replayer.Plans(targetSeed) {
		c.seed = plan.Seed
		for _, prefer := range preferences {
			c.check(plan, prefer, results)
		}
	}
	for _, plan := range otherSeedPlans() {
		c.seed = plan.Seed
		c.checkOther(plan, results)
	}
	c.reportUnknownCases()
}

// otherSeedPlans returns plans of a second seed: all scenarios at 1 x, and a
// fault and uneven runners at 3 x capacity.
func otherSeedPlans() []tracer.Plan {
	plans := []tracer.Plan{
		{Site: "himal", Scenario: "uneven", Load: 3, Seed: targetSeed + 1},
		{Site: "tafelbaai", Scenario: "death", Load: 3, Seed: targetSeed + 1},
	}
	for _, plan := range replayer.Plans(targetSeed + 1) {
		if plan.Load <= 1 {
			plans = append(plans, plan)
		}
	}
	return plans
}

// sitePrefer is the preference of each site.
var sitePrefer = map[string]admitter.Prefer{
	"himal": admitter.PreferWastedPrefill, "tafelbaai": admitter.PreferGoodput,
}

func (c *checks) checkOther(plan tracer.Plan, results map[string]replayer.Result) {
	r := results[resultKey(plan, replayer.FigtrackPolicy("").Name)]
	name := fmt.Sprintf("%s/%s/%gx/seed-%d", plan.Site, plan.Scenario, plan.Load, plan.Seed)
	c.checkAtMost(name+"/lost", float64(r.Whole.Lost), 0)
	c.checkAtMost(name+"/stray", float64(r.Stray), 0)
	if plan.Load <= 1 {
		c.checkAtMost(name+"/waste", r.Whole.Wasted, maxWaste(sitePrefer[plan.Site], faultScenarios[plan.Scenario]))
		c.checkWorstClass(name+"/goodput", r, results[resultKey(plan, clairvoyant)])
	}
}

// checks compares results with bounds.
type checks struct {
	*testing.T
	// knownRed holds the names of the known red cases, seen those of the cases
	// that were checked.
	knownRed map[string]bool
	seen     map[string]bool
	// seed is the seed of the trace being checked.
	seed uint64
}

func (c *checks) check(plan tracer.Plan, prefer admitter.Prefer, results map[string]replayer.Result) {
	name := fmt.Sprintf("%s/%s/%gx/%s", plan.Site, plan.Scenario, plan.Load, prefer)
	r := results[resultKey(plan, replayer.FigtrackPolicy(prefer).Name)]
	c.checkAtMost(name+"/lost", float64(r.Whole.Lost), 0)
	c.checkAtMost(name+"/stray", float64(r.Stray), 0)
	c.checkAtMost(name+"/waste", r.Whole.Wasted, maxWaste(prefer, faultScenarios[plan.Scenario]))
	if plan.Load <= 1 {
		c.checkWorstClass(name+"/goodput", r, results[resultKey(plan, clairvoyant)])
		return
	}
	one := plan
	one.Load = 1
	atOne := results[resultKey(one, r.Policy)].Whole.GoodputPerSecond
	c.checkAtLeast(name+"/of-capacity", r.Whole.GoodputPerSecond, minShareOfCapacity*r.Capacity)
	c.checkAtLeast(name+"/of-1x", r.Whole.GoodputPerSecond, minGoodputRatio*atOne)
	if plan.Load == 1.5 {
		c.checkBaseline(name+"/baselines", r, bestOf(plan, results, false))
		c.checkBaseline(name+"/refusing-baselines", r, bestOf(plan, results, true))
	}
}

// checkWorstClass checks the goodput of the worst class.
func (c *checks) checkWorstClass(name string, r, best replayer.Result) {
	c.report(name, r.WorstGoodput() >= minGoodput, fmt.Sprintf("%.4f, at least %.4f; clairvoyant %.4f",
		r.WorstGoodput(), minGoodput, best.WorstGoodput()))
}

// checkBaseline passes if r has minBaselineRatio times the goodput of best, or
// equal goodput and at most maxWasteRatio times its waste.
func (c *checks) checkBaseline(name string, r, best replayer.Result) {
	goodput, other := r.Whole.GoodputPerSecond, best.Whole.GoodputPerSecond
	hasMore := goodput >= minBaselineRatio*other
	wastesLess := goodput >= equalGoodputRatio*other && r.Whole.Wasted <= maxWasteRatio*best.Whole.Wasted
	c.report(name, hasMore || wastesLess, fmt.Sprintf("%.1f/s and waste %.4f against %.1f/s and %.4f of %s",
		goodput, r.Whole.Wasted, other, best.Whole.Wasted, best.Policy))
}

func bestOf(plan tracer.Plan, results map[string]replayer.Result, refusing bool) replayer.Result {
	var best replayer.Result
	for _, maker := range replayer.BaselinePolicies() {
		r := results[resultKey(plan, maker.Name)]
		if strings.HasSuffix(maker.Name, "-refusing") == refusing && r.Whole.GoodputPerSecond > best.Whole.GoodputPerSecond {
			best = r
		}
	}
	return best
}

func (c *checks) checkAtLeast(name string, got, bound float64) {
	c.report(name, got >= bound, fmt.Sprintf("%.4f, at least %.4f", got, bound))
}

func (c *checks) checkAtMost(name string, got, bound float64) {
	c.report(name, got <= bound, fmt.Sprintf("%.4f, at most %.4f", got, bound))
}

func (c *checks) report(name string, ok bool, what string) {
	c.seen[name] = true
	switch {
	case ok && c.knownRed[name]:
		c.Logf("known red case passes now, remove it from KNOWN-RED.txt: %s: %s", name, what)
	case !ok && c.knownRed[name]:
		c.Logf("known red: %s: %s", name, what)
	case !ok:
		c.Errorf("bound not met; the line of a known red case would be:\n%s%s | go test ./replayer -run TestStatedTargets | seed %d | %s | issue 4",
			knownRedPrefix, name, c.seed, what)
	}
}

func (c *checks) reportUnknownCases() {
	c.Logf("%d bounds checked, %d known red", len(c.seen), len(c.knownRed))
	for name := range c.knownRed {
		if !c.seen[name] {
			c.Errorf("KNOWN-RED.txt lists %s, which is not a case of this test", name)
		}
	}
}

// replayAll replays all plans under the policies that the checks compare, each
// trace in a goroutine of its own.
func replayAll(t *testing.T, plans []tracer.Plan) map[string]replayer.Result {
	t.Helper()
	results := map[string]replayer.Result{}
	var mu sync.Mutex
	var traces sync.WaitGroup
	for _, plan := range plans {
		trace := record(t, plan)
		traces.Go(func() {
			keep := func(r replayer.Result) {
				mu.Lock()
				defer mu.Unlock()
				results[resultKey(plan, r.Policy)] = r
			}
			keep(replayer.Clairvoyant(trace))
			for _, maker := range makersFor(plan) {
				keep(replayer.Run(trace, maker, plan.Seed))
			}
		})
	}
	traces.Wait()
	return results
}

func makersFor(plan tracer.Plan) []replayer.PolicyFactory {
	if plan.Seed != targetSeed {
		return []replayer.PolicyFactory{replayer.FigtrackPolicy("")}
	}
	makers := []replayer.PolicyFactory{replayer.FigtrackPolicy(preferences[0]), replayer.FigtrackPolicy(preferences[1])}
	if plan.Load == 1.5 {
		makers = append(makers, replayer.BaselinePolicies()...)
	}
	return makers
}

func resultKey(plan tracer.Plan, policy string) string {
	return fmt.Sprintf("%s/%s/%g/%d/%s", plan.Site, plan.Scenario, plan.Load, plan.Seed, policy)
}

// knownRedPrefix is the prefix of this test's cases in KNOWN-RED.txt.
const knownRedPrefix = "CASE targets/"

// readKnownRed returns the cases of this test that are known to fail. A line
// is: CASE targets/NAME | command | seed | what was seen | issue.
func readKnownRed(t *testing.T) map[string]bool {
	t.Helper()
	red := map[string]bool{}
	file, err := os.Open("../KNOWN-RED.txt")
	if os.IsNotExist(err) {
		return red
	}
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		name, _, _ := strings.Cut(lines.Text(), "|")
		if rest, ok := strings.CutPrefix(strings.TrimSpace(name), knownRedPrefix); ok {
			red[rest] = true
		}
	}
	return red
}
