package aggregator_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/figtrack/figtrack/aggregator"
	"github.com/figtrack/figtrack/wire"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// TestSumsFollowTheNewestReports guards against reports that count twice, or after their VM
// has fallen silent, or that an older start or a late report replaces.
func TestSumsFollowTheNewestReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, now := aggregator.New(), start
		newest, at := map[string]*wire.ExchangeReport{}, map[string]time.Time{}
		for range rapid.IntRange(1, 40).Draw(t, "reports") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			r := &wire.ExchangeReport{VM: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "vm")), Incarnation: rapid.Uint64Range(1, 2).Draw(t, "start"), Sequence: rapid.Uint64Range(1, 9).Draw(t, "sequence")}
			for runner := range uint32(3) {
				if n := rapid.Uint32Range(0, 3).Draw(t, "calls"); n > 0 {
					r.Loads = append(r.Loads, &wire.RunnerLoad{Runner: runner, Calls: n, Tokens: 100 * n})
				}
			}
			granted := rapid.Uint32Range(0, 3).Draw(t, "granted")
			r.Demands = []*wire.PoolDemand{{Pool: 5, Waiting: []uint32{1, granted}, Granted: granted, IntervalMs: 2000}}
			for vm := range newest {
				if now.Sub(at[vm]) > aggregator.ReportTTL {
					delete(newest, vm)
				}
			}
			if k := newest[r.VM]; k == nil || r.Incarnation > k.Incarnation || r.Incarnation == k.Incarnation && r.Sequence >= k.Sequence {
				newest[r.VM], at[r.VM] = r, now
			}
			var d wire.ExchangeDigest
			c.Collect(now, r, &d)
			calls, rate, waiting := map[uint32]uint32{}, uint32(0), uint32(0)
			for _, k := range newest {
				for _, l := range k.Loads {
					calls[l.Runner] += l.Calls
				}
				rate += 5 * k.Demands[0].Granted
				waiting += k.Demands[0].Waiting[1]
			}
			if len(d.Loads) != len(calls) || d.Demands[0].Granted != rate || len(d.Demands[0].Waiting) > 1 && d.Demands[0].Waiting[1] != waiting {
				t.Fatalf("digest %v, expected %v, %d granted and %d waiting", &d, calls, rate, waiting)
			}
			for _, l := range d.Loads {
				if l.Calls != calls[l.Runner] || l.Tokens != 100*l.Calls {
					t.Fatalf("load %v, expected %d calls", l, calls[l.Runner])
				}
			}
		}
	})
}

// TestDigestStaysSmall guards against growth of what VMs send between data centres, and checks
// that the largest fleet's digest fits into one datagram without fragments.
func TestDigestStaysSmall(t *testing.T) {
	g := NewWithT(t)
	c := aggregator.New()
	r := &wire.ExchangeReport{VM: "a", Sequence: 1}
	for i := range uint32(96) {
		r.Loads = append(r.Loads, &wire.RunnerLoad{Runner: i << 20, Calls: 7, Tokens: 28000})
	}
	var d wire.ExchangeDigest
	c.Collect(start, r, &d)
	g.Expect(proto.Size(&d)).To(BeNumerically("<=", 13*96), "bytes for 91 decode engines and 5 plain services with work")
}
