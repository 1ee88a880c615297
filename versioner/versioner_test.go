package versioner_test

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/versioner"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "37")
	_ = flag.Set("rapid.checks", "100")
	_ = flag.Set("rapid.shrinktime", "2s")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// fault returns what is wrong in the world: more than two streams with events of two
// versions, under half of the streams that can go on do, a version with far more than its
// share, or too many writes.
func (w *world) fault() error {
	if n := len(w.joined); n > maxJoined {
		return errors.Errorf("%d streams hold events of two versions\n%s", n, w.report())
	}
	if w.servable >= 12 && w.wentOn*2 < w.servable {
		return errors.Errorf("%d of %d streams that could go on did\n%s", w.wentOn, w.servable, w.report())
	}
	return w.writeFault()
}

// writeFault bounds the writes by changes and VMs. The record is written once at first, and
// for each change once to move buckets and once to settle them; each of these may make
// every VM try. A VM lists streams while it begins them at the former version, and once for
// each stream that it takes up.
func (w *world) writeFault() error {
	if most := 1 + 2*w.changes; w.moves > most {
		return errors.Errorf("%d writes of the record, at most %d\n%s", w.moves, most, w.report())
	}
	if most := w.moves * len(w.vms); w.recordConflicts > most {
		return errors.Errorf("%d conflicts of the record, at most %d\n%s", w.recordConflicts, most, w.report())
	}
	each := int(2*settings.Lag/versioner.PublishInterval) + 2
	if most := (w.moves*len(w.vms)+w.kills)*each + w.takenUp; w.listWrites > most {
		return errors.Errorf("%d writes of lists, at most %d\n%s", w.listWrites, most, w.report())
	}
	return nil
}

// spreadFault returns an error if a version has far more than its share of the buckets.
func (w *world) spreadFault() error {
	counts := map[identifier.Software]int{}
	for _, b := range w.record[poolID] {
		counts[b[0]]++
	}
	capacity, total := w.capacity(), 0
	for _, n := range capacity {
		total += n
	}
	for software, n := range counts {
		share := (capacity[software]*versioner.BucketCount + total - 1) / total
		if n > max(versioner.MaxOverload*share, share+1) {
			return errors.Errorf("%s has %d buckets, its share is %d\n%s", software, n, share, w.report())
		}
	}
	return nil
}

// checkSeeds plays a schedule in some worlds. The record has to have settled at its end.
func checkSeeds(t *testing.T, seeds int, o options, play func(w *world)) {
	t.Helper()
	if *seedsFlag > 0 {
		seeds = *seedsFlag
	}
	var worst error
	joined, faults := 0, 0
	for seed := range uint64(seeds) {
		o.seed = seed + 1
		w := newWorld(o)
		play(w)
		joined += len(w.joined)
		fault := w.fault()
		if fault == nil {
			fault = w.spreadFault()
		}
		if fault != nil {
			faults++
			if worst == nil {
				worst = fault
			}
		}
		if seed == 0 {
			t.Log(w.report())
		}
	}
	t.Logf("%d of %d seeds with a fault, %d joined streams in all", faults, seeds, joined)
	failUnlessKnownRed(t, worst)
}

func TestReleaseAndRollbackJoinVersions(t *testing.T) {
	checkSeeds(t, 10, defaults(0), func(w *world) {
		w.release("v2", 0.5, 8, 400*time.Millisecond)
		w.run(15 * time.Second)
		w.release("v1", 1, 8, 400*time.Millisecond)
		w.run(20 * time.Second)
	})
}

func TestFullReleaseJoinsVersions(t *testing.T) {
	checkSeeds(t, 10, defaults(0), func(w *world) {
		w.release("v2", 1, 8, 400*time.Millisecond)
		w.run(25 * time.Second)
	})
}

func TestThirdVersionDuringReleaseJoinsVersions(t *testing.T) {
	checkSeeds(t, 10, defaults(0), func(w *world) {
		w.release("v2", 0.5, 8, 400*time.Millisecond)
		w.run(3 * time.Second)
		w.release("v3", 0.5, 8, 300*time.Millisecond)
		w.run(20 * time.Second)
	})
}

