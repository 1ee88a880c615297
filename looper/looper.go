// Package looper runs the event loop of a shell: it handles the events of a
// channel and of one timer, one at a time. Sleep waits outside of a loop.
package looper

import (
	"context"
	"time"
)

// Step handles one event. It may reset the timer, which sends the wake event when
// it expires.
type Step[E any] func(timer *time.Timer, e E)

// Run calls step for each event of events until ctx ends. It also calls step with
// wake, once at the start and whenever the timer expires.
func Run[E any](ctx context.Context, events <-chan E, wake E, step Step[E]) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-events:
			step(timer, e)
		case <-timer.C:
			step(timer, wake)
		}
	}
}

// Sleep waits for d. It returns false if ctx ends first.
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
