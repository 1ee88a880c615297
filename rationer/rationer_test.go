package rationer_test

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/figtrack/figtrack/rationer"
)

func init() {
	_ = flag.Set("rapid.seed", "31")
	_ = flag.Set("rapid.checks", "40") // Each takes up to 3 s.
}

// TestQuotaIsUsedInCalm guards against quota that VMs hold and don't use, or that the way
// through the coordinator delays, and against use beyond the quota without any fault.
func TestQuotaIsUsedInCalm(t *testing.T) {
	for _, c := range []struct {
		name   string
		vms    int
		limit  rationer.Limit
		load   float64
		places int
		// least is the least part of the demand, or of the rate beyond it, that has to be
		// admitted.
		least float64
	}{
		{"two", 2, rationer.Limit{Rate: 36_000, Burst: 72_000}, .7, 2, .99},
		{"slow", 64, rationer.Limit{Rate: 36_000, Burst: 72_000}, .7, 64, .99},
		{"fast", 64, rationer.Limit{Rate: 400_000, Burst: 400_000}, .9, 64, .99},
		{"one VM", 64, rationer.Limit{Rate: 400_000, Burst: 400_000}, .9, 1, .99},
		{"one VM, slow", 64, rationer.Limit{Rate: 36_000, Burst: 72_000}, .7, 1, .99},
		{"few VMs", 64, rationer.Limit{Rate: 100_000, Burst: 100_000}, .8, 3, .99},
		{"300 VMs", 300, rationer.Limit{Rate: 400_000, Burst: 400_000}, .9, 300, .99},
		{"300 VMs, slow", 300, rationer.Limit{Rate: 36_000, Burst: 72_000}, .7, 300, .99},
		{"beyond", 64, rationer.Limit{Rate: 400_000, Burst: 400_000}, 8, 64, .98},
		{"beyond, slow", 64, rationer.Limit{Rate: 36_000, Burst: 36_000}, 8, 64, .98},
		{"beyond, one VM", 64, rationer.Limit{Rate: 400_000, Burst: 400_000}, 8, 1, .98},
		{"beyond, one VM, no burst", 64, rationer.Limit{Rate: 400_000}, 8, 1, .95},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(1, c.vms, c.limit)
			w.startAll(len(w.nodes))
			const from, until = 5 * time.Second, 35 * time.Second
			w.offer(demand{rate: c.load * c.limit.Rate, least: 200, most: 8500, places: all(c.places), from: from, until: until})
			w.runUntil(until)
			ratio, sum, at := w.worst()
			wanted := min(w.offered, c.limit.Rate*(until-from).Seconds())
			t.Logf("admitted %.4f of what the rate allows; worst span %.3f of the bound; %.1f datagrams a second and VM", w.admitted/wanted, ratio, float64(w.datagrams)/until.Seconds()/float64(c.vms))
			if w.admitted < c.least*wanted || ratio > 1 {
				t.Errorf("admitted %.4f, at least %.4f; %.0f from %v on, at most %.0f", w.admitted/wanted, c.least, sum, at, w.bound(at))
			}
		})
	}
}

// TestIsolatedVMHasItsShare guards against a VM without the others that withholds all, or
// admits more than its share.
func TestIsolatedVMHasItsShare(t *testing.T) {
	w := newWorld(1, 8, rationer.Limit{Rate: 36_000, Burst: 36_000})
	w.startAll(len(w.nodes))
	w.isCut = func(from, to int) bool { return from == 3 || to == 3 }
	w.offer(demand{rate: 36_000, least: 200, most: 8500, places: []int{3}, from: 2 * time.Second, until: 122 * time.Second})
	w.runUntil(122 * time.Second)
	if share := w.admitted / (120 * 36_000 / 8); share < .9 || share > 1.1 {
		t.Errorf("admitted %.3f of the share", share)
	}
}

