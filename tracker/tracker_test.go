package tracker_test

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/keeper"
	"github.com/figtrack/figtrack/tracker"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func runner(id string, role identifier.Role, in identifier.DataCentre) tracker.Runner {
	return tracker.Runner{ID: identifier.Upstream(id), Start: 1, Pool: "desk", Role: role, DataCentre: in, Address: id, Slots: 6, Age: keeper.Age{Version: 1}, Sequence: 1}
}

func changed(r tracker.Runner, change func(r *tracker.Runner)) tracker.Runner {
	r.Age.Version++
	r.Sequence++
	change(&r)
	return r
}

func TestViewFollowsEntries(t *testing.T) {
	s1 := runner("s1", identifier.RolePlain, "east")
	leaving := changed(s1, func(r *tracker.Runner) { r.Leaving = true })
	again := changed(leaving, func(r *tracker.Runner) { r.Leaving = false })
	restarted := changed(again, func(r *tracker.Runner) { r.Start, r.Sequence = 2, 1 })
	steps := []step{
		{0, tracker.Listed{Runners: []tracker.Runner{s1, runner("s2", identifier.RolePlain, "west")}}},
		{1 * time.Second, tracker.EntryWritten{Runner: leaving}},
		{2 * time.Second, tracker.EntryWritten{Runner: again}},
		{3 * time.Second, tracker.EntryWritten{Runner: restarted}},
		{4 * time.Second, tracker.Removed{ID: "s1", Age: keeper.Age{Version: 2}}},
		{5 * time.Second, tracker.Removed{ID: "s1", Age: keeper.Age{Version: 9}}},
		{6 * time.Second, tracker.EntryWritten{Runner: restarted}},
		{10 * time.Second, tracker.StoreBack{ActBy: start.Add(13 * time.Second)}},
		{10 * time.Second, tracker.Listed{}},
		{11 * time.Second, tracker.Wake{}},
		{11900 * time.Millisecond, tracker.Wake{}},
		{12 * time.Second, tracker.Wake{}},
		{20 * time.Second, tracker.StoreBack{ActBy: start.Add(23 * time.Second)}},
		{20 * time.Second, tracker.EntryWritten{Runner: changed(restarted, func(r *tracker.Runner) { r.Age.Version = 20 })}},
		{20 * time.Second, tracker.Removed{ID: "s1", Age: keeper.Age{Version: 21}}},
		{21 * time.Second, tracker.EntryWritten{Runner: changed(restarted, func(r *tracker.Runner) { r.Age.Version, r.Sequence = 22, 9 })}},
		{30 * time.Second, tracker.Wake{}},
	}
	var w strings.Builder
	view := tracker.New("east", 1)
	play(&w, view, steps)
	goldie.New(t).Assert(t, "entries", []byte(w.String()))
}

type step struct {
	at time.Duration
	e  tracker.Event
}

// play steps a view and prints the events and changes.
func play(w io.Writer, view *tracker.Tracker, steps []step) {
	for _, s := range steps {
		fmt.Fprintf(w, "%5s %s\n", s.at, strings.TrimPrefix(fmt.Sprintf("%T", s.e), "tracker."))
		for _, c := range view.Step(start.Add(s.at), s.e) {
			fmt.Fprintf(w, "      -> %s\n", describe(c))
		}
	}
}

