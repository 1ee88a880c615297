package orderer_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figtrack/figtrack/configurer"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/orderer"
)

// roleChangeTime is how long a runner serves neither role while it changes.
const roleChangeTime = 20 * time.Second

// noisyDemand returns the demand on twelve runners in one second of 20 minutes:
// mostly prefill at first, then mostly decode, with random noise.
func noisyDemand(rng *rand.Rand, second int) orderer.Demand {
	d := orderer.Demand{Prefill: 6.5, Decode: 4}
	if second >= 400 {
		shift := math.Min(1, float64(second-400)/60)
		d.Prefill -= shift * 4.5
		d.Decode += shift * 4.5
	}
	noise := 1 + 0.25*rng.NormFloat64()
	return orderer.Demand{Prefill: math.Max(0, d.Prefill*noise), Decode: math.Max(0, d.Decode*(1+0.25*rng.NormFloat64()))}
}

// roleChange is the change of one runner to its new role, until it ends.
type roleChange struct {
	until     time.Time
	toPrefill bool
}

// simulate returns the share of the demand that was met, and the number of
// moves. A request needs both roles, so the scarcer one decides.
func simulate(seed uint64, begin orderer.Split, decide func(now time.Time, second int, d orderer.Demand, s orderer.Split) orderer.Split) (float64, int) {
	rng := rand.New(rand.NewPCG(seed, 5))
	now := time.Unix(1_800_000_000, 0)
	split, moves := begin, 0
	var away []roleChange
	met, wanted := 0.0, 0.0
	for second := range 1200 {
		now = now.Add(time.Second)
		d := noisyDemand(rng, second)
		next := decide(now, second, d, split)
		if next != split {
			moves++
			away = append(away, roleChange{until: now.Add(roleChangeTime), toPrefill: next.Prefill > split.Prefill})
			split = next
		}
		have := split
		for _, a := range away {
			switch {
			case !now.Before(a.until):
			case a.toPrefill:
				have.Prefill = max(0, have.Prefill-1)
			default:
				have.Decode = max(0, have.Decode-1)
			}
		}
		share := math.Min(shareOf(have.Prefill, d.Prefill), shareOf(have.Decode, d.Decode))
		met += share * (d.Prefill + d.Decode)
		wanted += d.Prefill + d.Decode
	}
	return met / wanted, moves
}

// shareOf returns the share of one role's demand that its runners meet.
func shareOf(runners int, demand float64) float64 {
	if demand <= float64(runners) {
		return 1
	}
	return float64(runners) / demand
}

// TestBalanceOnShiftingDemand compares the policy with a fixed split, with one
// that knows the demand in advance, and with moves without hysteresis.
func TestBalanceOnShiftingDemand(t *testing.T) {
	g := NewWithT(t)
	begin := orderer.Split{Prefill: 7, Decode: 5}
	fixed := func(_ time.Time, _ int, _ orderer.Demand, s orderer.Split) orderer.Split { return s }
	knowing := func(_ time.Time, second int, _ orderer.Demand, s orderer.Split) orderer.Split {
		if second < 400 || s.Prefill == 3 {
			return s
		}
		if second%15 == 0 {
			return orderer.Split{Prefill: s.Prefill - 1, Decode: s.Decode + 1}
		}
		return s
	}
	moved := time.Time{}
	greedy := func(now time.Time, _ int, d orderer.Demand, s orderer.Split) orderer.Split {
		best := s
		if since := now.Sub(moved); since >= 0 && since < roleChangeTime {
			return s
		}
		for _, p := range []int{s.Prefill - 1, s.Prefill + 1} {
			next := orderer.Split{Prefill: p, Decode: s.Prefill + s.Decode - p}
			if next.Prefill > 0 && next.Decode > 0 && bottleneckLoad(d, next) < bottleneckLoad(d, best) {
				best = next
				moved = now
			}
		}
		return best
	}
	fmt.Println("policy            met    moves  (mean of 20 seeds)")
	met := map[string]float64{}
	moves := map[string]float64{}
	for _, name := range []string{"fixed 7:5", "no hysteresis", "policy", "knows the mix"} {
		for seed := range uint64(20) {
			b := &orderer.Balancer{}
			decide := map[string]func(time.Time, int, orderer.Demand, orderer.Split) orderer.Split{
				"fixed 7:5": fixed, "no hysteresis": greedy, "knows the mix": knowing,
				"policy": func(now time.Time, _ int, d orderer.Demand, s orderer.Split) orderer.Split { return b.Step(now, d, s) },
			}[name]
			share, n := simulate(seed, begin, decide)
			met[name] += share / 20
			moves[name] += float64(n) / 20
		}
		fmt.Printf("%-15s  %.3f  %6.1f\n", name, met[name], moves[name])
	}
	g.Expect(met["policy"]).To(BeNumerically(">", met["fixed 7:5"]))
	g.Expect(met["policy"]).To(BeNumerically(">", met["no hysteresis"]))
	g.Expect(moves["policy"]).To(BeNumerically("<=", 8))
}

