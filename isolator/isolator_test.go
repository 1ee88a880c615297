package isolator_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/isolator"
	"github.com/figtrack/figtrack/keeper"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

type step struct {
	at time.Duration
	e  isolator.Event
}

func crash(engine int) isolator.Crash {
	return isolator.Crash{Upstream: identifier.Upstream(fmt.Sprint("d", engine)), Start: 7}
}

func broken(engine int, traits ...isolator.Trait) isolator.RunBroken {
	return isolator.RunBroken{Traits: traits, On: crash(engine), Lived: 50 * time.Millisecond}
}

func completed(traits ...isolator.Trait) isolator.RunCompleted {
	return isolator.RunCompleted{Traits: traits}
}

func record(version keeper.Version, era keeper.Era, suspects ...isolator.Suspect) isolator.RecordRead {
	return isolator.RecordRead{Record: suspects, Version: version, Era: era}
}

func missing(era keeper.Era) isolator.RecordRead {
	return isolator.RecordRead{Era: era, IsMissing: true}
}

func suspect(t isolator.Trait, depth int, engines ...int) isolator.Suspect {
	s := isolator.Suspect{Trait: t, Depth: depth}
	for _, n := range engines {
		s.Crashes = append(s.Crashes, crash(n))
	}
	return s
}

func TestScripts(t *testing.T) {
	scripts := []struct {
		name  string
		steps []step
	}{
		{"a trait of three crashes is blocked, a prefix of it isn't", []step{
			{0, missing(1)},
			{0, broken(1, "a", "b")},
			{1, isolator.Written{Version: 3, Era: 1}},
			{2, broken(2, "a", "b")},
			{3, broken(3, "a", "b")},
			{4, isolator.Written{Version: 4, Era: 1}},
		}},
		{"several runs on one engine are one crash", []step{{0, broken(1, "a")}, {1, broken(1, "a")}, {2, broken(1, "a")}}},
		{"a run that lived doesn't count", []step{{0, isolator.RunBroken{Traits: []isolator.Trait{"a"}, On: crash(1), Lived: isolator.MaxSuspectLife}}}},
		{"a whole answer shows that its traits crash no engine, for a time", []step{
			{0, completed("a")}, {1, broken(1, "a")}, {25 * time.Second, broken(1, "a")},
		}},
		{"a whole answer clears a suspect", []step{
			{0, record(5, 1, suspect("a", 0, 1, 2, 3))}, {1, completed("a")}, {2, isolator.Written{Version: 6, Era: 1}}, {3, record(6, 1)},
		}},
		{"a suspect of another VM is cleared by a recent answer", []step{{0, completed("a")}, {time.Second, record(5, 1, suspect("a", 0, 1, 2))}}},
		{"crashes of several VMs add up", []step{
			{0, record(5, 1, suspect("b", 1, 1))}, {1, broken(2, "a", "b")}, {2, record(6, 1, suspect("b", 1, 1, 3))}, {3, isolator.Conflicted{RecordRead: record(6, 1, suspect("b", 1, 1, 3))}}, {4, isolator.Written{Version: 7, Era: 1}},
		}},
		{"the watch may bring a write before its answer", []step{
			{0, missing(1)}, {1, broken(1, "a")}, {2, record(3, 1, suspect("a", 0, 1))}, {3, isolator.Written{Version: 3, Era: 1}}, {4, broken(2, "a")},
		}},
		{"a record that was removed is written anew", []step{
			{0, record(5, 1, suspect("a", 0, 1))}, {1, isolator.RecordRead{Version: 8, Era: 1, IsMissing: true}}, {2, broken(2, "a")},
		}},
		{"the report of a prefix that comes first blocks nothing", []step{{0, record(5, 1, suspect("a", 0, 1, 2, 3), suspect("b", 1, 1, 2))}}},
		{"a prefix that explains more crashes is blocked instead", []step{{0, record(5, 1, suspect("a", 0, 1, 2, 3, 4, 5, 6), suspect("b", 1, 1, 2, 3))}}},
		{"a trait that explains more crashes goes before a deeper one", []step{{0, record(5, 1, suspect("b", 1, 1, 2, 3, 4), suspect("c", 2, 1, 2))}}},
		{"an engine that answers a later call has not crashed", []step{
			{0, missing(1)},
			{1, broken(1, "a")},
			{2, isolator.Written{Version: 3, Era: 1}},
			{3, isolator.EngineAnswered{By: crash(1), SentAt: start.Add(-2 * time.Second)}},
			{4, isolator.EngineAnswered{By: crash(1), SentAt: start.Add(-time.Second)}},
			{5, isolator.Written{Version: 4, Era: 1}},
			{6, broken(2, "a")},
		}},
		{"a new process with the engine's id says nothing of the crash", []step{
			{0, missing(1)},
			{1, broken(1, "a")},
			{2, isolator.Written{Version: 3, Era: 1}},
			{3 * time.Second, isolator.EngineAnswered{By: crash(1), SentAt: start.Add(3 * time.Second)}},
		}},
		{"the crash that another VM reported is none either", []step{
			{0, record(5, 1, suspect("a", 0, 1, 2, 3))}, {1, isolator.EngineAnswered{By: crash(2), SentAt: start.Add(1)}}, {2, isolator.Written{Version: 6, Era: 1}},
		}},
		{"a failed write is repeated later", []step{
			{0, broken(1, "a")}, {1, isolator.WriteFailed{}}, {2, isolator.Wake{}}, {time.Second, isolator.Wake{}},
		}},
		{"a store that comes back from a copy gets what it lacks", []step{
			{0, record(5, 1, suspect("a", 0, 1, 2, 3))}, {1, missing(2)}, {2, isolator.Written{Version: 2, Era: 2}}, {3, record(5, 1)},
		}},
		{"a suspect is forgotten after its time", []step{
			{0, record(5, 1, suspect("a", 0, 1, 2, 3))}, {isolator.SuspectTTL, isolator.Wake{}}, {isolator.SuspectTTL + 1, isolator.Written{Version: 6, Era: 1}},
		}},
	}
	var w strings.Builder
	for _, s := range scripts {
		fmt.Fprintf(&w, "%s\n", s.name)
		core := isolator.New()
		for i, step := range s.steps {
			// Each event is followed by a Wake after MaxWriteDelay, so that writes show.
			offset := time.Duration(i) * isolator.MaxWriteDelay
			if e, ok := step.e.(isolator.EngineAnswered); ok {
				e.SentAt = e.SentAt.Add(offset)
				step.e = e
			}
			outcomes := stepEnded(core, start.Add(step.at+offset), step.e)
			outcomes = append(outcomes, core.Step(start.Add(step.at+offset+isolator.MaxWriteDelay), isolator.Wake{})...)
			fmt.Fprintf(&w, "  %7s %s%s\n", step.at.Truncate(time.Millisecond), strings.TrimPrefix(fmt.Sprintf("%T", step.e), "isolator."), describe(outcomes))
		}
		fmt.Fprintln(&w)
	}
	goldie.New(t).Assert(t, "scripts", []byte(w.String()))
}

