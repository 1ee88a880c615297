package tracker

import (
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// Costs that the choice weighs, all in the same unit.
const (
	// crossing is the cost of a call to another data centre: the round trip
	// between the stated ones, and its price.
	crossing = 12 * time.Millisecond
	// failing is the cost of a certain failure: a whole target is lost.
	failing = time.Second
	// suspecting is the cost of a runner that gave no answer lately.
	suspecting = 10 * time.Second
	// refusing is the cost of a prefill engine whose queue was full a moment
	// ago: the call would be refused and count against the retry budget.
	refusing = 500 * time.Millisecond
	// lapsing is the cost of a prefill engine whose handles lapse.
	lapsing = 2 * time.Second
	// readTime is a prefill engine's time for one prompt token.
	readTime = 30 * time.Microsecond
	// plainTime is a plain call's time where none was measured yet.
	plainTime = 30 * time.Millisecond
	// SelfRead is the wait for a prefill engine beyond which the decode engine
	// reads the prompt: it takes twice the time of a prefill, and slows down
	// what it decodes meanwhile.
	SelfRead = 1500 * time.Millisecond
	// tieWithin is the range of the random part of a cost.
	tieWithin = time.Millisecond
)

// Without is a set of runners that a choice leaves out.
type Without map[identifier.Upstream]bool

// Plain chooses a runner for a call to a plain service; false without any.
func (t *Tracker) Plain(now time.Time, pool identifier.Pool, without Without) (Runner, bool) {
	return t.best(t.pools[pool], without, func(u *upstream) (time.Duration, bool) {
		if u.Role != identifier.RolePlain {
			return 0, false
		}
		mean := u.latency
		if mean == 0 {
			mean = plainTime
		}
		queue := mean * time.Duration(u.calls) / time.Duration(max(u.Slots, 1))
		if now.Before(u.fullUntil) {
			queue += mean
		}
		return queue + t.base(now, u), true
	})
}

// Prefill chooses a prefill engine for a prompt that is to be decoded in a
// data centre. It finds none where each would cost more than SelfRead, the
// decode engine's own reading.
func (t *Tracker) Prefill(now time.Time, pool identifier.Pool, near identifier.DataCentre, without Without) (Runner, bool) {
	return t.best(t.pools[pool], without, func(u *upstream) (time.Duration, bool) {
		if u.Role != identifier.RolePrefill || now.Before(u.awayUntil) {
			return 0, false
		}
		cost := time.Duration(u.reading)*readTime + t.base(now, u)
		if now.Before(u.fullUntil) {
			cost += refusing
		}
		if u.DataCentre != near {
			cost += crossing
		}
		if now.Before(u.lapseUntil) {
			cost += lapsing
		}
		return cost, cost < SelfRead
	})
}

// Decode chooses a decode engine that may have room for some tokens; false
// without any. Engines that refused a moment ago, or didn't answer lately, are
// left out: a try costs a part of the target.
func (t *Tracker) Decode(now time.Time, pool identifier.Pool, tokens identifier.Tokens, without Without) (Runner, bool) {
	return t.best(t.pools[pool], without, func(u *upstream) (time.Duration, bool) {
		if u.Role != identifier.RoleDecode || now.Before(u.fullUntil) && tokens >= u.fullFrom ||
			now.Before(u.awayUntil) || now.Before(u.suspectUntil) {
			return 0, false
		}
		return time.Duration(u.holding)*decodeWeight + t.base(now, u), true
	})
}

// draw returns a small cost that breaks ties evenly. It depends on nothing but
// the seed and the number of draws.
func (t *Tracker) draw() time.Duration {
	return time.Duration(t.source.Int64N(int64(tieWithin)))
}

// decodeWeight is the cost of one token that this VM holds at a decode engine:
// another request of the stated size weighs as much as a crossing.
const decodeWeight = 3 * time.Microsecond

// base is the cost of a runner for any call.
func (t *Tracker) base(now time.Time, u *upstream) time.Duration {
	cost := time.Duration(u.failures * float64(failing))
	if u.DataCentre != t.home {
		cost += crossing
	}
	if now.Before(u.suspectUntil) {
		cost += suspecting
	}
	return cost
}

// best returns the runner with the lowest cost; ties are broken evenly.
func (t *Tracker) best(pool []*upstream, without Without, cost func(*upstream) (time.Duration, bool)) (Runner, bool) {
	var found *upstream
	var lowest time.Duration
	for _, u := range pool {
		if u.Leaving || without[u.ID] {
			continue
		}
		c, ok := cost(u)
		if c += t.draw(); ok && (found == nil || c < lowest) {
			found, lowest = u, c
		}
	}
	if found == nil {
		return Runner{}, false
	}
	return found.Runner, true
}
