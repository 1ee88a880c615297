package rationer_test

import (
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