// stepEnded passes an event to a core. An engine on which it breaks a run has ended.
func stepEnded(core *isolator.Core, now time.Time, e isolator.Event) []isolator.Outcome {
	outcomes := core.Step(now, e)
	if b, ok := e.(isolator.RunBroken); ok {
		outcomes = append(outcomes, core.Step(now, isolator.EngineEnded{By: b.On})...)
	}
	return outcomes
}

func describe(outcomes []isolator.Outcome) string {
	var w strings.Builder
	for _, o := range outcomes {
		switch o := o.(type) {
		case isolator.Write:
			fmt.Fprintf(&w, " -> Write over %d:", o.Expected)
			for _, s := range o.Record {
				fmt.Fprintf(&w, " %s@%d=%d", s.Trait, s.Depth, len(s.Crashes))
			}
		case isolator.Check:
			fmt.Fprintf(&w, " -> Check %s", o.On.Upstream)
		case isolator.Suspected:
			fmt.Fprintf(&w, " -> Suspected %s by %s (%d)", o.Trait, o.On.Upstream, o.Crashes)
		case isolator.Blocked:
			fmt.Fprintf(&w, " -> Blocked %s (%d)", o.Trait, o.Crashes)
		case isolator.Unblocked:
			fmt.Fprintf(&w, " -> Unblocked %s", o.Trait)
		}
	}
	return w.String()
}

