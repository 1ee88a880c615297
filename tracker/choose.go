package tracker

import (
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// Costs of a runner, each stated as the delay that it is worth. The runner with
// the lowest sum is chosen.
const (
	// crossDataCentreCost is the cost of a call to another data centre: the round
	// trip between the specified data centres plus its price.
	crossDataCentreCost = 12 * time.Millisecond
	// failureCost is the cost of a call that is certain to fail: the request
	// misses its whole target.
	failureCost = time.Second
	// suspectCost is the cost of a suspected runner, whose last calls got no
	// answer.
	suspectCost = 10 * time.Second
	// fullQueueCost is the cost of a prefill engine that refused a call within
	// FullFor: it would refuse again, which counts against the retry budget.
	fullQueueCost = 500 * time.Millisecond
	// droppedHandleCost is the cost of a prefill engine that recently dropped a
	// handle before its time.
	droppedHandleCost = 2 * time.Second
	// prefillTimePerToken is the time that a prefill engine takes for one prompt
	// token.
	prefillTimePerToken = 30 * time.Microsecond
	// defaultPlainLatency is the assumed latency of a plain service before the
	// first measured call.
	defaultPlainLatency = 30 * time.Millisecond
	// MaxPrefillCost is the cost of a prefill engine from which on the decode
	// engine computes the prefill itself. That takes twice the time, and slows
	// down the streams that the engine decodes meanwhile.
	MaxPrefillCost = 1500 * time.Millisecond
	// maxTieBreak is the upper bound of the random part of a cost.
	maxTieBreak = time.Millisecond
)

// Without is a set of runners that must not be chosen.
type Without map[identifier.Upstream]bool

// Choice limits which runners may be chosen. The zero value allows all.
type Choice struct {
	Without Without
	// Software is the only version of the runners' software that is allowed; empty
	// for any.
	Software identifier.Software
	// HasSlack is true if more memory is asked for than the request needs, for the growth
	// of others. The estimate of an engine's room counts that growth: if there is one, no
	// engine is chosen with slack.
	HasSlack bool
	// IsCheck is true if nothing is sent to the runner: only whether there is one counts.
	IsCheck bool
}

func (c Choice) allows(u *upstream) bool { return c.Software == "" || u.Software == c.Software }

// Plain chooses a runner for a call to a plain service. It returns false if there
// is none.
func (t *Tracker) Plain(now time.Time, pool identifier.Pool, from Choice) (Runner, bool) {
	if t.usesDigest(now) {
		if r, ok := t.plainByRoom(now, pool, from); ok {
			return r, true
		}
	}
	return t.cheapest(now, t.pools[pool], from.Without, func(u *upstream) (time.Duration, bool) {
		if u.Role != identifier.RolePlain || !from.allows(u) {
			return 0, false
		}
		mean := u.meanLatency()
		queue := mean * time.Duration(u.calls) / time.Duration(max(u.Slots, 1))
		if now.Before(u.fullUntil) {
			queue += mean
		}
		return queue + t.baseCost(now, u), true
	})
}

// Prefill chooses a prefill engine for a request whose decode engine is in the
// data centre near. It returns false if each would cost MaxPrefillCost or more;
// the decode engine then computes the prefill.
func (t *Tracker) Prefill(now time.Time, pool identifier.Pool, near identifier.DataCentre, without Without) (Runner, bool) {
	return t.cheapest(now, t.pools[pool], without, func(u *upstream) (time.Duration, bool) {
		if u.Role != identifier.RolePrefill || now.Before(u.roleChangeUntil) {
			return 0, false
		}
		cost := time.Duration(u.prefillTokens)*prefillTimePerToken + t.baseCost(now, u)
		if now.Before(u.fullUntil) {
			cost += fullQueueCost
		}
		if u.DataCentre != near {
			cost += crossDataCentreCost
		}
		if now.Before(u.droppedHandleUntil) {
			cost += droppedHandleCost
		}
		return cost, cost < MaxPrefillCost
	})
}

// Decode chooses a decode engine that may have room for a number of tokens. It
// returns false if there is none. Engines that recently refused such a size, are
// suspected or change their role are left out, because a failed attempt uses up
// part of the target.
func (t *Tracker) Decode(now time.Time, pool identifier.Pool, tokens identifier.Tokens, from Choice) (Runner, bool) {
	if t.sizes[pool].Memory > 0 && t.usesDigest(now) {
		if from.HasSlack {
			return Runner{}, false
		}
		return t.decodeByRoom(now, pool, tokens, from)
	}
	return t.cheapest(now, t.pools[pool], from.Without, func(u *upstream) (time.Duration, bool) {
		if !u.canDecode(now, tokens, from) {
			return 0, false
		}
		return time.Duration(u.decodeTokens)*heldTokenCost + t.baseCost(now, u), true
	})
}

// randomTieBreak returns a small random cost, so that equal runners are chosen
// equally often. It depends only on the seed and the number of earlier calls.
func (t *Tracker) randomTieBreak() time.Duration {
	return time.Duration(t.random.Int64N(int64(maxTieBreak)))
}

// heldTokenCost is the cost of one token that this VM's requests occupy on a
// decode engine: one more request of the specified size costs as much as a call
// to another data centre.
const heldTokenCost = 3 * time.Microsecond

// baseCost returns the part of a runner's cost that applies to every call.
func (t *Tracker) baseCost(now time.Time, u *upstream) time.Duration {
	cost := time.Duration(u.failures * float64(failureCost))
	if u.DataCentre != t.dataCentre {
		cost += crossDataCentreCost
	}
	if now.Before(u.suspectUntil) {
		cost += suspectCost
	}
	return cost
}

// cheapest returns the runner of a pool with the lowest cost; ties are broken
// at random. cost returns false for a runner that can't be used.
func (t *Tracker) cheapest(now time.Time, pool []*upstream, without Without, cost func(*upstream) (time.Duration, bool)) (Runner, bool) {
	var found *upstream
	var lowest time.Duration
	for _, u := range pool {
		if u.Leaving || without[u.ID] || u.isHeldBack(now) {
			continue
		}
		c, ok := cost(u)
		if c += t.randomTieBreak(); ok && (found == nil || c < lowest) {
			found, lowest = u, c
		}
	}
	if found == nil {
		return Runner{}, false
	}
	return found.Runner, true
}
