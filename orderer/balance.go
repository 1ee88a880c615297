package orderer

import (
	"math"
	"time"
)

// Times and bounds of the balance between prefill and decode.
const (
	// BalanceSmoothing is the time over which demand is averaged.
	BalanceSmoothing = 30 * time.Second
	// BalanceHold is how long a better split must last before a move.
	BalanceHold = 20 * time.Second
	// BalanceRest is the shortest time between two moves of one pool.
	BalanceRest = 30 * time.Second
	// BalanceGain is the least relief of the bottleneck that is worth the
	// draining of a runner, as a share of its load.
	BalanceGain = 0.10
)

// Demand is the work that reaches a pool, in runners: 2.5 of Prefill keeps
// two and a half runners busy with prefill.
type Demand struct{ Prefill, Decode float64 }

// Split is how many runners of a pool have each role.
type Split struct{ Prefill, Decode int }

// Balancer decides when a pool's bottleneck is worth moving a runner to the
// other role. It has hysteresis: a move needs a clear and lasting gain.
type Balancer struct {
	// smooth is the averaged demand as of last.
	smooth Demand
	last   time.Time
	// begun is the time of the first sample. There is no move before the
	// average has settled.
	begun time.Time
	// better is the split that the pool should move to, since betterSince.
	better      Split
	betterSince time.Time
	movedAt     time.Time
}

// Step takes in the demand and returns the split that the pool should have.
// It differs from the present one by at most one runner. Until a move has
// ended, present is to be the split that the move leads to.
func (b *Balancer) Step(now time.Time, d Demand, present Split) Split {
	b.average(now, d)
	next := b.towards(present)
	if next == present || next != b.better {
		b.better = next
		b.betterSince = now
	}
	if next == present || now.Sub(b.begun) < 2*BalanceSmoothing {
		return present
	}
	if now.Sub(b.betterSince) < BalanceHold || now.Sub(b.movedAt) < BalanceRest {
		return present
	}
	b.movedAt = now
	return next
}

// towards returns the split one move nearer to the best one, or the present
// one if the best one gains too little.
func (b *Balancer) towards(present Split) Split {
	best := b.best(present)
	if b.load(present)-b.load(best) < BalanceGain*b.load(present) {
		return present
	}
	if best.Prefill > present.Prefill {
		return Split{Prefill: present.Prefill + 1, Decode: present.Decode - 1}
	}
	return Split{Prefill: present.Prefill - 1, Decode: present.Decode + 1}
}

func (b *Balancer) average(now time.Time, d Demand) {
	if b.last.IsZero() {
		b.smooth = d
		b.last = now
		b.begun = now
		return
	}
	weight := 1 - math.Exp(-now.Sub(b.last).Seconds()/BalanceSmoothing.Seconds())
	b.smooth.Prefill += weight * (d.Prefill - b.smooth.Prefill)
	b.smooth.Decode += weight * (d.Decode - b.smooth.Decode)
	b.last = now
}

// load is that of the busier role, 1 when its runners are just busy.
func (b *Balancer) load(s Split) float64 {
	return max(b.smooth.Prefill/float64(s.Prefill), b.smooth.Decode/float64(s.Decode))
}

// best returns the split with the least load. Each role keeps a runner.
func (b *Balancer) best(present Split) Split {
	best := present
	all := present.Prefill + present.Decode
	for prefill := 1; prefill < all; prefill++ {
		s := Split{Prefill: prefill, Decode: all - prefill}
		if b.load(s) < b.load(best) {
			best = s
		}
	}
	return best
}
