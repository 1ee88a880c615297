package replayer_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/faker"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/replayer"
	"github.com/figtrack/figtrack/tracer"
)

// scripted is a policy of one function that keeps what it hears.
type scripted struct {
	heard  []admitter.Event
	decide func(event admitter.Event) []admitter.Outcome
}

func (s *scripted) Step(_ time.Time, event admitter.Event) []admitter.Outcome {
	switch event.(type) {
	case admitter.LoadReport, admitter.CacheReport, admitter.UpstreamChanged, admitter.ClassChanged:
		return nil
	}
	s.heard = append(s.heard, event)
	return s.decide(event)
}

func (s *scripted) maker() replayer.Maker {
	return replayer.Maker{Name: "scripted", New: func(tracer.Header, uint64) replayer.Policy { return s }}
}

const millisecond = time.Millisecond

// tinyTrace is one request of 1,000 tokens and 11 answered tokens at a VM in
// another data centre than the owner and the engines.
func tinyTrace() *tracer.Trace {
	start := time.Date(2026, time.December, 1, 8, 0, 0, 0, time.UTC)
	upstream := func(id identifier.Upstream, role identifier.Role) tracer.Upstream {
		engine := faker.DefaultEngine(role)
		engine.ID = id
		return tracer.Upstream{DataCentre: "saldanha", EngineSettings: engine}
	}
	return &tracer.Trace{
		Header: tracer.Header{
			Kind: tracer.KindHeader, Time: start, PeakFrom: start, PeakTo: start.Add(time.Second),
			Upstreams: []tracer.Upstream{
				upstream("p", identifier.RolePrefill),
				upstream("d1", identifier.RoleDecode), upstream("d2", identifier.RoleDecode),
			},
			VMs: []tracer.VM{
				{ID: "owner", DataCentre: "saldanha"}, {ID: "entry", DataCentre: "hout-bay"},
			},
			Classes: []admitter.Class{
				{Name: "PaperCheck", FirstToken: 380 * millisecond, PerToken: 43 * millisecond},
			},
			DelayInside: 250 * time.Microsecond, DelayBetween: 5 * millisecond,
			LoadEvery: 100 * millisecond, Returns: 2,
		},
		Arrivals: []tracer.Arrival{{
			Kind: tracer.KindArrival, Time: start, Request: "a", Class: "PaperCheck", VM: "entry",
			Prompt: 1000, Output: 11, MaxOutput: 11,
		}},
	}
}

func place(ask admitter.Ask) []admitter.Outcome {
	return []admitter.Outcome{admitter.Place{
		Key: ask.Key, To: ask.From, Prefill: "p", Decode: "d1", Pieces: 1, TransferWithin: 100 * millisecond,
	}}
}

// TestEveryMessageAndStepTakesItsTime adds up one answer: ask and placement,
// prefill, import and decode, each with its messages.
func TestEveryMessageAndStepTakesItsTime(t *testing.T) {
	g := NewWithT(t)
	policy := &scripted{decide: func(event admitter.Event) []admitter.Outcome {
		if ask, ok := event.(admitter.Ask); ok {
			return place(ask)
		}
		return nil
	}}
	result := replayer.Run(tinyTrace(), policy.maker(), 1)
	const (
		message = 5 * millisecond
		prefill = 10*millisecond + 1000*20*time.Microsecond
		step    = 18900 * time.Microsecond
		// The transfer takes the link's time and the distance of the engines.
		transfer = 10*millisecond + 250*time.Microsecond
		first    = 2*message + 2*message + prefill + 2*message + transfer + 2*message + step
	)
	g.Expect(result.Whole.Good).To(Equal(1))
	g.Expect(result.Whole.FirstToken.P50).To(BeNumerically("~", first.Seconds()*1000, 0.1))
	g.Expect(result.Whole.PerToken.P50).To(BeNumerically("~", step.Seconds()*1000, 0.1))
	g.Expect(result.Whole.PrefillSeconds).To(BeNumerically("~", prefill.Seconds(), 1e-9))
	g.Expect(result.Whole.Wasted).To(BeZero())
	g.Expect(result.Stray).To(BeZero())
	g.Expect(policy.heard).To(HaveExactElements(
		BeAssignableToTypeOf(admitter.Ask{}),
		BeAssignableToTypeOf(admitter.PrefillEnded{}),
		BeAssignableToTypeOf(admitter.TransferEnded{}),
		BeAssignableToTypeOf(admitter.FirstToken{}),
		BeAssignableToTypeOf(admitter.Ended{}),
	))
}

