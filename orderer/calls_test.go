package orderer_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/figtrack/figtrack/claimer"
	"github.com/figtrack/figtrack/orderer"
	"github.com/figtrack/figtrack/syncer"
)

// The call rates per second that the platform states for its store: "several
// hundred writes and about two thousand reads a second". The project may use the
// share given by margin.
const (
	storeReadsPerSecond  = 2000.0
	storeWritesPerSecond = 300.0
	margin               = 0.5
)

// TestStoreBudget adds up the peak call rates of all purposes, with watches
// counted as calls, and expects less than half of the store's capacity.
func TestStoreBudget(t *testing.T) {
	g := NewWithT(t)
	fmt.Println("VMs  purpose        reads/s  writes/s  peak reads  peak writes  watches")
	for _, size := range []struct{ vms, runners int }{{7, 15}, {320, 640}} {
		line := func(purpose string, c syncer.Calls) {
			fmt.Printf("%3d  %-13s %8.1f  %8.1f  %10.1f  %11.1f  %7.0f\n",
				size.vms, purpose, c.Reads, c.Writes, c.PeakReads, c.PeakWrites, c.Watches)
		}
		configuration := syncer.CallsOf(size.vms)
		line("Configuration", configuration)
		orders := orderer.CallsOf(size.runners, 60)
		fence := syncer.Calls{PeakReads: orders.Reads, PeakWrites: orders.Writes}
		line("Fence", fence)
		// Each claim shard writes at most one batch per BatchInterval, and its
		// leader probes the log once per ProbeInterval.
		claim := syncer.Calls{Writes: claimer.ShardCount / claimer.BatchInterval.Seconds(), Reads: claimer.ShardCount / claimer.ProbeInterval.Seconds()}
		claim.PeakReads, claim.PeakWrites = float64(size.vms)/claimer.ProbeInterval.Seconds(), claim.Writes
		line("Claim", claim)
		reads := configuration.PeakReads + configuration.Watches + fence.PeakReads + claim.PeakReads
		writes := configuration.PeakWrites + fence.PeakWrites + claim.PeakWrites
		fmt.Printf("%3d  all at once   %8s  %8s  %10.1f  %11.1f\n", size.vms, "", "", reads, writes)
		g.Expect(reads).To(BeNumerically("<", storeReadsPerSecond*margin))
		g.Expect(writes).To(BeNumerically("<", storeWritesPerSecond*margin))
	}
}
