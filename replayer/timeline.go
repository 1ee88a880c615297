package replayer

import (
	"container/heap"
	"time"
)

// timeline runs tasks in order of time, and in order of entry at equal times.
type timeline struct {
	now    time.Time
	tasks  tasks
	number uint64
}

type task struct {
	// at is in nanoseconds of Unix time.
	at     int64
	number uint64
	do     func()
}

// at runs a task at a time, but never before now.
func (l *timeline) at(t time.Time, do func()) {
	if t.Before(l.now) {
		t = l.now
	}
	l.number++
	heap.Push(&l.tasks, task{at: t.UnixNano(), number: l.number, do: do})
}

func (l *timeline) after(d time.Duration, do func()) { l.at(l.now.Add(d), do) }

// run does all tasks up to a time.
func (l *timeline) run(until time.Time) {
	for len(l.tasks) > 0 && l.tasks[0].at <= until.UnixNano() {
		next := heap.Pop(&l.tasks).(task)
		l.now = time.Unix(0, next.at).UTC()
		next.do()
	}
}

// alarm is a task that a later one replaces.
type alarm struct{ number uint64 }

func (l *timeline) set(a *alarm, t time.Time, do func()) {
	a.number++
	number := a.number
	l.at(t, func() {
		if a.number == number {
			do()
		}
	})
}

type tasks []task

func (t tasks) Len() int { return len(t) }

func (t tasks) Less(i, j int) bool {
	if t[i].at != t[j].at {
		return t[i].at < t[j].at
	}
	return t[i].number < t[j].number
}

func (t tasks) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

func (t *tasks) Push(x any) { *t = append(*t, x.(task)) }

func (t *tasks) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = task{}
	*t = old[:len(old)-1]
	return last
}