// TestAStalledTransferMovesWhileTheResultLives stalls the first link.
func TestAStalledTransferMovesWhileTheResultLives(t *testing.T) {
	g := NewWithT(t)
	trace := tinyTrace()
	trace.Faults = []tracer.Fault{{
		Kind: tracer.KindFault, Time: trace.Header.Time, Fault: tracer.FaultTransfersStall,
		Upstream: "d1", Until: trace.Header.Time.Add(time.Minute),
	}}
	policy := &scripted{}
	policy.decide = func(event admitter.Event) []admitter.Outcome {
		switch event := event.(type) {
		case admitter.Ask:
			return place(event)
		case admitter.TransferFailed:
			return []admitter.Outcome{admitter.Move{Key: event.Key, To: "entry", Decode: "d2", Pieces: 1}}
		default:
			return nil
		}
	}
	result := replayer.Run(trace, policy.maker(), 1)
	g.Expect(result.Whole.Answered).To(Equal(1))
	g.Expect(result.Whole.Wasted).To(BeZero())
	g.Expect(result.Stray).To(BeZero())
}

// TestAbandonedAttemptsAreLostAndWaste abandons every finished prefill.
func TestAbandonedAttemptsAreLostAndWaste(t *testing.T) {
	g := NewWithT(t)
	policy := &scripted{}
	policy.decide = func(event admitter.Event) []admitter.Outcome {
		switch event := event.(type) {
		case admitter.Ask:
			return place(event)
		case admitter.PrefillEnded:
			return []admitter.Outcome{admitter.Abandon{Key: event.Key, To: "entry"}}
		default:
			return nil
		}
	}
	result := replayer.Run(tinyTrace(), policy.maker(), 1)
	g.Expect(result.Whole.Lost).To(Equal(1))
	g.Expect(result.Whole.Wasted).To(Equal(1.0))
	g.Expect(result.Stray).To(BeZero())
	g.Expect(policy.heard).To(HaveLen(6))
}

// TestARefusedCallerComesAgainTwice refuses every try.
func TestARefusedCallerComesAgainTwice(t *testing.T) {
	g := NewWithT(t)
	policy := &scripted{}
	policy.decide = func(event admitter.Event) []admitter.Outcome {
		ask := event.(admitter.Ask)
		return []admitter.Outcome{admitter.Refuse{
			Key: ask.Key, To: ask.From, Reason: admitter.ReasonTargetOutOfReach, RetryAfter: time.Second,
		}}
	}
	result := replayer.Run(tinyTrace(), policy.maker(), 1)
	g.Expect(result.Whole.Requests).To(Equal(1))
	g.Expect(result.Whole.Refused).To(Equal(1))
	g.Expect(result.Whole.Returns).To(Equal(2))
	g.Expect(result.Whole.Refusals).To(HaveKeyWithValue(admitter.ReasonTargetOutOfReach, 3))
	keys := map[admitter.Key]bool{}
	for _, event := range policy.heard {
		keys[event.(admitter.Ask).Key] = true
	}
	g.Expect(keys).To(HaveLen(3))
}

// TestACancelFreesEveryStage cancels at each millisecond of an answer.
func TestACancelFreesEveryStage(t *testing.T) {
	g := NewWithT(t)
	for at := range 330 {
		trace := tinyTrace()
		trace.Cancels = []tracer.Cancel{{
			Kind: tracer.KindCancel, Request: "a",
			Time: trace.Header.Time.Add(time.Duration(at) * millisecond),
		}}
		policy := &scripted{decide: func(event admitter.Event) []admitter.Outcome {
			if ask, ok := event.(admitter.Ask); ok {
				return place(ask)
			}
			return nil
		}}
		result := replayer.Run(trace, policy.maker(), 1)
		g.Expect(result.Whole.Withdrawn+result.Whole.Answered).To(Equal(1), "%d ms", at)
		g.Expect(result.Stray).To(BeZero(), "%d ms", at)
	}
}
