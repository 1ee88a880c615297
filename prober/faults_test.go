package prober_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/prober"
)

// leavingViews passes the notices of each VM process to a health core of its own.
type leavingViews struct {
	f      *fleet
	health map[*node]*prober.HealthCore
}

var upstreams = []identifier.Upstream{"u0", "u1"}

func (l *leavingViews) healthCoreOf(n *node) *prober.HealthCore {
	h, ok := l.health[n]
	if !ok {
		h = prober.NewHealth(rand.New(rand.NewPCG(1, 1)))
		h.Step(l.f.now, prober.Assigned{All: upstreams})
		l.health[n] = h
	}
	return h
}

// report makes one VM learn whether an upstream is leaving.
func (l *leavingViews) report(id identifier.VM, u identifier.Upstream, leaving bool) {
	l.f.step(id, prober.UpstreamLeaving{Upstream: u, Leaving: leaving, Source: prober.SourceUpstream})
}

// views returns the state of an upstream on each VM.
func (l *leavingViews) views(u identifier.Upstream) []prober.Health {
	var all []prober.Health
	for _, id := range l.f.vms {
		all = append(all, l.healthCoreOf(l.f.nodes[id]).HealthOf(u))
	}
	return all
}

// TestLeavingUnderFaults partitions, pauses and restarts VMs under 5% loss while
// upstreams leave and return. After the faults, all VMs must agree on the live
// set and on each upstream, and apply a new notice within noWorkAfter.
func TestLeavingUnderFaults(t *testing.T) {
	steps, statements := 0, 0
	rapid.Check(t, func(r *rapid.T) {
		const n = 4
		f := newFleet(n, 0.05, rapid.Uint64().Draw(r, "seed"))
		l := &leavingViews{f: f, health: map[*node]*prober.HealthCore{}}
		f.onNotice = func(at identifier.VM, v prober.Notice) {
			l.healthCoreOf(f.nodes[at]).Step(f.now, prober.LeavingNoticed{Upstream: v.Upstream, Leaving: v.Leaving, Source: v.Source})
		}
		vms := rapid.SampledFrom(f.vms)
		f.run(2 * time.Second)
		r.Repeat(map[string]func(*rapid.T){
			"say": func(r *rapid.T) {
				statements++
				l.report(vms.Draw(r, "vm"), rapid.SampledFrom(upstreams).Draw(r, "upstream"), rapid.Bool().Draw(r, "leaving"))
			},
			"split": func(r *rapid.T) {
				mask := rapid.IntRange(0, 1<<n-1).Draw(r, "sides")
				for i, id := range f.vms {
					f.nodes[id].side = mask >> i & 1
				}
			},
			"join": func(*rapid.T) { f.join() },
			"pause": func(r *rapid.T) {
				id := vms.Draw(r, "vm")
				f.nodes[id].isDown = true
				f.run(time.Duration(rapid.IntRange(1, 3000).Draw(r, "ms")) * time.Millisecond)
				f.nodes[id].isDown = false
				f.step(id, prober.Wake{})
			},
			"restart": func(r *rapid.T) {
				id := vms.Draw(r, "vm")
				f.start(id, f.nodes[id].incarnation+1, n)
			},
			"run": func(r *rapid.T) {
				f.run(time.Duration(rapid.IntRange(1, 1500).Draw(r, "ms")) * time.Millisecond)
			},
			"": func(*rapid.T) { steps++ },
		})
		f.join()
		f.run(10 * time.Second)
		if !f.agreed(n) {
			r.Fatal("the VMs don't agree on the live set")
		}
		u := rapid.SampledFrom(upstreams).Draw(r, "last")
		l.report(vms.Draw(r, "vm"), u, true)
		f.run(noWorkAfter)
		if views := l.views(u); slices.ContainsFunc(views, func(h prober.Health) bool { return h != prober.HealthLeaving }) {
			r.Fatalf("%s is leaving, but the VMs say %v", u, views)
		}
		for _, u := range upstreams {
			if views := slices.Compact(l.views(u)); len(views) > 1 {
				r.Fatalf("the VMs disagree on %s: %v", u, views)
			}
		}
	})
	t.Logf("%d steps, %d statements", steps, statements)
	if steps < 10_000 {
		t.Fatalf("only %d steps", steps)
	}
}

// join ends a network partition.
func (f *fleet) join() {
	for _, id := range f.vms {
		f.nodes[id].side = 0
	}
}

// TestLossOfADataCentre partitions the fleet into two regions for two minutes,
// and later stops one VM in five at once.
func TestLossOfADataCentre(t *testing.T) {
	g := NewWithT(t)
	fmt.Println("VMs  loss  data centre gone  regions apart  regions joined")
	for _, n := range sizes() {
		f := newFleet(n, 0.05, 11)
		f.run(15 * time.Second)
		for i, id := range f.vms {
			f.nodes[id].side = i % 2
		}
		apart := f.now
		for !f.agreedBySide(n) && f.now.Sub(apart) < 10*time.Second {
			f.run(20 * time.Millisecond)
		}
		split := f.now.Sub(apart)
		f.run(2*time.Minute - split)
		f.join()
		joined := f.untilAgreed(n, 20*time.Second)
		f.run(5 * time.Second)
		for i := 0; i < n; i += 5 {
			f.nodes[f.vms[i]].isDown = true
		}
		gone := f.untilAgreed(n-(n+4)/5, 20*time.Second)
		fmt.Printf("%3d  5%%    %15.2fs  %12.2fs  %13.2fs\n", n, gone.Seconds(), split.Seconds(), joined.Seconds())
		g.Expect(split).To(BeNumerically("<", maxDetectionTime))
		g.Expect(gone).To(BeNumerically("<", maxDetectionTime))
		g.Expect(joined).To(BeNumerically("<", 2*maxDetectionTime))
	}
}

// agreedBySide reports whether each VM's live set has the size of its side of the
// partition.
func (f *fleet) agreedBySide(n int) bool {
	for _, id := range f.vms {
		own := f.nodes[id]
		if len(own.live) != (n+1-own.side)/2 {
			return false
		}
	}
	return true
}
