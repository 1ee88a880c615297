package admitter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/identifier"
)

var start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

// shard is a core with a test clock.
type shard struct {
	*admitter.Core
	now time.Time
}

func newShard(cfg admitter.Settings, prefills, decodes int) *shard {
	cfg.DataCentre = "thamel-room"
	s := &shard{Core: admitter.New(cfg, rand.New(rand.NewPCG(1, 2))), now: start}
	s.class(admitter.Class{Name: "Quick", FirstToken: time.Second, PerToken: 60 * time.Millisecond})
	for i := range prefills {
		s.upstream(fmt.Sprintf("prefill-%d", i), identifier.RolePrefill, admitter.UpstreamUp)
	}
	for i := range decodes {
		s.upstream(fmt.Sprintf("decode-%d", i), identifier.RoleDecode, admitter.UpstreamUp)
	}
	return s
}

func (s *shard) class(c admitter.Class) []admitter.Outcome {
	return s.send(admitter.ClassChanged{Class: c})
}

func (s *shard) upstream(id string, role identifier.Role, state admitter.UpstreamState) []admitter.Outcome {
	u := admitter.Upstream{ID: identifier.Upstream(id), DataCentre: "thamel-room", Role: role, State: state}
	if role == identifier.RoleDecode {
		u.Pieces, u.Streams = 44, 20
	}
	return s.send(admitter.UpstreamChanged{Upstream: u})
}

// send steps the core and returns a copy of the outcomes without WakeAt.
func (s *shard) send(e admitter.Event) []admitter.Outcome {
	var out []admitter.Outcome
	for _, o := range s.Step(s.now, e) {
		if _, ok := o.(admitter.WakeAt); !ok {
			out = append(out, o)
		}
	}
	return out
}

func (s *shard) ask(name string, change ...func(*admitter.Ask)) []admitter.Outcome {
	e := admitter.Ask{
		Key: key(name), Class: "Quick", Workspace: "desk", From: "vm-1", FromDataCentre: "thamel-room",
		Prompt: 8000, MaxOutput: 400, Arrived: s.now,
	}
	for _, f := range change {
		f(&e)
	}
	return s.send(e)
}

func key(name string) admitter.Key {
	return admitter.Key{Request: identifier.Request(name), Attempt: 1}
}

func TestIdleShardPlacesAtOnce(t *testing.T) {
	g := NewWithT(t)
	s := newShard(admitter.Settings{}, 2, 2)
	out := s.ask("a")
	g.Expect(out).To(HaveLen(1))
	place := out[0].(admitter.Place)
	g.Expect(place.To).To(Equal(identifier.VM("vm-1")))
	g.Expect(place.Pieces).To(Equal(identifier.Pieces(5)))
	g.Expect(place.Promised).To(BeFalse())
	g.Expect(place.Predicted).To(BeNumerically("<", time.Second))
}

func TestUnservableAskIsRefusedWithItsReason(t *testing.T) {
	g := NewWithT(t)
	reason := func(s *shard, change func(*admitter.Ask)) admitter.Reason {
		out := s.ask("a", change)
		g.Expect(out).To(HaveLen(1))
		return out[0].(admitter.Refuse).Reason
	}
	s := newShard(admitter.Settings{}, 1, 1)
	g.Expect(reason(s, func(a *admitter.Ask) { a.Class = "None" })).To(Equal(admitter.ReasonUnknownClass))
	g.Expect(reason(s, func(a *admitter.Ask) { a.Prompt = 100_000 })).To(Equal(admitter.ReasonPromptTooLong))
	g.Expect(reason(s, func(a *admitter.Ask) { a.Arrived = s.now.Add(-time.Second) })).To(Equal(admitter.ReasonTargetOutOfReach))
	g.Expect(reason(s, func(a *admitter.Ask) { a.Excluded = []identifier.Upstream{"decode-0"} })).To(Equal(admitter.ReasonNoUpstream))
	s.upstream("decode-0", identifier.RoleDecode, admitter.UpstreamLeaving)
	g.Expect(reason(s, func(*admitter.Ask) {})).To(Equal(admitter.ReasonNoUpstream))
}
