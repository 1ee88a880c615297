package orderer

import (
	"math"
	"time"
)

// Time constants and limits of the balance between prefill and decode.
const (
	// BalanceSmoothing is the time constant of the moving average of demand.
	BalanceSmoothing = 30 * time.Second
	// MinGainDuration is how long the same split must be the better one before a
	// move.
	MinGainDuration = 20 * time.Second
	// MinMoveInterval is the minimum time between two moves in one pool.
	MinMoveInterval = 30 * time.Second
	// MinGainRatio is the minimum reduction of the bottleneck's load that
	// justifies draining a runner, as a fraction of that load.
	MinGainRatio = 0.10
)

// Demand is the work that arrives at a pool, as the number of runners that it
// keeps busy: a Prefill of 2.5 keeps two and a half runners busy with prefill.
type Demand struct{ Prefill, Decode float64 }

// Split is the number of runners of a pool in each role.
type Split struct{ Prefill, Decode int }

// Balancer decides when to move a runner of a pool to the other role. It has
// hysteresis: a move needs a gain that is large enough and that lasts.
type Balancer struct {
	// smoothed is the moving average of demand, last updated at updatedAt.
	smoothed  Demand
	updatedAt time.Time
	// startedAt is the time of the first sample. There is no move before the
	// average has settled.
	startedAt time.Time
	// better is the split to move to next, unchanged since betterSince.
	better      Split
	betterSince time.Time
	movedAt     time.Time
}

// Step records the demand and returns the split that the pool should have,
// which differs from present by at most one runner. While a move is under way,
// present must be the split that results from it.
func (b *Balancer) Step(now time.Time, d Demand, present Split) Split {
	b.updateAverage(now, d)
	next := b.nextSplit(present)
	if next == present || next != b.better {
		b.better = next
		b.betterSince = now
	}
	if next == present || now.Sub(b.startedAt) < 2*BalanceSmoothing {
		return present
	}
	if now.Sub(b.betterSince) < MinGainDuration || now.Sub(b.movedAt) < MinMoveInterval {
		return present
	}
	b.movedAt = now
	return next
}

// nextSplit returns the split one move closer to the best one, or present if
// the best one gains too little.
func (b *Balancer) nextSplit(present Split) Split {
	best := b.bestSplit(present)
	if b.bottleneckLoad(present)-b.bottleneckLoad(best) < MinGainRatio*b.bottleneckLoad(present) {
		return present
	}
	if best.Prefill > present.Prefill {
		return Split{Prefill: present.Prefill + 1, Decode: present.Decode - 1}
	}
	return Split{Prefill: present.Prefill - 1, Decode: present.Decode + 1}
}

func (b *Balancer) updateAverage(now time.Time, d Demand) {
	if b.updatedAt.IsZero() {
		b.smoothed = d
		b.updatedAt = now
		b.startedAt = now
		return
	}
	weight := 1 - math.Exp(-now.Sub(b.updatedAt).Seconds()/BalanceSmoothing.Seconds())
	b.smoothed.Prefill += weight * (d.Prefill - b.smoothed.Prefill)
	b.smoothed.Decode += weight * (d.Decode - b.smoothed.Decode)
	b.updatedAt = now
}

// bottleneckLoad returns the demand per runner of the busier role with split s.
// It is 1 when the demand just keeps all runners of that role busy.
func (b *Balancer) bottleneckLoad(s Split) float64 {
	return max(b.smoothed.Prefill/float64(s.Prefill), b.smoothed.Decode/float64(s.Decode))
}

// bestSplit returns the split with the lowest bottleneck load. Each role keeps
// at least one runner.
func (b *Balancer) bestSplit(present Split) Split {
	best := present
	all := present.Prefill + present.Decode
	for prefill := 1; prefill < all; prefill++ {
		s := Split{Prefill: prefill, Decode: all - prefill}
		if b.bottleneckLoad(s) < b.bottleneckLoad(best) {
			best = s
		}
	}
	return best
}
