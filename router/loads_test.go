package router_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/figtrack/figtrack/aggregator"
	"github.com/figtrack/figtrack/budgeter"
	"github.com/figtrack/figtrack/exchanger"
	"github.com/figtrack/figtrack/follower"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/keeper"
	"github.com/figtrack/figtrack/platform"
	"github.com/figtrack/figtrack/router"
	"github.com/figtrack/figtrack/stepper"
	"github.com/figtrack/figtrack/tracker"
	"github.com/figtrack/figtrack/versioner"
	"github.com/figtrack/figtrack/wire"
)

var _ exchanger.Section = (*router.Loads)(nil)

// loadsReader reads a pool with one decode engine.
type loadsReader struct{}

// Read implements router.Reader.
func (loadsReader) Read(entry keeper.Entry) (router.Document, error) {
	if entry.Key == "pools" {
		return router.Configured{Configuration: &router.Configuration{Revision: 1, Pools: map[identifier.Pool]router.Pool{"desk": {HasEngines: true, Memory: 8000, Slots: 4}}}}, nil
	}
	return router.Registered{Runner: tracker.Runner{ID: "d0", Start: 1, Pool: "desk", Role: identifier.RoleDecode, Slots: 4}}, nil
}

// vmWithLoads is a VM whose work comes from calls to its view.
type vmWithLoads struct {
	fleet   *router.Fleet
	view    *tracker.Tracker
	loads   *router.Loads
	waiting *waiting
}

// waiting has three requests of the second rank and holds what was applied.
type waiting struct{ applied aggregator.Demand }

// Demands implements router.Waiting.
func (*waiting) Demands(time.Time) map[identifier.Pool]aggregator.Demand {
	return map[identifier.Pool]aggregator.Demand{"desk": {Waiting: []int{0, 3}, Refused: 2}}
}

// ApplyDemand implements router.Waiting.
func (w *waiting) ApplyDemand(_ time.Time, _ identifier.Pool, d aggregator.Demand) { w.applied = d }

func newVMWithLoads(shareFrom int) vmWithLoads {
	registry := prometheus.NewRegistry()
	budget := budgeter.New(budgeter.Settings{Ratio: 0.2, Window: 10 * time.Second}, 1, time.Now())
	view := tracker.New("east", 1)
	fleet := router.NewFleet(loadsReader{}, platform.NewRunners(platform.NewDial()), view, budget, versioner.New(versioner.Settings{Lag: time.Second}), stepper.New(registry, zerolog.Nop()), router.NewMetrics(registry), zerolog.Nop())
	fleet.TakeAll(follower.TakeAll{Entries: []keeper.Entry{{Key: "pools"}, {Key: "d0"}}})
	w := &waiting{}
	return vmWithLoads{fleet, view, router.NewLoads(fleet, shareFrom, w), w}
}

// TestLoadOfOneVMReachesAnother checks what two VMs tell a coordinator and what each makes of
// the digest.
func TestLoadOfOneVMReachesAnother(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	vms := map[string]vmWithLoads{"a": newVMWithLoads(1), "b": newVMWithLoads(1)}
	d0, _ := vms["a"].fleet.Runner("d0")
	g.Expect(vms["a"].loads.IsActive(now)).To(BeFalse(), "no work and no requests")
	vms["a"].view.BeginHold(d0, 6000)
	vms["a"].view.RecordGranted(now, d0)
	g.Expect(vms["a"].loads.IsActive(now)).To(BeTrue())
	g.Expect(newVMWithLoads(0).loads.IsActive(now)).To(BeFalse())
	coordinator := newVMWithLoads(1).loads
	for _, name := range []string{"a", "b"} {
		report := &wire.ExchangeReport{VM: name, Sequence: 1}
		digest := &wire.ExchangeDigest{Reporting: 2}
		vms[name].loads.Report(now, report)
		coordinator.Collect(now, report, digest)
		vms[name].loads.Apply(now, now, digest)
	}
	demand, ok := vms["b"].fleet.FleetDemand(now, "desk")
	g.Expect(ok).To(BeTrue())
	g.Expect(demand).To(Equal(aggregator.Demand{Waiting: []int{0, 6}, Granted: 0.5, Refused: 4}), "one granted in the throttler's window")
	g.Expect(vms["b"].waiting.applied).To(Equal(demand))
	for _, name := range []string{"a", "b"} {
		_, ok = vms[name].view.Decode(now, "desk", 2000, tracker.Choice{})
		g.Expect(ok).To(BeTrue(), name)
		g.Expect(vms[name].view.State(now).Free).To(Equal(identifier.Tokens(2000)), name)
	}
	_, ok = vms["b"].fleet.FleetDemand(now.Add(2*time.Second), "desk")
	g.Expect(ok).To(BeFalse(), "too old")
}
