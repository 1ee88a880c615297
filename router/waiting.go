package router

import (
	"math/rand/v2"
	"time"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/shedder"
	"github.com/figtrack/figtrack/stepper"
)

// coreWaiting is the core that orders the requests that wait for room.
const coreWaiting stepper.Core = "Waiting"

// waiting holds the cores of package shedder by pool.
type waiting map[identifier.Pool]*shedder.Core

func (w waiting) core(now time.Time, pool identifier.Pool) *shedder.Core {
	c := w[pool]
	if c == nil {
		c = shedder.New(now, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
		w[pool] = c
	}
	return c
}

// UpdateWaiting implements attempter.Fleet. A core that panics is replaced by an empty one:
// waiting requests join it when they ask again.
func (f *Fleet) UpdateWaiting(now time.Time, pool identifier.Pool, update func(c *shedder.Core)) {
	f.step(coreWaiting, pool, func() { update(f.waiting.core(now, pool)) })
}

// RetryAfter implements attempter.Fleet. Callers that are refused during a pause of
// all runners, or beyond the rates of all, come back spread over maxPauseSpread.
func (f *Fleet) RetryAfter(now time.Time, pool identifier.Pool, left time.Duration) time.Duration {
	if pause := f.PauseLeft(now, pool); pause > 0 {
		return pause + rand.N(maxPauseSpread)
	}
	if f.RateLeft(now, pool) > 0 {
		return defaultRetryAfter + rand.N(maxPauseSpread) // Another VM may send sooner.
	}
	after := defaultRetryAfter
	f.UpdateWaiting(now, pool, func(c *shedder.Core) { after = c.RetryAfter(now, left) })
	return after
}
