package reclaimer

import (
	"fmt"
	"time"

	"github.com/tidwall/btree"

	"github.com/figtrack/figtrack/identifier"
)

// Times and limits of a Canceller.
const (
	// InitialRetryDelay is the delay between the first reply and the second
	// try; it doubles with each try up to MaxRetryDelay.
	InitialRetryDelay = 100 * time.Millisecond
	// MaxRetryDelay is the maximum delay between two tries, and the delay after a
	// try without a reply.
	MaxRetryDelay = 5 * time.Second
	// RetryFor is how long a release is repeated before it is given up. If the
	// engine still has the hold then, the owner of the shard finds it in the
	// engine's listing.
	RetryFor = 10 * time.Minute
	// MaxReleases is the maximum number of unacknowledged releases.
	MaxReleases = 16_384
)

// Canceller repeats each release until the engine acknowledges it or is started
// again. Its state changes only in Step.
type Canceller struct {
	releases map[ReleaseID]*release
	// due holds the same releases, sorted by their next try.
	due          *btree.BTreeG[*release]
	lastSequence uint64
	out          []CancellerOutcome
}

// ReleaseID identifies one release.
type ReleaseID struct {
	Upstream identifier.Upstream
	Hold     identifier.Hold
}

// release is a release that the engine has not acknowledged.
type release struct {
	id ReleaseID
	// sequence is unique and increasing; it sorts releases with equal times.
	sequence uint64
	nextTry  time.Time
	// retryDelay is the delay before the try after the next reply.
	retryDelay time.Duration
	// giveUpAt is when the release is given up.
	giveUpAt time.Time
	// awaitsReply is true while a reply to a try is outstanding.
	awaitsReply bool
}

// NewCanceller returns a canceller without releases.
func NewCanceller() *Canceller {
	earlier := func(a, b *release) bool {
		if a.nextTry.Equal(b.nextTry) {
			return a.sequence < b.sequence
		}
		return a.nextTry.Before(b.nextTry)
	}
	return &Canceller{releases: map[ReleaseID]*release{}, due: btree.NewBTreeG(earlier)}
}

// Len returns the number of unacknowledged releases.
func (c *Canceller) Len() int { return len(c.releases) }

// Step applies one event and returns what is to be done.
func (c *Canceller) Step(now time.Time, e CancellerEvent) []CancellerOutcome {
	c.out = nil
	switch e := e.(type) {
	case ReleaseAsked:
		c.add(now, e.ID)
	case ReleaseReplied:
		c.handleReply(now, e)
	case EngineRestarted:
		c.removeEngine(e.Upstream)
	case CancellerWake:
	default:
		panic(fmt.Sprintf("reclaimer: canceller event %T", e))
	}
	c.sendDue(now)
	return c.out
}

// add begins a release unless it is known already or MaxReleases is reached.
func (c *Canceller) add(now time.Time, id ReleaseID) {
	if _, ok := c.releases[id]; ok || len(c.releases) >= MaxReleases {
		return
	}
	c.lastSequence++
	r := &release{id: id, sequence: c.lastSequence, nextTry: now, retryDelay: InitialRetryDelay, giveUpAt: now.Add(RetryFor)}
	c.releases[id] = r
	c.due.Set(r)
}

// handleReply ends an acknowledged release and schedules the next try of another.
func (c *Canceller) handleReply(now time.Time, e ReleaseReplied) {
	r, ok := c.releases[e.ID]
	if !ok {
		return
	}
	if e.Done {
		c.remove(r)
		return
	}
	if !r.awaitsReply {
		return
	}
	r.awaitsReply = false
	c.due.Delete(r)
	r.nextTry = now.Add(r.retryDelay)
	r.retryDelay = min(2*r.retryDelay, MaxRetryDelay)
	c.due.Set(r)
}

func (c *Canceller) remove(r *release) {
	c.due.Delete(r)
	delete(c.releases, r.id)
}

// removeEngine removes the releases for an engine that was started again and thus
// lost its holds.
func (c *Canceller) removeEngine(upstream identifier.Upstream) {
	var gone []*release
	c.due.Scan(func(r *release) bool {
		if r.id.Upstream == upstream {
			gone = append(gone, r)
		}
		return true
	})
	for _, r := range gone {
		c.remove(r)
	}
}

// sendDue sends the releases that are due. A try without a reply is repeated
// after MaxRetryDelay.
func (c *Canceller) sendDue(now time.Time) {
	for {
		r, ok := c.due.Min()
		if !ok {
			return
		}
		if r.nextTry.After(now) {
			c.out = append(c.out, CancellerWakeAt{At: r.nextTry})
			return
		}
		if !now.Before(r.giveUpAt) {
			c.remove(r)
			c.out = append(c.out, GivenUp{ID: r.id})
			continue
		}
		c.due.Delete(r)
		r.awaitsReply, r.nextTry = true, now.Add(MaxRetryDelay)
		c.due.Set(r)
		c.out = append(c.out, Try{ID: r.id})
	}
}

// CancellerEvent is an input of Canceller. The set is sealed.
type CancellerEvent interface{ cancellerEvent() }

// ReleaseAsked begins a release. A repeat changes nothing.
type ReleaseAsked struct{ ID ReleaseID }

// ReleaseReplied reports the result of a Try. Done is true if the engine has
// nothing for the attempt, or no longer.
type ReleaseReplied struct {
	ID   ReleaseID
	Done bool
}

// EngineRestarted reports that an engine has a higher incarnation than before.
type EngineRestarted struct{ Upstream identifier.Upstream }

// CancellerWake has the Canceller act on what has become due.
type CancellerWake struct{}

func (ReleaseAsked) cancellerEvent()    {}
func (ReleaseReplied) cancellerEvent()  {}
func (EngineRestarted) cancellerEvent() {}
func (CancellerWake) cancellerEvent()   {}

// CancellerOutcome is a decision of Canceller. The set is sealed.
type CancellerOutcome interface{ cancellerOutcome() }

// Try calls driver.Engine.Release, answered by ReleaseReplied.
type Try struct{ ID ReleaseID }

// GivenUp reports that a release was not acknowledged within RetryFor.
type GivenUp struct{ ID ReleaseID }

// CancellerWakeAt requests a CancellerWake event at At. It replaces the request of
// an earlier CancellerWakeAt.
type CancellerWakeAt struct{ At time.Time }

func (Try) cancellerOutcome()             {}
func (GivenUp) cancellerOutcome()         {}
func (CancellerWakeAt) cancellerOutcome() {}
