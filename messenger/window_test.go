package messenger

import (
	"flag"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/figtrack/figtrack/identifier"
)

// rapidSeed fixes the generated cases, so that every run tests the same ones.
const rapidSeed = "20261203"

func TestWindowAcceptsEachMessageOnce(t *testing.T) {
	NewWithT(t).Expect(flag.Set("rapid.seed", rapidSeed)).To(Succeed())
	rapid.Check(t, func(r *rapid.T) {
		var w replayWindow
		accepted := map[[2]uint64]bool{}
		for _, step := range rapid.SliceOfN(rapid.Uint64Range(1, 3*windowMessages), 1, 200).Draw(r, "steps") {
			incarnation := rapid.Uint64Range(1, 3).Draw(r, "incarnation")
			if !w.add(identifier.Incarnation(incarnation), identifier.Sequence(step)) {
				continue
			}
			key := [2]uint64{incarnation, step}
			if accepted[key] {
				r.Fatalf("message %v accepted twice", key)
			}
			accepted[key] = true
		}
	})
}

func TestWindowAcceptsLateMessagesAndNewIncarnations(t *testing.T) {
	g := NewWithT(t)
	var w replayWindow
	g.Expect(w.add(1, 10)).To(BeTrue())
	g.Expect(w.add(1, 9)).To(BeTrue())
	g.Expect(w.add(1, 10)).To(BeFalse())
	g.Expect(w.add(2, 1)).To(BeTrue())
	g.Expect(w.add(1, 11)).To(BeFalse())
}