// TestViewAfterTheStoreCameBackFromACopy checks that what is missing or older in a
// copy doesn't undo what is known, until runners had the time to register again.
func TestViewAfterTheStoreCameBackFromACopy(t *testing.T) {
	const plain = identifier.RolePlain
	inEra := func(r tracker.Runner, version keeper.Version, change func(r *tracker.Runner)) tracker.Runner {
		r.Age = keeper.Age{Era: 2, Version: version}
		change(&r)
		return r
	}
	same := func(*tracker.Runner) {}
	old, moved, leaving, gone, late := runner("old", plain, "east"), runner("moved", plain, "east"), runner("leaving", plain, "east"), runner("gone", plain, "east"), runner("late", plain, "east")
	for _, r := range []*tracker.Runner{&old, &moved, &leaving, &gone, &late} {
		r.Age, r.Start, r.Sequence = keeper.Age{Era: 1, Version: 20}, 5, 4
	}
	left := leaving
	left.Leaving, left.Sequence, left.Age.Version = true, 5, 21
	steps := []step{
		{0, tracker.Listed{Runners: []tracker.Runner{old, moved, leaving, gone, late}}},
		{1 * time.Second, tracker.EntryWritten{Runner: left}},
		{1 * time.Second, tracker.Removed{ID: "gone", Age: keeper.Age{Era: 1, Version: 22}}},
		{2 * time.Second, tracker.EraChanged{}},
		{2 * time.Second, tracker.StoreBack{ActBy: start.Add(5 * time.Second)}},
		{2 * time.Second, tracker.Listed{Runners: []tracker.Runner{
			inEra(leaving, 3, func(r *tracker.Runner) { r.Sequence = 2 }), // Before it said that it leaves.
			inEra(gone, 4, func(r *tracker.Runner) { r.Sequence = 3 }),    // Before it was removed.
			inEra(moved, 5, func(r *tracker.Runner) { r.Start, r.Address = 1, "elsewhere" }),
			inEra(old, 6, func(r *tracker.Runner) { r.Sequence = 1 }),
		}}},
		{3 * time.Second, tracker.Removed{ID: "old", Age: keeper.Age{Era: 1, Version: 30}}}, // A change of the era before.
		{4 * time.Second, tracker.EntryWritten{Runner: inEra(runner("brief", plain, "east"), 7, same)}},
		{4500 * time.Millisecond, tracker.Removed{ID: "brief", Age: keeper.Age{Era: 2, Version: 8}}}, // It leaves.
		{5 * time.Second, tracker.EntryWritten{Runner: inEra(late, 9, same)}},
		{5 * time.Second, tracker.EntryWritten{Runner: inEra(runner("new", plain, "east"), 10, same)}},
		{8 * time.Second, tracker.Wake{}},
		{9 * time.Second, tracker.Removed{ID: "old", Age: keeper.Age{Era: 2, Version: 11}}},
		{10 * time.Second, tracker.EraChanged{}},
		{10 * time.Second, tracker.Listed{}},
		{11 * time.Second, tracker.EraChanged{}}, // A second copy before the runners were back.
		{11 * time.Second, tracker.Listed{}},
		{15500 * time.Millisecond, tracker.Wake{}},
		{16 * time.Second, tracker.Wake{}},
	}
	var w strings.Builder
	view := tracker.New("east", 1)
	play(&w, view, steps)
	for _, id := range []identifier.Upstream{"moved", "late", "leaving"} {
		if r, ok := view.Find(id); ok {
			fmt.Fprintf(&w, "%s: start %d at %s, leaving %t\n", r.ID, r.Start, r.Address, r.Leaving)
		}
	}
	goldie.New(t).Assert(t, "eras", []byte(w.String()))
}

func describe(c tracker.Change) string {
	name := strings.TrimPrefix(fmt.Sprintf("%T", c), "tracker.")
	switch c := c.(type) {
	case tracker.Joined:
		return fmt.Sprintf("%s %s start %d", name, c.Runner.ID, c.Runner.Start)
	case tracker.Left:
		return fmt.Sprintf("%s %s", name, c.Runner.ID)
	case tracker.Missing:
		return fmt.Sprintf("%s %s until %s", name, c.Runner.ID, c.Until.Sub(start))
	case tracker.Gone:
		return fmt.Sprintf("%s %s", name, c.Runner.ID)
	default:
		return name
	}
}

// newFleet returns a view of a prefill, a decode and a plain runner in each of two
// data centres.
func newFleet() *tracker.Tracker {
	view := tracker.New("east", 1)
	var all []tracker.Runner
	for _, in := range []identifier.DataCentre{"east", "west"} {
		all = append(all, runner("p-"+string(in), identifier.RolePrefill, in), runner("d-"+string(in), identifier.RoleDecode, in))
		s := runner("s-"+string(in), identifier.RolePlain, in)
		s.Pool = "orders"
		all = append(all, s)
	}
	view.Step(start, tracker.Listed{Runners: all})
	return view
}

func choosePlain(view *tracker.Tracker, at time.Duration) identifier.Upstream {
	r, _ := view.Plain(start.Add(at), "orders", tracker.Choice{})
	return r.ID
}

func find(view *tracker.Tracker, id identifier.Upstream) tracker.Runner {
	r, _ := view.Find(id)
	return r
}

