// Package throttler decides on a VM which new requests to a pool are refused at once, because
// the pool's runners rejected too many of the VM's last calls.
//
// A rejected call is paid from the retry budget and takes time of a request that may still be
// served. A VM that refuses some requests itself keeps the rejected calls below a set ratio.
package throttler

import "time"

const (
	// Window is the time over which calls are counted.
	Window      = 2 * time.Second
	bucketCount = 20
	bucketTime  = Window / bucketCount
)

// Core counts the calls of one VM to one pool. It is not safe for concurrent use.
type Core struct {
	startedAt time.Time
	// newest is the number of the newest bucket, counted from startedAt.
	newest          int64
	calls, accepted [bucketCount]float64
}

// New returns a core that has counted no calls.
func New(now time.Time) *Core { return &Core{startedAt: now} }

// RecordCall counts one call that a runner has accepted or rejected.
func (c *Core) RecordCall(now time.Time, isAccepted bool) {
	c.advance(now)
	c.calls[c.newest%bucketCount]++
	if isAccepted {
		c.accepted[c.newest%bucketCount]++
	}
}

// prior is the number of calls that Share adds to those of the VM, accepted as those of the
// fleet are. A VM that made two calls can't tell an overload from chance.
const prior = 8

// Share returns the share of new requests to refuse, from 0 to less than 1, so that about ratio
// calls are made for each accepted one. acceptance is the share of calls that runners lately
// accepted from the whole fleet; 1 if it isn't known.
func (c *Core) Share(now time.Time, ratio, acceptance float64) float64 {
	calls, accepted := c.Counts(now)
	calls, accepted = calls+prior, accepted+prior*acceptance
	return max(0, (calls-ratio*accepted)/(calls+1))
}

// Allows reports whether another call may be made that is likely to be rejected: whether fewer
// calls were rejected than ratio allows for those accepted. fleet is the number of accepted
// calls of a VM on average in the last Window; a VM that had none accepted may go by that.
// One rejected call in a Window is always allowed.
func (c *Core) Allows(now time.Time, ratio, fleet float64) bool {
	calls, accepted := c.Counts(now)
	return calls-accepted < max(1, (ratio-1)*max(accepted, fleet))
}

// Counts returns the number of calls in the last Window, and how many of them were accepted.
func (c *Core) Counts(now time.Time) (calls, accepted float64) {
	c.advance(now)
	for i := range bucketCount {
		calls += c.calls[i]
		accepted += c.accepted[i]
	}
	return calls, accepted
}

// advance empties the buckets that are too old. An earlier time counts as the newest one.
func (c *Core) advance(now time.Time) {
	tick := int64(now.Sub(c.startedAt) / bucketTime)
	for c.newest < tick {
		c.newest = max(c.newest+1, tick-bucketCount)
		c.calls[c.newest%bucketCount], c.accepted[c.newest%bucketCount] = 0, 0
	}
}
