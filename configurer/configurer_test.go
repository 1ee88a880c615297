package configurer_test

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"github.com/figtrack/figtrack/configurer"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/parser"
)

func ms(n int) configurer.Duration {
	return configurer.Duration(time.Duration(n) * time.Millisecond)
}

func newChange(id string, ops ...configurer.Operation) configurer.Change {
	return configurer.Change{ID: configurer.ChangeID(id), By: "tester", Operations: ops}
}

// applyAll applies changes in order and returns a transcript of their results.
func applyAll(d configurer.Document, changes ...configurer.Change) (configurer.Document, string) {
	var b strings.Builder
	for _, c := range changes {
		text, _ := json.Marshal(c)
		fmt.Fprintf(&b, "%s\n", text)
		next, conflict := configurer.ApplyChange(d, c)
		if conflict != nil {
			fmt.Fprintf(&b, "  conflict: %s\n", conflict.Error())
			continue
		}
		for _, line := range configurer.Diff(d, next) {
			fmt.Fprintf(&b, "  %s\n", line)
		}
		fmt.Fprintf(&b, "  revision %d\n", next.Revision)
		d = next
	}
	return d, b.String()
}

// TestTwoOperatorSession compares the transcript of a session of two operators
// with a golden file.
func TestTwoOperatorSession(t *testing.T) {
	reading := configurer.Class{Name: "reading", FirstToken: ms(2000), PerToken: ms(60), Patience: ms(30000)}
	runner := configurer.Upstream{
		ID: "spec-desk-1", Address: "10.1.0.1:8000", Role: identifier.RoleDecode, Pool: "spec-desk",
		DataCentre: "thamel-room", Pieces: 60, Streams: 20, ChecksFence: true,
	}
	d, text := applyAll(
		configurer.Document{},
		newChange("1", configurer.AddClass{Class: reading}, configurer.AddUpstream{Upstream: runner}),
		newChange("1", configurer.AddClass{Class: reading}),
		newChange("2", configurer.SetTarget{Class: "reading", Target: configurer.TargetFirstToken, Was: ms(2000), Value: ms(1500)}),
		newChange("3", configurer.SetTarget{Class: "reading", Target: configurer.TargetPerToken, Was: ms(60), Value: ms(50)}),
		newChange("4", configurer.SetTarget{Class: "reading", Target: configurer.TargetFirstToken, Was: ms(2000), Value: ms(900)}),
		newChange("5", configurer.RemoveClass{Was: reading}),
		newChange("6", configurer.AddModel{Pool: "spec-desk", Model: "hull"}, configurer.SetVersion{Pool: "spec-desk", Value: "v2"}),
		newChange("7", configurer.SetRole{ID: "spec-desk-1", Was: identifier.RoleDecode, Value: identifier.RolePrefill}),
		newChange("8", configurer.RemoveUpstream{ID: "spec-desk-1"}),
		newChange("9", configurer.RetireUpstream{ID: "spec-desk-1"}, configurer.SetRole{ID: "spec-desk-1", Value: "Cook"}),
		newChange("10", configurer.RetireUpstream{ID: "spec-desk-1"}),
		newChange("11", configurer.RemoveUpstream{ID: "spec-desk-1"}, configurer.RetireUpstream{ID: "gone"}),
	)
	data, err := configurer.Encode(d)
	g := NewWithT(t)
	g.Expect(err).NotTo(HaveOccurred())
	back, err := configurer.Decode(data)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(back).To(Equal(d))
	goldie.New(t).Assert(t, "session", []byte(text+string(data)+"\n"))
}

// TestConcurrentChanges applies two changes based on the same document in both
// orders. Either both are accepted with the same result in each order, or the
// second one is refused.
func TestConcurrentChanges(t *testing.T) {
	base, _ := applyAll(configurer.Document{}, newChange("0",
		configurer.AddClass{Class: configurer.Class{Name: "a", FirstToken: ms(100), PerToken: ms(10)}},
		configurer.AddClass{Class: configurer.Class{Name: "b", FirstToken: ms(100), PerToken: ms(10)}}))
	targets := []configurer.Target{configurer.TargetFirstToken, configurer.TargetPerToken, configurer.TargetPatience}
	op := rapid.Custom(func(r *rapid.T) configurer.SetTarget {
		s := configurer.SetTarget{
			Class:  identifier.Class(rapid.SampledFrom([]string{"a", "b"}).Draw(r, "class")),
			Target: rapid.SampledFrom(targets).Draw(r, "target"),
			Value:  ms(rapid.IntRange(200, 203).Draw(r, "value")),
		}
		switch s.Target {
		case configurer.TargetFirstToken:
			s.Was = ms(100)
		case configurer.TargetPerToken:
			s.Was = ms(10)
		}
		return s
	})
	rapid.Check(t, func(r *rapid.T) {
		x, y := op.Draw(r, "x"), op.Draw(r, "y")
		xy, refusedY := applyBoth(r, base, x, y)
		yx, refusedX := applyBoth(r, base, y, x)
		sameField := x.Class == y.Class && x.Target == y.Target
		clash := sameField && x.Value != y.Value
		if (refusedY != nil) != clash || (refusedX != nil) != clash {
			r.Fatalf("conflict expected: %v, but got %v and %v", clash, refusedY, refusedX)
		}
		if !clash && len(configurer.Diff(xy, yx)) > 0 {
			r.Fatalf("the result depends on the order: %v", configurer.Diff(xy, yx))
		}
		if clash && (refusedY.Yours != y.Value.String() || refusedY.Theirs != x.Value.String() || refusedY.Next == "") {
			r.Fatalf("the conflict must name both values: %+v", refusedY)
		}
	})
}

