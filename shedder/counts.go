package shedder

import "time"

const (
	// bucketCount and bucketTime make up the time over which the core counts: long enough
	// for some requests on each VM of a large fleet, and shorter than a burst of 4 s.
	bucketCount = 20
	bucketTime  = 100 * time.Millisecond
	countedTime = bucketCount * bucketTime
)

// counts is the sum of what was added within the last countedTime.
type counts struct {
	// newest is the number of the newest bucket, counted from the start of the core.
	newest  int64
	buckets [bucketCount]float64
}

// add adds n at the time since the start of the core.
func (c *counts) add(at time.Duration, n float64) {
	c.advance(at)
	c.buckets[c.newest%bucketCount] += n
}

// sum returns what was added within the last countedTime.
func (c *counts) sum(at time.Duration) (total float64) {
	c.advance(at)
	for _, n := range c.buckets {
		total += n
	}
	return total
}

// advance empties the buckets that are too old. An earlier time counts as the newest one.
func (c *counts) advance(at time.Duration) {
	tick := int64(at / bucketTime)
	for c.newest < tick {
		c.newest = max(c.newest+1, tick-bucketCount)
		c.buckets[c.newest%bucketCount] = 0
	}
}
