package rationer_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figtrack/figtrack/clocker"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/rationer"
)

// TestNewVMWaitsForItsFirstAnswer guards against the refusals of a fleet that has just started
// and whose VMs have not found a coordinator yet.
func TestNewVMWaitsForItsFirstAnswer(t *testing.T) {
	refused := func(outcomes []rationer.Outcome) bool {
		for _, o := range outcomes {
			if _, ok := o.(rationer.Refuse); ok {
				return true
			}
		}
		return false
	}
	for _, c := range []struct {
		name       string
		isAnswered bool
		waits      time.Duration
	}{
		{"new", false, rationer.StartWait},
		{"after an answer", true, rationer.MaxWait},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			now := clocker.Moment{Mono: time.Hour, Wall: time.Unix(1e9, 0)}
			s := rationer.NewSpender()
			s.Step(now, rationer.LimitsChanged{Limits: map[identifier.Workspace]rationer.Limit{"w": {Rate: 1000, Burst: 1000}}})
			s.Step(now, rationer.MembersChanged{Count: 60})
			if c.isAnswered {
				s.Report(now, rationer.Source{VM: "a", Incarnation: 1})
				s.Step(now, rationer.Answered{From: rationer.Source{VM: "a", Incarnation: 1}, SentAt: now, Part: 1})
			}
			g.Expect(refused(s.Step(now, rationer.Arrived{Ticket: 1, Workspace: "w", Cost: 500}))).To(BeFalse())
			g.Expect(refused(s.Step(now.Add(c.waits-time.Millisecond), rationer.Wake{}))).To(BeFalse())
			g.Expect(refused(s.Step(now.Add(c.waits), rationer.Wake{}))).To(BeTrue())
		})
	}
}
