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

// leaving follows the notices on each start of a VM into its health core.
type leaving struct {
	f      *fleet
	health map[*node]*prober.HealthCore
}

var upstreams = []identifier.Upstream{"u0", "u1"}

func (l *leaving) of(n *node) *prober.HealthCore {
	h, ok := l.health[n]
	if !ok {
		h = prober.NewHealth(rand.New(rand.NewPCG(1, 1)))
		h.Step(l.f.now, prober.Assigned{All: upstreams})
		l.health[n] = h
	}
	return h
}

// say has one VM hear something of an upstream.
func (l *leaving) say(id identifier.VM, u identifier.Upstream, leaving bool) {
	l.f.step(id, prober.UpstreamLeaving{Upstream: u, Leaving: leaving, Source: prober.SourceUpstream})
}

// views returns the states of an upstream on all running VMs.
func (l *leaving) views(u identifier.Upstream) []prober.Health {
	var all []prober.Health
	for _, id := range l.f.vms {
		all = append(all, l.of(l.f.nodes[id]).HealthOf(u))
	}
	return all
}

// TestLeavingUnderFaults splits, pauses and restarts VMs under 5% loss while
// upstreams leave and come back. Once the VMs reach each other again, a new
// statement is in force on all of them within the bound, and later all agree
// on the live set and on each upstream.
func TestLeavingUnderFaults(t *testing.T) {
	steps, statements := 0, 0
	rapid.Check(t, func(r *rapid.T) {
		const n = 4
		f := newFleet(n, 0.05, rapid.Uint64().Draw(r, "seed"))
		l := &leaving{f: f, health: map[*node]*prober.HealthCore{}}
		f.onNotice = func(at identifier.VM, v prober.Notice) {
			l.of(f.nodes[at]).Step(f.now, prober.Noticed{Upstream: v.Upstream, Leaving: v.Leaving, Source: v.Source})
		}
		vms := rapid.SampledFrom(f.vms)
		f.run(2 * time.Second)
		r.Repeat(map[string]func(*rapid.T){
			"say": func(r *rapid.T) {
				statements++
				l.say(vms.Draw(r, "vm"), rapid.SampledFrom(upstreams).Draw(r, "upstream"), rapid.Bool().Draw(r, "leaving"))
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
				f.nodes[id].down = true
				f.run(time.Duration(rapid.IntRange(1, 3000).Draw(r, "ms")) * time.Millisecond)
				f.nodes[id].down = false
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
		l.say(vms.Draw(r, "vm"), u, true)
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

// join ends a split.
func (f *fleet) join() {
	for _, id := range f.vms {
		f.nodes[id].side = 0
	}
}

// TestLossOfADataCentre stops one VM in five at once, and splits the fleet
// into two regions for two minutes.
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
			f.nodes[f.vms[i]].down = true
		}
		gone := f.untilAgreed(n-(n+4)/5, 20*time.Second)
		fmt.Printf("%3d  5%%    %15.2fs  %12.2fs  %13.2fs\n", n, gone.Seconds(), split.Seconds(), joined.Seconds())
		g.Expect(split).To(BeNumerically("<", detectWithin))
		g.Expect(gone).To(BeNumerically("<", detectWithin))
		g.Expect(joined).To(BeNumerically("<", 2*detectWithin))
	}
}

// agreedBySide says whether each VM's live set is its side of the split.
func (f *fleet) agreedBySide(n int) bool {
	for _, id := range f.vms {
		own := f.nodes[id]
		if len(own.live) != (n+1-own.side)/2 {
			return false
		}
	}
	return true
}
