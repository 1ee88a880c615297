// Package budgeter limits what is sent to a pool beyond the first send of each
// request, so that a surge can't feed itself.
//
// Each VM spends a fixed part of its own requests, which sums up over the
// fleet without an exchange, and an equal part of the fleet's allowance.
package budgeter

import (
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// buckets is the number of parts of a window, which bounds its rounding error.
const buckets = 20

// spendShare is the part of the limits that is spent. The rest covers sends
// that can't be foreseen and VMs that start with an empty count.
const spendShare = 0.85

// Settings are the limits of the whole fleet.
type Settings struct {
	// Ratio is the extra sends allowed for each request.
	Ratio float64
	// Window is the time over which sends and requests are counted.
	Window time.Duration
	// Allowance is the extra sends allowed in a window without any request.
	Allowance float64
}

// Budget counts requests and extra sends by pool. It is not safe for several
// goroutines.
type Budget struct {
	cfg   Settings
	pools map[identifier.Pool]*window
	// began is the first use. Ticks count from it, as the time of day may jump.
	began time.Time
	// vms is the number of VMs that share the allowance; at least 1.
	vms int
}

type window struct {
	// tick numbers the newest bucket.
	tick            int64
	requests, extra [buckets]float64
}

// New returns a budget of which nothing is spent, for a fleet of vms.
func New(cfg Settings, vms int) *Budget {
	return &Budget{cfg: cfg, pools: map[identifier.Pool]*window{}, vms: max(vms, 1)}
}

// SetVMs tells the number of VMs that share the allowance.
func (b *Budget) SetVMs(n int) { b.vms = max(n, 1) }

// Arrived counts a request to a pool.
func (b *Budget) Arrived(now time.Time, pool identifier.Pool) {
	w := b.window(now, pool)
	w.requests[w.tick%buckets]++
}

// Take spends one extra send. It returns false, and spends nothing, where
// the window allows no more.
func (b *Budget) Take(now time.Time, pool identifier.Pool) bool {
	w := b.window(now, pool)
	if b.left(w) < 1 {
		return false
	}
	w.extra[w.tick%buckets]++
	return true
}

// Spend counts an extra send that could not be foreseen.
func (b *Budget) Spend(now time.Time, pool identifier.Pool) {
	w := b.window(now, pool)
	w.extra[w.tick%buckets]++
}

// Left returns the extra sends that the window allows now.
func (b *Budget) Left(now time.Time, pool identifier.Pool) float64 {
	return b.left(b.window(now, pool))
}

func (b *Budget) left(w *window) float64 {
	var requests, extra float64
	for i := range buckets {
		requests += w.requests[i]
		extra += w.extra[i]
	}
	return spendShare*(b.cfg.Ratio*requests+b.cfg.Allowance/float64(b.vms)) - extra
}

func (b *Budget) window(now time.Time, pool identifier.Pool) *window {
	if b.began.IsZero() {
		b.began = now
	}
	tick := int64(now.Sub(b.began)) / max(int64(b.cfg.Window)/(buckets-1), 1)
	w := b.pools[pool]
	if w == nil {
		w = &window{tick: tick}
		b.pools[pool] = w
	}
	for w.tick < tick {
		w.tick = max(w.tick+1, tick-buckets)
		w.requests[w.tick%buckets], w.extra[w.tick%buckets] = 0, 0
	}
	return w
}
