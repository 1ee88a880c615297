package tracker_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/tracker"
	"github.com/figtrack/figtrack/wire"
)

// newShared returns a view of decode engines that each have room for two requests of 4000
// tokens.
func newShared(seed uint64, engines int) *tracker.Tracker {
	view := tracker.New("east", seed)
	var all []tracker.Runner
	for i := range engines {
		all = append(all, runner(fmt.Sprintf("d%d", i), identifier.RoleDecode, "east"))
	}
	view.Step(start, tracker.Listed{Runners: all})
	view.Step(start, tracker.Sized{Pools: map[identifier.Pool]tracker.Size{"desk": {Memory: 8000, Slots: 4}}})
	return view
}

// digest gives a view the work of all VMs at d0, d1 and so on, in tokens.
func digest(view *tracker.Tracker, at time.Duration, tokens ...identifier.Tokens) {
	all := map[tracker.RunnerHash]tracker.Occupied{7: {Calls: 3, Tokens: 9000}} // A runner that the view doesn't know.
	for i, n := range tokens {
		all[tracker.HashOf(find(view, identifier.Upstream(fmt.Sprint("d", i))))] = tracker.Occupied{Calls: int(n / 4000), Tokens: n}
	}
	view.EncodeReport(start.Add(at), &wire.ExchangeReport{})
	view.Step(start.Add(at), tracker.Digested{SentAt: start.Add(at), All: all, Reporting: 20})
}

// shares returns how often each engine is chosen of 1000 times.
func shares(view *tracker.Tracker, at time.Duration) map[identifier.Upstream]int {
	count := map[identifier.Upstream]int{}
	for range 1000 {
		r, _ := view.Decode(start.Add(at), "desk", 4000, tracker.Choice{})
		count[r.ID]++
	}
	return count
}

func TestEnginesAreChosenByEstimatedRoom(t *testing.T) {
	const none = identifier.Upstream("")
	for name, c := range map[string]struct {
		change func(view *tracker.Tracker)
		at     time.Duration
		// want holds the engines that are chosen and about how often.
		want map[identifier.Upstream]int
	}{
		"in proportion to their room": {func(view *tracker.Tracker) { digest(view, 0, 8000, 4000) }, 0, map[identifier.Upstream]int{"d1": 333, "d2": 667}},
		"the VM's own part counts once": {func(view *tracker.Tracker) {
			view.BeginHold(find(view, "d0"), 4000)
			digest(view, 0, 4000, 8000, 8000)
		}, 0, map[identifier.Upstream]int{"d0": 1000}},
		"what the VM adds and ends counts at once": {func(view *tracker.Tracker) {
			view.BeginCall(find(view, "d0"), tracker.Load{DecodeTokens: 8000})
			digest(view, 0, 8000, 0, 8000)
			view.EndCall(find(view, "d0"), tracker.Load{DecodeTokens: 8000})
			view.BeginHold(find(view, "d1"), 8000)
		}, 0, map[identifier.Upstream]int{"d0": 1000}},
		"a refusal outlives the digest that follows": {func(view *tracker.Tracker) {
			digest(view, 0)
			view.BeginHold(find(view, "d0"), 4000)
			view.RecordFull(start.Add(190*time.Millisecond), find(view, "d0"), 4000)
			view.EndHold(find(view, "d0"), 4000)
			digest(view, 200*time.Millisecond, 0, 8000, 4000)
		}, 255 * time.Millisecond, map[identifier.Upstream]int{"d2": 1000}},
		"a second digest ends it": {func(view *tracker.Tracker) {
			view.RecordFull(start, find(view, "d0"), 4000)
			digest(view, 200*time.Millisecond, 0, 8000, 8000)
		}, 200 * time.Millisecond, map[identifier.Upstream]int{"d0": 1000}},
		"an engine that was started again is empty": {func(view *tracker.Tracker) {
			digest(view, 0, 8000, 8000, 8000)
			view.Step(start, tracker.EntryWritten{Runner: changed(find(view, "d0"), func(r *tracker.Runner) { r.Start = 2 })})
		}, 0, map[identifier.Upstream]int{"d0": 1000}},
		"none that changes its role or leaves": {func(view *tracker.Tracker) {
			digest(view, 0)
			view.Step(start, tracker.RoleOrdered{ID: "d0", Until: start.Add(time.Second)})
			view.RecordLeaving(find(view, "d1"))
		}, 0, map[identifier.Upstream]int{"d2": 1000}},
		"the digest of a new coordinator that heard few VMs isn't used": {func(view *tracker.Tracker) {
			digest(view, 0, 8000, 8000)
			view.Step(start, tracker.Digested{SentAt: start.Add(100 * time.Millisecond), Reporting: 2})
		}, 100 * time.Millisecond, map[identifier.Upstream]int{"d2": 1000}},
		"without room only one is tried in a pause": {func(view *tracker.Tracker) { digest(view, 0, 8000, 8000, 8000) }, 0, map[identifier.Upstream]int{none: 999}},
		"an old digest isn't used":                  {func(view *tracker.Tracker) { digest(view, 0, 8000, 0, 8000) }, 2 * time.Second, map[identifier.Upstream]int{"d0": 333, "d1": 333, "d2": 333}},
		"a rebuilt view keeps the estimate": {func(view *tracker.Tracker) {
			digest(view, 0, 8000, 8000, 4000)
			*view = *view.Rebuilt()
		}, 0, map[identifier.Upstream]int{"d2": 1000}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			view := newShared(1, 3)
			c.change(view)
			count := shares(view, c.at)
			for _, id := range []identifier.Upstream{"d0", "d1", "d2"} {
				if c.want[none] == 0 {
					g.Expect(count[id]).To(BeNumerically("~", c.want[id], 60), string(id))
				}
			}
			g.Expect(count[none]).To(Equal(c.want[none]))
		})
	}
}

