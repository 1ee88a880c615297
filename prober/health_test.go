package prober_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/prober"
)

// TestHealthFollowsTraffic changes an upstream to down and up by live calls, and
// counts the probes of a busy and an idle upstream.
func TestHealthFollowsTraffic(t *testing.T) {
	g := NewWithT(t)
	c := prober.NewHealth(rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(1_800_000_000, 0)
	ids := []identifier.Upstream{"busy", "idle", "other"}
	c.Step(now, prober.Assigned{All: ids, Probed: ids[:2]})

	probes := map[identifier.Upstream]int{}
	count := func(out []prober.HealthOutcome) {
		for _, o := range out {
			if p, ok := o.(prober.ProbeUpstream); ok {
				probes[p.Upstream]++
			}
		}
	}
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		count(c.Step(now, prober.Succeeded{Upstream: "busy"}))
	}
	g.Expect(probes["busy"]).To(BeZero())
	g.Expect(probes["other"]).To(BeZero())
	g.Expect(probes["idle"]).To(BeNumerically("~", 9, 1))

	for range prober.FailuresToDown {
		c.Step(now, prober.Failed{Upstream: "busy"})
	}
	g.Expect(c.HealthOf("busy")).To(Equal(prober.HealthDown))
	c.Step(now, prober.Succeeded{Upstream: "busy"})
	g.Expect(c.HealthOf("busy")).To(Equal(prober.HealthDown), "one success after a run of failures is not enough")
	c.Step(now, prober.Succeeded{Upstream: "busy"})
	g.Expect(c.HealthOf("busy")).To(Equal(prober.HealthUp))
}

// TestUpstreamLeavesWhileAnySourceReportsIt adds and removes the sources that
// report an upstream as leaving.
func TestUpstreamLeavesWhileAnySourceReportsIt(t *testing.T) {
	g := NewWithT(t)
	c := prober.NewHealth(rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(1_800_000_000, 0)
	c.Step(now, prober.Assigned{All: []identifier.Upstream{"u"}})

	out := c.Step(now, prober.AnsweredLeaving{Upstream: "u", Leaving: true})
	g.Expect(out).To(ContainElement(prober.AnnounceLeaving{Upstream: "u", Leaving: true}))
	g.Expect(c.Step(now, prober.AnsweredLeaving{Upstream: "u", Leaving: true})).To(BeEmpty())
	c.Step(now, prober.Assigned{All: []identifier.Upstream{"u"}, Retired: []identifier.Upstream{"u"}})
	c.Step(now, prober.LeavingNoticed{Upstream: "u", Leaving: true, Source: prober.SourcePlatformList})
	c.Step(now, prober.AnsweredLeaving{Upstream: "u", Leaving: false})
	c.Step(now, prober.LeavingNoticed{Upstream: "u", Leaving: false, Source: prober.SourcePlatformList})
	g.Expect(c.HealthOf("u")).To(Equal(prober.HealthLeaving))
	c.Step(now, prober.Assigned{All: []identifier.Upstream{"u"}})
	g.Expect(c.HealthOf("u")).To(Equal(prober.HealthUp))

	c.Step(now, prober.LeavingNoticed{Upstream: "later", Leaving: true, Source: prober.SourcePlatformList})
	c.Step(now, prober.Assigned{All: []identifier.Upstream{"later", "u"}})
	g.Expect(c.HealthOf("later")).To(Equal(prober.HealthLeaving), "a notice may come before the configuration")
}