// TestBrokenRunCountsOnceItsEngineHasEnded has runs broken on an engine that answers
// another call, on one of which nothing is known, and on one that has ended.
func TestBrokenRunCountsOnceItsEngineHasEnded(t *testing.T) {
	g := NewWithT(t)
	core := isolator.New()
	core.Step(start, missing(1))
	for engine := 1; engine <= 3; engine++ {
		g.Expect(core.Step(start, broken(engine, "a"))).To(BeEmpty())
		g.Expect(core.Step(start, broken(engine, "b"))).To(BeEmpty())
	}
	g.Expect(core.Step(start.Add(10*time.Millisecond), isolator.EngineAnswered{By: crash(1), SentAt: start.Add(5 * time.Millisecond)})).To(BeEmpty())
	g.Expect(core.Step(start.Add(isolator.CheckDelay), isolator.Wake{})).To(Equal([]isolator.Outcome{isolator.Check{On: crash(2)}, isolator.Check{On: crash(3)}}))
	g.Expect(core.Step(start.Add(isolator.CheckDelay), isolator.EngineEnded{By: crash(1)})).To(BeEmpty())
	g.Expect(core.Step(start.Add(isolator.CheckDelay), isolator.EngineEnded{By: crash(3)})).To(Equal([]isolator.Outcome{
		isolator.Suspected{Trait: "a", On: crash(3), Crashes: 1}, isolator.Suspected{Trait: "b", On: crash(3), Crashes: 1},
	}))
	later := start.Add(isolator.ConfirmTime)
	g.Expect(core.Step(later, isolator.Wake{})).To(Equal([]isolator.Outcome{isolator.Write{Record: isolator.Record{suspect("a", 0, 3), suspect("b", 0, 3)}}}))
	g.Expect(core.Step(later, isolator.EngineEnded{By: crash(2)})).To(BeEmpty())
}

// TestCrashThatMayBlockIsWrittenSoon has two VMs that know one crash each: the second
// one is written soon, the first one may wait.
func TestCrashThatMayBlockIsWrittenSoon(t *testing.T) {
	g := NewWithT(t)
	core := isolator.New()
	core.Step(start, missing(1))
	stepEnded(core, start, broken(1, "a"))
	g.Expect(core.Step(start.Add(isolator.MaxWriteDelay-1), isolator.Wake{})).To(BeEmpty())
	core.Step(start.Add(isolator.MaxWriteDelay-1), record(5, 1, suspect("a", 0, 2)))
	soon := start.Add(isolator.MaxWriteDelay - 1 + isolator.MinWriteDelay)
	g.Expect(core.Step(soon, isolator.Wake{})).To(Equal([]isolator.Outcome{isolator.Write{Record: isolator.Record{suspect("a", 0, 2, 1)}, Expected: 5}}))
}

// TestClearedSuspectIsWrittenWithTheNextCrash clears a trait that is far from being
// blocked: the store learns it once there is something else to write.
func TestClearedSuspectIsWrittenWithTheNextCrash(t *testing.T) {
	g := NewWithT(t)
	core := isolator.New()
	core.Step(start, record(5, 1, suspect("a", 0, 1)))
	core.Step(start, completed("a"))
	g.Expect(core.Step(start.Add(isolator.MaxWriteDelay), isolator.Wake{})).To(BeEmpty())
	stepEnded(core, start.Add(isolator.MaxWriteDelay), broken(2, "b"))
	g.Expect(core.Step(start.Add(2*isolator.MaxWriteDelay), isolator.Wake{})).To(Equal([]isolator.Outcome{isolator.Write{Record: isolator.Record{suspect("b", 0, 2)}, Expected: 5}}))
}

