package attempter_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/figtrack/figtrack/attempter"
	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/isolator"
	"github.com/figtrack/figtrack/shedder"
	"github.com/figtrack/figtrack/tracker"
)

// start is the time at which the request of each script arrives.
var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// fleet is a fake fleet of two prefill engines, three decode engines and three
// plain services without load.
type fleet struct {
	waiting *shedder.Core
	// empty is true if no runner is usable, spent if the retry budget is used
	// up.
	empty, spent bool
	// isRateReached is true if this VM may send nothing more by the rates of runners.
	isRateReached bool
	// taken counts the sends that were taken and not returned.
	taken int
	// hasOnePlain is true if there is only one plain service.
	hasOnePlain bool
	// software is the version of all runners. If it is gone, none serves that takes new
	// work.
	software       identifier.Software
	isSoftwareGone bool
	// blockedFrom is the time after the start from which blockedTrait is blocked;
	// zero for never.
	blockedFrom time.Duration
	// probeFrom is the time after the start from which one request may be a probe, which is
	// claimed until then; zero for none.
	probeFrom time.Duration
	// taking is the number of probes that were taken.
	taking int
	// paused holds the runners that are paused between two times after the start. If
	// empty is set too, all are.
	paused                  []identifier.Upstream
	pausedFrom, pausedUntil time.Duration
}

func runner(id string, role identifier.Role) tracker.Runner {
	return tracker.Runner{ID: identifier.Upstream(id), Role: role, DataCentre: "east"}
}

func (f *fleet) usable(role identifier.Role, without tracker.Without, ids ...string) []tracker.Runner {
	var all []tracker.Runner
	for _, id := range ids {
		if !f.empty && !without[identifier.Upstream(id)] {
			r := runner(id, role)
			r.Software = f.software
			all = append(all, r)
		}
	}
	return all
}

func (f *fleet) takeFirst(all []tracker.Runner) (tracker.Runner, bool) {
	if len(all) == 0 {
		return tracker.Runner{}, false
	}
	f.taken++
	return all[0], true
}

func (f *fleet) ChoosePlain(now time.Time, _ identifier.Pool, from tracker.Choice) (tracker.Runner, bool) {
	ids := []string{"s1", "s2", "s3"}
	if f.hasOnePlain {
		ids = ids[:1]
	}
	return f.takeFirst(f.accepting(now, f.usable(identifier.RolePlain, from.Without, ids...)))
}

// accepting removes the runners that take no new requests.
func (f *fleet) accepting(now time.Time, all []tracker.Runner) []tracker.Runner {
	return slices.DeleteFunc(all, func(r tracker.Runner) bool { return f.RefusesNew(now, r) })
}

func (f *fleet) ChoosePrefill(_ time.Time, _ identifier.Pool, _ identifier.DataCentre, without tracker.Without) (tracker.Runner, bool) {
	return f.takeFirst(f.usable(identifier.RolePrefill, without, "p1", "p2"))
}

func (f *fleet) ChooseDecode(now time.Time, _ identifier.Pool, _ identifier.Tokens, from tracker.Choice) (tracker.Runner, bool) {
	return f.takeFirst(f.accepting(now, f.usable(identifier.RoleDecode, from.Without, "d1", "d2", "d3")))
}

func (f *fleet) Serves(identifier.Pool, identifier.Software) bool { return !f.isSoftwareGone }

func (f *fleet) TryCharge(time.Time, identifier.Pool) bool { return !f.spent }

func (f *fleet) Charge(time.Time, identifier.Pool) {}

func (f *fleet) RefusesNew(now time.Time, r tracker.Runner) bool {
	at := now.Sub(start)
	return at >= f.pausedFrom && at < f.pausedUntil && slices.Contains(f.paused, r.ID)
}

func (f *fleet) PauseLeft(now time.Time, _ identifier.Pool) time.Duration {
	if !f.empty {
		return 0
	}
	return max(0, start.Add(f.pausedUntil).Sub(now))
}

func (f *fleet) TakeSend(time.Time, tracker.Runner) bool {
	if !f.isRateReached {
		f.taken++
	}
	return !f.isRateReached
}

func (f *fleet) ReturnSend(time.Time, tracker.Runner) { f.taken-- }

func (f *fleet) RateLeft(time.Time, identifier.Pool) time.Duration {
	if f.isRateReached {
		return time.Hour
	}
	return 0
}

