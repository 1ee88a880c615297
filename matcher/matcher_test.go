package matcher_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/matcher"
)

func TestTheLongestPrefixOfTheHostMatches(t *testing.T) {
	g := NewWithT(t)
	table := matcher.New([]matcher.Route{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "desk", Host: "A.example", Prefix: "/desk/"},
		{Name: "deep", Host: "a.example", Prefix: "/desk/deep/"},
		{Name: "other", Host: "b.example", Prefix: "/desk/"},
	})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/desk/deep/x", "deep"},
		{"a.example", "/desk/deep", "desk"},
		{"a.EXAMPLE:8080", "/desk/", "desk"},
		{"a.example", "/desk", "all"},
		{"b.example", "/desk/x", "other"},
		{"b.example", "/x/", ""},
		{"c.example", "/desk/x", ""},
		{"a.example", "", ""},
	} {
		r, _ := table.Match(c.host, c.path)
		g.Expect(r.Name).To(Equal(c.want), c.host+c.path)
	}
}

func TestPoolsAreDrawnByWeight(t *testing.T) {
	g := NewWithT(t)
	r := matcher.Route{Shares: []matcher.Share{{Pool: "a", Weight: 90}, {Pool: "b", Weight: 10}, {Pool: "c"}}}
	g.Expect(r.ChoosePool(0)).To(Equal(identifier.Pool("a")))
	g.Expect(r.ChoosePool(0.899)).To(Equal(identifier.Pool("a")))
	g.Expect(r.ChoosePool(0.9)).To(Equal(identifier.Pool("b")))
	g.Expect(r.ChoosePool(0.999)).To(Equal(identifier.Pool("b")))
}
