package syncer

import (
	"time"

	"github.com/figtrack/figtrack/configurer"
	"github.com/figtrack/figtrack/keeper"
)

// poll is the state of the reads and the watch of one VM.
type poll struct {
	// readAt is when the next read is due. While reading, none is sent.
	readAt  time.Time
	reading bool
	// failures is the run of failed reads.
	failures int
	// watchAt is when the next watch may start.
	watchAt       time.Time
	watchedFrom   time.Time
	watching      bool
	watchFailures int
}

// next is when the poll needs a wake; zero if it waits for the store.
func (p *poll) next(watches bool) time.Time {
	var at time.Time
	if !p.reading {
		at = p.readAt
	}
	if watches && !p.watching && (at.IsZero() || p.watchAt.Before(at)) {
		at = p.watchAt
	}
	return at
}

// advancePoll reads and watches the store when it is due.
func (c *Core) advancePoll(now time.Time) {
	if !c.poll.reading && !now.Before(c.poll.readAt) {
		c.poll.reading = true
		c.emit(ReadStore{})
	}
	if c.watches() && c.known && !c.poll.watching && !now.Before(c.poll.watchAt) {
		c.poll.watching = true
		c.poll.watchedFrom = now
		c.emit(StartWatch{After: c.version})
	}
	if c.watches() && !c.known && !c.poll.watching {
		c.poll.watchAt = now.Add(WatcherPollEvery)
	}
}

// changeWatch follows a change of the live set.
func (c *Core) changeWatch(now time.Time) {
	if !c.watches() && c.poll.watching {
		c.poll.watching = false
		c.emit(StopWatch{})
	}
	if c.watches() && !c.poll.reading && c.poll.failures == 0 {
		soon := now.Add(c.within(WatcherPollEvery))
		if soon.Before(c.poll.readAt) {
			c.poll.readAt = soon
		}
	}
}

// watchBroken opens another watch: soon after one that lasted, as the store's
// client ends each after a while, else after a growing pause.
func (c *Core) watchBroken(now time.Time) {
	c.poll.watching = false
	if now.Sub(c.poll.watchedFrom) >= WatchLasted {
		c.poll.watchFailures = 0
	}
	c.poll.watchFailures++
	c.poll.watchAt = now.Add(c.backoff(WatcherPollEvery, WatcherBackoffMax, c.poll.watchFailures))
}

// storeRead takes in the answer of a read, of the poll or of a change.
func (c *Core) storeRead(now time.Time, e StoreRead) {
	c.poll.reading = false
	if e.Err != nil {
		c.poll.failures++
		c.poll.readAt = now.Add(c.readBackoff())
		c.submitUnread(now)
		return
	}
	c.poll.failures = 0
	every := PollEvery
	if c.watches() {
		every = WatcherPollEvery
	}
	c.poll.readAt = now.Add(c.jitter(every))
	c.fromStore(now, e.Entry)
	c.submitRead(now)
}

// readBackoff is the pause after failed reads: short on watchers and on VMs
// that have no configuration yet, long on the many others.
func (c *Core) readBackoff() time.Duration {
	if c.watches() || !c.ready {
		return c.backoff(WatcherPollEvery, WatcherBackoffMax, c.poll.failures)
	}
	return c.backoff(PollEvery, BackoffMax, c.poll.failures)
}

// fromWatch takes in an entry that a watch sent, which may be late.
func (c *Core) fromWatch(now time.Time, e keeper.Entry) {
	c.poll.watchFailures = 0
	if !c.known || e.Version > c.version {
		c.fromStore(now, e)
	}
}

// fromStore takes in the entry that stands in the store. Its version falls
// when the store was restored from a backup.
func (c *Core) fromStore(now time.Time, e keeper.Entry) {
	c.known = true
	c.version = e.Version
	if e.Version == 0 {
		c.becomeReady()
		c.mend(configurer.Document{})
		return
	}
	d, err := configurer.Decode(e.Value)
	if err != nil {
		c.emit(Rejected{Err: err})
		return
	}
	if c.adopt(d, e.Value, OriginStore) && c.watches() {
		c.spreadAt = now.Add(SpreadGrace * time.Duration(c.rank+1))
	}
	c.mend(d)
}

// mend writes the document in force back to a store that lost it. Only one
// watcher does, and the swap fails if the store has changed since.
func (c *Core) mend(stored configurer.Document) {
	if stored.Revision >= c.document.Revision || c.rank != 0 || c.mending || len(c.submits) > 0 {
		return
	}
	c.mending = true
	c.emit(Mended{Store: stored.Revision, Own: c.document.Revision})
	c.emit(SwapStore{Expected: c.version, Value: c.value})
}

// mended takes in the answer of the swap that mends the store. After an
// error the next read tries again.
func (c *Core) mended(now time.Time, e StoreSwapped) {
	c.mending = false
	if e.Err == nil {
		c.fromStore(now, e.Entry)
	}
}

// backoff is the pause after a run of failures: it doubles from first to
// longest and is then spread over its second half.
func (c *Core) backoff(first, longest time.Duration, failures int) time.Duration {
	d := first
	for range min(failures-1, 16) {
		d = min(2*d, longest)
	}
	return d/2 + c.within(d/2)
}
