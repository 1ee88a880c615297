package orderer

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/figtrack/figtrack/configurer"
	"github.com/figtrack/figtrack/identifier"
)

// Rebalancer moves runners between prefill and decode, in the pools that one
// VM leads, by changes to the configuration.
type Rebalancer struct {
	// balancers holds the balancer of each pool for which Step was called. Pools
	// that left the configuration are dropped when a new one is added.
	balancers map[identifier.Pool]*Balancer
}

// NewRebalancer returns a rebalancer without recorded demand.
func NewRebalancer() *Rebalancer {
	return &Rebalancer{balancers: map[identifier.Pool]*Balancer{}}
}

// Step records the demand of a pool and returns the change that moves a
// runner, if one is needed. If two VMs both lead a pool, they make the same
// change at the same revision, and it is accepted once.
func (r *Rebalancer) Step(now time.Time, d configurer.Document, pool identifier.Pool, demand Demand) (configurer.Change, bool) {
	b, ok := r.balancers[pool]
	if !ok {
		b = &Balancer{}
		r.balancers[pool] = b
		r.dropRemovedPools(d)
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
	move.ID, ok = pickRunner(d, pool, move.Was)
	return configurer.Change{
		ID:         configurer.ChangeID(fmt.Sprintf("balance/%s/%d", pool, d.Revision)),
		By:         "figtrack",
		Operations: []configurer.Operation{move},
	}, ok
}

// dropRemovedPools deletes the balancers of pools that have no prefill or
// decode runners in the configuration.
func (r *Rebalancer) dropRemovedPools(d configurer.Document) {
	for pool := range r.balancers {
		if splitOf(d, pool) == (Split{}) {
			delete(r.balancers, pool)
		}
	}
}

// isMovable reports whether a runner counts in the pool's split and may change
// its role there.
func isMovable(u configurer.Upstream, pool identifier.Pool) bool {
	return u.Pool == pool && !u.Retired && u.Role != identifier.RolePlain
}

func splitOf(d configurer.Document, pool identifier.Pool) Split {
	var s Split
	for _, u := range d.Upstreams {
		switch {
		case !isMovable(u, pool):
		case u.Role == identifier.RolePrefill:
			s.Prefill++
		default:
			s.Decode++
		}
	}
	return s
}

// pickRunner returns a runner of the given role from the data centre with the
// most of them, the one with the lowest ID. It skips runners without pieces or
// streams, which have no memory for decode and must stay in prefill.
func pickRunner(d configurer.Document, pool identifier.Pool, role identifier.Role) (identifier.Upstream, bool) {
	count := map[identifier.DataCentre]int{}
	var some []configurer.Upstream
	for _, u := range d.Upstreams {
		if isMovable(u, pool) && u.Role == role && u.Pieces > 0 && u.Streams > 0 {
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
