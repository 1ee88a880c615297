package syncer

import (
	"time"

	"github.com/figtrack/figtrack/configurer"
	"github.com/figtrack/figtrack/keeper"
)

// pollState is the state of this VM's reads and watch of the store.
type pollState struct {
	// readAt is when the next read is due.
	readAt time.Time
	// readPending is true while a read is in progress; no other one starts then.
	readPending bool
	// readFailures counts the consecutive failed reads.
	readFailures int
	// watchAt is when the next watch may start.
	watchAt time.Time
	// watchStartedAt is when the last watch was started.
	watchStartedAt time.Time
	watching       bool
	// watchFailures counts the watches that ended early since one last worked.
	watchFailures int
}

// nextWake returns the next time at which a read or a watch is due. It is zero
// while a read is in progress and no watch is to be started.
func (p *pollState) nextWake(watches bool) time.Time {
	var at time.Time
	if !p.readPending {
		at = p.readAt
	}
	if watches && !p.watching && (at.IsZero() || p.watchAt.Before(at)) {
		at = p.watchAt
	}
	return at
}

// advancePoll starts the read and the watch that are due.
func (c *Core) advancePoll(now time.Time) {
	if !c.poll.readPending && !now.Before(c.poll.readAt) {
		c.poll.readPending = true
		c.emit(ReadStore{})
	}
	if c.isWatcher() && c.versionKnown && !c.poll.watching && !now.Before(c.poll.watchAt) {
		c.poll.watching = true
		c.poll.watchStartedAt = now
		c.emit(StartWatch{After: c.version})
	}
	if c.isWatcher() && !c.versionKnown && !c.poll.watching {
		c.poll.watchAt = now.Add(WatcherPollInterval)
	}
}

// updateWatch stops the watch if this VM is no longer a watcher after a change of
// the live set, and shortens the time to the next read if it is one.
func (c *Core) updateWatch(now time.Time) {
	if !c.isWatcher() && c.poll.watching {
		c.poll.watching = false
		c.emit(StopWatch{})
	}
	if c.isWatcher() && !c.poll.readPending && c.poll.readFailures == 0 {
		soon := now.Add(c.randomBelow(WatcherPollInterval))
		if soon.Before(c.poll.readAt) {
			c.poll.readAt = soon
		}
	}
}

// handleWatchBroken schedules another watch. The pause is short after a watch of at
// least MinStableWatchAge, because the store's client ends every watch after a
// while; otherwise the pause grows with each failure.
func (c *Core) handleWatchBroken(now time.Time) {
	c.poll.watching = false
	if now.Sub(c.poll.watchStartedAt) >= MinStableWatchAge {
		c.poll.watchFailures = 0
	}
	c.poll.watchFailures++
	c.poll.watchAt = now.Add(c.backoff(WatcherPollInterval, WatcherBackoffMax, c.poll.watchFailures))
}

// handleStoreRead handles the result of a read, whether it was periodic or
// requested for a change.
func (c *Core) handleStoreRead(now time.Time, e StoreRead) {
	c.poll.readPending = false
	if e.Err != nil {
		c.poll.readFailures++
		c.poll.readAt = now.Add(c.readBackoff())
		c.retrySubmitRead(now)
		return
	}
	c.poll.readFailures = 0
	every := PollInterval
	if c.isWatcher() {
		every = WatcherPollInterval
	}
	c.poll.readAt = now.Add(c.jitter(every))
	c.applyStored(now, e.Entry)
	c.resumeSubmit(now)
}

// readBackoff returns the pause after failed reads: short on watchers and on VMs
// without a configuration, long on all others, which are many.
func (c *Core) readBackoff() time.Duration {
	if c.isWatcher() || !c.ready {
		return c.backoff(WatcherPollInterval, WatcherBackoffMax, c.poll.readFailures)
	}
	return c.backoff(PollInterval, BackoffMax, c.poll.readFailures)
}

// applyWatched applies an entry that a watch sent, unless a later version is
// already known.
func (c *Core) applyWatched(now time.Time, e keeper.Entry) {
	c.poll.watchFailures = 0
	if !c.versionKnown || e.Version > c.version {
		c.applyStored(now, e)
	}
}

// applyStored applies the current entry of the store. Its version can be lower than
// the last one seen if the store was restored from a backup.
func (c *Core) applyStored(now time.Time, e keeper.Entry) {
	c.versionKnown = true
	c.version = e.Version
	if e.Version == 0 {
		c.becomeReady()
		c.writeBack(configurer.Document{})
		return
	}
	d, err := configurer.Decode(e.Value)
	if err != nil {
		c.emit(Rejected{Err: err})
		return
	}
	if c.applyIfNewer(d, e.Value, OriginStore) && c.isWatcher() {
		c.spreadAt = now.Add(SpreadGrace * time.Duration(c.rank+1))
	}
	c.writeBack(d)
}

// writeBack writes the document in force back to a store that has an older one. Only
// the watcher of rank 0 does so, and the swap fails if the store has changed
// in the meantime.
func (c *Core) writeBack(stored configurer.Document) {
	if stored.Revision >= c.document.Revision || c.rank != 0 || c.writingBack || len(c.submits) > 0 {
		return
	}
	c.writingBack = true
	c.emit(WriteBackStarted{Store: stored.Revision, Own: c.document.Revision})
	c.emit(SwapStore{Expected: c.version, Value: c.value})
}

// handleWriteBack handles the result of the write-back. After an error, the next
// read triggers another one.
func (c *Core) handleWriteBack(now time.Time, e StoreSwapped) {
	c.writingBack = false
	if e.Err == nil {
		c.applyStored(now, e.Entry)
	}
}

// backoff returns the pause after consecutive failures: it doubles from first up
// to longest, and is then drawn at random from the upper half of that value.
func (c *Core) backoff(first, longest time.Duration, failures int) time.Duration {
	d := first
	for range min(failures-1, 16) {
		d = min(2*d, longest)
	}
	return d/2 + c.randomBelow(d/2)
}
