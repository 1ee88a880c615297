package quarantiner_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/quarantiner"
)

// minSteps is the least number of state machine steps that a test must run.
const minSteps = 10_000

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "3")
	_ = flag.Set("rapid.checks", "200")
	_ = flag.Set("rapid.steps", "150")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// poison is the fingerprint that crashes every upstream it runs on; all others
// are harmless.
const poison quarantiner.Fingerprint = 1

const vms, upstreams = 3, 4

// inFlightRun is a run that has started and not ended.
type inFlightRun struct {
	quarantiner.Run
	vm          int
	fingerprint quarantiner.Fingerprint
	// guard is the VM that allowed the run as the guard of its upstream, or
	// -1.
	guard int
}

// delivery is a message on its way to a VM.
type delivery struct {
	to    int
	event quarantiner.Event
}

// world simulates three VMs and four upstreams, each guarded by one VM.
type world struct {
	now          time.Time
	cores        []*quarantiner.Core
	incarnations []identifier.Incarnation
	inFlight     []inFlightRun
	messages     []delivery
	verdict      quarantiner.Verdict
	guardAllowed bool
	lastID       int
	steps        int
	deaths       int
	refused      int
	suspectRuns  int
}

func newWorld() *world {
	w := &world{now: time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC), incarnations: make([]identifier.Incarnation, upstreams)}
	for range vms {
		w.cores = append(w.cores, quarantiner.New())
	}
	return w
}

func (w *world) step(vm int, e quarantiner.Event) {
	for _, o := range w.cores[vm].Step(w.now, e) {
		switch o := o.(type) {
		case quarantiner.Verdict:
			w.verdict = o
		case quarantiner.GuardAnswered:
			w.guardAllowed = o.Allowed
		case quarantiner.SendMarks:
			w.queueMarks(vm, o)
		}
	}
}

func (w *world) queueMarks(from int, o quarantiner.SendMarks) {
	for to := range vms {
		if to != from && (o.To == "" || o.To == vmName(to)) {
			e, err := quarantiner.Decode(vmName(from), quarantiner.Encode(o))
			if err != nil {
				panic(err)
			}
			w.messages = append(w.messages, delivery{to: to, event: e})
		}
	}
}

func vmName(vm int) identifier.VM { return identifier.VM(fmt.Sprint("vm", vm)) }

func upstreamID(n int) identifier.Upstream { return identifier.Upstream(fmt.Sprint("u", n)) }

func (w *world) death(n int) quarantiner.Death {
	return quarantiner.Death{Upstream: upstreamID(n), Incarnation: w.incarnations[n]}
}

// submit sends a request through a VM to upstream n, if it may run there.
func (w *world) submit(t *rapid.T, vm, n int, fingerprint quarantiner.Fingerprint) {
	w.lastID++
	request := identifier.Request(fmt.Sprint("r", w.lastID))
	w.step(vm, quarantiner.CheckAsked{Request: request, Fingerprint: fingerprint})
	f := inFlightRun{Run: quarantiner.Run{Request: request, Attempt: 1, Upstream: upstreamID(n)}, vm: vm, fingerprint: fingerprint, guard: -1}
	switch w.verdict.Kind {
	case quarantiner.KindRefuse:
		if fingerprint != poison {
			t.Fatalf("harmless fingerprint %d is refused", fingerprint)
		}
		w.refused++
		return
	case quarantiner.KindWait:
		return
	case quarantiner.KindRunAlone:
		w.suspectRuns++
		f.guard = n % vms
		w.step(f.guard, quarantiner.GuardAsked{From: vmName(vm), Run: f.Run, Fingerprint: fingerprint})
		if !w.guardAllowed {
			return
		}
	}
	w.inFlight = append(w.inFlight, f)
	w.step(vm, quarantiner.Started{Run: f.Run, Incarnation: w.incarnations[n], Fingerprint: fingerprint, Alone: f.guard >= 0})
}

func (w *world) endRun(i int, whole bool) {
	f := w.inFlight[i]
	w.inFlight = slices.Delete(w.inFlight, i, i+1)
	w.step(f.vm, quarantiner.Ended{Run: f.Run, Completed: whole})
	if f.guard >= 0 {
		w.step(f.guard, quarantiner.GuardFreed{Run: f.Run})
	}
}

