package replayer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/replayer"
	"github.com/figtrack/figtrack/tracer"
)

// randomPolicy returns random outcomes for recent attempts, including those
// that have ended.
type randomPolicy struct {
	rng     *rand.Rand
	asks    []admitter.Ask
	prefill []identifier.Upstream
	decode  []identifier.Upstream
}

func newRandomPolicy(header tracer.Header, seed uint64) replayer.Policy {
	m := &randomPolicy{rng: rand.New(rand.NewPCG(seed, 9))}
	for _, u := range header.Upstreams {
		if u.Role == identifier.RolePrefill {
			m.prefill = append(m.prefill, u.ID)
		} else {
			m.decode = append(m.decode, u.ID)
		}
	}
	return m
}

func (m *randomPolicy) Step(_ time.Time, event admitter.Event) []admitter.Outcome {
	if ask, ok := event.(admitter.Ask); ok {
		m.asks = append(m.asks, ask)
		return []admitter.Outcome{m.randomOutcome(ask), m.randomOutcome(ask)}
	}
	if len(m.asks) == 0 || m.rng.IntN(4) > 0 {
		return nil
	}
	recent := max(0, len(m.asks)-50)
	return []admitter.Outcome{m.randomOutcome(m.asks[recent+m.rng.IntN(len(m.asks)-recent)])}
}

func (m *randomPolicy) randomOutcome(ask admitter.Ask) admitter.Outcome {
	decode := m.decode[m.rng.IntN(len(m.decode))]
	pieces := identifier.PiecesFor(ask.Prompt + ask.MaxOutput)
	within := time.Duration(m.rng.IntN(200)) * time.Millisecond
	switch m.rng.IntN(8) {
	case 0:
		return admitter.Refuse{Key: ask.Key, To: ask.From, RetryAfter: within}
	case 1:
		return admitter.Abandon{Key: ask.Key, To: ask.From}
	case 2, 3:
		return admitter.Move{Key: ask.Key, To: ask.From, Decode: decode, Pieces: pieces, TransferWithin: within}
	default:
		return admitter.Place{
			Key: ask.Key, To: ask.From, Prefill: m.prefill[m.rng.IntN(len(m.prefill))],
			Decode: decode, Pieces: pieces, TransferWithin: within,
		}
	}
}

// TestRandomOutcomesKeepMeasuresConsistent sends repeated, late and unordered
// outcomes to the entry VMs during faults and cancels. Each request must end
// once, and no hold may remain.
func TestRandomOutcomesKeepMeasuresConsistent(t *testing.T) {
	for seed := range uint64(3) {
		for _, scenario := range []string{"death", "stall", "cancel", "links"} {
			g := NewWithT(t)
			trace := record(t, tracer.Plan{Site: "himal", Scenario: scenario, Load: 0.5, Seed: seed})
			result := replayer.Run(trace, replayer.PolicyFactory{Name: "monkey", New: newRandomPolicy}, seed)
			whole := result.Whole
			g.Expect(whole.Requests).To(Equal(len(trace.Arrivals)), "%s %d", scenario, seed)
			g.Expect(whole.Answered+whole.Refused+whole.Withdrawn+whole.Lost).To(Equal(whole.Requests), "%s %d", scenario, seed)
			g.Expect(whole.Answered).To(BeNumerically(">", 0), "%s %d", scenario, seed)
			g.Expect(result.Stray).To(BeZero(), "%s %d", scenario, seed)
		}
	}
}
