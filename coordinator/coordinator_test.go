package coordinator

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/figtrack/figtrack/clocker"
	"github.com/figtrack/figtrack/identifier"
)

func init() { _ = flag.Set("rapid.seed", "31") }

const step = 5 * time.Millisecond

// fleet runs cores in steps of virtual time.
type fleet struct {
	now   time.Duration
	vms   []*vm
	mails []mail
	// isLost tells whether a datagram gets lost, delay for how long it is under way.
	isLost func(from, to int) bool
	delay  func() time.Duration
	copies func() int
}

type vm struct {
	f           *fleet
	place       int
	core        *Core
	frozenUntil time.Duration
	monoLag     time.Duration
	inbox       []Event
	report      ReportReceived
	to          Member
	// collected holds the reports that the VM took in, answers the latest digests.
	collected map[string]bool
	answers   map[identifier.VM]DigestReceived
	acceptAt  time.Duration
	lost      int
	dropped   []Reason
}

type mail struct {
	at time.Duration
	to int
	e  Event
}

func newFleet(n int) *fleet {
	f := &fleet{isLost: func(int, int) bool { return false }, delay: func() time.Duration { return 0 }, copies: func() int { return 1 }}
	var members []Member
	for i := range n {
		members = append(members, Member{identifier.VM(fmt.Sprint(i)), 1, true})
	}
	for i, m := range members {
		v := &vm{f: f, place: i, core: New(m, 0, 0), collected: map[string]bool{}, answers: map[identifier.VM]DigestReceived{}}
		f.vms = append(f.vms, v)
		v.step(RosterChanged{Members: members, Count: n})
	}
	return f
}

func (f *fleet) run(d time.Duration, check func()) {
	for end := f.now + d; f.now < end; {
		f.now += step
		mails := f.mails
		f.mails = nil
		for _, m := range mails {
			if m.at > f.now {
				f.mails = append(f.mails, m)
			} else {
				f.vms[m.to].inbox = append(f.vms[m.to].inbox, m.e)
			}
		}
		for _, v := range f.vms {
			if f.now < v.frozenUntil {
				continue
			}
			inbox := v.inbox
			v.inbox = nil
			for _, e := range inbox {
				v.step(e)
			}
			v.step(Wake{true})
		}
		check()
	}
}

func (v *vm) moment() clocker.Moment {
	return clocker.Moment{Mono: time.Hour + v.f.now - v.monoLag, Wall: time.Unix(1e9, 0).Add(v.f.now)}
}

func (v *vm) freeze(d time.Duration, isMonoStill bool) {
	if v.f.now < v.frozenUntil {
		return
	}
	v.frozenUntil = v.f.now + d
	if isMonoStill {
		v.monoLag += d
	}
}

func (v *vm) send(to identifier.VM, e Event) {
	var place int
	_, _ = fmt.Sscan(string(to), &place)
	if place == v.place {
		v.step(e)
		return
	}
	for range v.f.copies() {
		if !v.f.isLost(v.place, place) {
			v.f.mails = append(v.f.mails, mail{v.f.now + v.f.delay(), place, e})
		}
	}
}

func (v *vm) step(e Event) {
	for _, o := range v.core.Step(v.moment(), e) {
		switch o := o.(type) {
		case SendReport:
			v.to = o.To
			v.report = ReportReceived{VM: v.core.self.VM, Incarnation: 1, Sequence: o.Sequence, Accepted: o.Accepted, Share: o.Share}
			v.send(o.To.VM, v.report)
		case ResendReport:
			v.send(o.To.VM, v.report)
		case Collect:
			key := fmt.Sprintf("%s %d", o.From.VM, o.Sequence)
			if v.collected[key] {
				panic("collected twice: " + key)
			}
			v.collected[key] = true
			v.answers[o.From.VM] = DigestReceived{v.core.self.VM, 1, o.Sequence}
			v.send(o.From.VM, v.answers[o.From.VM])
		case ResendDigest:
			v.send(o.To.VM, v.answers[o.To.VM])
		case Apply:
			v.acceptAt = v.f.now
		case Lose:
			v.lost++
		case Drop:
			v.dropped = append(v.dropped, o.Reason)
		}
	}
}

// counted returns the sum of the shares for which a VM counts at all coordinators.
func (f *fleet) counted(place int) (sum float64) {
	for _, v := range f.vms {
		if h := v.core.heard[f.vms[place].core.self.VM]; h != nil && !h.confirmedAt.IsZero() && v.moment().Longest(h.confirmedAt) < window {
			sum += h.share
		}
	}
	return sum
}

