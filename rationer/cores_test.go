package rationer_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figtrack/figtrack/clocker"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/rationer"
)

var (
	began  = clocker.Moment{Mono: time.Hour, Wall: time.Unix(1e9, 0)}
	limits = rationer.LimitsChanged{Limits: map[identifier.Workspace]rationer.Limit{workspace: {Rate: 10_000, Burst: 20_000}}}
)

// TestIsolatedVMsDontAdmitTogether guards against 64 own shares that go into debt, or that
// admit what they saved, at the same moment: a debt of one request each exceeds the bound.
func TestIsolatedVMsDontAdmitTogether(t *testing.T) {
	for _, idle := range []time.Duration{0, 40 * time.Second} {
		w := newWorld(1, 64, rationer.Limit{Rate: 36_000})
		w.startAll(64)
		w.isCut = func(int, int) bool { return true }
		w.offer(demand{rate: 8 * 36_000, least: 8400, most: 8500, places: all(64), from: idle, until: idle + 40*time.Second})
		w.runUntil(idle + 40*time.Second)
		if ratio, sum, at := w.worst(); ratio > 1 || w.admitted < .5*36_000*40 {
			t.Errorf("%.0f from %v on, at most %.0f; %.0f in all", sum, at, w.bound(at), w.admitted)
		}
	}
}

// TestCreditExpiresByEitherClock guards against a VM that admits on old credit after its
// monotonic clock stood still, or after the time of day was set back.
func TestCreditExpiresByEitherClock(t *testing.T) {
	for name, c := range map[string]struct {
		mono, wall time.Duration
		admitted   bool
	}{
		"valid":         {999 * time.Millisecond, 999 * time.Millisecond, true},
		"both":          {time.Second, time.Second, false},
		"mono is still": {0, time.Second, false},
		"wall set back": {time.Second, -time.Hour, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := rationer.NewSpender()
			s.Step(began, limits)
			s.Step(began, rationer.Answered{From: rationer.Source{VM: "a"}, SentAt: began, Part: 1, Grants: []rationer.Grant{{Workspace: workspace, Granted: 100}}})
			now := clocker.Moment{Mono: began.Mono + c.mono, Wall: began.Wall.Add(c.wall)}
			outcomes := s.Step(now, rationer.Arrived{Ticket: 1, Workspace: workspace, Cost: 100})
			g.Expect(outcomes).To(HaveLen(1))
			_, isAdmitted := outcomes[0].(rationer.Admit)
			g.Expect(isAdmitted).To(Equal(c.admitted))
		})
	}
}

// TestBucketOfACoordinator checks what a bucket of 10,000 a second and 20,000 grants after a
// history. c.pause lies between its steps.
func TestBucketOfACoordinator(t *testing.T) {
	ask := func(sequence, accepted identifier.Sequence, part float64, requests ...rationer.Request) rationer.Asked {
		for i := range requests {
			requests[i].Workspace = workspace
		}
		return rationer.Asked{From: rationer.Source{VM: "a"}, Sequence: sequence, Accepted: accepted, Part: part, Requests: requests}
	}
	lowered := rationer.LimitsChanged{Limits: map[identifier.Workspace]rationer.Limit{workspace: {Rate: 1000, Burst: 1000}}}
	removed := rationer.LimitsChanged{}
	other := rationer.LimitsChanged{Limits: map[identifier.Workspace]rationer.Limit{"other": {Rate: 1}}}
	want := func(n float64) rationer.Request { return rationer.Request{Wanted: n} }
	for name, c := range map[string]struct {
		events []rationer.AllotterEvent
		pause  time.Duration
		last   rationer.Grant
	}{
		"begins empty":            {[]rationer.AllotterEvent{limits, ask(1, 0, 1, want(1000))}, 0, rationer.Grant{Available: 100 * time.Millisecond}},
		"fills to the burst":      {[]rationer.AllotterEvent{limits, ask(1, 0, 1), ask(2, 1, 1, want(50_000))}, 5 * time.Second, rationer.Grant{Granted: 20_000, Available: 3 * time.Second}},
		"fills by its part":       {[]rationer.AllotterEvent{limits, ask(1, 0, .25), ask(2, 1, .25, want(50_000))}, time.Second, rationer.Grant{Granted: 2500, Available: 19 * time.Second}},
		"a smaller part binds":    {[]rationer.AllotterEvent{limits, ask(1, 0, 1), ask(2, 1, .1), ask(3, 2, 1, want(50_000))}, 5 * time.Second, rationer.Grant{Granted: 7000, Available: 4300 * time.Millisecond}},
		"one request by debt":     {[]rationer.AllotterEvent{limits, ask(1, 0, 1, rationer.Request{Wanted: 9000, Least: 4000})}, 0, rationer.Grant{Granted: 4000, Available: 900 * time.Millisecond}},
		"no debt upon a debt":     {[]rationer.AllotterEvent{limits, ask(1, 0, 1, rationer.Request{Wanted: 4000, Least: 4000}), ask(2, 1, 1, rationer.Request{Wanted: 4000, Least: 4000})}, 0, rationer.Grant{Available: 800 * time.Millisecond}},
		"returned":                {[]rationer.AllotterEvent{limits, ask(1, 0, 1, rationer.Request{Wanted: 4000, Least: 4000}), ask(2, 1, 1, rationer.Request{Wanted: 100, Returned: 4100})}, 0, rationer.Grant{Granted: 100}},
		"not accepted, so refund": {[]rationer.AllotterEvent{limits, ask(1, 0, 1, rationer.Request{Wanted: 4000, Least: 4000}), ask(2, 0, 1, rationer.Request{Wanted: 4000, Least: 4000})}, 0, rationer.Grant{Granted: 4000}},
		"what VMs hold counts":    {[]rationer.AllotterEvent{limits, ask(1, 0, 1), ask(2, 1, 1, rationer.Request{Wanted: 50_000, Held: 15_000})}, 5 * time.Second, rationer.Grant{Granted: 10_000, Available: 4 * time.Second}},
		"lowered":                 {[]rationer.AllotterEvent{limits, ask(1, 0, 1), lowered, ask(2, 1, 1, want(2000))}, 5 * time.Second, rationer.Grant{Granted: 1000, Available: time.Second}},
		"removed and given again": {[]rationer.AllotterEvent{limits, ask(1, 0, 1), removed, limits, ask(2, 1, 1, want(1000))}, 0, rationer.Grant{Available: 100 * time.Millisecond}},
		"unknown here":            {[]rationer.AllotterEvent{other, ask(1, 0, 1, want(1e6))}, 0, rationer.Grant{Granted: 1e6}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			a := rationer.NewAllotter(.5)
			now := began
			var grants []rationer.Grant
			for _, e := range c.events {
				grants = a.Step(now, e)
				now = now.Add(c.pause)
			}
			g.Expect(grants).To(HaveLen(1))
			c.last.Workspace = workspace
			g.Expect(grants[0].Granted).To(BeNumerically("~", c.last.Granted, 1e-6))
			g.Expect(grants[0].Available).To(BeNumerically("~", c.last.Available, time.Millisecond))
		})
	}
	g := NewWithT(t)
	g.Expect(rationer.NewAllotter(0).Step(began, ask(1, 0, 1, want(5)))).To(BeEmpty(), "limits that aren't known yet")
}