func TestTheNearRunnerIsChosenUntilItFails(t *testing.T) {
	g := NewWithT(t)
	view := newFleet()
	g.Expect(choosePlain(view, 0)).To(Equal(identifier.Upstream("s-east")))
	east := find(view, "s-east")
	view.RecordNoAnswer(start, east, true, "no answer")
	view.RecordAnswer(east, false, time.Millisecond)
	view.RecordNoAnswer(start, east, false, "connection refused")
	g.Expect(choosePlain(view, 0)).To(Equal(identifier.Upstream("s-west")))
	view.RecordAnswer(east, false, time.Millisecond)
	for range 10 {
		view.RecordAnswer(east, false, time.Millisecond)
	}
	for range 10 {
		view.RecordAnswer(east, true, 0)
	}
	g.Expect(choosePlain(view, 0)).To(Equal(identifier.Upstream("s-west")), "half of its answers fail")
}

func TestFullEngineIsLeftOutForAMoment(t *testing.T) {
	g := NewWithT(t)
	view := newFleet()
	east := find(view, "d-east")
	g.Expect(decodeEngines(view, start, 3900)).To(HaveLen(2))
	view.RecordFull(start, east, 3900)
	g.Expect(decodeEngines(view, start, 3900)).To(HaveLen(1))
	g.Expect(decodeEngines(view, start, 3000)).To(HaveLen(2), "a smaller request may find room")
	view.RecordFreed(east)
	g.Expect(decodeEngines(view, start, 3900)).To(HaveLen(2))
	view.RecordFull(start, east, 3900)
	g.Expect(decodeEngines(view, start.Add(tracker.FullFor), 3900)).To(HaveLen(2))
}

func TestSilentDecodeEngineIsLeftOut(t *testing.T) {
	g := NewWithT(t)
	view := newFleet()
	view.RecordNoAnswer(start, find(view, "d-east"), false, "no answer")
	g.Expect(decodeEngines(view, start, 3900)).To(HaveLen(1))
	g.Expect(decodeEngines(view, start.Add(tracker.FirstSuspectTime), 3900)).To(HaveLen(2))
}

func TestPrefillStaysNearItsDecodeEngine(t *testing.T) {
	g := NewWithT(t)
	view := newFleet()
	near := func(in identifier.DataCentre) identifier.Upstream {
		r, _ := view.Prefill(start, "desk", in, nil)
		return r.ID
	}
	g.Expect(near("east")).To(Equal(identifier.Upstream("p-east")))
	view.BeginCall(find(view, "p-east"), tracker.Load{PrefillTokens: 3000})
	g.Expect(near("east")).To(Equal(identifier.Upstream("p-west")), "a queued prompt costs more than a call to another data centre")
	view.RecordDroppedHandle(start, find(view, "p-west"))
	g.Expect(near("east")).To(Equal(identifier.Upstream("p-east")))
	view.RecordDroppedHandle(start, find(view, "p-east"))
	g.Expect(near("east")).To(BeEmpty(), "the decode engine computes the prefill itself")
}

func TestEngineThatChangesItsRoleIsNotChosen(t *testing.T) {
	g := NewWithT(t)
	view := newFleet()
	view.Step(start, tracker.RoleOrdered{ID: "p-east", Until: start.Add(6 * time.Second)})
	r, _ := view.Prefill(start, "desk", "east", nil)
	g.Expect(r.ID).To(Equal(identifier.Upstream("p-west")))
	r, _ = view.Prefill(start.Add(6*time.Second), "desk", "east", nil)
	g.Expect(r.ID).To(Equal(identifier.Upstream("p-east")))
}

func TestTiesAreBrokenEvenly(t *testing.T) {
	g := NewWithT(t)
	view := tracker.New("east", 1)
	var all []tracker.Runner
	for i := range 12 {
		role := identifier.RoleDecode
		if i == 0 || i == 10 || i == 11 {
			role = identifier.RolePrefill
		}
		all = append(all, runner(fmt.Sprintf("e%02d", i), role, "east"))
	}
	view.Step(start, tracker.Listed{Runners: all})
	count := map[identifier.Upstream]int{}
	for range 3000 {
		r, _ := view.Prefill(start, "desk", "east", nil)
		count[r.ID]++
	}
	for id, n := range count {
		g.Expect(n).To(BeNumerically("~", 1000, 120), string(id))
	}
	g.Expect(count).To(HaveLen(3))
}

// decodeEngines returns the decode engines that can be chosen for a request, in
// the order of choice.
func decodeEngines(view *tracker.Tracker, now time.Time, tokens identifier.Tokens) []tracker.Runner {
	var all []tracker.Runner
	without := tracker.Without{}
	for {
		r, ok := view.Decode(now, "desk", tokens, tracker.Choice{Without: without})
		if !ok {
			return all
		}
		all = append(all, r)
		without[r.ID] = true
	}
}