// killUpstream kills upstream n. The VMs with runs on it learn of the death in
// random order.
func (w *world) killUpstream(t *rapid.T, n int) {
	w.deaths++
	death := w.death(n)
	w.incarnations[n]++
	w.loseConnections(death, rapid.Bool().Draw(t, "ended first"))
	if rapid.Bool().Draw(t, "confirmed") {
		w.step(rapid.IntRange(0, vms-1).Draw(t, "witness"), quarantiner.UpstreamDied{Death: death})
	} else {
		w.advance(t, quarantiner.ConfirmWait)
	}
}

// loseConnections ends all runs on an upstream without an answer. Their VMs
// report the loss after the runs have ended and, unless endedFirst, also
// before.
func (w *world) loseConnections(death quarantiner.Death, endedFirst bool) {
	var lost []int
	for i := len(w.inFlight) - 1; i >= 0; i-- {
		f := w.inFlight[i]
		if f.Upstream != death.Upstream {
			continue
		}
		if !endedFirst {
			w.step(f.vm, quarantiner.UpstreamLost{Death: death})
		}
		w.endRun(i, false)
		lost = append(lost, f.vm)
	}
	for _, vm := range lost {
		w.step(vm, quarantiner.UpstreamLost{Death: death})
	}
}

// advance delivers all messages, which take less than SpreadWait, and moves
// the clock by d.
func (w *world) advance(t *rapid.T, d time.Duration) {
	w.deliverMessages(t)
	w.now = w.now.Add(d)
	for vm := range vms {
		w.step(vm, quarantiner.Wake{})
	}
}

// deliverMessages delivers all messages in random order, some of them twice.
func (w *world) deliverMessages(t *rapid.T) {
	for len(w.messages) > 0 {
		i := rapid.IntRange(0, min(3, len(w.messages)-1)).Draw(t, "message")
		m := w.messages[i]
		w.messages = slices.Delete(w.messages, i, i+1)
		w.step(m.to, m.event)
		if rapid.IntRange(0, 9).Draw(t, "twice") == 0 {
			w.step(m.to, m.event)
		}
	}
}

// drawInFlight draws the index of a run in flight.
func (w *world) drawInFlight(t *rapid.T) int {
	if len(w.inFlight) == 0 {
		t.Skip("no run in flight")
	}
	return rapid.IntRange(0, len(w.inFlight)-1).Draw(t, "flight")
}

func (w *world) isInFlight(n int, fingerprint quarantiner.Fingerprint) bool {
	return slices.ContainsFunc(w.inFlight, func(f inFlightRun) bool { return f.Upstream == upstreamID(n) && f.fingerprint == fingerprint })
}

func (w *world) actions() map[string]func(*rapid.T) {
	innocent := func(t *rapid.T) {
		fingerprint := quarantiner.Fingerprint(rapid.IntRange(2, 9).Draw(t, "content"))
		w.submit(t, rapid.IntRange(0, vms-1).Draw(t, "vm"), rapid.IntRange(0, upstreams-1).Draw(t, "upstream"), fingerprint)
	}
	whole := func(t *rapid.T) {
		if i := w.drawInFlight(t); w.inFlight[i].fingerprint != poison {
			w.endRun(i, true)
		}
	}
	return map[string]func(*rapid.T){
		"innocent": innocent, "innocent2": innocent, "innocent3": innocent, "innocent4": innocent,
		"whole": whole, "whole2": whole,
		"poison": func(t *rapid.T) {
			// The caller retries only after the failure, when the marks have
			// arrived at all VMs.
			w.deliverMessages(t)
			n := rapid.IntRange(0, upstreams-1).Draw(t, "upstream")
			w.submit(t, rapid.IntRange(0, vms-1).Draw(t, "vm"), n, poison)
			if w.isInFlight(n, poison) {
				w.killUpstream(t, n)
			}
			if w.deaths > 2 {
				t.Fatalf("%d upstreams died of one request", w.deaths)
			}
		},
		"connectionLost": func(t *rapid.T) {
			death := w.death(rapid.IntRange(0, upstreams-1).Draw(t, "upstream"))
			w.loseConnections(death, rapid.Bool().Draw(t, "ended first"))
			for vm := range vms {
				w.step(vm, quarantiner.UpstreamAlive{Death: death})
			}
			w.deliverMessages(t)
		},
		"spread": func(t *rapid.T) { w.deliverMessages(t) },
		"loseAndWait": func(t *rapid.T) {
			w.messages = w.messages[:len(w.messages)/2]
			for range 12 {
				w.advance(t, time.Second)
			}
		},
		"restart": func(t *rapid.T) {
			w.deliverMessages(t)
			vm := rapid.IntRange(0, vms-1).Draw(t, "vm")
			if slices.ContainsFunc(w.inFlight, func(f inFlightRun) bool { return f.vm == vm || f.guard == vm }) {
				t.Skip("the VM has runs in flight")
			}
			w.cores[vm] = quarantiner.New()
			w.step((vm+1)%vms, quarantiner.VMJoined{VM: vmName(vm)})
			w.deliverMessages(t)
		},
		"": func(*rapid.T) { w.steps++ },
	}
}

