package rationer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/figtrack/figtrack/rationer"
)

func TestCalm(t *testing.T) {
	for _, c := range []struct {
		name   string
		vms    int
		limit  rationer.Limit
		load   float64
		places int
		most   int
	}{
		{"2", 2, rationer.Limit{Rate: 36_000, Burst: 72_000}, .8, 2, 8500},
		{"64 all", 64, rationer.Limit{Rate: 36_000, Burst: 72_000}, .8, 64, 8500},
		{"64 small burst", 64, rationer.Limit{Rate: 36_000, Burst: 36_000}, .5, 64, 8500},
		{"64 all fast", 64, rationer.Limit{Rate: 400_000, Burst: 400_000}, .9, 64, 8500},
		{"64 one", 64, rationer.Limit{Rate: 400_000, Burst: 400_000}, .9, 1, 8500},
		{"64 over", 64, rationer.Limit{Rate: 400_000, Burst: 400_000}, 8, 64, 8500},
		{"64 over one", 64, rationer.Limit{Rate: 400_000, Burst: 400_000}, 8, 1, 8500},
		{"64 over small", 64, rationer.Limit{Rate: 36_000, Burst: 36_000}, 8, 64, 8500},
		{"300 all", 300, rationer.Limit{Rate: 400_000, Burst: 400_000}, .9, 300, 8500},
		{"300 slow", 300, rationer.Limit{Rate: 36_000, Burst: 72_000}, .8, 300, 8500},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(1, c.vms, c.limit)
			w.startAll()
			begin := time.Now()
			w.offer(demand{rate: c.load * c.limit.Rate, least: 200, most: c.most, places: all(c.places), from: 10 * time.Second, until: 70 * time.Second})
			w.runUntil(75 * time.Second)
			ratio, sum, at := w.worst()
			t.Logf("admitted %.4f of offered, %.3f of rate; worst span %.3f (%.0f at %v); datagrams/s/vm %.1f; took %v", w.admitted/w.offered, w.admitted/60/c.limit.Rate, ratio, sum, at, float64(w.datagrams)/75/float64(c.vms), time.Since(begin))
		})
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
			w.isCut = func(from, to int) bool { return true }
			w.after(d*5, func() { w.isCut = former })
		case "noise":
			w.loss, w.copies, w.delays = w.rng.Float64()*.6, w.rng.Float64()*.3, w.rng.Float64()*.3
			w.after(d, func() { w.loss, w.copies, w.delays = 0, 0, 0 })
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

var allKinds = []string{"kill", "killAll", "killCoordinator", "freeze", "freezeCoordinator", "suspend", "partition", "split", "silence", "noise", "limit"}

func TestFaults(t *testing.T) {
	seeds := 200
	worst := map[string]float64{}
	for seed := range seeds {
		rng := rand.New(rand.NewPCG(uint64(seed), 3))
		n := []int{2, 3, 8, 20, 64, 64, 300}[rng.IntN(7)]
		limit := rationer.Limit{Rate: []float64{36_000, 100_000, 400_000}[rng.IntN(3)]}
		limit.Burst = limit.Rate * []float64{0, .1, 1, 2, 8}[rng.IntN(5)]
		w := newWorld(uint64(seed), n, limit)
		w.startAll()
		kinds := allKinds
		if rng.IntN(2) == 0 {
			kinds = []string{allKinds[rng.IntN(len(allKinds))]}
		}
		end := 60 * time.Second
		if n == 300 {
			end = 40 * time.Second
		}
		w.faults(kinds, end-5*time.Second)
		w.demands(limit.Rate, end)
		w.runUntil(end)
		ratio, sum, at := w.worst()
		k := kinds[0]
		if len(kinds) > 1 {
			k = "all"
		}
		worst[k] = max(worst[k], ratio)
		if ratio > .93 {
			t.Logf("seed %d n %d rate %.0f burst %.0f %s: %.3f (%.0f of %.0f at %v) adm %.3f", seed, n, limit.Rate, limit.Burst, k, ratio, sum, w.bound(at), at, w.admitted/w.offered)
		}
	}
	t.Log(worst)
}