// TestRecordIsBounded reports more suspects than the record has room for: those with
// several crashes stay, and the writes end.
func TestRecordIsBounded(t *testing.T) {
	g := NewWithT(t)
	core := isolator.New()
	core.Step(start, record(1, 1, suspect("x", 1, 1, 2, 3)))
	writes := 0
	for i := range 3 * isolator.MaxSuspects {
		now := start.Add(time.Duration(i) * time.Second)
		outcomes := stepEnded(core, now, broken(10+i, isolator.Trait(fmt.Sprint("t", i))))
		for _, o := range append(outcomes, core.Step(now.Add(isolator.MaxWriteDelay), isolator.Wake{})...) {
			if w, ok := o.(isolator.Write); ok {
				writes++
				g.Expect(len(w.Record)).To(BeNumerically("<=", isolator.MaxSuspects))
				core.Step(start.Add(time.Duration(i)*time.Second), isolator.Written{Version: keeper.Version(2 + i), Era: 1})
			}
		}
	}
	g.Expect(writes).To(BeNumerically("<=", 3*isolator.MaxSuspects))
	_, _, found := core.FindBlocked([]isolator.Trait{"y", "x"})
	g.Expect(found).To(BeTrue())
}

// TestWriteInProgressKeepsItsRecord voids a crash while the record that has it is
// written by another goroutine.
func TestWriteInProgressKeepsItsRecord(t *testing.T) {
	g := NewWithT(t)
	core := isolator.New()
	core.Step(start, missing(1))
	stepEnded(core, start, broken(1, "a"))
	outcomes := core.Step(start.Add(isolator.MaxWriteDelay), isolator.Wake{})
	w := outcomes[len(outcomes)-1].(isolator.Write)
	core.Step(start.Add(isolator.MaxWriteDelay), isolator.EngineAnswered{By: crash(1), SentAt: start.Add(1)})
	g.Expect(w.Record).To(Equal(isolator.Record{suspect("a", 0, 1)}))
}

// simulated is a fleet of cores that share a record, and their store.
type simulated struct {
	cores    []*isolator.Core
	record   isolator.Record
	version  keeper.Version
	rand     *rand.Rand
	inFlight map[isolator.Crash][]simulatedRun
	starts   []int
	crashes  int
}

type simulatedRun struct {
	vm     int
	traits []isolator.Trait
	since  time.Duration
}

// step makes a VM's core handle an event and writes its record, as the only VM that
// writes at that time.
func (s *simulated) step(now time.Duration, vm int, e isolator.Event) {
	for _, o := range stepEnded(s.cores[vm], start.Add(now), e) {
		w, ok := o.(isolator.Write)
		switch {
		case !ok:
		case w.Expected != s.version:
			s.step(now, vm, isolator.Conflicted{RecordRead: s.read()})
		default:
			s.version++
			s.record = w.Record
			s.step(now, vm, isolator.Written{Version: s.version, Era: 1})
		}
	}
}

func (s *simulated) read() isolator.RecordRead {
	return isolator.RecordRead{Record: s.record, Version: s.version, Era: 1, IsMissing: s.version == 0}
}

// crashEngine ends an engine and reports its broken runs.
func (s *simulated) crashEngine(now time.Duration, engine int) {
	on := isolator.Crash{Upstream: identifier.Upstream(fmt.Sprint("d", engine)), Start: identifier.Incarnation(s.starts[engine])}
	for _, r := range s.inFlight[on] {
		s.step(now, r.vm, isolator.RunBroken{Traits: r.traits, On: on, Lived: now - r.since})
	}
	delete(s.inFlight, on)
	s.starts[engine]++
	s.crashes++
}

