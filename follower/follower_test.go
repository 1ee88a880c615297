package follower_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"github.com/figtrack/figtrack/follower"
	"github.com/figtrack/figtrack/keeper"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func entry(key string, version keeper.Version, value ...byte) keeper.Entry {
	return keeper.Entry{Key: key, Version: version, Value: value}
}

// TestBatchesFollowTheTimeToApply checks that a run of changes costs fewer calls where
// changes may take longer, and that refused calls are spaced out.
func TestBatchesFollowTheTimeToApply(t *testing.T) {
	g := NewWithT(t)
	changed := follower.Changed{Changes: keeper.Changes{At: 11, Entries: []keeper.Entry{entry("a", 11, 'x')}}}
	rest := func(applyWithin, at time.Duration) time.Duration {
		core := follower.New(follower.Settings{ApplyWithin: applyWithin})
		core.Step(start, follower.Begin{})
		core.Step(start, follower.Listed{Snapshot: keeper.Snapshot{At: 10}})
		all := core.Step(start.Add(at), changed)
		return all[len(all)-1].(follower.Rest).For
	}
	g.Expect(rest(2*time.Second, time.Minute)).To(Equal(400 * time.Millisecond))
	g.Expect(rest(4*time.Second, time.Minute)).To(Equal(800 * time.Millisecond))
	g.Expect(rest(4*time.Second, time.Second)).To(Equal(2400 * time.Millisecond))
	core := follower.New(follower.Settings{ApplyWithin: 4 * time.Second})
	core.Step(start, follower.Listed{Snapshot: keeper.Snapshot{At: 10}})
	calls := 0
	for at := time.Duration(0); at < 9*time.Second; calls++ {
		all := core.Step(start.Add(at), follower.Failed{})
		at += all[len(all)-1].(follower.Rest).For
	}
	g.Expect(calls).To(BeNumerically("<=", 14), "calls in an outage of 9 s")
}

