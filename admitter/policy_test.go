package admitter_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/identifier"
)

// tally counts the outcomes of many requests.
type tally struct {
	placed, refused map[identifier.Workspace]int
	reasons         map[admitter.Reason]int
	retry           map[time.Duration]bool
}

func newTally() *tally {
	return &tally{
		placed: map[identifier.Workspace]int{}, refused: map[identifier.Workspace]int{},
		reasons: map[admitter.Reason]int{}, retry: map[time.Duration]bool{},
	}
}

func (l *tally) record(of map[admitter.Key]identifier.Workspace, out []admitter.Outcome) []admitter.Place {
	var places []admitter.Place
	for _, o := range out {
		switch o := o.(type) {
		case admitter.Place:
			l.placed[of[o.Key]]++
			places = append(places, o)
		case admitter.Refuse:
			l.refused[of[o.Key]]++
			l.reasons[o.Reason]++
			l.retry[o.RetryAfter] = true
		}
	}
	return places
}

// simulate runs a shard for a number of steps. Each step sends new requests; a
// placed request ends its prefill 170 ms later and its stream a second after
// that.
func simulate(s *shard, steps int, ask func(step int) []admitter.Ask) *tally {
	l := newTally()
	of := map[admitter.Key]identifier.Workspace{}
	type due struct {
		at    time.Time
		event admitter.Event
	}
	var later []due
	tell := func(e admitter.Event) {
		for _, p := range l.record(of, s.send(e)) {
			ends := s.now.Add(170 * time.Millisecond)
			later = append(later,
				due{ends, admitter.PrefillEnded{Key: p.Key, Took: 170 * time.Millisecond}},
				due{ends.Add(80 * time.Millisecond), admitter.FirstToken{Key: p.Key}},
				due{ends.Add(time.Second), admitter.Ended{Key: p.Key, Output: 50}})
		}
	}
	for step := range steps {
		s.now = s.now.Add(10 * time.Millisecond)
		for i := 0; i < len(later); i++ {
			if d := later[i]; d.event != nil && !d.at.After(s.now) {
				later[i].event = nil
				tell(d.event)
			}
		}
		for _, a := range ask(step) {
			of[a.Key] = a.Workspace
			tell(a)
		}
		tell(admitter.Wake{})
	}
	return l
}

func request(s *shard, name string, w identifier.Workspace) admitter.Ask {
	return admitter.Ask{
		Key: key(name), Class: "Quick", Workspace: w, From: "vm-1", FromDataCentre: "thamel-room",
		Prompt: 8000, MaxOutput: 100, Arrived: s.now,
	}
}

func TestWorkspaceFloodDoesNotStarveOthers(t *testing.T) {
	g := NewWithT(t)
	s := newShard(admitter.Settings{}, 2, 4)
	asked := 0
	l := simulate(s, 600, func(step int) []admitter.Ask {
		var asks []admitter.Ask
		for i := range 3 {
			asks = append(asks, request(s, fmt.Sprintf("flood-%d-%d", step, i), "flood"))
		}
		if step%40 == 0 {
			asked++
			asks = append(asks, request(s, fmt.Sprintf("calm-%d", step), "calm"))
		}
		return asks
	})
	g.Expect(l.placed["flood"]).To(BeNumerically(">", 30))
	g.Expect(float64(l.placed["calm"])).To(BeNumerically(">=", 0.9*float64(asked)))
	g.Expect(l.reasons[admitter.ReasonWorkspaceShare]).To(BeNumerically(">", 0))
	g.Expect(len(l.retry)).To(BeNumerically(">", l.refused["flood"]/2), "the RetryAfter times are not spread")
}

func TestRequestOutOfReachIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	s := newShard(admitter.Settings{}, 1, 4)
	refused := 0
	for i := range 40 {
		for _, o := range s.ask(fmt.Sprintf("request-%d", i)) {
			if r, ok := o.(admitter.Refuse); ok {
				refused++
				g.Expect(r.Reason).To(Equal(admitter.ReasonTargetOutOfReach))
				g.Expect(r.RetryAfter).To(BeNumerically(">", 0))
			}
		}
	}
	g.Expect(refused).To(BeNumerically(">", 30))
	g.Expect(s.Estimates().Queue + s.Estimates().Grants + refused).To(Equal(40))
}

