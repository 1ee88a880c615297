// Package drainer stops a VM without cutting off requests.
//
// The first signal makes the VM leave: it is no longer ready, tells its peers
// and hands over what it owns. It still takes new work for Settings.Notice,
// as the platform's balancer needs that long to send it elsewhere, and then
// refuses it. When the last stream has ended it exits. A second signal or
// Settings.Limit ends the streams that are left, which are counted.
package drainer

import (
	"fmt"
	"time"
)

const (
	// TellEvery is the time between two notices to the peers.
	TellEvery = time.Second
	// TidyLimit is how long after the last stream releases and ownerships
	// are waited for. Others take them over if they are left.
	TidyLimit = 3 * time.Second
	// CutWait is how long after the cut the callers' last replies may take.
	CutWait = time.Second
)

// Settings are the times of a stop.
type Settings struct {
	// Notice is the time that the balancer needs to notice that the VM is
	// not ready.
	Notice time.Duration
	// Limit is the time from the first signal to the cut; at least Notice.
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

// Core is the state of one VM's stop. It is advanced only by Step.
type Core struct {
	cfg   Settings
	phase phase
	// work is what the VM has to do at present.
	work Work
	// began is the time of the first signal.
	began time.Time
	// told is when the peers were told last.
	told time.Time
	// idle is since when there is no stream; zero while there is one.
	idle time.Time
	// cutAt is the time of the cut, cut the streams that it ended.
	cutAt time.Time
	cut   int
	out   []Outcome
}

// Work counts what keeps a VM from its exit.
type Work struct {
	// Streams counts the requests that are not answered.
	Streams int
	// Releases counts the orders of the Canceller without an answer.
	Releases int
	// Ownerships counts the shards and keys that are not handed over.
	Ownerships int
}

func (w Work) tidy() bool { return w.Releases == 0 && w.Ownerships == 0 }

// New returns the core of a VM that serves.
func New(cfg Settings) *Core { return &Core{cfg: cfg} }

// Step advances the core.
func (c *Core) Step(now time.Time, e Event) []Outcome {
	c.out = nil
	switch e := e.(type) {
	case Signalled:
		c.signalled(now)
	case WorkChanged:
		c.work = e.Work
	case Wake:
	default:
		panic(fmt.Sprintf("drainer: event %T", e))
	}
	c.act(now)
	c.schedule(now)
	return c.out
}

func (c *Core) emit(o Outcome) { c.out = append(c.out, o) }

func (c *Core) signalled(now time.Time) {
	switch c.phase {
	case phaseServing:
		c.phase, c.began = phaseLeaving, now
		c.emit(FailReadiness{})
		c.emit(HandOver{})
	case phaseLeaving, phaseRefusing:
		c.endStreams(now)
	}
}

func (c *Core) act(now time.Time) {
	if c.phase == phaseServing || c.phase == phaseEnded {
		return
	}
	if c.told.IsZero() || now.Sub(c.told) >= TellEvery {
		c.told = now
		c.emit(TellPeers{})
	}
	if c.phase == phaseLeaving && now.Sub(c.began) >= c.cfg.Notice {
		c.phase = phaseRefusing
		c.emit(RefuseNew{})
	}
	if c.phase != phaseCutting && now.Sub(c.began) >= c.cfg.Limit {
		c.endStreams(now)
	}
	c.watchStreams(now)
	if c.over(now) {
		c.phase = phaseEnded
		c.emit(Exit{Cut: c.cut})
	}
}

// endStreams cuts what is left.
func (c *Core) endStreams(now time.Time) {
	if c.phase == phaseLeaving {
		c.emit(RefuseNew{})
	}
	c.phase, c.cutAt, c.cut = phaseCutting, now, c.work.Streams
	if c.cut > 0 {
		c.emit(CutStreams{Count: c.cut})
	}
}

func (c *Core) watchStreams(now time.Time) {
	switch {
	case c.work.Streams > 0:
		c.idle = time.Time{}
	case c.idle.IsZero():
		c.idle = now
	}
}

// over says that the VM may exit.
func (c *Core) over(now time.Time) bool {
	switch c.phase {
	case phaseRefusing:
		return !c.idle.IsZero() && (c.work.tidy() || now.Sub(c.idle) >= TidyLimit)
	case phaseCutting:
		return c.work == Work{} || now.Sub(c.cutAt) >= CutWait
	default:
		return false
	}
}

// schedule asks for the next Wake.
func (c *Core) schedule(now time.Time) {
	if c.phase == phaseServing || c.phase == phaseEnded {
		return
	}
	at := c.told.Add(TellEvery)
	consider := func(t time.Time) {
		if t.After(now) && t.Before(at) {
			at = t
		}
	}
	consider(c.began.Add(c.cfg.Notice))
	consider(c.began.Add(c.cfg.Limit))
	if !c.idle.IsZero() {
		consider(c.idle.Add(TidyLimit))
	}
	if c.phase == phaseCutting {
		consider(c.cutAt.Add(CutWait))
	}
	c.emit(WakeAt{At: at})
}
