package orderer_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/orderer"
)

func allRunners(int) bool { return true }

func noRunners(int) bool { return false }

// change sets a new wanted state for one runner, under the next revision.
func (w *world) change(i int, version string, role identifier.Role) {
	w.revision++
	id := w.engines[i].id
	w.want[id] = orderer.Serving{Models: []identifier.Model{"hull"}, Version: version, Role: role}
}

// endFaults ends all faults: one VM owns every runner, and all VMs know the
// present configuration.
func (w *world) endFaults() {
	w.down, w.lossy, w.slow = false, false, 0
	for _, e := range w.engines {
		e.down = false
	}
	for i, id := range w.vms {
		owned := noRunners
		if i == 0 {
			owned = allRunners
		}
		w.configure(id, owned)
	}
}

// TestOrdersUnderFaults lets several VMs act as owners of the same runners under
// random faults. Orders to a runner that ignores fencing tokens must not overlap,
// records must not go back, and the runners must end up as configured.
func TestOrdersUnderFaults(t *testing.T) {
	var issued, steps int
	reasons := map[orderer.Reason]int{}
	rapid.Check(t, func(r *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(r, "seed"), 3, 4)
		vms := rapid.SampledFrom(w.vms)
		r.Repeat(map[string]func(*rapid.T){
			"change": func(r *rapid.T) {
				role := rapid.SampledFrom([]identifier.Role{identifier.RolePrefill, identifier.RoleDecode}).Draw(r, "role")
				w.change(rapid.IntRange(0, 3).Draw(r, "runner"), fmt.Sprintf("v%d", rapid.IntRange(1, 3).Draw(r, "version")), role)
			},
			"tell": func(r *rapid.T) {
				mask := rapid.IntRange(0, 15).Draw(r, "owned")
				w.configure(vms.Draw(r, "vm"), func(i int) bool { return mask&(1<<i) != 0 })
			},
			"pause": func(r *rapid.T) {
				o := w.owners[vms.Draw(r, "vm")]
				o.pausedUntil = w.now.Add(time.Duration(rapid.IntRange(1, 90).Draw(r, "seconds")) * time.Second)
			},
			"restart": func(r *rapid.T) { w.start(vms.Draw(r, "vm")) },
			"store":   func(r *rapid.T) { w.down = rapid.Bool().Draw(r, "down") },
			"lossy":   func(r *rapid.T) { w.lossy = rapid.Bool().Draw(r, "lossy") },
			"slow": func(r *rapid.T) {
				w.slow = time.Duration(rapid.IntRange(0, 28).Draw(r, "seconds")) * time.Second
			},
			"engine": func(r *rapid.T) {
				w.engines[rapid.IntRange(0, 3).Draw(r, "runner")].down = rapid.Bool().Draw(r, "down")
			},
			"run": func(r *rapid.T) {
				w.run(time.Duration(rapid.IntRange(1, 40_000).Draw(r, "ms")) * time.Millisecond)
			},
			"": func(r *rapid.T) {
				steps++
				if len(w.violations) > 0 {
					r.Fatal(w.violations[0])
				}
			},
		})
		w.endFaults()
		w.run(10 * time.Minute)
		if wrong := w.wrong(); len(wrong) > 0 {
			r.Fatalf("runners %v don't serve what the configuration asks", wrong)
		}
		issued += w.issued
		for reason, n := range w.deferred {
			reasons[reason] += n
		}
	})
	t.Logf("%d steps, %d orders, deferred %v", steps, issued, reasons)
	if steps < 10_000 || issued < 1_000 {
		t.Fatalf("only %d steps and %d orders", steps, issued)
	}
}

// TestLateOrderIsCorrected lets an order arrive minutes late, after every wait
// has ended: its owner was paused between writing the record and sending it.
func TestLateOrderIsCorrected(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(1, 2, 2)
	w.change(0, "v2", identifier.RoleDecode)
	w.change(1, "v2", identifier.RoleDecode)
	w.configure("vm-0", allRunners)
	w.run(time.Minute)
	g.Expect(w.wrong()).To(BeEmpty())

	late := []orderer.Issue{}
	for _, e := range w.engines {
		s := w.records[e.id]
		s.record.Issuer, s.record.Fence = "vm-9", s.record.Fence+1
		w.records[e.id] = stored{record: s.record, version: s.version + 1}
		o := orderer.Issue{Upstream: e.id}
		o.Order.Fence, o.Order.Version, o.Order.Role = s.record.Fence, "v1", identifier.RolePrefill
		late = append(late, o)
	}
	w.change(0, "v3", identifier.RoleDecode)
	w.change(1, "v3", identifier.RoleDecode)
	begin := w.now
	w.configure("vm-0", allRunners)
	for len(w.wrong()) > 0 && w.now.Sub(begin) < 5*time.Minute {
		w.run(100 * time.Millisecond)
	}
	took := w.now.Sub(begin)
	w.run(3 * time.Minute)
	for i, e := range w.engines {
		e.execute(late[i])
	}
	g.Expect(w.wrong()).To(Equal([]identifier.Upstream{"runner-1"}), "only the runner that ignores fencing tokens carries out the late order")
	begin = w.now
	for len(w.wrong()) > 0 && w.now.Sub(begin) < 5*time.Minute {
		w.run(100 * time.Millisecond)
	}
	fmt.Printf("change after an earlier issuer in force after %.1f s; late order corrected after %.1f s\n",
		took.Seconds(), w.now.Sub(begin).Seconds())
	g.Expect(w.wrong()).To(BeEmpty())
	g.Expect(took).To(BeNumerically("<", 2*orderer.MaxOrderDelay))
	g.Expect(w.now.Sub(begin)).To(BeNumerically("<", orderer.VerifyInterval+orderer.MaxOrderDelay))
}

// TestStoreRestoredFromBackup clears the records, so that an engine that checks
// fencing tokens has already seen higher ones than the store has.
func TestStoreRestoredFromBackup(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(1, 1, 2)
	for i := range 20 {
		w.change(0, fmt.Sprint(i), identifier.RoleDecode)
		w.configure("vm-0", allRunners)
		w.run(time.Minute)
	}
	clear(w.records)
	w.start("vm-0")
	w.change(0, "last", identifier.RoleDecode)
	w.configure("vm-0", allRunners)
	w.run(time.Minute)
	g.Expect(w.wrong()).To(BeEmpty())
}
