// Package rationer divides the quotas of workspaces among the VMs.
//
// An Allotter is the coordinator's side: a bucket for each workspace, out of which it
// grants credit. A Spender is one VM's side: it admits requests against credit. What both
// may hand out together is bounded by the shares for which VMs count, see the package
// coordinator.
package rationer

import (
	"math"
	"time"

	"github.com/figtrack/figtrack/clocker"
	"github.com/figtrack/figtrack/identifier"
)

const (
	// creditLifetime is how long credit is valid after the report that asked for it was
	// sent.
	creditLifetime = time.Second
	// MaxWait is the time that any request may wait for credit.
	MaxWait = 100 * time.Millisecond
	// StartWait is that time on a VM that has not heard from a coordinator since its start:
	// after a loss of power the VMs find a coordinator within half a second.
	StartWait = 500 * time.Millisecond
	// debtBudget is the sum of the debts, in tokens, that buckets with a part of the quota
	// may be in without regard to chance. It is half of the 140,000 tokens by which a
	// limit may be exceeded, the other half is for chance.
	debtBudget = 70_000
	// leastCapacity is the least time of filling that a bucket holds. VMs ask at most
	// every 20 ms, and what doesn't fit until then would be lost.
	leastCapacity = 0.1
	// savingFor is how long a bucket keeps what it has saved for a request that it couldn't
	// admit. Buckets that kept it until the next request would admit together.
	savingFor = 3 * time.Second
)

// Limit is the quota of a workspace.
type Limit struct {
	// Rate is in units a second, Burst in units.
	Rate, Burst float64
}

// bucket holds a part of a workspace's quota.
//
// Small parts need care: if each of 300 buckets went into debt by one request, or held one,
// they would all do so at the same moment and exceed the limit together. A bucket admits a
// request that it can't pay once a part of its cost has accumulated. The part is between
// none and all and differs between buckets, so that they admit at the rate at which they
// fill together.
type bucket struct {
	limit Limit
	level float64
	// filled is the filling, in seconds of the whole rate, up to which level counts.
	filled float64
	// phase is the part of a cost that has to accumulate, from 0 to 1. It changes with
	// each debt.
	phase float64
	// saving is what the bucket saves for, savedAt since when it was asked, keptFor for how
	// long it may hold as much.
	saving  float64
	savedAt clocker.Moment
	keptFor time.Duration
}

// goldenRatio spreads the phases of a bucket evenly.
const goldenRatio = 0.6180339887498949

// fill fills the bucket up to a total filling and bounds it by a part of the quota.
func (b *bucket) fill(now clocker.Moment, filled, part float64) {
	b.level += b.limit.Rate * (filled - b.filled)
	b.filled = filled
	b.level = min(b.level, b.capacity(now, part))
}

// capacity returns what the bucket may hold.
func (b *bucket) capacity(now clocker.Moment, part float64) float64 {
	capacity := max(b.limit.Burst, leastCapacity*b.limit.Rate) * part
	if !b.savedAt.IsZero() && now.Longest(b.savedAt) <= b.keptFor {
		capacity = max(capacity, b.saving)
	}
	return capacity
}

// threshold returns the level at which the bucket admits a request.
func (b *bucket) threshold(cost, part float64) float64 {
	return min(b.phase*cost, max(0, cost-part*debtBudget))
}

// take takes the cost of a request if the bucket admits it.
func (b *bucket) take(now clocker.Moment, cost, part float64) bool {
	switch threshold := b.threshold(cost, part); {
	case b.level >= cost:
	case b.level >= threshold:
		if threshold > 0 {
			_, b.phase = math.Modf(b.phase + goldenRatio)
		}
	default:
		b.saving, b.savedAt, b.keptFor = threshold, now, b.delay(threshold-b.level, part)+savingFor
		return false
	}
	b.level -= cost
	return true
}

// delay returns the time until the bucket has filled by an amount.
func (b *bucket) delay(amount, part float64) time.Duration {
	rate := b.limit.Rate * part
	if amount <= 0 {
		return 0
	}
	if rate <= 0 || amount/rate > maxDelay.Seconds() {
		return maxDelay
	}
	return time.Duration(amount / rate * float64(time.Second))
}

// maxDelay is the longest delay that is told. Callers give up much earlier.
const maxDelay = time.Minute

// Source identifies the start of the coordinator that granted credit.
type Source struct {
	VM          identifier.VM
	Incarnation identifier.Incarnation
}
