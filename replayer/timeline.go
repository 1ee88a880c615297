package replayer

import (
	"container/heap"
	"time"
)

// timeline runs tasks in order of virtual time. Tasks of the same time run in
// the order in which they were scheduled.
type timeline struct {
	now      time.Time
	tasks    taskHeap
	sequence uint64
}

type task struct {
	// at is the Unix time in nanoseconds.
	at       int64
	sequence uint64
	do       func()
}

// schedule runs do at t, or at the current virtual time if t is earlier.
func (l *timeline) schedule(t time.Time, do func()) {
	if t.Before(l.now) {
		t = l.now
	}
	l.sequence++
	heap.Push(&l.tasks, task{at: t.UnixNano(), sequence: l.sequence, do: do})
}

func (l *timeline) scheduleAfter(d time.Duration, do func()) { l.schedule(l.now.Add(d), do) }

// runUntil runs all tasks that are due by the given time.
func (l *timeline) runUntil(until time.Time) {
	for len(l.tasks) > 0 && l.tasks[0].at <= until.UnixNano() {
		next := heap.Pop(&l.tasks).(task)
		l.now = time.Unix(0, next.at).UTC()
		next.do()
	}
}

// alarm is a task that can be rescheduled: setAlarm replaces a task that was
// set before and has not run.
type alarm struct{ generation uint64 }

func (l *timeline) setAlarm(a *alarm, t time.Time, do func()) {
	a.generation++
	number := a.generation
	l.schedule(t, func() {
		if a.generation == number {
			do()
		}
	})
}

type taskHeap []task

func (t taskHeap) Len() int { return len(t) }

func (t taskHeap) Less(i, j int) bool {
	if t[i].at != t[j].at {
		return t[i].at < t[j].at
	}
	return t[i].sequence < t[j].sequence
}

func (t taskHeap) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

func (t *taskHeap) Push(x any) { *t = append(*t, x.(task)) }

func (t *taskHeap) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = task{}
	*t = old[:len(old)-1]
	return last
}
