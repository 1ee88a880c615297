// Package drainer decides how a VM shuts down gracefully.
//
// On the first signal the VM leaves the fleet: its readiness check fails, it
// notifies its peers and hands over what it owns. It still accepts new work for
// Settings.Notice, the time that the platform's balancer needs to send requests
// elsewhere, and then refuses it. It exits when the last stream has ended. The end
// of Settings.Limit cuts and counts the remaining streams. Further signals change
// nothing: platforms repeat a SIGTERM, and have SIGKILL to end a process at once.
package drainer

import (
	"fmt"
	"time"
)

const (
	// NotifyInterval is the interval between notices to the peers.
	NotifyInterval = time.Second
	// CleanupTimeout bounds the wait for releases and ownerships after the last
	// stream has ended. Other VMs take over what is left.
	CleanupTimeout = 3 * time.Second
	// CutTimeout bounds the wait for the last replies to callers after streams
	// were cut.
	CutTimeout = time.Second
)

// Settings are the time limits of a shutdown.
type Settings struct {
	// Notice is the time from the first signal until new work is refused. The
	// balancer needs it to detect that the VM is not ready.
	Notice time.Duration
	// Limit is the time from the first signal until remaining streams are cut. It
	// is at least Notice.
	Limit time.Duration
}

type phase int

const (
	phaseServing phase = iota
	phaseLeaving
	phaseRefusing
	phaseCutting
	phaseEnded
)

// Core is the state machine of one VM's shutdown. It changes only in Step and
// performs no I/O.
type Core struct {
	cfg   Settings
	phase phase
	// work is the work last reported by WorkChanged.
	work Work
	// signalledAt is the time of the first signal.
	signalledAt time.Time
	// notifiedPeersAt is the time of the last notice to the peers.
	notifiedPeersAt time.Time
	// idleSince is the time since which a leaving VM has had no open stream. It is
	// zero while a stream is open.
	idleSince time.Time
	// cutAt is when streams were cut, cutCount how many.
	cutAt    time.Time
	cutCount int
	out      []Outcome
}

// Work counts the work that a VM must finish before it exits.
type Work struct {
	// Streams counts the requests that are not completely answered.
	Streams int
	// Releases counts the releases of holds that the reclaimer's Canceller has
	// sent and that no engine has confirmed.
	Releases int
	// Ownerships counts the shards and keys that are not yet handed over.
	Ownerships int
}

// isReleased reports whether all holds are released and all ownerships handed
// over.
func (w Work) isReleased() bool { return w.Releases == 0 && w.Ownerships == 0 }

// New returns the core of a VM that is serving.
func New(cfg Settings) *Core { return &Core{cfg: cfg} }

// Step handles an event that occurs at now and returns the resulting outcomes.
func (c *Core) Step(now time.Time, e Event) []Outcome {
	c.out = nil
	switch e := e.(type) {
	case Signalled:
		c.handleSignal(now)
	case WorkChanged:
		c.work = e.Work
	case Wake:
	default:
		panic(fmt.Sprintf("drainer: unknown event %T", e))
	}
	c.advance(now)
	c.schedule(now)
	return c.out
}

func (c *Core) emit(o Outcome) { c.out = append(c.out, o) }

func (c *Core) handleSignal(now time.Time) {
	if c.phase != phaseServing {
		return
	}
	c.phase, c.signalledAt = phaseLeaving, now
	c.emit(FailReadiness{})
	c.emit(HandOver{})
}

func (c *Core) advance(now time.Time) {
	if c.phase == phaseServing || c.phase == phaseEnded {
		return
	}
	if c.notifiedPeersAt.IsZero() || now.Sub(c.notifiedPeersAt) >= NotifyInterval {
		c.notifiedPeersAt = now
		c.emit(TellPeers{})
	}
	if c.phase == phaseLeaving && now.Sub(c.signalledAt) >= c.cfg.Notice {
		c.phase = phaseRefusing
		c.emit(RefuseNew{})
	}
	if c.phase != phaseCutting && now.Sub(c.signalledAt) >= c.cfg.Limit {
		c.cutStreams(now)
	}
	c.updateIdle(now)
	if c.canExit(now) {
		c.phase = phaseEnded
		c.emit(Exit{Cut: c.cutCount})
	}
}

// cutStreams cuts the remaining streams. A VM that still takes new work refuses it
// from now on.
func (c *Core) cutStreams(now time.Time) {
	if c.phase == phaseLeaving {
		c.emit(RefuseNew{})
	}
	c.phase, c.cutAt, c.cutCount = phaseCutting, now, c.work.Streams
	if c.cutCount > 0 {
		c.emit(CutStreams{Count: c.cutCount})
	}
}

func (c *Core) updateIdle(now time.Time) {
	switch {
	case c.work.Streams > 0:
		c.idleSince = time.Time{}
	case c.idleSince.IsZero():
		c.idleSince = now
	}
}

// canExit reports whether no work is left or the wait for it has ended. It is
// false until new work is refused.
func (c *Core) canExit(now time.Time) bool {
	switch c.phase {
	case phaseRefusing:
		return !c.idleSince.IsZero() && (c.work.isReleased() || now.Sub(c.idleSince) >= CleanupTimeout)
	case phaseCutting:
		return c.work == Work{} || now.Sub(c.cutAt) >= CutTimeout
	default:
		return false
	}
}

// schedule requests a Wake at the next deadline.
func (c *Core) schedule(now time.Time) {
	if c.phase == phaseServing || c.phase == phaseEnded {
		return
	}
	at := c.notifiedPeersAt.Add(NotifyInterval)
	consider := func(t time.Time) {
		if t.After(now) && t.Before(at) {
			at = t
		}
	}
	consider(c.signalledAt.Add(c.cfg.Notice))
	consider(c.signalledAt.Add(c.cfg.Limit))
	if !c.idleSince.IsZero() {
		consider(c.idleSince.Add(CleanupTimeout))
	}
	if c.phase == phaseCutting {
		consider(c.cutAt.Add(CutTimeout))
	}
	c.emit(WakeAt{At: at})
}
