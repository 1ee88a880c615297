package admitter

import (
	"slices"
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// pending is a request that is waiting for placement, or was until it was
// placed.
type pending struct {
	Ask
	class  *classState
	pieces identifier.Pieces
	// deadline is the latest time of the first token that meets the target.
	deadline time.Time
	// giveUpAt is when the request is refused; never before deadline.
	giveUpAt time.Time
	// late is true if the deadline can't be met any more.
	late bool
	// prefillCost is the lowest predicted prefill time of any engine.
	prefillCost time.Duration
	// pieceSeconds is the predicted use of decode memory: pieces multiplied by
	// seconds.
	pieceSeconds float64
	// workspaceService is the recent service of the workspace, as of the last
	// ordering of late requests.
	workspaceService float64
	// seq orders requests that have the same deadline or giveUpAt.
	seq uint64
}

// queue holds the waiting requests of a shard. The caller limits its length.
type queue struct {
	byKey map[Key]*pending
	// onTime is ordered by deadline, late by giveUpAt.
	onTime, late []*pending
	lastSeq      uint64
}

func newQueue() *queue { return &queue{byKey: map[Key]*pending{}} }

func (q *queue) len() int { return len(q.byKey) }

func (q *queue) find(k Key) *pending { return q.byKey[k] }

func byDeadline(a, b *pending) int {
	if d := a.deadline.Compare(b.deadline); d != 0 {
		return d
	}
	return compareSeq(a, b)
}

func byGiveUpAt(a, b *pending) int {
	if d := a.giveUpAt.Compare(b.giveUpAt); d != 0 {
		return d
	}
	return compareSeq(a, b)
}

func compareSeq(a, b *pending) int {
	if a.seq < b.seq {
		return -1
	}
	return 1
}

func (q *queue) add(p *pending) {
	q.lastSeq++
	p.seq = q.lastSeq
	q.byKey[p.Key] = p
	if p.late {
		q.late = insertSorted(q.late, p, byGiveUpAt)
		return
	}
	q.onTime = insertSorted(q.onTime, p, byDeadline)
}

func insertSorted(s []*pending, p *pending, order func(a, b *pending) int) []*pending {
	i, _ := slices.BinarySearchFunc(s, p, order)
	return slices.Insert(s, i, p)
}

func (q *queue) remove(p *pending) {
	delete(q.byKey, p.Key)
	if p.late {
		q.late = removeFrom(q.late, p)
		return
	}
	q.onTime = removeFrom(q.onTime, p)
}

func removeFrom(s []*pending, p *pending) []*pending {
	i := slices.Index(s, p)
	if i < 0 {
		panic("admitter: a waiting request is missing from its queue")
	}
	return slices.Delete(s, i, i+1)
}

// markLate moves a request to the late ones.
func (q *queue) markLate(p *pending) {
	q.onTime = removeFrom(q.onTime, p)
	p.late = true
	q.late = insertSorted(q.late, p, byGiveUpAt)
}

// markOnTime moves a late request back to those that can meet their deadline.
func (q *queue) markOnTime(p *pending) {
	q.late = removeFrom(q.late, p)
	p.late = false
	q.onTime = insertSorted(q.onTime, p, byDeadline)
}

// reorder applies changed class targets to the waiting requests.
func (q *queue) reorder() {
	for _, p := range q.byKey {
		p.setDeadlines()
	}
	slices.SortFunc(q.onTime, byDeadline)
	slices.SortFunc(q.late, byGiveUpAt)
}

func (p *pending) setDeadlines() {
	p.deadline = p.Arrived.Add(p.class.FirstToken)
	patience := p.class.Patience
	if p.placedBefore() {
		patience = max(patience, nextAttemptPatience)
	}
	p.giveUpAt = p.deadline.Add(patience)
}

// placedBefore reports whether an earlier attempt of the request was placed.
// Such a request keeps its position in the deadline order after its deadline
// has passed.
func (p *pending) placedBefore() bool { return p.Attempt > 1 }
