package syncer_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figtrack/figtrack/configurer"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/keeper"
	"github.com/figtrack/figtrack/syncer"
)

// maxRolloutTime is the required time for an accepted configuration to be in
// force on all VMs.
const maxRolloutTime = 3 * time.Second

// The syncer's share of the store's capacity, "about two thousand reads a
// second", in calls per second.
const (
	// maxSteadyCalls bounds the calls at any time but a start of all VMs.
	maxSteadyCalls = 40
	// maxRestartCalls bounds the calls after a start of all VMs at once.
	maxRestartCalls = 400
)

func addClass(id string) configurer.Change {
	class := configurer.Class{Name: identifier.Class("class-" + id), FirstToken: 1e9}
	return configurer.Change{ID: configurer.ChangeID(id), Operations: []configurer.Operation{configurer.AddClass{Class: class}}}
}

// TestRolloutTime checks the time from the store write to the last VM under
// 5% loss: by spread; with the writer's messages dropped, by watch and by polling;
// with the store down after the write; and with replies just below the timeout.
func TestRolloutTime(t *testing.T) {
	g := NewWithT(t)
	fmt.Println("VMs  way              everywhere ms (max of 10)")
	for _, n := range []int{7, 40, 320} {
		for _, way := range []string{"spread", "watch", "watch dead", "store down", "store slow"} {
			f := newFleet(n, 0.05, uint64(n))
			f.run(10 * time.Second)
			if way == "store slow" {
				f.store.latency = syncer.StoreTimeout - 100*time.Millisecond
			}
			worst := time.Duration(0)
			for i := range 10 {
				writer := vm(i % n)
				f.muted = ""
				if way == "watch" || way == "watch dead" {
					f.muted = writer
				}
				f.store.dropNotifications = way == "watch dead"
				f.submit(writer, syncer.Token(i), addClass(fmt.Sprint(i)))
				if way == "store down" {
					f.runUntilResult(writer, syncer.Token(i))
					f.setDown(true)
				}
				f.runUntilInForce(identifier.Revision(i+1), 4*maxRolloutTime)
				worst = max(worst, f.now.Sub(f.store.writtenAt))
				g.Expect(f.nodes[writer].results[syncer.Token(i)].Result).To(Equal(syncer.ResultAccepted))
				f.muted = ""
				if f.setDown(false); way == "store down" {
					f.run(10 * time.Second)
				}
				f.run(3 * time.Second)
				if way == "spread" {
					g.Expect(f.nodes[writer].everywhere[syncer.Token(i)].Behind).To(BeEmpty())
				}
			}
			fmt.Printf("%3d  %-15s  %6.0f\n", n, way, float64(worst)/1e6)
			g.Expect(worst).To(BeNumerically("<", maxRolloutTime), "%d VMs by %s", n, way)
		}
	}
}

// TestRolloutReportsVMsBehind stops a VM that stays in the live set. The change
// must report it as behind.
func TestRolloutReportsVMsBehind(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(40, 0.05, 1)
	f.run(5 * time.Second)
	f.nodes[vm(7)].down = true
	f.submit(vm(3), 1, addClass("a"))
	f.run(maxRolloutTime + time.Second)
	g.Expect(f.nodes[vm(3)].everywhere[1].Behind).To(Equal([]identifier.VM{vm(7)}))
}

// TestStartDuringStoreOutage restarts VMs during an outage of the store. One by
// one they get the configuration from their peers; after a restart of all at
// once none is ready until the store is back.
func TestStartDuringStoreOutage(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(40, 0.05, 2)
	f.run(5 * time.Second)
	f.submit(vm(0), 1, addClass("a"))
	f.run(3 * time.Second)
	f.setDown(true)
	for _, id := range f.vms {
		f.start(id)
		f.run(200 * time.Millisecond)
	}
	f.run(3 * time.Second)
	g.Expect(f.lowestRevision()).To(Equal(identifier.Revision(1)))

	for _, id := range f.vms {
		f.start(id)
	}
	f.run(10 * time.Minute)
	for _, id := range f.vms {
		g.Expect(f.nodes[id].ready).To(BeFalse(), "no VM has the configuration")
	}
	f.setDown(false)
	f.run(45 * time.Second)
	g.Expect(f.lowestRevision()).To(Equal(identifier.Revision(1)))
}

