package reclaimer

import (
	"fmt"
	"time"

	"github.com/tidwall/btree"

	"github.com/figtrack/figtrack/identifier"
)

// Times and limits of a canceller.
const (
	// RetryFirst is the time before the second try; it doubles up to
	// RetryLongest.
	RetryFirst   = 100 * time.Millisecond
	RetryLongest = 5 * time.Second
	// RetryFor is when a release is given up. The shard's owner lists the
	// hold if the engine still has it.
	RetryFor = 10 * time.Minute
	// MaxReleases is the most releases at once.
	MaxReleases = 16_384
)

// Canceller repeats releases until the engine acknowledges them or was
// started again. It is advanced only by Step.
type Canceller struct {
	releases map[Order]*release
	// due orders the releases that wait for a try.
	due *btree.BTreeG[*release]
	n   uint64
	out []CancellerOutcome
}

// Order is one release.
type Order struct {
	Upstream identifier.Upstream
	Hold     identifier.Hold
}

type release struct {
	order Order
	// n breaks ties of next.
	n     uint64
	next  time.Time
	wait  time.Duration
	until time.Time
	// sent says that a reply is awaited.
	sent bool
}

// NewCanceller returns a canceller without releases.
func NewCanceller() *Canceller {
	earlier := func(a, b *release) bool {
		if a.next.Equal(b.next) {
			return a.n < b.n
		}
		return a.next.Before(b.next)
	}
	return &Canceller{releases: map[Order]*release{}, due: btree.NewBTreeG(earlier)}
}

// Len returns the number of releases that are not acknowledged.
func (c *Canceller) Len() int { return len(c.releases) }

// Step advances the canceller.
func (c *Canceller) Step(now time.Time, e CancellerEvent) []CancellerOutcome {
	c.out = nil
	switch e := e.(type) {
	case ReleaseAsked:
		c.asked(now, e.Order)
	case ReleaseReplied:
		c.replied(now, e)
	case EngineRestarted:
		c.restarted(e.Upstream)
	case CancellerWake:
	default:
		panic(fmt.Sprintf("reclaimer: canceller event %T", e))
	}
	c.try(now)
	return c.out
}

func (c *Canceller) asked(now time.Time, o Order) {
	if _, ok := c.releases[o]; ok || len(c.releases) >= MaxReleases {
		return
	}
	c.n++
	r := &release{order: o, n: c.n, next: now, wait: RetryFirst, until: now.Add(RetryFor)}
	c.releases[o] = r
	c.due.Set(r)
}

func (c *Canceller) replied(now time.Time, e ReleaseReplied) {
	r, ok := c.releases[e.Order]
	if !ok {
		return
	}
	if e.Done {
		c.drop(r)
		return
	}
	if !r.sent {
		return
	}
	r.sent = false
	c.due.Delete(r)
	r.next = now.Add(r.wait)
	r.wait = min(2*r.wait, RetryLongest)
	c.due.Set(r)
}

func (c *Canceller) drop(r *release) {
	c.due.Delete(r)
	delete(c.releases, r.order)
}

// restarted drops the releases for an engine that holds nothing of before.
func (c *Canceller) restarted(upstream identifier.Upstream) {
	var gone []*release
	c.due.Scan(func(r *release) bool {
		if r.order.Upstream == upstream {
			gone = append(gone, r)
		}
		return true
	})
	for _, r := range gone {
		c.drop(r)
	}
}

// try sends the releases that are due. One without a reply is sent again
// after RetryLongest.
func (c *Canceller) try(now time.Time) {
	for {
		r, ok := c.due.Min()
		if !ok {
			return
		}
		if r.next.After(now) {
			c.out = append(c.out, CancellerWakeAt{At: r.next})
			return
		}
		if !now.Before(r.until) {
			c.drop(r)
			c.out = append(c.out, GivenUp{Order: r.order})
			continue
		}
		c.due.Delete(r)
		r.sent, r.next = true, now.Add(RetryLongest)
		c.due.Set(r)
		c.out = append(c.out, Try{Order: r.order})
	}
}

// CancellerEvent is what Canceller is told. The set is sealed.
type CancellerEvent interface{ cancellerEvent() }

// ReleaseAsked begins a release. A repeat changes nothing.
type ReleaseAsked struct{ Order Order }

// ReleaseReplied is the end of a Try. Done says that the engine holds
// nothing for the attempt (any more).
type ReleaseReplied struct {
	Order Order
	Done  bool
}

// EngineRestarted says that an engine has a higher incarnation than before.
type EngineRestarted struct{ Upstream identifier.Upstream }

// CancellerWake asks the canceller to act on what has become due.
type CancellerWake struct{}

func (ReleaseAsked) cancellerEvent()    {}
func (ReleaseReplied) cancellerEvent()  {}
func (EngineRestarted) cancellerEvent() {}
func (CancellerWake) cancellerEvent()   {}

// CancellerOutcome is what Canceller decides. The set is sealed.
type CancellerOutcome interface{ cancellerOutcome() }

// Try calls driver.Engine.Release, answered by ReleaseReplied.
type Try struct{ Order Order }

// GivenUp counts a release that was never acknowledged.
type GivenUp struct{ Order Order }

// CancellerWakeAt asks for a CancellerWake event. A later one replaces it.
type CancellerWakeAt struct{ At time.Time }

func (Try) cancellerOutcome()             {}
func (GivenUp) cancellerOutcome()         {}
func (CancellerWakeAt) cancellerOutcome() {}
