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
			r.Loads = &wire.RunnerLoads{}
			for runner := range uint32(3) {
				if n := rapid.Uint32Range(0, 3).Draw(t, "calls"); n > 0 {
					add(r.Loads, runner, n, 100*n)
				}
			}
			granted := rapid.Uint32Range(0, 3).Draw(t, "granted")
			r.Calls = []*wire.PoolCalls{{Pool: 5, Granted: granted, Rejected: 1}}
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
			calls, sum := map[uint32]uint32{}, uint32(0)
			for _, k := range newest {
				for i, runner := range k.Loads.Runners {
					calls[runner] += k.Loads.Calls[i]
				}
				sum += k.Calls[0].Granted
			}
			if len(d.Loads.Runners) != len(calls) || d.Calls[0].Granted != sum || int(d.Calls[0].Rejected) != len(newest) {
				t.Fatalf("digest %v, expected %v and %d granted", &d, calls, sum)
			}
			for i, runner := range d.Loads.Runners {
				if d.Loads.Calls[i] != calls[runner] || d.Loads.Blocks[i] != 100*calls[runner] {
					t.Fatalf("digest %v, expected %d calls at %d", &d, calls[runner], runner)
				}
			}
		}
	})
}

func add(to *wire.RunnerLoads, runner, calls, blocks uint32) {
	to.Runners, to.Calls, to.Blocks = append(to.Runners, runner), append(to.Calls, calls), append(to.Blocks, blocks)
}

// TestDigestStaysSmall guards against growth of what VMs send between data centres, and
// against digests of stated fleets that don't fit into one datagram of an Ethernet frame with
// the quotas.
func TestDigestStaysSmall(t *testing.T) {
	g := NewWithT(t)
	c := aggregator.New()
	r := &wire.ExchangeReport{VM: "a", Sequence: 1, Loads: &wire.RunnerLoads{}}
	for i := range uint32(140) {
		add(r.Loads, i<<20, 7, 28000/64)
	}
	var d wire.ExchangeDigest
	c.Collect(start, r, &d)
	g.Expect(proto.Size(&d)).To(BeNumerically("<=", 1000))
	c.Collect(start, &wire.ExchangeReport{VM: "b", Loads: &wire.RunnerLoads{Runners: []uint32{1}}}, &d) // No calls.
}
