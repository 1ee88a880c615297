package admitter

import (
	"slices"
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// pending is a request that waits or waited for its placement.
type pending struct {
	Ask
	class  *class
	pieces identifier.Pieces
	// deadline is when the first token is due.
	deadline time.Time
	// given is when the request is given up; it is not before deadline.
	given time.Time
	// late says that the deadline can't be met any more.
	late bool
	// cost is the least predicted time of the prefill.
	cost time.Duration
	// memory is the predicted use of decode memory in piece seconds.
	memory float64
	// used is the service of its workspace when the late were last ordered.
	used float64
	// number orders requests with the same deadline.
	number uint64
}

// queue holds the waiting requests of a shard. It is bounded by the caller.
type queue struct {
	byKey map[Key]*pending
	// due is ordered by deadline, late by the time of being given up.
	due, late []*pending
	number    uint64
}

func newQueue() *queue { return &queue{byKey: map[Key]*pending{}} }

func (q *queue) len() int { return len(q.byKey) }

func (q *queue) find(k Key) *pending { return q.byKey[k] }

func byDeadline(a, b *pending) int {
	if d := a.deadline.Compare(b.deadline); d != 0 {
		return d
	}
	return compareNumber(a, b)
}

func byGiven(a, b *pending) int {
	if d := a.given.Compare(b.given); d != 0 {
		return d
	}
	return compareNumber(a, b)
}

func compareNumber(a, b *pending) int {
	if a.number < b.number {
		return -1
	}
	return 1
}

func (q *queue) add(p *pending) {
	q.number++
	p.number = q.number
	q.byKey[p.Key] = p
	if p.late {
		q.late = insert(q.late, p, byGiven)
		return
	}
	q.due = insert(q.due, p, byDeadline)
}

func insert(s []*pending, p *pending, order func(a, b *pending) int) []*pending {
	i, _ := slices.BinarySearchFunc(s, p, order)
	return slices.Insert(s, i, p)
}

func (q *queue) remove(p *pending) {
	delete(q.byKey, p.Key)
	if p.late {
		q.late = without(q.late, p)
		return
	}
	q.due = without(q.due, p)
}

func without(s []*pending, p *pending) []*pending {
	i := slices.Index(s, p)
	if i < 0 {
		panic("admitter: a waiting request is missing from its queue")
	}
	return slices.Delete(s, i, i+1)
}

// postpone moves a request to those that are late.
func (q *queue) postpone(p *pending) {
	q.due = without(q.due, p)
	p.late = true
	q.late = insert(q.late, p, byGiven)
}

// restore moves a late request back to those that can be in time.
func (q *queue) restore(p *pending) {
	q.late = without(q.late, p)
	p.late = false
	q.due = insert(q.due, p, byDeadline)
}

// reorder takes changed targets into the order.
func (q *queue) reorder() {
	for _, p := range q.byKey {
		p.setTimes()
	}
	slices.SortFunc(q.due, byDeadline)
	slices.SortFunc(q.late, byGiven)
}

func (p *pending) setTimes() {
	p.deadline = p.Arrived.Add(p.class.FirstToken)
	patience := p.class.Patience
	if p.accepted() {
		patience = max(patience, acceptedPatience)
	}
	p.given = p.deadline.Add(patience)
}

// accepted says that the request was placed before. It keeps its place in
// the order of deadlines when its own has passed.
func (p *pending) accepted() bool { return p.Attempt > 1 }