func TestScripts(t *testing.T) {
	listed := follower.Listed{Snapshot: keeper.Snapshot{At: 10, Entries: []keeper.Entry{entry("a", 7, 'x'), entry("b", 12, 'y')}}}
	changes := func(at keeper.Version, all ...keeper.Entry) follower.Changed {
		return follower.Changed{Changes: keeper.Changes{At: at, Entries: all}}
	}
	failed := follower.Failed{}
	listedIn := func(era keeper.Era, at keeper.Version, all ...keeper.Entry) follower.Listed {
		return follower.Listed{Snapshot: keeper.Snapshot{At: at, Entries: all, Era: era}}
	}
	changesIn := func(era keeper.Era, at keeper.Version, all ...keeper.Entry) follower.Changed {
		return follower.Changed{Changes: keeper.Changes{At: at, Entries: all, Era: era}}
	}
	scripts := []script{
		{"changes follow the list; what a later page had is no news", []step{
			{0, follower.Begin{}},
			{1, listed},
			{time.Second, changes(13, entry("b", 12, 'y'), entry("a", 13, 'z'))},
			{2 * time.Second, follower.Rested{}},
			{3 * time.Second, changes(14, entry("a", 14))},
			{3 * time.Second, changes(14)},
		}},
		{"a lost connection goes on after the last change", []step{
			{0, follower.Begin{}}, {1, listed}, {time.Second, failed}, {1100 * time.Millisecond, follower.Rested{}}, {1200 * time.Millisecond, changes(13, entry("c", 13, 'c'))},
		}},
		{"an outage is told, and its end before what changed in it", []step{
			{0, follower.Begin{}},
			{1, listed},
			{time.Second, failed},
			{1500 * time.Millisecond, failed},
			{2 * time.Second, failed},
			{3 * time.Second, failed},
			{5 * time.Second, changes(15, entry("a", 15))},
		}},
		{"removed runners may be used until Contact after the latest failed call was made", []step{
			{0, follower.Begin{}},
			{1, listed},
			{3 * time.Second, follower.Failed{CalledAt: start.Add(500 * time.Millisecond)}},
			{3050 * time.Millisecond, follower.Rested{}},
			{3550 * time.Millisecond, follower.Failed{CalledAt: start.Add(3050 * time.Millisecond)}},
			{3650 * time.Millisecond, follower.Rested{}},
			{4150 * time.Millisecond, follower.Failed{CalledAt: start.Add(3650 * time.Millisecond)}},
			{4350 * time.Millisecond, follower.Rested{}},
			{4850 * time.Millisecond, follower.Failed{CalledAt: start.Add(4350 * time.Millisecond)}},
			{5250 * time.Millisecond, follower.Rested{}},
			{5400 * time.Millisecond, changes(15, entry("a", 15))},
		}},
		{"a start of the whole fleet takes fewer calls than changes later", []step{
			{0, follower.Begin{}},
			{1, listed},
			{10 * time.Millisecond, changes(13, entry("c", 13, 'c'))},
			{1210 * time.Millisecond, follower.Rested{}},
			{follower.StartupPeriod - 10*time.Millisecond, changes(14, entry("c", 14, 'c'))},
			{follower.StartupPeriod + 1190*time.Millisecond, follower.Rested{}},
			{follower.StartupPeriod + 1200*time.Millisecond, changes(15, entry("c", 15, 'c'))},
			{follower.StartupPeriod + 1600*time.Millisecond, follower.Rested{}},
		}},
		{"a copy of the store is listed, with versions that are issued again", []step{
			{0, follower.Begin{}},
			{1, listedIn(1, 10, entry("a", 7, 'x'))},
			{time.Second, changesIn(2, 12, entry("b", 12, 'y'))},
			{time.Second, listedIn(2, 6, entry("a", 3, 'w'))},
			{2 * time.Second, changesIn(2, 7, entry("a", 7, 'z'))},
		}},
		{"an answer without an era belongs to the latest one", []step{
			{0, follower.Begin{}},
			{1, listedIn(2, 10, entry("a", 7, 'x'))},
			{time.Second, changesIn(0, 11, entry("a", 11, 'y'))},
			{2 * time.Second, follower.Failed{IsCompacted: true}},
			{2 * time.Second, listedIn(0, 12, entry("a", 12, 'z'))},
		}},
		{"a copy without the version that was asked for is listed", []step{
			{0, follower.Begin{}}, {1, listedIn(1, 10)}, {time.Second, follower.Failed{IsCompacted: true, Era: 2}}, {time.Second, listedIn(2, 6)},
		}},
		{"a refusal already tells of the copy", []step{
			{0, follower.Begin{}}, {1, listedIn(1, 10)}, {time.Second, follower.Failed{Era: 2}}, {1100 * time.Millisecond, follower.Rested{}}, {1200 * time.Millisecond, listedIn(2, 6)},
		}},
		{"a copy after an outage may have been in use since the latest answer", []step{
			{0, follower.Begin{}},
			{1, listedIn(1, 10)},
			{time.Second, changesIn(1, 11)},
			{3 * time.Second, follower.Failed{CalledAt: start.Add(time.Second)}},
			{9 * time.Second, follower.Failed{CalledAt: start.Add(8500 * time.Millisecond)}},
			{9500 * time.Millisecond, changesIn(2, 7)},
		}},
		{"two copies within one call, and a late answer of the first", []step{
			{0, follower.Begin{}},
			{1, listedIn(1, 10)},
			{time.Second, failed},
			{1100 * time.Millisecond, follower.Rested{}},
			{1200 * time.Millisecond, changesIn(3, 10)},
			{1300 * time.Millisecond, listedIn(2, 9, entry("a", 8, 'x'))},
			{1400 * time.Millisecond, listedIn(3, 5)},
			{2 * time.Second, changesIn(2, 9, entry("a", 9, 'y'))},
		}},
		{"dropped history is listed again", []step{
			{0, follower.Begin{}}, {1, listed}, {time.Second, follower.Failed{IsCompacted: true}}, {time.Second, listed},
		}},
	}
	goldie.New(t).Assert(t, "scripts", play(scripts, follower.Settings{ApplyWithin: 2 * time.Second, Contact: 3 * time.Second}))
}

