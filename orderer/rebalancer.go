package orderer

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/figtrack/figtrack/configurer"
	"github.com/figtrack/figtrack/identifier"
)

// Rebalancer moves the runners of the pools that one VM leads between prefill
// and decode, by changes of the configuration.
type Rebalancer struct {
	// balancers has an entry for each pool of the last configuration.
	balancers map[identifier.Pool]*Balancer
}

// NewRebalancer returns a rebalancer that has seen no demand.
func NewRebalancer() *Rebalancer {
	return &Rebalancer{balancers: map[identifier.Pool]*Balancer{}}
}

// Step takes in the demand of a pool and returns the change that moves a
// runner, if there is one to make. Two VMs that both lead a pool make the
// same change at the same revision, which is then accepted once.
func (r *Rebalancer) Step(now time.Time, d configurer.Document, pool identifier.Pool, demand Demand) (configurer.Change, bool) {
	b, ok := r.balancers[pool]
	if !ok {
		b = &Balancer{}
		r.balancers[pool] = b
		r.forget(d)
	}
	present := splitOf(d, pool)
	if present.Prefill == 0 || present.Decode == 0 {
		return configurer.Change{}, false
	}
	next := b.Step(now, demand, present)
	move := configurer.SetRole{Was: identifier.RolePrefill, Value: identifier.RoleDecode}
	switch {
	case next == present:
		return configurer.Change{}, false
	case next.Prefill > present.Prefill:
		move.Was, move.Value = move.Value, move.Was
	}
	move.ID, ok = candidate(d, pool, move.Was)
	return configurer.Change{
		ID:         configurer.ChangeID(fmt.Sprintf("balance/%s/%d", pool, d.Revision)),
		By:         "figtrack",
		Operations: []configurer.Operation{move},
	}, ok
}

// forget drops the pools that the configuration lacks.
func (r *Rebalancer) forget(d configurer.Document) {
	for pool := range r.balancers {
		if splitOf(d, pool) == (Split{}) {
			delete(r.balancers, pool)
		}
	}
}

// movable says whether a runner counts for, and may move within, its pool.
func movable(u configurer.Upstream, pool identifier.Pool) bool {
	return u.Pool == pool && !u.Retired && u.Role != identifier.RolePlain
}

func splitOf(d configurer.Document, pool identifier.Pool) Split {
	var s Split
	for _, u := range d.Upstreams {
		switch {
		case !movable(u, pool):
		case u.Role == identifier.RolePrefill:
			s.Prefill++
		default:
			s.Decode++
		}
	}
	return s
}

// candidate returns a runner of a role from the data centre that has most of
// them. One without memory for decode can't leave prefill.
func candidate(d configurer.Document, pool identifier.Pool, role identifier.Role) (identifier.Upstream, bool) {
	count := map[identifier.DataCentre]int{}
	var some []configurer.Upstream
	for _, u := range d.Upstreams {
		if movable(u, pool) && u.Role == role && u.Pieces > 0 && u.Streams > 0 {
			count[u.DataCentre]++
			some = append(some, u)
		}
	}
	if len(some) == 0 {
		return "", false
	}
	best := slices.MaxFunc(some, func(a, b configurer.Upstream) int {
		return cmp.Or(cmp.Compare(count[a.DataCentre], count[b.DataCentre]), cmp.Compare(b.ID, a.ID))
	})
	return best.ID, true
}