// TestStoreCallsDuringOutage bounds the store calls before, during and after an
// outage of the store, and after a restart of all VMs at once.
func TestStoreCallsDuringOutage(t *testing.T) {
	fmt.Println("VMs  calls in the busiest second: start  quiet  outage  recovery  restart of all  watches")
	testOutage(t, 7, 5*time.Hour)
	testOutage(t, 100, 6*time.Minute)
	if os.Getenv("FIGTRACK_TABLES") != "" {
		testOutage(t, 320, 12*time.Minute)
	}
}

func testOutage(t *testing.T, n int, long time.Duration) {
	g := NewWithT(t)
	f := newFleet(n, 0.05, 3)
	f.run(10 * time.Second)
	f.submit(vm(0), 1, addClass("a"))
	start := f.takePeakCalls()
	f.run(2 * time.Minute)
	quiet := f.takePeakCalls()
	f.setDown(true)
	f.submit(vm(5), 2, addClass("b"))
	f.run(long)
	down := f.takePeakCalls()
	g.Expect(f.nodes[vm(5)].results[2].Result).To(Equal(syncer.ResultUnknown))
	g.Expect(f.lowestRevision()).To(Equal(identifier.Revision(1)))

	f.setDown(false)
	f.submit(vm(6), 3, addClass("c"))
	f.runUntilInForce(2, time.Minute)
	g.Expect(f.lowestRevision()).To(Equal(identifier.Revision(2)))
	f.run(5 * time.Minute)
	recovery := f.takePeakCalls()
	for _, id := range f.vms {
		f.start(id)
	}
	f.run(10 * time.Second)
	restart := f.takePeakCalls()
	g.Expect(f.lowestRevision()).To(Equal(identifier.Revision(2)))
	fmt.Printf("%3d %35d %6d %7d %9d %15d %8d\n", n, start, quiet, down, recovery, restart, len(f.store.watches))
	g.Expect(len(f.store.watches)).To(BeNumerically("<=", syncer.WatcherCount))
	for _, calls := range []int{quiet, down, recovery} {
		g.Expect(calls).To(BeNumerically("<=", maxSteadyCalls))
	}
	g.Expect(max(start, restart)).To(BeNumerically("<=", maxRestartCalls))
}

// takePeakCalls returns the highest number of store calls in one second since it
// was last called.
func (f *fleet) takePeakCalls() int {
	top := 0
	for s, calls := range f.store.reads {
		top = max(top, calls+f.store.writes[s])
	}
	clear(f.store.reads)
	clear(f.store.writes)
	return top
}

// TestWriteBackAfterStoreRollback resets the store to an older document, with a
// later version and, as after a restore from backup, with its old version. A
// change submitted meanwhile must be based on the newer document.
func TestWriteBackAfterStoreRollback(t *testing.T) {
	for _, later := range []keeper.Version{0, 7} {
		g := NewWithT(t)
		f := newFleet(7, 0, 4)
		f.run(5 * time.Second)
		f.submit(vm(0), 1, addClass("a"))
		f.run(time.Second)
		old := f.store.entry
		f.submit(vm(1), 2, addClass("b"))
		f.run(time.Second)
		f.store.entry = old
		f.store.entry.Version += later
		f.submit(vm(2), 3, addClass("c"))
		f.run(5 * time.Second)
		g.Expect(f.nodes[vm(2)].results[3].Result).To(Equal(syncer.ResultAccepted))
		d, err := configurer.Decode(f.store.entry.Value)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(d.Classes).To(HaveLen(3))
		g.Expect(f.lowestRevision()).To(Equal(identifier.Revision(3)))
	}
}