func TestLateRequestIsRefusedPastPatience(t *testing.T) {
	g := NewWithT(t)
	s := newShard(admitter.Settings{}, 1, 1)
	s.class(admitter.Class{Name: "Quick", FirstToken: 380 * time.Millisecond, PerToken: 60 * time.Millisecond, Patience: time.Second})
	out := s.ask("a", func(a *admitter.Ask) { a.Prompt = 60_000 })
	g.Expect(out).To(HaveLen(1))
	g.Expect(out[0].(admitter.Refuse).Reason).To(Equal(admitter.ReasonTargetOutOfReach))
	out = s.ask("b", func(a *admitter.Ask) { a.Prompt = 20_000 })
	g.Expect(out[0]).To(BeAssignableToTypeOf(admitter.Place{}), "late, but within the patience of the class")
}

func TestPatientRequestsAreServedAfterSurge(t *testing.T) {
	g := NewWithT(t)
	s := newShard(admitter.Settings{}, 1, 4)
	s.class(admitter.Class{Name: "Quick", FirstToken: time.Second, PerToken: 60 * time.Millisecond, Patience: 20 * time.Second})
	l := simulate(s, 1500, func(step int) []admitter.Ask {
		if step >= 40 {
			return nil
		}
		return []admitter.Ask{request(s, fmt.Sprintf("request-%d", step), "desk")}
	})
	g.Expect(l.placed["desk"]).To(Equal(40), "every late request within its patience is served after the surge")
	g.Expect(l.refused["desk"]).To(BeZero())
}

func TestRetryBudgetIsPerClass(t *testing.T) {
	g := NewWithT(t)
	s := newShard(admitter.Settings{}, 2, 4)
	s.class(admitter.Class{Name: "Other", FirstToken: time.Minute, PerToken: 60 * time.Millisecond})
	again := func(i int, class identifier.Class) admitter.Reason {
		for _, o := range s.ask(fmt.Sprintf("%s-%d", class, i), func(a *admitter.Ask) { a.Attempt, a.Class = 2, class }) {
			if r, ok := o.(admitter.Refuse); ok && r.Request == identifier.Request(fmt.Sprintf("%s-%d", class, i)) {
				return r.Reason
			}
		}
		return ""
	}
	spent := 0
	for ; spent < 1000 && again(spent, "Quick") != admitter.ReasonRetryBudget; spent++ {
		continue
	}
	g.Expect(spent).To(BeNumerically("<", 1000))
	g.Expect(again(0, "Other")).To(BeEmpty(), "another class has its own budget")
	for i := range 10 {
		s.ask(fmt.Sprintf("fresh-%d", i))
	}
	g.Expect(again(spent+1, "Quick")).NotTo(Equal(admitter.ReasonRetryBudget), "ten new requests allow one retry")
	g.Expect(again(spent+2, "Quick")).To(Equal(admitter.ReasonRetryBudget))
}

func TestStalledTransferMovesUntilResultExpires(t *testing.T) {
	g := NewWithT(t)
	s := newShard(admitter.Settings{}, 1, 2)
	place := s.ask("a")[0].(admitter.Place)
	s.now = s.now.Add(170 * time.Millisecond)
	s.send(admitter.PrefillEnded{Key: key("a"), Took: 170 * time.Millisecond})
	s.now = s.now.Add(place.TransferWithin)
	out := s.send(admitter.TransferFailed{Key: key("a")})
	g.Expect(out).To(HaveLen(1))
	move := out[0].(admitter.Move)
	g.Expect(move.Decode).NotTo(Equal(place.Decode))
	g.Expect(move.Pieces).To(Equal(place.Pieces))
	s.now = s.now.Add(move.TransferWithin)
	g.Expect(s.send(admitter.TransferFailed{Key: key("a")})).To(BeEmpty(), "no other engine is left")
	s.now = s.now.Add(time.Second)
	out = s.send(admitter.Wake{})
	g.Expect(out).To(HaveLen(1))
	g.Expect(out[0]).To(BeAssignableToTypeOf(admitter.Abandon{}))
	g.Expect(s.Estimates().Grants).To(BeZero())
}

