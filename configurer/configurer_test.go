package configurer_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"github.com/figtrack/figtrack/configurer"
	"github.com/figtrack/figtrack/identifier"
)

func ms(n int) configurer.Duration {
	return configurer.Duration(time.Duration(n) * time.Millisecond)
}

func change(id string, ops ...configurer.Operation) configurer.Change {
	return configurer.Change{ID: configurer.ChangeID(id), By: "tester", Operations: ops}
}

// session applies a series of changes and writes down what came of each.
func session(d configurer.Document, changes ...configurer.Change) (configurer.Document, string) {
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

// TestSession is a session of two operators, as a golden file.
func TestSession(t *testing.T) {
	reading := configurer.Class{Name: "reading", FirstToken: ms(2000), PerToken: ms(60), Patience: ms(30000), Repeatable: true}
	runner := configurer.Upstream{
		ID: "spec-desk-1", Address: "10.1.0.1:8000", Role: identifier.RoleDecode, Pool: "spec-desk",
		DataCentre: "thamel-room", Pieces: 60, Streams: 20, ChecksFence: true,
	}
	d, text := session(
		configurer.Document{},
		change("1", configurer.AddClass{Class: reading}, configurer.AddUpstream{Upstream: runner}),
		change("1", configurer.AddClass{Class: reading}),
		change("2", configurer.SetTarget{Class: "reading", Target: configurer.TargetFirstToken, Was: ms(2000), Value: ms(1500)}),
		change("3", configurer.SetTarget{Class: "reading", Target: configurer.TargetPerToken, Was: ms(60), Value: ms(50)}),
		change("4", configurer.SetTarget{Class: "reading", Target: configurer.TargetFirstToken, Was: ms(2000), Value: ms(900)}),
		change("5", configurer.RemoveClass{Was: reading}),
		change("6", configurer.AddModel{Pool: "spec-desk", Model: "hull"}, configurer.SetVersion{Pool: "spec-desk", Value: "v2"}),
		change("7", configurer.SetRole{ID: "spec-desk-1", Was: identifier.RoleDecode, Value: identifier.RolePrefill}),
		change("8", configurer.RemoveUpstream{ID: "spec-desk-1"}),
		change("9", configurer.RetireUpstream{ID: "spec-desk-1"}, configurer.SetRole{ID: "spec-desk-1", Value: "Cook"}),
		change("10", configurer.RetireUpstream{ID: "spec-desk-1"}),
		change("11", configurer.RemoveUpstream{ID: "spec-desk-1"}, configurer.RetireUpstream{ID: "gone"}),
	)
	data, err := configurer.Encode(d)
	g := NewWithT(t)
	g.Expect(err).NotTo(HaveOccurred())
	back, err := configurer.Decode(data)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(back).To(Equal(d))
	goldie.New(t).Assert(t, "session", []byte(text+string(data)+"\n"))
}

// TestRacingChangesMergeOrConflict gives two operators the same document.
// Both orders accept both changes with one result, or refuse the second.
func TestRacingChangesMergeOrConflict(t *testing.T) {
	base, _ := session(configurer.Document{}, change("0",
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
		xy, refusedY := both(r, base, x, y)
		yx, refusedX := both(r, base, y, x)
		sameField := x.Class == y.Class && x.Target == y.Target
		clash := sameField && x.Value != y.Value
		if (refusedY != nil) != clash || (refusedX != nil) != clash {
			r.Fatalf("clash %v, but refused %v and %v", clash, refusedY, refusedX)
		}
		if !clash && len(configurer.Diff(xy, yx)) > 0 {
			r.Fatalf("the order matters: %v", configurer.Diff(xy, yx))
		}
		if clash && (refusedY.Yours != y.Value.String() || refusedY.Theirs != x.Value.String() || refusedY.Next == "") {
			r.Fatalf("the conflict must name both values: %+v", refusedY)
		}
	})
}

func both(r *rapid.T, d configurer.Document, x, y configurer.Operation) (configurer.Document, *configurer.Conflict) {
	first, conflict := configurer.ApplyChange(d, change("x", x))
	if conflict != nil {
		r.Fatalf("first change refused: %v", conflict)
	}
	return configurer.ApplyChange(first, change("y", y))
}
