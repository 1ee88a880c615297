package replayer_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/attempter"
	"github.com/figtrack/figtrack/replayer"
	"github.com/figtrack/figtrack/tracer"
)

// bursts names traces of the parts of benchmark days in which most callers were
// refused: twice the load on a calm day, a burst after a fifth of the engines
// crashed, and a burst on the smaller site.
var bursts = []string{"burst", "burst-after-crashes", "burst-three-rooms"}

// replayBursts returns the answers within both targets of each policy, summed
// over all bursts and the seeds from 1 to seeds.
func replayBursts(t *testing.T, seeds uint64, makers ...replayer.PolicyFactory) map[string]float64 {
	t.Helper()
	good := map[string]float64{}
	for _, name := range bursts {
		trace, err := tracer.ReadFile("testdata/"+name+".jsonl", nil)
		if err != nil {
			t.Fatal(err)
		}
		for _, maker := range makers {
			for seed := uint64(1); seed <= seeds; seed++ {
				r := replayer.Run(trace, maker, seed)
				good[maker.Name] += float64(r.Whole.Good)
			}
		}
	}
	return good
}

// TestWaitingForMemoryServesMoreRequests compares a wait for memory of an
// eighth of the target with almost none. In a burst, engines free memory every
// few milliseconds, so that waiting pays off.
func TestWaitingForMemoryServesMoreRequests(t *testing.T) {
	g := NewWithT(t)
	atOnce := attempter.DefaultSettings()
	atOnce.WaitDivisor = 1000
	good := replayBursts(t, 3, replayer.RoutingPolicy("routing", attempter.DefaultSettings()), replayer.RoutingPolicy("at-once", atOnce))
	g.Expect(good["routing"]).To(BeNumerically(">", good["at-once"]))
}

// TestPreferringSlackServesNoFewerRequests checks that preferring engines with
// more free memory than the request needs doesn't reduce the good answers.
func TestPreferringSlackServesNoFewerRequests(t *testing.T) {
	g := NewWithT(t)
	plain := attempter.DefaultSettings()
	plain.Slack = 0
	good := replayBursts(t, 3, replayer.RoutingPolicy("routing", attempter.DefaultSettings()), replayer.RoutingPolicy("plain", plain))
	g.Expect(good["routing"]).To(BeNumerically(">=", good["plain"]))
}

// TestIndependentVMsServeAsManyAsOneOwner checks that VMs that place by their
// own views, corrected by refusals of engines, serve nearly as many requests as
// one owner of all placements, and at least as many as each baseline.
func TestIndependentVMsServeAsManyAsOneOwner(t *testing.T) {
	g := NewWithT(t)
	makers := []replayer.PolicyFactory{replayer.RoutingPolicy("routing", attempter.DefaultSettings()), replayer.FigtrackPolicy(admitter.PreferGoodput)}
	for _, maker := range replayer.BaselinePolicies() {
		// Baselines that don't refuse queue without a limit: they replay slowly
		// and answer nobody in time.
		if strings.HasSuffix(maker.Name, "-refusing") {
			makers = append(makers, maker)
		}
	}
	good := replayBursts(t, 1, makers...)
	g.Expect(good["routing"]).To(BeNumerically(">=", minGoodputRatio*good["figtrack-Goodput"]))
	for _, maker := range makers[2:] {
		g.Expect(good["routing"]).To(BeNumerically(">=", good[maker.Name]), maker.Name)
	}
}