// The VMs are killed at one moment each, before, in and after the change of buckets.
func TestKilledVMsDuringReleaseJoinVersions(t *testing.T) {
	o := defaults(0)
	o.streamsPerSecond = 60
	for _, at := range []int{2000, 5500, 6500, 7500, 8500, 9500, 12000} {
		t.Run((time.Duration(at) * time.Millisecond).String(), func(t *testing.T) {
			checkSeeds(t, 4, o, func(w *world) {
				w.release("v2", 0.5, 8, 400*time.Millisecond)
				w.run(time.Duration(at) * time.Millisecond)
				w.killShare(0.35, 700*time.Millisecond)
				w.run(15 * time.Second)
			})
		})
	}
}

// A VM that starts has to begin streams where others expect it, however long the change
// was ago.
func TestRestartedVMsAfterReleaseJoinVersions(t *testing.T) {
	checkSeeds(t, 10, defaults(0), func(w *world) {
		w.release("v2", 0.5, 8, 400*time.Millisecond)
		for range 12 {
			w.run(1300 * time.Millisecond)
			w.killShare(0.35, 700*time.Millisecond)
		}
		w.run(12 * time.Second)
	})
}

func TestVersionThatCrashesAndComesBackJoinsVersions(t *testing.T) {
	checkSeeds(t, 10, defaults(0), func(w *world) {
		w.release("v2", 0.5, 8, 100*time.Millisecond)
		w.run(15 * time.Second)
		w.crash("v2", 2*time.Second)
		w.run(50 * time.Millisecond)
		w.killShare(0.35, time.Second)
		w.run(14 * time.Second)
		w.crash("v1", 2*time.Second)
		w.run(25 * time.Second)
	})
}

func TestUnequalCapacitiesOverloadVersion(t *testing.T) {
	checkSeeds(t, 10, defaults(0), func(w *world) {
		w.release("v2", 0.5, 80, 100*time.Millisecond)
		w.run(20 * time.Second)
	})
}

func TestStoreOutageDuringReleaseJoinsVersions(t *testing.T) {
	for _, at := range []int{0, 2000, 4000, 6000, 7000} {
		t.Run((time.Duration(at) * time.Millisecond).String(), func(t *testing.T) {
			checkSeeds(t, 4, defaults(0), func(w *world) {
				w.release("v2", 0.5, 8, 400*time.Millisecond)
				w.run(time.Duration(at) * time.Millisecond)
				w.outage(6 * time.Second)
				w.run(2 * time.Second)
				w.killShare(0.35, time.Second)
				w.run(25 * time.Second)
			})
		})
	}
}

func TestRecordLostInCopyJoinsVersions(t *testing.T) {
	checkSeeds(t, 10, defaults(0), func(w *world) {
		w.copyStore()
		w.release("v2", 0.5, 8, 100*time.Millisecond)
		w.run(14 * time.Second)
		w.restore()
		w.run(25 * time.Second)
	})
}

func TestVMsKilledAfterCopyJoinVersions(t *testing.T) {
	checkSeeds(t, 10, defaults(0), func(w *world) {
		w.copyStore()
		w.release("v2", 0.5, 8, 100*time.Millisecond)
		w.run(14 * time.Second)
		w.restore()
		w.run(300 * time.Millisecond)
		w.killShare(0.35, time.Second)
		w.run(25 * time.Second)
	})
}

// VMs that start before the lost record is back know only the earlier one.
func TestVMsStartedRightAfterCopyJoinVersions(t *testing.T) {
	checkSeeds(t, 10, defaults(0), func(w *world) {
		w.copyStore()
		w.release("v2", 0.5, 80, 100*time.Millisecond)
		w.run(8 * time.Second)
		w.killShare(0.35, 300*time.Millisecond)
		w.restore()
		w.run(25 * time.Second)
	})
}

// The VMs that know the change are killed before they have written it again.
func TestVMsThatKnewKilledRightAfterCopyJoinVersions(t *testing.T) {
	for _, after := range []time.Duration{0, 100 * time.Millisecond, 400 * time.Millisecond, time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			checkSeeds(t, 10, defaults(0), func(w *world) {
				w.copyStore()
				w.release("v2", 0.5, 80, 100*time.Millisecond)
				w.run(8 * time.Second)
				knew := slices.Clone(w.vms)
				w.killShare(0.35, 300*time.Millisecond)
				knew = slices.DeleteFunc(knew, func(v *vm) bool { return !w.isUp(v) })
				w.restore()
				w.run(after)
				for _, v := range knew {
					w.kill(v, 300*time.Millisecond)
				}
				w.run(45 * time.Second)
			})
		})
	}
}

