// Package looper runs the goroutine of a shell: events of a bounded ring and
// the wakes of one timer, one at a time. Sleep is its wait outside the loop.
package looper

import (
	"context"
	"time"
)

// Step handles one event. It may set the timer, whose end gives the next wake.
type Step[E any] func(timer *time.Timer, e E)

// Run hands the events of ring to step until ctx ends, and wake at first and
// whenever the timer ends.
func Run[E any](ctx context.Context, ring <-chan E, wake E, step Step[E]) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-ring:
			step(timer, e)
		case <-timer.C:
			step(timer, wake)
		}
	}
}

// Sleep waits for d. It returns false where ctx ends first.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