// TestEachVMCountsOnce guards against quotas that two coordinators grant for the same VM,
// and against reports that are collected twice. Datagrams are lost, also one way, copied and
// delayed by up to 2 s, and VMs freeze with one clock or both.
func TestEachVMCountsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(2, 12).Draw(t, "VMs"))
		n := len(f.vms)
		loss := rapid.SampledFrom([]int{0, 0, 5, 50}).Draw(t, "loss")
		slow := rapid.SampledFrom([]int{0, 0, 10}).Draw(t, "slow")
		seed := rapid.Uint64().Draw(t, "seed")
		chance := func(below int) int { // A cheap source: rapid records each of its draws.
			seed = seed*6364136223846793005 + 1442695040888963407
			return int(seed>>33) % below
		}
		cut := map[[2]int]bool{}
		f.isLost = func(from, to int) bool { return cut[[2]int{from, to}] || chance(100) < loss }
		f.copies = func() int { return 1 + chance(5)/4 }
		f.delay = func() time.Duration {
			if chance(100) < slow {
				return time.Duration(chance(2000)) * time.Millisecond
			}
			return time.Duration(chance(10)) * time.Millisecond
		}
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			if rapid.IntRange(0, 2).Draw(t, "fault") == 0 {
				v := f.vms[rapid.IntRange(0, n-1).Draw(t, "VM")]
				v.freeze(time.Duration(rapid.IntRange(100, 4000).Draw(t, "frozen"))*time.Millisecond, rapid.Bool().Draw(t, "monoStill"))
			} else {
				clear(cut)
				for range chance(n * n) {
					cut[[2]int{chance(n), chance(n)}] = true
				}
			}
			f.run(time.Duration(rapid.IntRange(50, 3000).Draw(t, "for"))*time.Millisecond, func() {
				for i := range f.vms {
					if sum := f.counted(i); sum > 1+earlyShare {
						t.Fatalf("VM %d counts %.2f times", i, sum)
					}
				}
			})
		}
		// Without faults all VMs report to the same one again, and all count.
		clear(cut)
		loss, slow = 0, 0
		f.run(8*time.Second, func() {})
		first := f.vms[0].core.order[0]
		for i, v := range f.vms {
			if v.core.accepted.by != first || f.counted(i) != 1 || v.core.isLost {
				t.Fatalf("VM %d reports to %v and counts %.2f times", i, v.core.accepted.by, f.counted(i))
			}
		}
	})
}

// TestNextVMIsAskedWhenTheCoordinatorIsSilent guards against VMs that stay with a dead
// coordinator, and against requests that wait for it again and again.
func TestNextVMIsAskedWhenTheCoordinatorIsSilent(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(5)
	f.run(3*time.Second, func() {})
	order := f.vms[0].core.order
	reporting, counting := f.vms[at(f, order[0])].core.Reporting(f.vms[at(f, order[0])].moment())
	g.Expect(reporting).To(Equal(5))
	g.Expect(counting).To(Equal(5.0))
	f.vms[at(f, order[0])].freeze(time.Hour, false)
	var latest, pause time.Duration
	from := f.now
	f.run(4*time.Second, func() {
		for _, v := range f.vms {
			if v.core.self != order[0] && f.now > from+time.Second {
				pause = max(pause, f.now-v.acceptAt)
			}
			if v.core.accepted.by == order[1] && latest == 0 {
				latest = f.now - from
			}
		}
	})
	g.Expect(latest).To(BeNumerically("<=", minInterval+maxTries*tryInterval+4*step))
	g.Expect(pause).To(BeNumerically("<=", minInterval+tryInterval+4*step))
	reporting, counting = f.vms[at(f, order[1])].core.Reporting(f.vms[at(f, order[1])].moment())
	g.Expect(reporting).To(Equal(4))
	g.Expect(counting).To(Equal(4.0))
}

func at(f *fleet, m Member) int {
	return slices.IndexFunc(f.vms, func(v *vm) bool { return v.core.self == m })
}

// TestVMWithoutAnyCoordinatorIsLostOnce guards against a VM that takes its own share while
// it still counts elsewhere.
func TestVMWithoutAnyCoordinatorIsLostOnce(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(40)
	f.run(3*time.Second, func() {})
	last := f.vms[at(f, f.vms[0].core.order[39])]
	f.isLost = func(from, to int) bool { return from == last.place || to == last.place }
	f.run(window-maxActiveInterval, func() {})
	g.Expect(last.lost).To(BeZero())
	f.run(10*time.Second, func() {
		if last.core.isLost {
			g.Expect(f.counted(last.place)).To(BeZero())
		}
	})
	g.Expect(last.lost).To(Equal(1))
}

