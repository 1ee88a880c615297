package replayer_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/figtrack/figtrack/replayer"
	"github.com/figtrack/figtrack/tracer"
)

func record(t *testing.T, plan tracer.Plan) *tracer.Trace {
	t.Helper()
	trace, err := tracer.Record(plan)
	if err != nil {
		t.Fatal(err)
	}
	return trace
}

// TestPoliciesAccountForEveryRequest replays faults and cancels under several
// policies. The measures must add up, and no hold may remain.
func TestPoliciesAccountForEveryRequest(t *testing.T) {
	for _, scenario := range []string{"death", "stall", "cancel"} {
		trace := record(t, tracer.Plan{Site: "himal", Scenario: scenario, Load: 1, Seed: 3})
		for _, maker := range samplePolicies() {
			t.Run(scenario+"/"+maker.Name, func(t *testing.T) {
				g := NewWithT(t)
				result := replayer.Run(trace, maker, 1)
				whole := result.Whole
				g.Expect(whole.Requests).To(Equal(len(trace.Arrivals)))
				g.Expect(whole.Answered + whole.Refused + whole.Withdrawn + whole.Lost).To(Equal(whole.Requests))
				g.Expect(whole.Good).To(BeNumerically("<=", whole.Answered))
				g.Expect(result.Stray).To(BeZero())
			})
		}
	}
}

// samplePolicies returns the router's core, a baseline that runs on every VM,
// and one that runs on the owner VM.
func samplePolicies() []replayer.PolicyFactory {
	baselines := replayer.BaselinePolicies()
	return []replayer.PolicyFactory{replayer.FigtrackPolicy(""), baselines[2], baselines[len(baselines)-1]}
}

func TestReplayIsDeterministic(t *testing.T) {
	g := NewWithT(t)
	trace := record(t, tracer.Plan{Site: "tafelbaai", Scenario: "death", Load: 1, Seed: 2})
	for _, maker := range samplePolicies() {
		g.Expect(replayer.Run(trace, maker, 5)).To(Equal(replayer.Run(trace, maker, 5)))
	}
}