// TestBalanceKeepsSplitOnSteadyDemand expects no move in an hour of demand that
// fits the split, despite strong noise.
func TestBalanceKeepsSplitOnSteadyDemand(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 6))
		b := &orderer.Balancer{}
		now := time.Unix(1_800_000_000, 0)
		split := orderer.Split{Prefill: 5, Decode: 7}
		for second := range 3600 {
			now = now.Add(time.Second)
			wave := 1 + 0.2*math.Sin(float64(second)/10)
			noise := 1 + 0.25*rng.NormFloat64()
			split = b.Step(now, orderer.Demand{Prefill: 4 * wave * noise, Decode: 5.6 / wave}, split)
			g.Expect(split).To(Equal(orderer.Split{Prefill: 5, Decode: 7}), "second %d", second)
		}
	}
}

func bottleneckLoad(d orderer.Demand, s orderer.Split) float64 {
	return math.Max(d.Prefill/float64(s.Prefill), d.Decode/float64(s.Decode))
}

// TestRebalancerMovesByConfiguration applies the changes that a shift of demand
// causes, and expects that two leaders make the same change.
func TestRebalancerMovesByConfiguration(t *testing.T) {
	g := NewWithT(t)
	var ops []configurer.Operation
	for i := range 12 {
		u := configurer.Upstream{
			ID: identifier.Upstream(fmt.Sprintf("boat-%02d", i)), Address: "10.0.0.1:1", Pool: "boat-scribe",
			Role: identifier.RolePrefill, DataCentre: identifier.DataCentre([]string{"saldanha", "hout-bay"}[i%2]),
			Pieces: 60, Streams: 20,
		}
		if i >= 7 {
			u.Role = identifier.RoleDecode
		}
		ops = append(ops, configurer.AddUpstream{Upstream: u})
	}
	ops = append(ops, configurer.AddModel{Pool: "boat-scribe", Model: "hull"}, configurer.SetVersion{Pool: "boat-scribe", Value: "v1"})
	d, conflict := configurer.ApplyChange(configurer.Document{}, configurer.Change{ID: "1", Operations: ops})
	g.Expect(conflict).To(BeNil())
	one, two := orderer.NewRebalancer(), orderer.NewRebalancer()
	now := time.Unix(1_800_000_000, 0)
	var moved []string
	for range 600 {
		now = now.Add(time.Second)
		demand := orderer.Demand{Prefill: 2, Decode: 8.5}
		change, ok := one.Step(now, d, "boat-scribe", demand)
		same, also := two.Step(now, d, "boat-scribe", demand)
		g.Expect(same).To(Equal(change))
		g.Expect(also).To(Equal(ok))
		if ok {
			d, conflict = configurer.ApplyChange(d, change)
			g.Expect(conflict).To(BeNil())
			moved = append(moved, string(change.Operations[0].(configurer.SetRole).ID))
		}
	}
	g.Expect(moved).To(Equal([]string{"boat-00", "boat-01", "boat-02", "boat-03"}))
	wanted := orderer.WantedOf(d, []identifier.Upstream{"boat-00", "boat-11", "gone"})
	g.Expect(wanted.Runners).To(HaveLen(2))
	g.Expect(wanted.Runners[0].Role).To(Equal(identifier.RoleDecode))
	g.Expect(wanted.Runners[0].Version).To(Equal("v1"))
}