// faults plans random faults of a fleet for a time.
func (w *world) faults(kinds []string, until time.Duration) {
	n := len(w.nodes)
	some := func() int { return 1 + w.rng.IntN(max(1, n*[]int{1, 1, 4, 8}[w.rng.IntN(4)]/8)) }
	var next func()
	next = func() {
		if w.now >= until {
			return
		}
		d := 200*time.Millisecond + time.Duration(w.rng.Int64N(int64(12*time.Second)))
		switch kinds[w.rng.IntN(len(kinds))] {
		case "kill":
			for _, i := range w.rng.Perm(n)[:some()] {
				v := w.nodes[i]
				if !v.isAlive {
					continue
				}
				v.kill()
				if w.rng.IntN(3) > 0 {
					w.after(time.Duration(w.rng.Int64N(int64(10*time.Second))), func() {
						if !v.isAlive {
							v.start(false)
						}
					})
				}
			}
		case "killAll":
			for _, v := range w.nodes {
				if v.isAlive {
					v.kill()
					w.after(time.Duration(w.rng.Int64N(int64(2*time.Second))), func() {
						if !v.isAlive {
							v.start(false)
						}
					})
				}
			}
		case "killCoordinator":
			busiest := w.nodes[0]
			for _, v := range w.nodes {
				if v.isAlive && len(v.answers) > len(busiest.answers) {
					busiest = v
				}
			}
			if busiest.isAlive {
				busiest.kill()
			}
		case "freeze":
			for _, i := range w.rng.Perm(n)[:some()] {
				w.nodes[i].freeze(d, false)
			}
		case "freezeCoordinator":
			for _, v := range w.nodes {
				if len(v.answers) > n/2 {
					v.freeze(d, w.rng.IntN(2) == 0)
				}
			}
		case "suspend":
			for _, i := range w.rng.Perm(n)[:some()] {
				w.nodes[i].freeze(d, true)
			}
		case "partition":
			cut := map[int]bool{}
			for _, i := range w.rng.Perm(n)[:some()] {
				cut[i] = true
			}
			oneWay, former := w.rng.IntN(3), w.isCut
			w.isCut = func(from, to int) bool {
				switch oneWay {
				case 0:
					return cut[from] != cut[to]
				case 1:
					return cut[from] && !cut[to]
				default:
					return !cut[from] && cut[to]
				}
			}
			w.after(d, func() { w.isCut = former })
		case "split":
			groups := 2 + w.rng.IntN(max(1, n))
			former := w.isCut
			salt := w.rng.IntN(1000)
			w.isCut = func(from, to int) bool { return (from*7919+salt)%groups != (to*7919+salt)%groups }
			w.after(d*3, func() { w.isCut = former })
		case "silence":
			former := w.isCut
			w.isCut = func(int, int) bool { return true }
			w.after(d*5, func() { w.isCut = former })
		case "noise":
			w.loss, w.copies, w.delays = w.rng.Float64()*.6, w.rng.Float64()*.3, w.rng.Float64()*.3
			w.after(d, func() { w.loss, w.copies, w.delays = 0, 0, 0 })
		case "join":
			for _, v := range w.nodes {
				if !v.isAlive && v.incarnation == 0 && w.rng.IntN(2) == 0 {
					w.after(time.Duration(w.rng.Int64N(int64(time.Second))), func() { v.start(false) })
				}
			}
		case "limit":
			l := w.limits[0].limit
			f := []float64{.25, .5, 1, 2}[w.rng.IntN(4)]
			w.setLimit(rationer.Limit{Rate: l.Rate * f, Burst: l.Burst * f})
		}
		w.after(time.Duration(w.rng.ExpFloat64()*float64(4*time.Second)), next)
	}
	w.at(8*time.Second, next)
}

func (w *world) demands(rate float64, until time.Duration) {
	n := len(w.nodes)
	for at := 2 * time.Second; at < until; {
		d := demand{rate: rate * []float64{.2, .8, 3, 8}[w.rng.IntN(4)], least: 200, most: 8500, places: all(n), from: at}
		switch w.rng.IntN(5) {
		case 0:
			d.places = w.rng.Perm(n)[:1]
		case 1:
			d.places = w.rng.Perm(n)[:1+w.rng.IntN(n)]
		}
		if w.rng.IntN(3) == 0 {
			d.least = 8400
		}
		at += time.Second + time.Duration(w.rng.Int64N(int64(15*time.Second)))
		d.until = min(at, until)
		w.offer(d)
	}
}

var allKinds = []string{"kill", "killAll", "killCoordinator", "freeze", "freezeCoordinator", "suspend", "partition", "split", "silence", "noise", "join", "limit"}

// TestNoSpanExceedsTheLimit guards against quota that faults create, and against quota that
// stays withheld after them: VMs die, restart, freeze with one clock or both, join, are
// partitioned also one way or all from each other, and datagrams get lost, copied and late.
func TestNoSpanExceedsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checkFaults(t, rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]int{2, 3, 8, 20, 64}).Draw(t, "VMs"),
			rapid.SampledFrom([]float64{36_000, 100_000, 400_000}).Draw(t, "rate"), rapid.SampledFrom([]float64{0, .1, 1, 2, 8}).Draw(t, "burst"),
			rapid.SliceOfNDistinct(rapid.SampledFrom(allKinds), 1, len(allKinds), rapid.ID[string]).Draw(t, "kinds"))
	})
}

// TestNoSpanExceedsTheLimitAt300VMs does the same for the largest fleet.
func TestNoSpanExceedsTheLimitAt300VMs(t *testing.T) {
	for seed := range uint64(2) {
		checkFaults(t, seed, 300, []float64{36_000, 400_000}[seed], 1, allKinds)
	}
}

type tester interface {
	Fatalf(format string, args ...any)
}

func checkFaults(t tester, seed uint64, n int, rate, burst float64, kinds []string) {
	limit := rationer.Limit{Rate: rate, Burst: burst * rate}
	w := newWorld(seed, n, limit)
	for range n / 2 * w.rng.IntN(2) {
		w.nodes = append(w.nodes, &node{w: w, place: len(w.nodes)}) // They may join.
	}
	w.returned = .1
	w.startAll(n)
	faulty := 40 * time.Second
	if n > 64 {
		faulty = 20 * time.Second
	}
	w.faults(kinds, faulty)
	w.demands(rate, faulty)
	w.runUntil(faulty + 5*time.Second)
	if ratio, sum, at := w.worst(); ratio > 1 {
		t.Fatalf("%.0f from %v on, at most %.0f", sum, at, w.bound(at))
	}
	if n > 64 {
		return
	}
	// A VM that died counts for 38 s.
	w.isHealed, w.loss, w.copies, w.delays = true, 0, 0, 0
	w.setLimit(rationer.Limit{Rate: rate, Burst: 2 * rate})
	calm := faulty + 45*time.Second
	w.runUntil(calm)
	w.offered, w.admitted, w.returned = 0, 0, 0
	var alive []int
	for _, v := range w.nodes {
		if v.isAlive {
			alive = append(alive, v.place)
		}
	}
	if len(alive) == 0 {
		return
	}
	w.offer(demand{rate: rate / 2, least: 200, most: 8500, places: alive, from: calm, until: calm + 10*time.Second})
	w.runUntil(calm + 11*time.Second)
	if w.admitted < .97*w.offered {
		t.Fatalf("%.3f admitted after the faults", w.admitted/w.offered)
	}
}