// TestDigestOfAnotherReportIsDropped guards against grants that are applied twice or late.
func TestDigestOfAnotherReportIsDropped(t *testing.T) {
	for name, c := range map[string]struct {
		e     DigestReceived
		after time.Duration
		drop  []Outcome
	}{
		"other sequence": {DigestReceived{"1", 1, 2}, 0, []Outcome{Drop{Outdated}}},
		"earlier start":  {DigestReceived{"1", 0, 1}, 0, []Outcome{Drop{Outdated}}},
		"other VM":       {DigestReceived{"0", 1, 1}, 0, []Outcome{Drop{Outdated}}},
		"late":           {DigestReceived{"1", 1, 1}, staleAfter + 1, []Outcome{Drop{Late}}},
		"in time":        {DigestReceived{"1", 1, 1}, staleAfter, []Outcome{Apply{}, Change{To: "1"}}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			now := clocker.Moment{Mono: time.Hour, Wall: time.Unix(1e9, 0)}
			c0 := New(Member{"0", 1, true}, 0, StartupPeriod)
			c0.Step(now, RosterChanged{Members: []Member{{"1", 1, true}, {"2", 1, false}}, Count: 3})
			sent := c0.Step(now, Wake{true})
			g.Expect(sent).To(Equal([]Outcome{SendReport{To: Member{"1", 1, true}, Sequence: 1}}))
			g.Expect(c0.Step(now.Add(c.after), c.e)).To(Equal(c.drop))
			if len(c.drop) == 2 {
				g.Expect(c0.Step(now.Add(c.after), c.e)).To(Equal([]Outcome{Drop{Outdated}}))
			}
		})
	}
}

// TestResumedVMCoordinatesAtOnce guards against a fleet that lost power and then admits nothing
// for the startup period, and against a new VM that takes a fleet of few VMs for
// the whole one.
func TestResumedVMCoordinatesAtOnce(t *testing.T) {
	for _, isResumed := range []bool{false, true} {
		g := NewWithT(t)
		now := clocker.Moment{Mono: time.Hour, Wall: time.Unix(1e9, 0)}
		self, other := Member{"0", 2, true}, Member{"1", 1, true}
		core := New(self, 0, StartupPeriod)
		core.Step(now, RosterChanged{Members: []Member{self, other}, Count: 2, IsResumed: isResumed})
		outcomes := core.Step(now, ReportReceived{VM: other.VM, Incarnation: other.Incarnation, Sequence: 1, Share: 1})
		if isResumed {
			g.Expect(outcomes).To(ContainElement(Collect{From: other, Sequence: 1}))
		} else {
			g.Expect(outcomes).To(Equal([]Outcome{Drop{Starting}}))
		}
	}
}

// TestLaterStartIsKnownBeforeTheRosterHasIt guards against VMs of a fleet that lost power which
// don't reach each other until the store has told them of their new starts, and against an
// entry of the former start that replaces the later one.
func TestLaterStartIsKnownBeforeTheRosterHasIt(t *testing.T) {
	g := NewWithT(t)
	now := clocker.Moment{Mono: time.Hour, Wall: time.Unix(1e9, 0)}
	self, former, later := Member{"0", 2, true}, Member{"1", 1, true}, Member{"1", 2, true}
	roster := RosterChanged{Members: []Member{self, former}, Count: 2, IsResumed: true}
	core := New(self, 0, StartupPeriod)
	core.Step(now, roster)
	g.Expect(core.Step(now, ReportReceived{VM: later.VM, Incarnation: 2, Sequence: 1, Share: 1})).To(ContainElement(Collect{From: later, Sequence: 1}))
	core.Step(now, roster)
	g.Expect(core.Step(now, ReportReceived{VM: later.VM, Incarnation: 1, Sequence: 9, Share: 1})).To(Equal([]Outcome{Drop{UnknownSender}}))
	core.Step(now, RosterChanged{Members: []Member{self, {"1", 7, true}}, Count: 2})
	g.Expect(core.Step(now, ReportReceived{VM: later.VM, Incarnation: 2, Sequence: 9, Share: 1})).To(Equal([]Outcome{Drop{UnknownSender}}))

	asking := New(Member{"2", 2, true}, 0, 0)
	asking.Step(now, RosterChanged{Members: []Member{former}, Count: 2})
	asking.unavailable["2"] = now
	sent := asking.Step(now, Wake{true})
	g.Expect(sent).To(Equal([]Outcome{SendReport{To: former, Sequence: 1}}))
	g.Expect(asking.Step(now, DigestReceived{VM: "1", Incarnation: 2, Sequence: 1})).To(ContainElement(Apply{}))
	g.Expect(asking.Step(now.Add(minReportGap), Wake{true})).To(ContainElement(SendReport{To: later, Sequence: 2, Accepted: 1, Share: 1}))
}
