package router_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/figtrack/figtrack/attempter"
	"github.com/figtrack/figtrack/budgeter"
	"github.com/figtrack/figtrack/exchanger"
	"github.com/figtrack/figtrack/follower"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/keeper"
	"github.com/figtrack/figtrack/matcher"
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
		routes := matcher.New([]matcher.Route{{Host: "h", Prefix: "/", Kind: matcher.KindRepeatable, Timeout: time.Second, Shares: []matcher.Share{{Pool: "orders", Weight: 1}}}})
		return router.Configured{Configuration: &router.Configuration{Revision: 1, Routes: routes, Pools: map[identifier.Pool]router.Pool{"desk": {HasEngines: true, Memory: 8000, Slots: 4}}}}, nil
	}
	if entry.Key == "s0" {
		return router.Registered{Runner: tracker.Runner{ID: "s0", Start: 1, Pool: "orders", Role: identifier.RolePlain, Slots: 4}}, nil
	}
	return router.Registered{Runner: tracker.Runner{ID: "d0", Start: 1, Pool: "desk", Role: identifier.RoleDecode, Slots: 4}}, nil
}

// vmWithLoads is a VM whose work comes from calls to its view.
type vmWithLoads struct {
	fleet  *router.Fleet
	view   *tracker.Tracker
	loads  *router.Loads
	router *router.Router
}

func newVMWithLoads(shareFrom int) vmWithLoads {
	registry := prometheus.NewRegistry()
	budget := budgeter.New(budgeter.Settings{Ratio: 0.2, Window: 10 * time.Second}, 1, time.Now())
	view := tracker.New("east", 1)
	metrics, runners := router.NewMetrics(registry), platform.NewRunners(platform.NewDial())
	fleet := router.NewFleet(loadsReader{}, runners, view, budget, versioner.New(versioner.Settings{Lag: time.Second}), stepper.New(registry, zerolog.Nop()), metrics, zerolog.Nop())
	fleet.TakeAll(follower.TakeAll{Entries: []keeper.Entry{{Key: "pools"}, {Key: "d0"}, {Key: "s0"}}})
	return vmWithLoads{fleet, view, router.NewLoads(fleet, shareFrom), router.New(fleet, runners, metrics, zerolog.Nop())}
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
		g.Expect(digest.Calls[0].Granted).To(Equal(uint32(5)), "one in the 2 s that a VM counts is 5 in 10 s")
	}
	for _, name := range []string{"a", "b"} {
		_, ok := vms[name].view.Decode(now, "desk", 1900, tracker.Choice{})
		g.Expect(ok).To(BeTrue(), name)
		g.Expect(vms[name].view.State(now).Free).To(BeNumerically("~", 2000, 32), name)
	}
}

// caller keeps the last reply.
type caller struct{ reply router.Reply }

// Begin implements router.Caller.
func (*caller) Begin(int, http.Header, int64) error { return nil }

// Write implements router.Caller.
func (*caller) Write([]byte) error { return nil }

// Reply implements router.Caller.
func (c *caller) Reply(r router.Reply) { c.reply = r }

// TestRejectedCallsThrottleNewRequests guards against requests that are sent only to be rejected,
// and against a refusal that doesn't say that the request has not run, or when to come back.
func TestRejectedCallsThrottleNewRequests(t *testing.T) {
	g := NewWithT(t)
	vm := newVMWithLoads(1)
	s0, _ := vm.fleet.Runner("s0")
	send := func() (throttled int) {
		for range 40 {
			var c caller
			vm.router.Serve(t.Context(), &router.Request{ID: "r", Method: "GET", Host: "h", Target: "/", Arrived: time.Now()}, &c)
			if r, ok := c.reply.(router.NotRun); ok && r.Reason == attempter.ReasonThrottled {
				g.Expect(r.After).To(And(BeNumerically(">", 0), BeNumerically("<=", time.Second/3)))
				throttled++
			}
		}
		return throttled
	}
	g.Expect(send()).To(BeZero())
	for range 50 {
		vm.view.RecordCalled(time.Now(), s0, false)
	}
	g.Expect(send()).To(BeNumerically("~", 31, 8), "a share of 0.78")
}

// TestLoadsAreReportedAtIntervals guards against digests with the loads of all runners in
// answer to each request for quota, which filled the link of a coordinator.
func TestLoadsAreReportedAtIntervals(t *testing.T) {
	g := NewWithT(t)
	vm := newVMWithLoads(1)
	now := time.Now()
	withLoads := 0
	for i := range 100 {
		var report wire.ExchangeReport
		vm.loads.Report(now.Add(time.Duration(i)*time.Millisecond/10), &report)
		var digest wire.ExchangeDigest
		vm.loads.Collect(now, &report, &digest)
		g.Expect(digest.Loads != nil).To(Equal(report.Loads != nil))
		if report.Loads != nil {
			withLoads++
		}
	}
	g.Expect(withLoads).To(Equal(3), "a fleet of one VM in 10 ms")
}
