package registrar_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/registrar"
)

func runners(n int) []registrar.Upstream {
	var out []registrar.Upstream
	for i := range n {
		role := identifier.RoleDecode
		if i%3 == 0 {
			role = identifier.RolePrefill
		}
		out = append(out, registrar.Upstream{
			ID:         identifier.Upstream(fmt.Sprintf("runner-%03d", i)),
			Pool:       "spec-desk",
			Role:       role,
			DataCentre: identifier.DataCentre(fmt.Sprintf("dc-%d", i%3)),
		})
	}
	return out
}

func vms(n int) []registrar.VM {
	var out []registrar.VM
	for i := range n {
		out = append(out, registrar.VM{
			ID:         identifier.VM(fmt.Sprintf("vm-%d", i)),
			DataCentre: identifier.DataCentre(fmt.Sprintf("dc-%d", i%3)),
		})
	}
	return out
}

func newNilEngine(registrar.Upstream) driver.Engine { return nil }

func TestShardsAreBoundedAndHaveBothRoles(t *testing.T) {
	g := NewWithT(t)
	r := registrar.New(newNilEngine)
	pool := registrar.Pool{ID: "spec-desk", Models: []identifier.Model{"timber-7b"}}
	for _, n := range []int{9, 12, 13, 100, 640} {
		c := r.Replace([]registrar.Pool{pool}, runners(n))
		seen := 0
		for _, s := range c.ShardsFor("timber-7b") {
			g.Expect(len(s.Upstreams)).To(BeNumerically("<=", registrar.MaxShardRunners+1))
			roles := map[identifier.Role]int{}
			for _, u := range s.Upstreams {
				roles[u.Role]++
			}
			g.Expect(roles).To(HaveLen(2))
			seen += len(s.Upstreams)
		}
		g.Expect(seen).To(Equal(n))
	}
}

func TestOwnerMovesOnlyWhenItDies(t *testing.T) {
	g := NewWithT(t)
	c := registrar.New(newNilEngine).Replace([]registrar.Pool{{ID: "spec-desk"}}, runners(60))
	live := vms(7)
	for _, s := range c.Shards() {
		owner := s.Owner(live)
		g.Expect(owner).NotTo(BeEmpty())
		for i, v := range live {
			rest := append(append([]registrar.VM{}, live[:i]...), live[i+1:]...)
			if v.ID == owner {
				g.Expect(s.Owner(rest)).NotTo(Equal(owner))
			} else {
				g.Expect(s.Owner(rest)).To(Equal(owner))
			}
		}
	}
	g.Expect(c.Shards()[0].Owner(nil)).To(BeEmpty())
}

func TestServiceMatchesLongestPrefix(t *testing.T) {
	g := NewWithT(t)
	c := registrar.New(newNilEngine).Replace([]registrar.Pool{
		{ID: "desk", Prefix: "/orders"},
		{ID: "stock", Prefix: "/orders/stock"},
	}, []registrar.Upstream{{ID: "s-1", Pool: "stock", Role: identifier.RolePlain}})
	p, members, ok := c.Service("/orders/stock/beam")
	g.Expect(ok).To(BeTrue())
	g.Expect(p.ID).To(Equal(identifier.Pool("stock")))
	g.Expect(members).To(HaveLen(1))
	p, _, _ = c.Service("/orders/stocking")
	g.Expect(p.ID).To(Equal(identifier.Pool("desk")))
	_, _, ok = c.Service("/ordersheet")
	g.Expect(ok).To(BeFalse())
}
