// Package attempter decides the steps of one request: where it is sent, what
// is kept for it, when it is sent again and when it is given up.
//
// Load pattern: prompts are long and answers stream for seconds, so that a
// surge exhausts the memory of decode engines while prefill engines have time
// to spare. Memory is therefore reserved before the prompt is read: a prefill
// without room for its answer is waste that holds up others.
package attempter

import (
	"fmt"
	"time"

	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/tracker"
)

// Limits of one request.
const (
	// MaxSends is the most runners to which a request is sent, counting those
	// that refuse it; each further one delays the refusal.
	MaxSends = 3
	// MaxPrefills is the most prefill engines that are tried.
	MaxPrefills = 2
	// HoldFor is how long memory is reserved, the longest that engines allow.
	HoldFor = 2 * time.Second
	// Slack is the free memory, in tokens, that an engine should have beyond a
	// request: those that run there still grow, and one that finds no room is
	// preempted and read again. It decides between engines, not on refusals, and
	// is looked for in the first half of the wait.
	Slack identifier.Tokens = 3000
	// ResumeWait is how long a stream that the caller has a part of waits for
	// memory: late is better than broken, and callers bear a pause of four
	// seconds.
	ResumeWait = 2 * time.Second
	// RestFor is the pause between two tries to reserve memory.
	RestFor = 25 * time.Millisecond
	// WaitShare is the part of the target after which a request without
	// memory is refused, as it could hardly be on time any more.
	WaitShare = 8
	// PrefillLimit is how long a prefill engine may take, its queue included.
	PrefillLimit = time.Second
	// SilenceShare is the part of the target after which a repeatable call
	// goes to another runner.
	SilenceShare = 0.7
	// MinSilence bounds the same for tight targets.
	MinSilence = 100 * time.Millisecond
)

// Settings are the choices between which replays compare.
type Settings struct {
	// WaitShare is the part of the target after which a request without memory
	// is refused.
	WaitShare int
	// Slack is the free memory that an engine should have beyond a request.
	Slack identifier.Tokens
}

// DefaultSettings returns what VMs run with.
func DefaultSettings() Settings { return Settings{WaitShare: WaitShare, Slack: Slack} }

// Job is what is known of a request when it arrives.
type Job struct {
	Request identifier.Request
	Pool    identifier.Pool
	// Repeatable says that the request may run more than once.
	Repeatable bool
	// IsStream says that the answer is a series of events.
	IsStream bool
	// NeedsEngine says that the pool has prefill and decode engines.
	NeedsEngine bool
	// Input and Output are the declared tokens.
	Input, Output identifier.Tokens
	MaxAttempts   int
	Target        time.Duration
	// Arrived is when the request was read.
	Arrived time.Time
	// Deadline is when its time is up.
	Deadline time.Time
}

// Fleet is what the decisions need to know of upstreams. Implementations
// answer from memory.
type Fleet interface {
	Plain(now time.Time, pool identifier.Pool, without tracker.Without) (tracker.Runner, bool)
	Prefill(now time.Time, pool identifier.Pool, near identifier.DataCentre, without tracker.Without) (tracker.Runner, bool)
	Decode(now time.Time, pool identifier.Pool, tokens identifier.Tokens, without tracker.Without) (tracker.Runner, bool)
	// Spend takes one extra send from the retry budget, if it allows one.
	Spend(now time.Time, pool identifier.Pool) bool
	// Count takes an extra send that could not be foreseen.
	Count(now time.Time, pool identifier.Pool)
	// RetryAfter estimates when a pool has room again.
	RetryAfter(now time.Time, pool identifier.Pool) time.Duration
}

type phase int

const (
	phaseIdle phase = iota
	phaseReserving
	phasePrefilling
	phaseRunning
	phaseResting
	phaseDelivering
	phaseEnded
)

// Core is the state of one request. It is advanced only by Step.
type Core struct {
	cfg   Settings
	job   Job
	fleet Fleet
	phase phase
	// runs counts the sends that may have run; at most job.MaxAttempts.
	runs int
	// sends counts all sends of the request, with those that were refused.
	sends int
	// prefills counts the prefill calls.
	prefills int
	// isPaid says that the budget for the next send is spent already.
	isPaid bool
	// hasFailed says that a runner's answer was a failure.
	hasFailed bool
	// mayHaveRun says that a run's end is unknown.
	mayHaveRun bool
	// to is the runner of the run, or the one that keeps memory for it.
	to tracker.Runner
	// hold is empty while nothing is reserved.
	hold Hold
	// source is nil without a KV cache.
	source *Source
	// reading is the prefill engine in use.
	reading tracker.Runner
	// without holds the runners that are not to be tried again.
	without tracker.Without
	// unread holds the prefill engines that are not to be tried again.
	unread tracker.Without
	// reserves counts the tries to reserve memory for the present run.
	reserves int
	// slack is the room beyond its need that a request looks for first; zero
	// once no engine had as much. isShrunk says that it was given back.
	slack    identifier.Tokens
	isShrunk bool
	// waitUntil is when a request without memory is refused.
	waitUntil time.Time
	// after and begun say what the caller has of an answer.
	after string
	begun bool
	out   []Outcome
}

// New returns the core of a request that has just arrived.
func New(cfg Settings, job Job, fleet Fleet) *Core {
	c := &Core{
		cfg:     cfg,
		job:     job,
		fleet:   fleet,
		without: tracker.Without{},
		unread:  tracker.Without{},
		slack:   cfg.Slack,
	}
	c.waitUntil = job.Arrived.Add(c.wait())
	return c
}

// wait is how long a request without memory waits.
func (c *Core) wait() time.Duration { return c.job.Target / time.Duration(c.cfg.WaitShare) }