// checkConviction checks that after two deaths every VM refuses the poison
// request, and that the request may run again when the conviction has expired.
func (w *world) checkConviction(t *rapid.T) {
	if w.deaths != 2 {
		return
	}
	w.advance(t, quarantiner.SpreadWait)
	before := w.refused
	for vm := range vms {
		w.submit(t, vm, 0, poison)
	}
	if w.refused-before != vms {
		t.Fatalf("the poison request is refused by %d VMs after two deaths", w.refused-before)
	}
	w.advance(t, quarantiner.SuspicionLifetime)
	w.submit(t, 0, 0, poison)
	if w.verdict.Kind != quarantiner.KindRun {
		t.Fatalf("the conviction does not expire: %v", w.verdict)
	}
}

// TestRegressionSeeds runs the seeds that found faults: a run that had ended
// before the death was marked (94, 14709), copies of a harmless request were
// in flight at both deaths (1543), the VM that confirmed a death had no marks
// for it (12564) or did not pass on what it knew (13).
func TestRegressionSeeds(t *testing.T) {
	for _, seed := range []string{"94", "1543", "14709", "12564", "13"} {
		t.Run(seed, func(t *testing.T) {
			reset := setFlags("rapid.seed", seed, "rapid.checks", "20")
			defer reset()
			rapid.Check(t, func(t *rapid.T) {
				w := newWorld()
				t.Repeat(w.actions())
				w.checkConviction(t)
			})
		})
	}
}

// setFlags sets flags, given as pairs of name and value, and returns a
// function that restores them.
func setFlags(pairs ...string) func() {
	var undo []string
	for i := 0; i < len(pairs); i += 2 {
		undo = append(undo, pairs[i], flag.Lookup(pairs[i]).Value.String())
		_ = flag.Set(pairs[i], pairs[i+1])
	}
	return func() {
		for i := 0; i < len(undo); i += 2 {
			_ = flag.Set(undo[i], undo[i+1])
		}
	}
}

func TestPoisonIsConvictedAfterTwoDeaths(t *testing.T) {
	total, refused, retried := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		t.Repeat(w.actions())
		w.checkConviction(t)
		total += w.steps
		refused += w.refused
		retried += w.suspectRuns
	})
	if total < minSteps || refused < 100 || retried < 100 {
		t.Fatalf("%d steps, %d refusals, %d runs of suspects", total, refused, retried)
	}
	t.Logf("%d steps, %d refusals, %d runs of suspects", total, refused, retried)
}

// TestRackFailureConvictsNobody kills the prefill and the decode engine of one
// request together. The two deaths count as one, so the request may run again
// alone and is cleared by its complete answer.
func TestRackFailureConvictsNobody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		w.submit(t, 0, 0, 2)
		prefill := w.inFlight[0]
		decode := prefill
		decode.Upstream = upstreamID(1)
		w.inFlight = append(w.inFlight, decode)
		w.step(0, quarantiner.Started{Run: decode.Run, Fingerprint: 2})
		w.killUpstream(t, 0)
		w.killUpstream(t, 1)
		w.advance(t, quarantiner.ConfirmWait)
		for vm := range vms {
			w.submit(t, vm, 2, 2)
			if w.verdict.Kind != quarantiner.KindRunAlone {
				t.Fatalf("after the failure of a rack: verdict %v", w.verdict)
			}
		}
		if len(w.inFlight) != 1 {
			t.Fatalf("the guard lets %d suspects run on one upstream", len(w.inFlight))
		}
		w.endRun(0, true)
		w.deliverMessages(t)
		w.submit(t, 1, 2, 2)
		if w.verdict.Kind != quarantiner.KindRun {
			t.Fatalf("after a complete answer: verdict %v", w.verdict)
		}
	})
}
