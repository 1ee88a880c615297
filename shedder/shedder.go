// Package shedder decides, for one VM and pool, when refused callers may come back.
//
// A Core is pure: it has no clock, makes no calls, and is called by one goroutine at a time.
package shedder

import (
	"math/rand/v2"
	"time"
)

const (
	// MinRetryAfter is the least time after which a refused caller may come back, unless a
	// third of the time that it has left is shorter.
	MinRetryAfter = 225 * time.Millisecond
	// jitter is the random part of that time, either way: callers that were refused together
	// come back spread out.
	jitter = 0.25
	// overloadedShare is the share of refused requests from which on the pool counts as
	// overloaded. Below it a caller that comes back soon probably gets an answer in time,
	// which is worth several late ones; above it, it is probably refused again.
	overloadedShare = 0.7
	// minCounted is the least number of requests that show an overload.
	minCounted = 16
	// leftDivisor divides the time that a caller has left; by the protocol it comes back
	// after a third at the latest.
	leftDivisor = 3
	// overloadDivisor divides the time that a caller has left while the pool is overloaded.
	// A quarter of it, with its jitter, just fits into the third: the caller comes back
	// after most of a burst, with time for a whole answer.
	overloadDivisor = 4
)

// Core is the state of one VM and pool.
type Core struct {
	random    *rand.Rand
	startedAt time.Time
	// granted and refused count the requests that got room, and that were refused for lack
	// of it, on this VM.
	granted, refused counts
}

// New returns the core of a VM that knows of no requests.
func New(now time.Time, random *rand.Rand) *Core {
	return &Core{random: random, startedAt: now}
}

// age returns the time since the start of the core, by which counts are kept.
func (c *Core) age(now time.Time) time.Duration { return now.Sub(c.startedAt) }

// RecordGranted counts a request that a runner has taken.
func (c *Core) RecordGranted(now time.Time) { c.granted.add(c.age(now), 1) }

// RecordRefused counts a request that was refused for lack of room.
func (c *Core) RecordRefused(now time.Time) { c.refused.add(c.age(now), 1) }

// IsOverloaded reports whether the pool lately had no room for a good part of the requests.
func (c *Core) IsOverloaded(now time.Time) bool {
	granted, refused := c.granted.sum(c.age(now)), c.refused.sum(c.age(now))
	return refused >= overloadedShare*max(granted+refused, minCounted)
}

// RetryAfter returns the time after which a refused caller may come back, that has some time
// left: the backlog over the rate at which it is served, with a random part. While the pool
// is overloaded it is long enough that the caller's return doesn't meet the same burst.
func (c *Core) RetryAfter(now time.Time, left time.Duration) time.Duration {
	after := time.Duration(float64(MinRetryAfter) / (1 - jitter))
	if c.IsOverloaded(now) {
		after = max(after, left/overloadDivisor, c.backlogTime(now))
	}
	limit := left / leftDivisor
	after = min(after, time.Duration(float64(limit)/(1+jitter)))
	after = time.Duration(float64(after) * (1 - jitter + 2*jitter*c.random.Float64()))
	return max(0, min(max(after, MinRetryAfter), limit))
}

// backlogTime returns how long it takes to serve those that were refused lately, as most of
// them come back.
func (c *Core) backlogTime(now time.Time) time.Duration {
	granted, refused := c.granted.sum(c.age(now)), c.refused.sum(c.age(now))
	return time.Duration(refused / max(granted, 1) * float64(countedTime))
}