// Runs returns how many sends may have run.
func (c *Core) Runs() int { return c.runs }

// Step takes in one event and returns what is to be done, in order. The last
// outcome answers with the next event or ends the request.
func (c *Core) Step(now time.Time, e Event) []Outcome {
	c.out = nil
	if c.phase == phaseEnded {
		return nil
	}
	switch e := e.(type) {
	case Begin, Rested:
		c.place(now)
	case Reserved:
		c.reserved(now, e.Hold)
	case Prefilled:
		c.source = &Source{c.reading, e.Handle}
		c.run(now)
	case Failed:
		c.failed(now, e)
	case Answered:
		c.hold, c.source = "", nil
		c.answered(now, e)
	case Broken:
		c.broken(now, e)
	case Expired:
		c.expired(e)
	case Abandoned:
		c.tidy()
		c.phase = phaseEnded
	default:
		panic(fmt.Sprintf("attempter: event %T", e))
	}
	return c.out
}

func (c *Core) emit(o Outcome) { c.out = append(c.out, o) }

func (c *Core) end(o Outcome) {
	c.tidy()
	c.phase = phaseEnded
	c.emit(o)
}

// tidy gives back what is kept for the request.
func (c *Core) tidy() {
	if c.hold != "" {
		c.emit(Release{c.to, c.hold})
	}
	if c.source != nil {
		c.emit(Discard{*c.source})
	}
	c.hold, c.source = "", nil
}

func (c *Core) failed(now time.Time, e Failed) {
	switch c.phase {
	case phaseReserving:
		c.isShrunk = false
		if e.Kind != driver.KindFull {
			c.without[c.to.ID] = true
		}
		c.reserve(now)
	case phasePrefilling:
		if e.Kind != driver.KindNotRun && e.Kind != driver.KindUnknown {
			// Only a call that is accepted is free of the budget.
			c.fleet.Count(now, c.job.Pool)
		}
		c.unread[c.reading.ID] = true
		c.read(now)
	case phaseRunning:
		c.runFailed(now, e)
	}
}

// runFailed handles a run without any part of an answer.
func (c *Core) runFailed(now time.Time, e Failed) {
	if e.Kind == driver.KindUnknown {
		c.mayHaveRun = true
		c.hold, c.source = "", nil
		c.without[c.to.ID] = true
		c.again(now, ReasonLost)
		return
	}
	c.runs--
	if c.source != nil && e.Kind != driver.KindLeaving && c.sends < MaxSends {
		// The KV cache was gone or could not be fetched: the decode engine
		// can still read the prompt.
		c.hold, c.source = "", nil
		c.run(now)
		return
	}
	c.tidy()
	c.without[c.to.ID] = true
	if c.sends >= MaxSends {
		c.giveUp(now, ReasonBusy)
		return
	}
	c.place(now)
}

func (c *Core) answered(now time.Time, e Answered) {
	const firstServerError = 500
	if e.Status < firstServerError || !c.job.Repeatable || !c.canRunAgain(now) {
		c.phase = phaseDelivering
		c.emit(Deliver{})
		return
	}
	c.mayHaveRun = true
	c.without[c.to.ID] = true
	c.place(now)
}

// canRunAgain says that another run is allowed, has a runner and time left. It
// spends the budget for it, so that a failure is passed on where it is empty.
func (c *Core) canRunAgain(now time.Time) bool {
	if c.runs >= c.job.MaxAttempts || !now.Before(c.job.Deadline) {
		return false
	}
	c.hasFailed = true
	c.without[c.to.ID] = true
	var ok bool
	if c.job.NeedsEngine {
		_, ok = c.fleet.Decode(now, c.job.Pool, c.need(), c.without)
	} else {
		_, ok = c.plain(now)
	}
	c.isPaid = ok && c.fleet.Spend(now, c.job.Pool)
	return c.isPaid
}

func (c *Core) broken(now time.Time, e Broken) {
	c.mayHaveRun = true
	c.after, c.begun = e.LastEvent, e.Begun
	if e.Begun && !c.job.IsStream {
		c.end(Break{ReasonLost})
		return
	}
	c.hold, c.source = "", nil
	c.without[c.to.ID] = true
	c.again(now, ReasonLost)
}

// again runs a repeatable request once more after its answer was lost.
func (c *Core) again(now time.Time, reason Reason) {
	switch {
	case !c.job.Repeatable:
		c.giveUp(now, reason)
	case c.runs >= c.job.MaxAttempts:
		c.giveUp(now, ReasonAttempts)
	default:
		c.waitUntil = now.Add(c.wait())
		if c.begun {
			c.waitUntil = now.Add(ResumeWait)
		}
		c.prefills, c.reserves, c.isShrunk = min(c.prefills, 1), 0, false
		c.place(now)
	}
}

// giveUp ends the request with what is true of it.
func (c *Core) giveUp(now time.Time, reason Reason) {
	switch {
	case c.begun:
		c.end(Break{reason})
	case c.mayHaveRun:
		c.end(Fail{Reason: reason})
	default:
		c.end(Refuse{reason, c.comeBack(now)})
	}
}

// comeBack returns when a refused caller may try again.
func (c *Core) comeBack(now time.Time) time.Duration {
	left := c.job.Deadline.Sub(now)
	return max(0, min(c.fleet.RetryAfter(now, c.job.Pool), left/3))
}

func (c *Core) expired(e Expired) {
	switch {
	case e.Begun:
		c.end(Break{ReasonTimeout})
	case c.mayHaveRun || c.phase == phaseRunning || c.phase == phaseDelivering:
		c.end(Fail{Reason: ReasonTimeout, Late: true})
	default:
		c.end(Refuse{Reason: ReasonTimeout})
	}
}