func applyBoth(r *rapid.T, d configurer.Document, x, y configurer.Operation) (configurer.Document, *configurer.Conflict) {
	first, conflict := configurer.ApplyChange(d, newChange("x", x))
	if conflict != nil {
		r.Fatalf("first change refused: %v", conflict)
	}
	return configurer.ApplyChange(first, newChange("y", y))
}

// TestPlan applies the planned operations. What Plan keeps on purpose (roles,
// retired upstreams and their pools) must be all that differs.
func TestPlan(t *testing.T) {
	g := NewWithT(t)
	desk := configurer.Pool{Name: "order-desk", Prefix: "/orders", Repeatable: []string{"GET"}, DefaultClass: "orders"}
	plain := configurer.Upstream{ID: "order-desk-1", Address: "10.1.0.9:80", Role: identifier.RolePlain, Pool: "order-desk"}
	runner := configurer.Upstream{ID: "boat-1", Address: "10.1.0.1:80", Role: identifier.RoleDecode, Pool: "boat-scribe", Streams: 20}
	wanted := configurer.Normalise(configurer.Document{
		Classes:   []configurer.Class{{Name: "reading", FirstToken: ms(2000)}, {Name: "orders", FirstToken: ms(300)}},
		Pools:     []configurer.Pool{desk, {Name: "boat-scribe", Models: []identifier.Model{"hull", "boat"}, Version: "v1"}},
		Upstreams: []configurer.Upstream{plain, runner},
	})
	reached, text := applyAll(configurer.Document{}, newChange("1", configurer.Plan(configurer.Document{}, wanted)...))
	g.Expect(configurer.Diff(wanted, reached)).To(BeEmpty(), text)
	g.Expect(configurer.Plan(reached, wanted)).To(BeEmpty())

	moved, _ := applyAll(reached, newChange("2", configurer.SetRole{ID: "boat-1", Was: identifier.RoleDecode, Value: identifier.RolePrefill}))
	runner.Address = "10.1.0.2:80"
	next := configurer.Normalise(configurer.Document{
		Classes:   []configurer.Class{{Name: "reading", FirstToken: ms(1000)}},
		Pools:     []configurer.Pool{{Name: "boat-scribe", Models: []identifier.Model{"boat"}, Adapters: []string{"a"}, Version: "v2"}},
		Upstreams: []configurer.Upstream{runner},
	})
	reached, text = applyAll(moved, newChange("3", configurer.Plan(moved, next)...))
	g.Expect(configurer.Diff(reached, next)).To(Equal([]string{
		"upstream order-desk-1: removed",
		"upstream boat-1: Role from Prefill to Decode",
		"pool order-desk: removed",
	}), text)
	u, _ := reached.Upstream("order-desk-1")
	g.Expect(u.Retired).To(BeTrue())
}

// TestExampleConfigurations reads and applies the example configurations of both
// sites, and checks that an unknown field is refused with its line.
func TestExampleConfigurations(t *testing.T) {
	g := NewWithT(t)
	for file, upstreams := range map[string]int{"himal": 12, "tafelbaai": 15} {
		text, err := os.ReadFile("../examples/" + file + "/configuration.yaml")
		g.Expect(err).NotTo(HaveOccurred())
		var d configurer.Document
		g.Expect(parser.Decode(text, &d)).To(Succeed())
		wanted := configurer.Normalise(d)
		reached, conflict := configurer.ApplyChange(configurer.Document{}, newChange(file, configurer.Plan(configurer.Document{}, wanted)...))
		g.Expect(conflict).To(BeNil())
		g.Expect(configurer.Diff(wanted, reached)).To(BeEmpty())
		g.Expect(reached.Upstreams).To(HaveLen(upstreams))
	}
	var d configurer.Document
	err := parser.Decode([]byte("Classes:\n  - {Name: a, Weight: 3}\n"), &d)
	g.Expect(err).To(MatchError(ContainSubstring("2:")), "Class has no field Weight, and the error must contain the line")
}
