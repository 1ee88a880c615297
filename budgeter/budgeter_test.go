package budgeter_test

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/figtrack/figtrack/budgeter"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

var cfg = budgeter.Settings{Ratio: 0.2, Window: 10 * time.Second, Allowance: 52}

func TestAllowanceIsDividedByVMs(t *testing.T) {
	g := NewWithT(t)
	taken := func(vms int) int {
		b := budgeter.New(cfg, vms, start.Add(-cfg.Window))
		n := 0
		for b.TryCharge(start, "desk") {
			n++
		}
		return n
	}
	g.Expect(taken(1)).To(Equal(44))
	g.Expect(6 * taken(6)).To(BeNumerically("<=", 52))
	g.Expect(taken(400)).To(BeZero())
}

func TestRestartedVMHasNoAllowanceForAWindow(t *testing.T) {
	g := NewWithT(t)
	b := budgeter.New(cfg, 6, start)
	g.Expect(b.TryCharge(start.Add(cfg.Window-1), "desk")).To(BeFalse())
	g.Expect(b.CanRisk(start.Add(cfg.Window-1), "desk")).To(BeTrue())
	for range 10 {
		b.CountRequest(start.Add(cfg.Window-1), "desk")
	}
	g.Expect(b.TryCharge(start.Add(cfg.Window-1), "desk")).To(BeTrue())
	g.Expect(b.TryCharge(start.Add(cfg.Window), "desk")).To(BeTrue())
}

func init() { _ = flag.Set("rapid.seed", "31") }

// TestNoWindowIsOverspent checks, for random sequences of requests and sends,
// that no interval of the window's length exceeds the limit.
func TestNoWindowIsOverspent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := budgeter.New(cfg, 1, start.Add(-cfg.Window))
		now := start
		var requests, extra []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond)
			b.CountRequest(now, "desk")
			requests = append(requests, now)
			for range rapid.IntRange(0, 3).Draw(t, "sends") {
				if b.TryCharge(now, "desk") {
					extra = append(extra, now)
				}
			}
		}
		for _, from := range extra {
			sends := countWithin(extra, from, cfg.Window)
			// The budget may count requests from up to one window earlier.
			allowed := cfg.Ratio*float64(countWithin(requests, from.Add(-cfg.Window), 2*cfg.Window)) + cfg.Allowance
			if float64(sends) > allowed {
				t.Fatalf("%d extra sends within a window, expected at most %.1f", sends, allowed)
			}
		}
	})
}

func countWithin(times []time.Time, from time.Time, d time.Duration) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(from.Add(d)) {
			n++
		}
	}
	return n
}
