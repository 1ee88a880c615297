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

// scripted is a policy that calls decide. It records the events about requests
// and ignores reports and settings.
type scripted struct {
	received []admitter.Event
	decide   func(event admitter.Event) []admitter.Outcome
}

func (s *scripted) Step(_ time.Time, event admitter.Event) []admitter.Outcome {
	switch event.(type) {
	case admitter.LoadReport, admitter.CacheReport, admitter.UpstreamChanged, admitter.ClassChanged:
		return nil
	}
	s.received = append(s.received, event)
	return s.decide(event)
}

func (s *scripted) maker() replayer.PolicyFactory {
	return replayer.PolicyFactory{Name: "scripted", New: func(tracer.Header, uint64) replayer.Policy { return s }}
}

const millisecond = time.Millisecond

// singleRequestTrace returns a trace of one request with 1,000 prompt tokens
// and 11 output tokens. Its entry VM is in another data centre than the owner
// and the engines.
func singleRequestTrace() *tracer.Trace {
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

func placeOnD1(ask admitter.Ask) []admitter.Outcome {
	return []admitter.Outcome{admitter.Place{
		Key: ask.Key, To: ask.From, Prefill: "p", Decode: "d1", Pieces: 1, TransferWithin: 100 * millisecond,
	}}
}

// TestFirstTokenTimeSumsAllDelays checks the latency of an answer against the
// sum of its stages (placement, prefill, import and decode) and their messages.
func TestFirstTokenTimeSumsAllDelays(t *testing.T) {
	g := NewWithT(t)
	policy := &scripted{decide: func(event admitter.Event) []admitter.Outcome {
		if ask, ok := event.(admitter.Ask); ok {
			return placeOnD1(ask)
		}
		return nil
	}}
	result := replayer.Run(singleRequestTrace(), policy.maker(), 1)
	const (
		message = 5 * millisecond
		prefill = 10*millisecond + 1000*20*time.Microsecond
		step    = 18900 * time.Microsecond
		// The transfer takes the time on the link and the delay between engines.
		transfer = 10*millisecond + 250*time.Microsecond
		first    = 2*message + 2*message + prefill + 2*message + transfer + 2*message + step
	)
	g.Expect(result.Whole.Good).To(Equal(1))
	g.Expect(result.Whole.FirstToken.P50).To(BeNumerically("~", first.Seconds()*1000, 0.1))
	g.Expect(result.Whole.PerToken.P50).To(BeNumerically("~", step.Seconds()*1000, 0.1))
	g.Expect(result.Whole.PrefillSeconds).To(BeNumerically("~", prefill.Seconds(), 1e-9))
	g.Expect(result.Whole.Wasted).To(BeZero())
	g.Expect(result.Stray).To(BeZero())
	g.Expect(policy.received).To(HaveExactElements(
		BeAssignableToTypeOf(admitter.Ask{}),
		BeAssignableToTypeOf(admitter.PrefillEnded{}),
		BeAssignableToTypeOf(admitter.TransferEnded{}),
		BeAssignableToTypeOf(admitter.FirstToken{}),
		BeAssignableToTypeOf(admitter.Ended{}),
	))
}

// TestStalledTransferMovesToAnotherEngine stalls the link of the first decode
// engine. The policy moves the attempt to the second one, which must answer
// with the same prefill.
func TestStalledTransferMovesToAnotherEngine(t *testing.T) {
	g := NewWithT(t)
	trace := singleRequestTrace()
	trace.Faults = []tracer.Fault{{
		Kind: tracer.KindFault, Time: trace.Header.Time, Fault: tracer.FaultTransfersStall,
		Upstream: "d1", Until: trace.Header.Time.Add(time.Minute),
	}}
	policy := &scripted{}
	policy.decide = func(event admitter.Event) []admitter.Outcome {
		switch event := event.(type) {
		case admitter.Ask:
			return placeOnD1(event)
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

// TestAbandonedAttemptsCountAsLostAndWasted abandons every finished prefill.
func TestAbandonedAttemptsCountAsLostAndWasted(t *testing.T) {
	g := NewWithT(t)
	policy := &scripted{}
	policy.decide = func(event admitter.Event) []admitter.Outcome {
		switch event := event.(type) {
		case admitter.Ask:
			return placeOnD1(event)
		case admitter.PrefillEnded:
			return []admitter.Outcome{admitter.Abandon{Key: event.Key, To: "entry"}}
		default:
			return nil
		}
	}
	result := replayer.Run(singleRequestTrace(), policy.maker(), 1)
	g.Expect(result.Whole.Lost).To(Equal(1))
	g.Expect(result.Whole.Wasted).To(Equal(1.0))
	g.Expect(result.Stray).To(BeZero())
	g.Expect(policy.received).To(HaveLen(6))
}

// TestRefusedCallerReturnsTwice refuses every try of a trace with Returns 2.
func TestRefusedCallerReturnsTwice(t *testing.T) {
	g := NewWithT(t)
	policy := &scripted{}
	policy.decide = func(event admitter.Event) []admitter.Outcome {
		ask := event.(admitter.Ask)
		return []admitter.Outcome{admitter.Refuse{
			Key: ask.Key, To: ask.From, Reason: admitter.ReasonTargetOutOfReach, RetryAfter: time.Second,
		}}
	}
	result := replayer.Run(singleRequestTrace(), policy.maker(), 1)
	g.Expect(result.Whole.Requests).To(Equal(1))
	g.Expect(result.Whole.Refused).To(Equal(1))
	g.Expect(result.Whole.Returns).To(Equal(2))
	g.Expect(result.Whole.Refusals).To(HaveKeyWithValue(admitter.ReasonTargetOutOfReach, 3))
	keys := map[admitter.Key]bool{}
	for _, event := range policy.received {
		keys[event.(admitter.Ask).Key] = true
	}
	g.Expect(keys).To(HaveLen(3))
}

// TestCancelReleasesHoldsAtEveryStage cancels a request at each millisecond of
// its answer. The engines must hold nothing for it afterwards.
func TestCancelReleasesHoldsAtEveryStage(t *testing.T) {
	g := NewWithT(t)
	for at := range 330 {
		trace := singleRequestTrace()
		trace.Cancels = []tracer.Cancel{{
			Kind: tracer.KindCancel, Request: "a",
			Time: trace.Header.Time.Add(time.Duration(at) * millisecond),
		}}
		policy := &scripted{decide: func(event admitter.Event) []admitter.Outcome {
			if ask, ok := event.(admitter.Ask); ok {
				return placeOnD1(ask)
			}
			return nil
		}}
		result := replayer.Run(trace, policy.maker(), 1)
		g.Expect(result.Whole.Withdrawn+result.Whole.Answered).To(Equal(1), "%d ms", at)
		g.Expect(result.Stray).To(BeZero(), "%d ms", at)
	}
}