func TestDeadDecodeEngineKeepsPrefill(t *testing.T) {
	g := NewWithT(t)
	s := newShard(admitter.Settings{}, 1, 2)
	place := s.ask("a")[0].(admitter.Place)
	out := s.upstream(string(place.Decode), identifier.RoleDecode, admitter.UpstreamDown)
	g.Expect(out).To(HaveLen(1))
	g.Expect(out[0].(admitter.Move).Decode).NotTo(Equal(place.Decode))
	out = s.upstream(string(place.Prefill), identifier.RolePrefill, admitter.UpstreamDown)
	g.Expect(out).To(HaveLen(1))
	g.Expect(out[0]).To(BeAssignableToTypeOf(admitter.Abandon{}))
}

// TestGrantsOfSilentVMExpire guards against grants that stay reserved after
// their VM stops reporting, while the load reports show that the engine is
// idle.
func TestGrantsOfSilentVMExpire(t *testing.T) {
	g := NewWithT(t)
	s := newShard(admitter.Settings{}, 2, 1)
	for i := range 20 {
		s.now = s.now.Add(200 * time.Millisecond)
		for _, o := range s.ask(fmt.Sprintf("request-%d", i)) {
			if p, ok := o.(admitter.Place); ok && i < 6 {
				s.send(admitter.PrefillEnded{Key: p.Key, Took: 170 * time.Millisecond})
				s.send(admitter.FirstToken{Key: p.Key})
			}
		}
	}
	g.Expect(s.Estimates().Grants).To(BeNumerically(">=", 8))
	report := func() {
		s.send(admitter.LoadReport{Upstream: "decode-0", At: s.now.Add(-250 * time.Millisecond), FreePieces: 44})
	}
	for range 200 {
		s.now = s.now.Add(100 * time.Millisecond)
		report()
		s.send(admitter.Wake{})
	}
	g.Expect(s.Estimates().Grants).To(BeZero())
	out := s.ask("after")
	g.Expect(out).To(HaveLen(1))
	g.Expect(out[0].(admitter.Place).Promised).To(BeFalse())
}

func TestHotPrefixUsesEveryEngine(t *testing.T) {
	g := NewWithT(t)
	s := newShard(admitter.Settings{}, 4, 8)
	prefix := make([]identifier.Block, 31)
	for i := range prefix {
		prefix[i] = identifier.Block(i + 1)
	}
	on := map[identifier.Upstream]int{}
	for i := range 60 {
		s.now = s.now.Add(20 * time.Millisecond)
		for _, o := range s.ask(fmt.Sprintf("request-%d", i), func(a *admitter.Ask) { a.Prefix, a.MaxOutput = prefix, 10 }) {
			if p, ok := o.(admitter.Place); ok {
				on[p.Prefill]++
				s.send(admitter.PrefillEnded{Key: p.Key, Cached: 7936, Took: 12 * time.Millisecond})
				s.send(admitter.FirstToken{Key: p.Key})
				s.send(admitter.Ended{Key: p.Key, Output: 10})
			}
		}
	}
	total := 0
	for _, n := range on {
		total += n
	}
	g.Expect(total).To(BeNumerically(">=", 55), "requests with a cached prefix are rarely refused")
	before := len(on)
	for i := range 200 {
		for _, o := range s.ask(fmt.Sprintf("burst-%d", i), func(a *admitter.Ask) { a.Prefix, a.MaxOutput = prefix, 10 }) {
			if p, ok := o.(admitter.Place); ok {
				on[p.Prefill]++
			}
		}
	}
	g.Expect(len(on)).To(BeNumerically(">=", before))
	g.Expect(on).To(HaveLen(4), "a burst for one prefix uses every engine")
}