// TestOneTraitIsIsolatedInAFleet plays requests with shared traits, one of which
// crashes engines from the start or later, and engines that crash for other reasons,
// also five at once. The VMs read the record 400 ms late.
func TestOneTraitIsIsolatedInAFleet(t *testing.T) {
	const engines, requests, runTime, readInterval = 9, 1500, 1500 * time.Millisecond, 400 * time.Millisecond
	for seed := range uint64(200) {
		g := NewWithT(t)
		s := &simulated{rand: rand.New(rand.NewPCG(seed, 1)), inFlight: map[isolator.Crash][]simulatedRun{}, starts: make([]int, engines)}
		for range 6 {
			s.cores = append(s.cores, isolator.NewStarting(start))
		}
		reached, blockedSound := 0, 0
		badFrom := []int{0, 200}[seed%2]
		for i := range requests {
			now := time.Duration(i) * 50 * time.Millisecond
			vm := s.rand.IntN(len(s.cores))
			if now%readInterval == 0 {
				for one := range s.cores {
					s.step(now, one, s.read())
				}
			}
			for on, runs := range s.inFlight {
				var left []simulatedRun
				for _, r := range runs {
					if now-r.since < runTime {
						left = append(left, r)
						continue
					}
					s.step(now, r.vm, isolator.RunCompleted{Traits: r.traits})
				}
				s.inFlight[on] = left
			}
			// The prompts share one of three beginnings and one of forty subjects.
			traits := []isolator.Trait{isolator.Trait(fmt.Sprint("begin", s.rand.IntN(3))), isolator.Trait(fmt.Sprint("subject", s.rand.IntN(40)))}
			isBad := i >= badFrom && s.rand.IntN(8) == 0
			if isBad {
				traits[1] = "bad"
			}
			if _, _, found := s.cores[vm].FindBlocked(traits); found {
				if !isBad {
					blockedSound++
				}
				continue
			}
			engine := s.rand.IntN(engines)
			on := isolator.Crash{Upstream: identifier.Upstream(fmt.Sprint("d", engine)), Start: identifier.Incarnation(s.starts[engine])}
			s.inFlight[on] = append(s.inFlight[on], simulatedRun{vm, traits, now})
			switch {
			case isBad:
				reached++
				s.crashEngine(now, engine)
			case s.rand.IntN(300) == 0:
				s.crashEngine(now, engine)
			case i%500 == 0:
				for one := range 5 {
					s.crashEngine(now, one)
				}
			}
		}
		g.Expect(reached).To(BeNumerically(">=", isolator.BlockThreshold), "seed %d", seed)
		g.Expect(reached).To(BeNumerically("<=", 5+3), "seed %d", seed)
		g.Expect(blockedSound).To(BeNumerically("<", requests/100), "seed %d", seed)
	}
}

// TestRebuiltCoreSuspectsNoSoundTrait guards against blocking a trait of sound requests
// after a panic: the core forgot which traits had whole answers.
func TestRebuiltCoreSuspectsNoSoundTrait(t *testing.T) {
	g := NewWithT(t)
	core := isolator.New()
	core.Step(start, missing(1))
	core.Step(start, completed("sound"))
	core = core.Rebuilt()
	core.Step(start, missing(1))
	for engine := range 4 {
		now := start.Add(time.Duration(engine+1) * time.Second)
		stepEnded(core, now, broken(engine, "sound", isolator.Trait(fmt.Sprint("content ", engine))))
	}
	_, _, isBlocked := core.FindBlocked([]isolator.Trait{"sound"})
	g.Expect(isBlocked).To(BeFalse())
}

// TestStartingVMSuspectsNoSoundTrait guards against blocking a trait of sound requests while
// a VM that has just started has seen none of them end, and against losing the crashes of
// another trait meanwhile.
func TestStartingVMSuspectsNoSoundTrait(t *testing.T) {
	g := NewWithT(t)
	core := isolator.NewStarting(start)
	core.Step(start, missing(1))
	isBlocked := func(t isolator.Trait) bool {
		_, _, found := core.FindBlocked([]isolator.Trait{t})
		return found
	}
	for engine := range 4 {
		now := start.Add(time.Duration(engine*400) * time.Millisecond)
		stepEnded(core, now, broken(engine, "sound", "crashing", isolator.Trait(fmt.Sprint("content ", engine))))
		stepEnded(core, now, broken(engine+10, "sound", "repeated content"))
		g.Expect(isBlocked("sound") || isBlocked("crashing")).To(BeFalse())
	}
	g.Expect(isBlocked("repeated content")).To(BeTrue())
	core.Step(start.Add(isolator.LearnTime-time.Second), completed("sound"))
	core.Step(start.Add(isolator.LearnTime), isolator.Wake{})
	g.Expect(isBlocked("sound")).To(BeFalse())
	g.Expect(isBlocked("crashing")).To(BeTrue())
}
