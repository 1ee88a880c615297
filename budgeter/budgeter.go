// Package budgeter limits extra sends to a pool, that is all sends beyond the
// first of each request, so that retries can't amplify an overload.
//
// Each VM may spend a fixed ratio of its own requests plus an equal part of the
// fleet's allowance. Both add up to the limits of the fleet without
// communication between VMs.
package budgeter

import (
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// windowBuckets is the number of buckets of a window. More buckets reduce the
// rounding error of the window's length.
const windowBuckets = 20

// spendShare is the share of the limits that TryCharge may use. The rest covers
// sends that are only charged afterwards by Charge, and VMs that start with
// empty counts.
const spendShare = 0.85

// Settings are the limits of the whole fleet.
type Settings struct {
	// Ratio is the number of extra sends allowed per request.
	Ratio float64
	// Window is the time over which sends and requests are counted.
	Window time.Duration
	// Allowance is the number of extra sends allowed in a window even without
	// requests.
	Allowance float64
}

// Budget counts requests and extra sends by pool. It is not safe for concurrent
// use.
type Budget struct {
	cfg   Settings
	pools map[identifier.Pool]*window
	// startedAt is when the VM started. Ticks are counted from it, not from the time
	// of day, which may jump.
	startedAt time.Time
	// vms is the number of VMs that share the allowance; at least 1.
	vms int
}

type window struct {
	// newestTick is the number of the newest bucket.
	newestTick           int64
	requests, extraSends [windowBuckets]float64
}

// New returns a budget with nothing charged, for a fleet of vms VMs. It allows no
// part of the allowance in the first window after startedAt: an earlier process of
// this VM may have spent it just before.
func New(cfg Settings, vms int, startedAt time.Time) *Budget {
	return &Budget{cfg: cfg, pools: map[identifier.Pool]*window{}, startedAt: startedAt, vms: max(vms, 1)}
}

// Emptied returns a budget with nothing charged for the same fleet, as of a VM that starts
// at now.
func (b *Budget) Emptied(now time.Time) *Budget { return New(b.cfg, b.vms, now) }

// SetVMs sets the number of VMs that share the allowance.
func (b *Budget) SetVMs(n int) { b.vms = max(n, 1) }

// CountRequest counts one request to a pool.
func (b *Budget) CountRequest(now time.Time, pool identifier.Pool) {
	w := b.window(now, pool)
	w.requests[w.newestTick%windowBuckets]++
}

// TryCharge charges one extra send. It returns false, and charges nothing, if the
// window's limit is reached.
func (b *Budget) TryCharge(now time.Time, pool identifier.Pool) bool {
	w := b.window(now, pool)
	if b.left(now, w) < 1 {
		return false
	}
	w.extraSends[w.newestTick%windowBuckets]++
	return true
}

// Charge charges an extra send that has already happened. It may exceed the
// limit.
func (b *Budget) Charge(now time.Time, pool identifier.Pool) {
	w := b.window(now, pool)
	w.extraSends[w.newestTick%windowBuckets]++
}

// Left returns the number of extra sends that the window still allows.
func (b *Budget) Left(now time.Time, pool identifier.Pool) float64 {
	return b.left(now, b.window(now, pool))
}

// CanRisk reports whether a send may be made that is charged only if it is refused.
// Few are, so that the allowance counts from the start of the VM.
func (b *Budget) CanRisk(now time.Time, pool identifier.Pool) bool {
	w := b.window(now, pool)
	return b.left(b.startedAt.Add(b.cfg.Window), w) >= 1
}

func (b *Budget) left(now time.Time, w *window) float64 {
	var requests, extra float64
	for i := range windowBuckets {
		requests += w.requests[i]
		extra += w.extraSends[i]
	}
	allowance := 0.0
	if now.Sub(b.startedAt) >= b.cfg.Window {
		allowance = b.cfg.Allowance / float64(b.vms)
	}
	return spendShare*(b.cfg.Ratio*requests+allowance) - extra
}

func (b *Budget) window(now time.Time, pool identifier.Pool) *window {
	tick := int64(now.Sub(b.startedAt)) / max(int64(b.cfg.Window)/(windowBuckets-1), 1)
	w := b.pools[pool]
	if w == nil {
		w = &window{newestTick: tick}
		b.pools[pool] = w
	}
	for w.newestTick < tick {
		w.newestTick = max(w.newestTick+1, tick-windowBuckets)
		w.requests[w.newestTick%windowBuckets], w.extraSends[w.newestTick%windowBuckets] = 0, 0
	}
	return w
}
