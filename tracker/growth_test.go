package tracker_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/keeper"
	"github.com/figtrack/figtrack/tracker"
)

// manyRunners is ten for each VM of a fleet of 300 VMs.
const manyRunners = 3000

func runnerOf(i int) tracker.Runner {
	return tracker.Runner{
		ID: identifier.Upstream(fmt.Sprintf("i-%04d", i*7919%manyRunners)), Pool: "desk", Role: identifier.RoleDecode,
		Address: fmt.Sprintf("10.0.%d.%d:80", i/200, i%200), Slots: 6, Age: keeper.Age{Version: keeper.Version(i + 1)}, Sequence: 1,
	}
}

// allocatedBytes returns the number of bytes that a function allocates.
func allocatedBytes(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// TestCostOfAnEventDoesNotGrowWithTheFleet measures allocated bytes instead of
// time, so that the result doesn't depend on the machine.
func TestCostOfAnEventDoesNotGrowWithTheFleet(t *testing.T) {
	g := NewWithT(t)
	view := tracker.New("east", 1)
	now := time.Unix(0, 0)
	joining := allocatedBytes(func() {
		for i := range manyRunners {
			view.Step(now, tracker.EntryWritten{Runner: runnerOf(i)})
		}
	})
	g.Expect(joining/manyRunners).To(BeNumerically("<", 2<<10), "bytes per runner that joins")
	repeating := allocatedBytes(func() {
		for i := range manyRunners {
			view.Step(now, tracker.EntryWritten{Runner: runnerOf(i)})
		}
	})
	g.Expect(repeating/manyRunners).To(BeNumerically("<", 1<<10), "bytes per runner that writes the same entry again")
	leaving := allocatedBytes(func() {
		for i := range manyRunners {
			view.Step(now, tracker.Removed{ID: runnerOf(i).ID, Age: keeper.Age{Version: manyRunners + 1}})
		}
	})
	g.Expect(leaving/manyRunners).To(BeNumerically("<", 2<<10), "bytes per runner that is removed")
	g.Expect(view.Len()).To(BeZero())
	g.Expect(view.Pool("desk")).To(BeEmpty())
}

// TestPoolStaysOrdered checks that a pool contains the runners that joined it and
// didn't leave, sorted by ID.
func TestPoolStaysOrdered(t *testing.T) {
	g := NewWithT(t)
	view := tracker.New("east", 1)
	now := time.Unix(0, 0)
	for i := range 100 {
		view.Step(now, tracker.EntryWritten{Runner: runnerOf(i)})
	}
	for i := range 50 {
		view.Step(now, tracker.Removed{ID: runnerOf(2 * i).ID, Age: keeper.Age{Version: manyRunners}})
	}
	moved := runnerOf(1)
	moved.Pool, moved.Start, moved.Age.Version, moved.Sequence = "other", 2, manyRunners, 2
	view.Step(now, tracker.EntryWritten{Runner: moved})
	all := view.Pool("desk")
	g.Expect(all).To(HaveLen(49))
	for i, r := range all[1:] {
		g.Expect(string(all[i].ID) < string(r.ID)).To(BeTrue())
	}
	g.Expect(view.Pool("other")).To(HaveLen(1))
}
