// Package clocker reads the monotonic and the wall clock together.
//
// The monotonic clock of a suspended VM stands still, and the wall clock may be set. A
// permission that expires must expire by whichever clock shows more time, and what grows
// with time must grow by whichever shows less.
package clocker

import "time"

// Moment is one reading of both clocks.
type Moment struct {
	// Mono is the time since the start of the process by the monotonic clock.
	Mono time.Duration
	// Wall is the time of day. It has no monotonic reading.
	Wall time.Time
}

// Add returns the moment d later by both clocks.
func (m Moment) Add(d time.Duration) Moment { return Moment{m.Mono + d, m.Wall.Add(d)} }

// IsZero reports whether m is not set.
func (m Moment) IsZero() bool { return m == Moment{} }

// Longest returns the time since an earlier moment by the clock that shows more.
func (m Moment) Longest(since Moment) time.Duration {
	return max(m.Mono-since.Mono, m.Wall.Sub(since.Wall))
}

// Shortest returns the time since an earlier moment by the clock that shows less; at
// least zero.
func (m Moment) Shortest(since Moment) time.Duration {
	return max(0, min(m.Mono-since.Mono, m.Wall.Sub(since.Wall)))
}

// Clock converts readings of time.Now.
type Clock struct{ start time.Time }

// New returns a clock whose monotonic readings count from start, a reading of time.Now.
func New(start time.Time) Clock { return Clock{start} }

// At returns the moment of a reading of time.Now.
func (c Clock) At(now time.Time) Moment { return Moment{now.Sub(c.start), now.Round(0)} }
