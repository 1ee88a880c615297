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

// bursts are parts of days of the bench on which callers were refused most:
// twice the load on a calm day, a burst after a fifth of the engines crashed,
// and one on the smaller site.
var bursts = []string{"burst", "burst-after-crashes", "burst-three-rooms"}

// replayBursts returns the answers in both targets of some policies, over all
// bursts and some seeds.
func replayBursts(t *testing.T, seeds uint64, makers ...replayer.Maker) map[string]float64 {
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

// TestWaitForMemoryServesMoreThanAtOnce: a request waits an eighth of its
// target for memory, as engines free some every few milliseconds in a burst.
func TestWaitForMemoryServesMoreThanAtOnce(t *testing.T) {
	g := NewWithT(t)
	atOnce := attempter.DefaultSettings()
	atOnce.WaitShare = 1000
	good := replayBursts(t, 3, replayer.Routing("routing", attempter.DefaultSettings()), replayer.Routing("at-once", atOnce))
	g.Expect(good["routing"]).To(BeNumerically(">", good["at-once"]))
}

// TestEnginesWithRoomToGrowServeNoFewer: an engine with room beyond the need is
// looked for first, which must not cost answers.
func TestEnginesWithRoomToGrowServeNoFewer(t *testing.T) {
	g := NewWithT(t)
	plain := attempter.DefaultSettings()
	plain.Slack = 0
	good := replayBursts(t, 3, replayer.Routing("routing", attempter.DefaultSettings()), replayer.Routing("plain", plain))
	g.Expect(good["routing"]).To(BeNumerically(">=", good["plain"]))
}

// TestVMsThatDecideApartServeAsManyAsOneOwner: each VM decides by its own view
// and by what engines refuse; one owner of all placements does no better, and
// baselines do worse.
func TestVMsThatDecideApartServeAsManyAsOneOwner(t *testing.T) {
	g := NewWithT(t)
	makers := []replayer.Maker{replayer.Routing("routing", attempter.DefaultSettings()), replayer.Figtrack(admitter.PreferGoodput)}
	for _, maker := range replayer.Baselines() {
		// The others queue without a limit, which takes long and serves nobody in time.
		if strings.HasSuffix(maker.Name, "-refusing") {
			makers = append(makers, maker)
		}
	}
	good := replayBursts(t, 1, makers...)
	g.Expect(good["routing"]).To(BeNumerically(">=", leastOfOne*good["figtrack-Goodput"]))
	for _, maker := range makers[2:] {
		g.Expect(good["routing"]).To(BeNumerically(">=", good[maker.Name]), maker.Name)
	}
}