const blockedTrait isolator.Trait = "5c1e"

func (f *fleet) BlockedFor(now time.Time, traits []isolator.Trait) time.Duration {
	if f.blockedFrom > 0 && now.Sub(start) >= f.blockedFrom && slices.Contains(traits, blockedTrait) {
		return time.Hour
	}
	return 0
}

func (f *fleet) TakeProbe(now time.Time, _ []isolator.Trait) isolator.Admission {
	if f.probeFrom == 0 || f.taking > 0 {
		return isolator.Refused
	}
	if now.Sub(start) < f.probeFrom {
		return isolator.Awaited
	}
	f.taking++
	return isolator.Probing
}

func (f *fleet) ReturnProbe([]isolator.Trait) { f.taking-- }

func (f *fleet) RetryAfter(time.Time, identifier.Pool, time.Duration) time.Duration {
	return 300 * time.Millisecond
}

func (f *fleet) UpdateWaiting(now time.Time, _ identifier.Pool, update func(c *shedder.Core)) {
	if f.waiting == nil {
		f.waiting = shedder.New(now, rand.New(rand.NewPCG(1, 1)))
	}
	update(f.waiting)
}

// step is an event at a time after the start.
type step struct {
	at time.Duration
	e  attempter.Event
}

type script struct {
	name  string
	job   attempter.Job
	fleet fleet
	steps []step
}

func stream(repeatable bool) attempter.Job {
	return attempter.Job{
		IsStream: true, NeedsEngine: true, IsRepeatable: repeatable, Input: 3000, Output: 900,
		MaxAttempts: 2, Target: time.Second, Arrived: start, Deadline: start.Add(14 * time.Second),
	}
}

func plain(repeatable bool) attempter.Job {
	return attempter.Job{
		IsRepeatable: repeatable, MaxAttempts: 2, Target: 200 * time.Millisecond,
		Arrived: start, Deadline: start.Add(1200 * time.Millisecond),
	}
}

func suspectStream(resumable bool) attempter.Job {
	job := stream(resumable)
	job.Traits = []isolator.Trait{"91bd", blockedTrait}
	return job
}

func unprefillableStream() attempter.Job {
	job := stream(false)
	job.PrefillTraits = []isolator.Trait{blockedTrait}
	return job
}

func plainThrice() attempter.Job {
	job := plain(true)
	job.MaxAttempts = 3
	return job
}