// A copy in the middle of a change leaves VMs that start without what is in force.
func TestVMsStartedAfterCopyDuringChangeJoinVersions(t *testing.T) {
	o := defaults(0)
	o.streamsPerSecond = 60
	for _, at := range []int{500, 1500, 2500, 4000, 5000, 6000, 9000, 12000} {
		t.Run((time.Duration(at) * time.Millisecond).String(), func(t *testing.T) {
			checkSeeds(t, 10, o, func(w *world) {
				w.copyStore()
				w.release("v2", 0.5, 80, 100*time.Millisecond)
				w.run(time.Duration(at) * time.Millisecond)
				w.killShare(0.35, 300*time.Millisecond)
				w.restore()
				w.run(700 * time.Millisecond)
				w.killShare(0.35, 300*time.Millisecond)
				w.run(25 * time.Second)
			})
		})
	}
}

func TestVMsStartedBetweenCopiesJoinVersions(t *testing.T) {
	for _, gap := range []time.Duration{200 * time.Millisecond, time.Second, 3 * time.Second} {
		t.Run(gap.String(), func(t *testing.T) {
			checkSeeds(t, 10, defaults(0), func(w *world) {
				w.copyStore()
				w.release("v2", 0.5, 80, 100*time.Millisecond)
				w.run(8 * time.Second)
				w.killShare(0.35, 300*time.Millisecond)
				w.restore()
				w.run(gap)
				w.killShare(0.35, 300*time.Millisecond)
				w.restore()
				w.run(25 * time.Second)
			})
		})
	}
}

// The first record is written while two versions serve.
func TestFirstRecordJoinsVersions(t *testing.T) {
	o := defaults(0)
	o.isNew, o.streamsPerSecond = true, 60
	checkSeeds(t, 10, o, func(w *world) {
		for _, r := range w.runners[:4] {
			r.software = "v2"
		}
		w.newCapacity()
		w.run(15 * time.Second)
	})
}

func TestVMOutOfTouchDuringReleaseJoinsVersions(t *testing.T) {
	checkSeeds(t, 10, defaults(0), func(w *world) {
		w.release("v2", 0.5, 8, 100*time.Millisecond)
		w.cut(w.vms[2], 15*time.Second)
		w.run(30 * time.Second)
	})
}

// Keeper lets a VM write twice a second, and four times at once.
func TestSlowWritesOfListsJoinVersions(t *testing.T) {
	o := defaults(0)
	o.streamsPerSecond, o.writeBurst, o.writeInterval = 60, 4, 500*time.Millisecond
	checkSeeds(t, 10, o, func(w *world) {
		w.release("v2", 0.5, 8, 400*time.Millisecond)
		for range 4 {
			w.run(2500 * time.Millisecond)
			w.killShare(0.35, 700*time.Millisecond)
		}
		w.run(20 * time.Second)
	})
}

// A VM may know better than others which runners leave.
func TestVMsThatDisagreeOnCapacityMoveBucketsForEver(t *testing.T) {
	checkSeeds(t, 5, defaults(0), func(w *world) {
		w.release("v2", 0.5, 8, 100*time.Millisecond)
		w.run(20 * time.Second)
		w.vms[2].capacity = map[identifier.Software]int{"v1": 32, "v2": 8}
		w.run(60 * time.Second)
	})
}

// One VM alone sees no runners of a version, for a time and at the change of buckets.
func TestVMThatSeesNoRunnersOfVersionJoinsVersions(t *testing.T) {
	for _, after := range []time.Duration{3 * time.Second, 4 * time.Second, 12 * time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			o := defaults(0)
			o.streamsPerSecond = 60
			checkSeeds(t, 5, o, func(w *world) {
				w.release("v2", 0.5, 8, 100*time.Millisecond)
				w.run(after)
				w.vms[4].capacity = map[identifier.Software]int{"v2": 32}
				w.run(6 * time.Second)
				w.vms[4].capacity = w.capacity()
				w.run(25 * time.Second)
			})
		})
	}
}

// What a stream's version is follows from the record and the lists together.
func TestVMsWithoutSharedRecordJoinVersions(t *testing.T) {
	o := defaults(1)
	o.noRecord = true
	expectJoined(t, o)
}

func TestVMsWithoutListsJoinVersions(t *testing.T) {
	o := defaults(1)
	o.noLists = true
	expectJoined(t, o)
}

