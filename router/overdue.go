package router

import (
	"context"
	"sync"
	"time"

	"github.com/figtrack/figtrack/attempter"
	"github.com/figtrack/figtrack/stepper"
)

// headWatch tells the core of a run that the head of its answer is overdue, and
// cancels the run if the core withdraws it.
type headWatch struct {
	mu sync.Mutex
	// timer is nil if the run has no limit. isStopped is true once the run has ended;
	// the core then belongs to the request's goroutine again.
	timer     *time.Timer
	isStopped bool
	// isCoreLost is true once the core has panicked. It must not be used any more.
	isCoreLost bool
}

// watchHead begins to watch a run that cancel ends. The core must not be used before
// stop; without a positive limit nothing is watched.
func (p *proxiedRequest) watchHead(limit time.Duration, cancel context.CancelFunc) *headWatch {
	w := &headWatch{}
	if limit <= 0 {
		return w
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(limit, func() { w.check(p.core, p.fleet.steps, cancel) })
	return w
}

func (w *headWatch) check(core *attempter.Core, steps *stepper.Stepper, cancel context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isStopped {
		return
	}
	var outcomes []attempter.Outcome
	e := attempter.Overdue{}
	if !steps.Call(coreAttempter, e, func() { outcomes = core.Step(time.Now(), e) }) {
		w.isCoreLost = true
		cancel()
		return
	}
	for _, o := range outcomes {
		switch o := o.(type) {
		case attempter.Await:
			w.timer.Reset(o.For)
		case attempter.Withdraw:
			cancel()
		}
	}
}

// stop ends the watch and reports whether the core may be used again.
func (w *headWatch) stop() (isCoreUsable bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isStopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
	return !w.isCoreLost
}