func suspectPlain() attempter.Job {
	job := plain(true)
	job.Traits = []isolator.Trait{blockedTrait}
	return job
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

var (
	full    = attempter.Failed{Kind: driver.KindFull}
	notRun  = attempter.Failed{Kind: driver.KindNotRun}
	leaving = attempter.Failed{Kind: driver.KindLeaving}
	lost    = attempter.Failed{Kind: driver.KindUnknown}
	ok      = attempter.Answered{Status: 200}
	failing = attempter.Answered{Status: 500}

	unmarked = attempter.Unmarked{Status: 429}
)

var scripts = []script{
	{"a stream is reserved, prefilled, run", stream(false), fleet{}, []step{
		{0, attempter.Begin{}}, {ms(1), attempter.Reserved{Hold: "h"}}, {ms(100), attempter.Prefilled{Handle: "k"}}, {ms(110), ok},
	}},
	{"a stream that breaks midway is ended as broken", stream(false), fleet{}, []step{
		{0, attempter.Begin{}},
		{ms(1), attempter.Reserved{Hold: "h"}},
		{ms(100), attempter.Prefilled{Handle: "k"}},
		{ms(110), ok},
		{ms(2000), attempter.Broken{LastEvent: "7", Begun: true}},
	}},
	{"a resumable stream goes on after its last event", stream(true), fleet{}, []step{
		{0, attempter.Begin{}},
		{ms(1), attempter.Reserved{Hold: "h"}},
		{ms(100), attempter.Prefilled{Handle: "k"}},
		{ms(110), ok},
		{ms(2000), attempter.Broken{LastEvent: "7", Begun: true}},
		{ms(2001), attempter.Reserved{Hold: "i"}},
		{ms(2100), attempter.Prefilled{Handle: "l"}},
		{ms(2110), ok},
		{ms(3000), attempter.Broken{LastEvent: "9", Begun: true}},
	}},
	{"a resumable stream of whose version no runner serves ends at once", stream(true), fleet{software: "v1", isSoftwareGone: true}, []step{
		{0, attempter.Begin{}},
		{ms(1), attempter.Reserved{Hold: "h"}},
		{ms(100), attempter.Prefilled{Handle: "k"}},
		{ms(110), ok},
		{ms(2000), attempter.Broken{LastEvent: "7", Begun: true}},
	}},
	{"a stream that the caller has a part of waits longer for memory", stream(true), fleet{}, []step{
		{0, attempter.Begin{}},
		{ms(1), attempter.Reserved{Hold: "h"}},
		{ms(2), attempter.Reserved{Hold: "i"}},
		{ms(100), attempter.Prefilled{Handle: "k"}},
		{ms(110), ok},
		{ms(2000), attempter.Broken{LastEvent: "7", Begun: true}},
		{ms(2500), full},
		{ms(3900), full},
		{ms(4000), full},
	}},
	{"a stream that breaks before its first event has an unknown outcome", stream(false), fleet{}, []step{
		{0, attempter.Begin{}},
		{ms(1), attempter.Reserved{Hold: "h"}},
		{ms(100), attempter.Prefilled{Handle: "k"}},
		{ms(110), ok},
		{ms(120), attempter.Broken{}},
	}},
	{"without memory a stream is refused at once after its wait", stream(false), fleet{empty: true}, []step{
		{0, attempter.Begin{}}, {ms(25), attempter.Rested{}}, {ms(125), attempter.Rested{}},
	}},
	{"in a large full pool a stream is refused after its wait", stream(false), fleet{}, []step{
		{0, attempter.Begin{}},
		{ms(30), full},
		{ms(60), full},
		{ms(90), full},
		{ms(124), full},
		{ms(126), full},
	}},
	{"a prefill that fails is tried elsewhere, then the decode engine reads", stream(false), fleet{}, []step{
		{0, attempter.Begin{}}, {ms(1), attempter.Reserved{Hold: "h"}}, {ms(100), lost}, {ms(200), lost}, {ms(400), ok},
	}},
	{"a cache that lapsed is read by the decode engine", stream(false), fleet{}, []step{
		{0, attempter.Begin{}}, {ms(1), attempter.Reserved{Hold: "h"}}, {ms(100), attempter.Prefilled{Handle: "k"}}, {ms(110), full}, {ms(400), ok},
	}},
	{"a caller that leaves gives back what is kept", stream(false), fleet{}, []step{
		{0, attempter.Begin{}}, {ms(1), attempter.Reserved{Hold: "h"}}, {ms(100), attempter.Abandoned{}},
	}},
	{"a stream with a blocked trait is refused at once", suspectStream(false), fleet{blockedFrom: ms(1)}, []step{{ms(1), attempter.Begin{}}}},
	{"a stream with a blocked trait is the probe once that is claimed, and runs once", suspectStream(true), fleet{blockedFrom: ms(1), probeFrom: ms(100)}, []step{
		{ms(1), attempter.Begin{}},
		{ms(51), attempter.Rested{}},
		{ms(101), attempter.Rested{}},
		{ms(110), attempter.Reserved{Hold: "h"}},
		{ms(200), attempter.Prefilled{Handle: "k"}},
		{ms(250), lost},
	}},
	{"a stream with a blocked trait doesn't wait for ever to be the probe", suspectStream(false), fleet{blockedFrom: ms(1), probeFrom: time.Hour}, []step{
		{ms(1), attempter.Begin{}}, {ms(1002), attempter.Rested{}},
	}},
	{"a stream on whose prefill engines crash runs without one", unprefillableStream(), fleet{blockedFrom: ms(1)}, []step{{ms(1), attempter.Begin{}}, {ms(10), attempter.Reserved{Hold: "h1"}}}},
	{"a call beyond the rates of all runners is refused at once", plain(true), fleet{empty: true, isRateReached: true}, []step{{0, attempter.Begin{}}}},
	{"a stream beyond the rates of all engines is refused at once", stream(false), fleet{empty: true, isRateReached: true}, []step{{0, attempter.Begin{}}}},
	{"a stream whose KV cache is gone goes elsewhere once its engine has its rate", stream(false), fleet{isRateReached: true}, []step{
		{0, attempter.Begin{}}, {ms(10), attempter.Reserved{Hold: "h1"}}, {ms(20), attempter.Reserved{Hold: "h2"}}, {ms(100), attempter.Prefilled{Handle: "k1"}}, {ms(120), full},
	}},
	{"a stream whose trait is blocked in the meantime is not read", suspectStream(false), fleet{blockedFrom: ms(2)}, []step{
		{0, attempter.Begin{}}, {ms(1), attempter.Reserved{Hold: "h"}}, {ms(2), attempter.Reserved{Hold: "i"}},
	}},
	{"a stream whose trait is blocked in the meantime is not run", suspectStream(false), fleet{blockedFrom: ms(2)}, []step{
		{0, attempter.Begin{}}, {ms(1), attempter.Reserved{Hold: "h"}}, {ms(1), attempter.Reserved{Hold: "i"}}, {ms(2), attempter.Prefilled{Handle: "k"}},
	}},
	{"a broken stream whose trait is blocked is not run again", suspectStream(true), fleet{blockedFrom: ms(200)}, []step{
		{0, attempter.Begin{}},
		{ms(1), attempter.Reserved{Hold: "h"}},
		{ms(2), attempter.Reserved{Hold: "i"}},
		{ms(100), attempter.Prefilled{Handle: "k"}},
		{ms(110), ok},
		{ms(200), attempter.Broken{}},
	}},
	{"a stream whose engine is paused in the meantime goes to another one, with its cache", stream(false), fleet{paused: []identifier.Upstream{"d1"}, pausedFrom: ms(50), pausedUntil: ms(1000)}, []step{
		{0, attempter.Begin{}},
		{ms(1), attempter.Reserved{Hold: "h"}},
		{ms(2), attempter.Reserved{Hold: "i"}},
		{ms(100), attempter.Prefilled{Handle: "k"}},
		{ms(101), attempter.Reserved{Hold: "j"}},
		{ms(102), attempter.Reserved{Hold: "l"}},
		{ms(110), ok},
	}},
	{"a stream is refused at once if all engines are paused for longer than it waits", stream(false), fleet{empty: true, pausedUntil: ms(1000)}, []step{{0, attempter.Begin{}}}},
	{"a stream waits for an engine whose pause ends soon", stream(false), fleet{empty: true, pausedUntil: ms(50)}, []step{{0, attempter.Begin{}}, {ms(25), attempter.Rested{}}}},
	{"a payment is refused at once if all runners are paused", plain(false), fleet{empty: true, pausedUntil: ms(1000)}, []step{{0, attempter.Begin{}}}},
	{"a payment whose answer is lost is not sent again", plain(false), fleet{}, []step{{0, attempter.Begin{}}, {ms(30), lost}}},
	{"a payment that was refused goes elsewhere", plain(false), fleet{}, []step{
		{0, attempter.Begin{}}, {ms(1), notRun}, {ms(2), leaving}, {ms(3), full},
	}},
	{"a refused payment is not sent again without a budget", plain(false), fleet{spent: true}, []step{{0, attempter.Begin{}}, {ms(1), full}}},
	{"a failed payment is passed on", plain(false), fleet{}, []step{{0, attempter.Begin{}}, {ms(30), failing}}},
	{"a payment with an unmarked refusal has an unknown outcome", plain(false), fleet{}, []step{{0, attempter.Begin{}}, {ms(30), unmarked}}},
	{"a stream with an unmarked refusal has an unknown outcome", stream(false), fleet{}, []step{
		{0, attempter.Begin{}}, {ms(1), attempter.Reserved{Hold: "h"}}, {ms(100), attempter.Prefilled{Handle: "k"}}, {ms(110), unmarked},
	}},
	{"a lookup with an unmarked refusal is run again, once", plain(true), fleet{}, []step{
		{0, attempter.Begin{}}, {ms(30), unmarked}, {ms(60), unmarked},
	}},
	{"a lookup with an unmarked refusal is not run again without a budget", plain(true), fleet{spent: true}, []step{{0, attempter.Begin{}}, {ms(30), unmarked}}},
	{"a payment in flight at its timeout has an unknown outcome", plain(false), fleet{}, []step{{0, attempter.Begin{}}, {ms(1200), attempter.Expired{}}}},
	{"a lookup that failed is run again, once", plain(true), fleet{}, []step{
		{0, attempter.Begin{}}, {ms(30), failing}, {ms(60), failing},
	}},
	{"a lookup that failed at the only runner is run there again", plain(true), fleet{hasOnePlain: true}, []step{
		{0, attempter.Begin{}}, {ms(30), failing}, {ms(60), ok},
	}},
	{"a lookup that is late goes elsewhere", plain(true), fleet{}, []step{
		{0, attempter.Begin{}}, {ms(140), attempter.Overdue{}}, {ms(141), lost}, {ms(160), ok},
	}},
	{"a late lookup without a budget waits for its runner", plain(true), fleet{spent: true}, []step{
		{0, attempter.Begin{}}, {ms(140), attempter.Overdue{}}, {ms(240), attempter.Overdue{}}, {ms(300), ok},
	}},
	{"a late lookup waits for the only runner", plain(true), fleet{hasOnePlain: true}, []step{
		{0, attempter.Begin{}}, {ms(140), attempter.Overdue{}}, {ms(240), attempter.Overdue{}}, {ms(1200), attempter.Expired{}},
	}},
	{"a late lookup that failed before waits for the only runner", plainThrice(), fleet{hasOnePlain: true}, []step{
		{0, attempter.Begin{}}, {ms(30), failing}, {ms(170), attempter.Overdue{}}, {ms(300), ok},
	}},
	{"a late lookup with a blocked trait waits for its runner", suspectPlain(), fleet{blockedFrom: ms(100)}, []step{
		{0, attempter.Begin{}}, {ms(140), attempter.Overdue{}}, {ms(300), ok},
	}},
	{"a lookup that is answered as it is withdrawn keeps its answer", plain(true), fleet{}, []step{
		{0, attempter.Begin{}}, {ms(140), attempter.Overdue{}}, {ms(140), ok}, {ms(141), attempter.Overdue{}},
	}},
	{"a lookup whose answer is lost is run again", plain(true), fleet{}, []step{
		{0, attempter.Begin{}}, {ms(30), lost}, {ms(60), ok}, {ms(61), attempter.Broken{}},
	}},
}

func TestScripts(t *testing.T) {
	var w strings.Builder
	for _, s := range scripts {
		fmt.Fprintf(&w, "%s\n", s.name)
		core := attempter.New(attempter.DefaultSettings(), s.job, &s.fleet)
		sent, hasEnded := 0, false
		for _, step := range s.steps {
			fmt.Fprintf(&w, "  %6s %s\n", step.at, describe(step.e))
			for _, o := range core.Step(start.Add(step.at), step.e) {
				fmt.Fprintf(&w, "         -> %s\n", describe(o))
				switch o.(type) {
				case attempter.Run, attempter.Prefill:
					sent++
				case attempter.Refuse, attempter.Fail, attempter.Break:
					hasEnded = true
				}
			}
			if _, isAbandoned := step.e.(attempter.Abandoned); isAbandoned {
				hasEnded = true
			}
		}
		if hasEnded && s.fleet.taken != sent {
			t.Errorf("%s: %d sends were taken, %d made", s.name, s.fleet.taken, sent)
		}
		fmt.Fprintln(&w)
	}
	goldie.New(t).Assert(t, "scripts", []byte(w.String()))
}

// describe formats an event or outcome for the golden file, with runners by
// their id.
func describe(v any) string {
	switch v := v.(type) {
	case attempter.Reserve:
		return fmt.Sprintf("Reserve %s %d for %s", v.To.ID, v.Tokens, v.For)
	case attempter.Prefill:
		return fmt.Sprintf("Prefill %s", v.To.ID)
	case attempter.Run:
		from := "its own prefill"
		if v.Source != nil {
			from = fmt.Sprintf("%s/%s", v.Source.Runner.ID, v.Source.Handle)
		}
		return fmt.Sprintf("Run %s from %s hold %q after %q", v.To.ID, from, v.Hold, v.After)
	case attempter.Release:
		return fmt.Sprintf("Release %s %s", v.To.ID, v.Hold)
	case attempter.Discard:
		return fmt.Sprintf("Discard %s %s", v.Source.Runner.ID, v.Source.Handle)
	default:
		return strings.TrimPrefix(fmt.Sprintf("%T%+v", v, v), "attempter.")
	}
}