func expectJoined(t *testing.T, o options) {
	t.Helper()
	w := newWorld(o)
	w.release("v2", 0.5, 8, 400*time.Millisecond)
	for range 10 {
		w.run(3 * time.Second)
		w.killShare(0.35, time.Second)
	}
	t.Log(w.report())
	if len(w.joined) <= maxJoined {
		t.Errorf("%d streams hold events of two versions, the check can't tell", len(w.joined))
	}
}

var (
	largeFlag = flag.Bool("versioner.large", false, "simulate 295 VMs")
	seedsFlag = flag.Int("versioner.seeds", 0, "simulate this many seeds, zero for each test's own number")
)

func TestManyVMsJoinVersions(t *testing.T) {
	if !*largeFlag {
		t.Skip("run with -versioner.large")
	}
	o := defaults(0)
	o.vms, o.streamsPerSecond = 295, 600
	checkSeeds(t, 1, o, func(w *world) {
		w.release("v2", 0.5, 8, 400*time.Millisecond)
		w.run(7 * time.Second)
		w.killShare(0.35, 2*time.Second)
		w.run(18 * time.Second)
	})
}

func TestManyVMsStartedRightAfterCopyJoinVersions(t *testing.T) {
	if !*largeFlag {
		t.Skip("run with -versioner.large")
	}
	o := defaults(0)
	o.vms, o.streamsPerSecond = 295, 600
	checkSeeds(t, 1, o, func(w *world) {
		w.copyStore()
		w.release("v2", 0.5, 80, 100*time.Millisecond)
		w.run(8 * time.Second)
		w.killShare(0.35, 300*time.Millisecond)
		w.restore()
		w.run(15 * time.Second)
	})
}

// TestSchedulesJoinVersions plays drawn changes of the runners, the VMs and the store.
func TestSchedulesJoinVersions(t *testing.T) {
	r := &recorder{T: t}
	rapid.Check(r, func(t *rapid.T) {
		w := newWorld(defaults(rapid.Uint64Range(1, 1<<32).Draw(t, "seed")))
		for range rapid.IntRange(1, 6).Draw(t, "changes") {
			w.act(t)
			w.run(time.Duration(rapid.IntRange(0, 9000).Draw(t, "ms")) * time.Millisecond)
		}
		w.run(20 * time.Second)
		if err := w.fault(); err != nil {
			t.Fatal(err)
		}
	})
	failUnlessKnownRed(t, r.fault)
}

// recorder keeps the failure of a test instead of failing it.
type recorder struct {
	*testing.T
	fault error
}

func (r *recorder) Errorf(format string, args ...any) { r.fault = errors.Errorf(format, args...) }
func (r *recorder) Fatalf(format string, args ...any) {
	if r.fault == nil {
		r.fault = errors.Errorf(format, args...)
	}
}
func (r *recorder) FailNow()     {}
func (r *recorder) Fail()        {}
func (r *recorder) Failed() bool { return r.fault != nil }

func (w *world) act(t *rapid.T) {
	version := func() identifier.Software {
		return rapid.SampledFrom([]identifier.Software{"v1", "v2", "v3"}).Draw(t, "version")
	}
	switch rapid.SampledFrom([]string{"release", "crash", "kill", "cut", "outage", "copy", "restore"}).Draw(t, "change") {
	case "release":
		share := rapid.SampledFrom([]float64{0.25, 0.5, 1}).Draw(t, "share")
		slots := rapid.SampledFrom([]int{8, 8, 80}).Draw(t, "slots")
		gap := rapid.IntRange(50, 1000).Draw(t, "gap ms")
		w.release(version(), share, slots, time.Duration(gap)*time.Millisecond)
	case "crash":
		w.crash(version(), 2*time.Second)
	case "kill":
		w.killShare(0.35, time.Duration(rapid.IntRange(300, 3000).Draw(t, "down ms"))*time.Millisecond)
	case "cut":
		for _, i := range w.rng.Perm(len(w.vms))[:rapid.IntRange(1, 2).Draw(t, "VMs")] {
			v := w.vms[i]
			w.cut(v, time.Duration(rapid.IntRange(500, 8000).Draw(t, "cut ms"))*time.Millisecond)
			if rapid.Bool().Draw(t, "is killed") {
				w.after(time.Duration(rapid.IntRange(0, 8000).Draw(t, "kill ms"))*time.Millisecond, func() { w.kill(v, 300*time.Millisecond) })
			}
		}
	case "outage":
		w.outage(time.Duration(rapid.IntRange(500, 8000).Draw(t, "down ms")) * time.Millisecond)
	case "copy":
		w.copyStore()
	case "restore":
		w.restore()
	}
}