// TestChoiceWithoutADigestIsAsBefore checks that views of small fleets and cut off VMs choose
// exactly by their own load.
func TestChoiceWithoutADigestIsAsBefore(t *testing.T) {
	g := NewWithT(t)
	plain, old := newShared(1, 9), newShared(1, 9)
	digest(old, 0, 8000, 0, 8000)
	for i := range 300 {
		at := start.Add(2*time.Second + time.Duration(i)*time.Millisecond)
		a, _ := plain.Decode(at, "desk", 4000, tracker.Choice{HasSlack: true})
		b, _ := old.Decode(at, "desk", 4000, tracker.Choice{HasSlack: true})
		g.Expect(a.ID).To(Equal(b.ID))
		plain.BeginCall(a, tracker.Load{DecodeTokens: 4000})
		old.BeginCall(b, tracker.Load{DecodeTokens: 4000})
	}
}

func TestSlackAndChecks(t *testing.T) {
	g := NewWithT(t)
	view := newShared(1, 3)
	digest(view, 0)
	_, ok := view.Decode(start, "desk", 4000, tracker.Choice{HasSlack: true})
	g.Expect(ok).To(BeFalse(), "the estimate counts the growth for which slack is asked")
	digest(view, 0, 8000, 8000, 8000)
	for range 3 {
		_, ok = view.Decode(start, "desk", 4000, tracker.Choice{IsCheck: true})
		g.Expect(ok).To(BeTrue(), "there are engines, and nothing is sent")
	}
}

// TestEqualDigestsDoNotMeet guards against VMs that follow equal digests to the same engine.
func TestEqualDigestsDoNotMeet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tokens := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) identifier.Tokens {
			return identifier.Tokens(rapid.IntRange(0, 9000).Draw(t, "tokens"))
		}), 12, 12).Draw(t, "work")
		views := []*tracker.Tracker{newShared(1, 12), newShared(2, 12)}
		counts := []map[identifier.Upstream]float64{{}, {}}
		const n = 600
		same := 0.0
		for _, view := range views {
			digest(view, 0, tokens...)
		}
		for i := range n {
			var chosen [2]identifier.Upstream
			for j, view := range views {
				r, _ := view.Decode(start.Add(time.Duration(i)*time.Millisecond), "desk", 3000, tracker.Choice{})
				chosen[j] = r.ID
				counts[j][r.ID]++
			}
			if chosen[0] == chosen[1] && chosen[0] != "" {
				same++
			}
		}
		chance := 0.0
		for id, k := range counts[0] {
			if id != "" {
				chance += k * counts[1][id] / n
			}
		}
		if same > chance+0.1*n {
			t.Fatalf("chose the same engine %v times of %d, by chance %v", same, n, chance)
		}
	})
}

// TestPlainServiceThatRejectsIsAvoided guards against a service that looks empty as it rejects
// all calls.
func TestPlainServiceThatRejectsIsAvoided(t *testing.T) {
	g := NewWithT(t)
	view := newFleet()
	view.Step(start, tracker.Digested{SentAt: start, Reporting: 20})
	for range 30 {
		view.RecordCalled(start, find(view, "s-east"), false)
		view.RecordCalled(start, find(view, "s-west"), true)
	}
	west := 0
	for range 1000 {
		if choosePlain(view, 0) == "s-west" {
			west++
		}
	}
	g.Expect(west).To(BeNumerically(">", 950))
}