// TestPartsScripts plays reads of a store whose keys a/, b/ and c/ matter in that order.
func TestPartsScripts(t *testing.T) {
	parts := []string{"a/", "b/", "c/"}
	listed := func(at keeper.Version, all ...keeper.Entry) follower.Listed {
		return follower.Listed{Snapshot: keeper.Snapshot{At: at, Entries: all, Era: 1, Bytes: 100}}
	}
	changes := func(at keeper.Version, all ...keeper.Entry) follower.Changed {
		return follower.Changed{Changes: keeper.Changes{At: at, Entries: all, Era: 1, Bytes: 10}}
	}
	arrived := func(all ...keeper.Entry) follower.Failed {
		return follower.Failed{Era: 1, Arrived: keeper.Snapshot{At: 10, Entries: all, Era: 1, Bytes: 50}}
	}
	first := []step{{0, follower.Begin{}}, {1, listed(10, entry("a/1", 7, 'x'), entry("b/1", 8, 'y'))}}
	failed, tooLong := follower.Failed{}, follower.Failed{IsTooLong: true}
	scripts := []script{
		{"a list that is cut goes on after the last key", []step{
			{0, follower.Begin{}}, {1, arrived(entry("a/1", 7, 'x'), entry("b/1", 8, 'y'))}, {time.Second, follower.Rested{}}, {2 * time.Second, listed(12, entry("c/1", 9, 'z'))},
		}},
		{"after an outage the first part is read as it is, then what changed", append(first, []step{
			{time.Second, failed},
			{1100 * time.Millisecond, follower.Rested{}},
			{2 * time.Second, failed},
			{3 * time.Second, follower.Rested{}},
			{4 * time.Second, listed(40, entry("a/1", 39, 'z'))},
			{4 * time.Second, changes(40, entry("b/1", 30))},
			{4 * time.Second, changes(41)},
			{5 * time.Second, follower.Rested{}},
			{5 * time.Second, listed(41, entry("a/1", 39, 'z'))},
			{5 * time.Second, changes(41)},
			{5 * time.Second, changes(41)},
			{6 * time.Second, changes(42, entry("b/1", 30), entry("c/1", 42, 'c'))},
		}...)},
		{"a history that takes too long is not read", append(first, []step{
			{time.Second, tooLong}, {time.Second, listed(20, entry("a/1", 20, 'z'))}, {time.Second, tooLong}, {2 * time.Second, listed(21)}, {2 * time.Second, listed(22, entry("c/1", 9, 'c'))},
		}...)},
		{"a read that takes long makes the view old", append(first, []step{
			{time.Second, follower.Failed{IsCompacted: true}},
			{time.Second, follower.Rested{}},
			{1500 * time.Millisecond, follower.Reading{}},
			{2 * time.Second, follower.Reading{}},
			{3 * time.Second, listed(20, entry("a/1", 20, 'z'))},
			{3 * time.Second, listed(20)},
			{4 * time.Second, listed(20)},
		}...)},
	}
	goldie.New(t).Assert(t, "parts", play(scripts, follower.Settings{ApplyWithin: 2 * time.Second, Parts: parts, Spread: 70 * time.Millisecond}))
}

// step is an event at a time after the start.
type step struct {
	at time.Duration
	e  follower.Event
}

type script struct {
	name  string
	steps []step
}

// play returns what a core does in each script.
func play(scripts []script, cfg follower.Settings) []byte {
	var w strings.Builder
	for _, s := range scripts {
		fmt.Fprintf(&w, "%s\n", s.name)
		core := follower.New(cfg)
		for _, step := range s.steps {
			fmt.Fprintf(&w, "  %5s %s\n", step.at.Truncate(time.Millisecond), strings.TrimPrefix(fmt.Sprintf("%T", step.e), "follower."))
			for _, o := range core.Step(start.Add(step.at), step.e) {
				fmt.Fprintf(&w, "        -> %s\n", strings.TrimPrefix(fmt.Sprintf("%T%+v%s", o, o, valuesOf(o)), "follower."))
			}
		}
		fmt.Fprintln(&w)
	}
	return []byte(w.String())
}

// valuesOf formats the values of entries, which entries themselves leave out.
func valuesOf(o follower.Outcome) string {
	var values []string
	switch o := o.(type) {
	case follower.Take:
		values = append(values, string(o.Entry.Value))
	case follower.TakeAll:
		for _, e := range o.Entries {
			values = append(values, string(e.Value))
		}
	default:
		return ""
	}
	return fmt.Sprintf(" Values:%q", values)
}
