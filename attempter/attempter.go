// Package attempter decides the steps of one request: which runner it is sent
// to, what memory is reserved for it, when it is sent again and when it fails.
//
// Prompts are long and answers stream for seconds, so a surge exhausts the
// memory of decode engines while prefill engines still have capacity. Memory
// is therefore reserved before the prefill: a prefill whose answer finds no
// room is wasted and delays other requests.
package attempter

import (
	"fmt"
	"time"

	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/isolator"
	"github.com/figtrack/figtrack/shedder"
	"github.com/figtrack/figtrack/tracker"
)

// Limits of one request.
const (
	// MaxSends is the most runners to which a request is sent, counting those
	// that refuse it; each further send delays the refusal.
	MaxSends = 3
	// MaxProbeWait is how long a request with a blocked trait waits to become a probe, which
	// takes a write of the store; ProbePause is the pause between two looks.
	MaxProbeWait = time.Second
	ProbePause   = 50 * time.Millisecond
	// MaxPrefills is the most prefill engines that are tried.
	MaxPrefills = 2
	// HoldTTL is the lifetime of a hold, the longest that engines allow.
	HoldTTL = 2 * time.Second
	// Slack is the free memory, in tokens, that a decode engine should have
	// beyond the need of a request: the requests that run there still grow,
	// and one that finds no room is preempted and its prefill is repeated.
	// Slack only decides between engines and never refuses a request. It is
	// required only during the first half of the wait for memory.
	Slack identifier.Tokens = 3000
	// ResumeWait is how long a stream of which the caller already has a part
	// waits for memory: a late stream is better than a broken one, and callers
	// tolerate a pause of four seconds.
	ResumeWait = 2 * time.Second
	// ReservePause is the pause between two attempts to reserve memory.
	ReservePause = 25 * time.Millisecond
	// WaitDivisor divides the target: a request that has no memory after
	// Target/WaitDivisor is refused, as it could hardly be answered on time any
	// more.
	WaitDivisor = 8
	// PrefillTimeout is the timeout of a prefill call, which includes the time
	// in the engine's queue.
	PrefillTimeout = time.Second
	// HeadTimeoutShare is the fraction of the target after which a repeatable
	// call without an answer goes to another runner.
	HeadTimeoutShare = 0.7
	// MinHeadTimeout is the lower bound of that time, for routes with a tight
	// target.
	MinHeadTimeout = 100 * time.Millisecond
	// OverdueInterval is the time after which a call that could not go to another
	// runner tries again to do so.
	OverdueInterval = 100 * time.Millisecond
)

// Settings are the parameters that replays vary to compare policies.
type Settings struct {
	// WaitDivisor divides the target: a request that has no memory after
	// Target/WaitDivisor is refused.
	WaitDivisor int
	// Slack is the free memory that a decode engine should have beyond the
	// need of a request.
	Slack identifier.Tokens
}

// DefaultSettings returns the settings that VMs use.
func DefaultSettings() Settings { return Settings{WaitDivisor: WaitDivisor, Slack: Slack} }

// Job describes a request as it is known at its arrival.
type Job struct {
	Request identifier.Request
	Pool    identifier.Pool
	// IsRepeatable is true if the request may run more than once.
	IsRepeatable bool
	// Software is the only version at which the request may run; empty for any.
	Software identifier.Software
	// IsTakenUp is true if the caller has a part of the stream from an earlier answer.
	IsTakenUp bool
	// IsStream is true if the answer is a stream of events.
	IsStream bool
	// NeedsEngine is true if the pool has prefill and decode engines.
	NeedsEngine bool
	// Traits are what the request may have in common with others on which engines
	// crash.
	Traits []isolator.Trait
	// PrefillTraits are the same for engines that crash on its prefill. It runs without
	// one then.
	PrefillTraits []isolator.Trait
	// Input is the declared length of the prompt, Output the length of the
	// answer for which memory is reserved.
	Input, Output identifier.Tokens
	// MaxAttempts is the most runs of the request.
	MaxAttempts int
	// Priority ranks the request among those that wait; lower is more urgent.
	Priority int
	// Target is the time within which the answer, or its first event, is on
	// time.
	Target time.Duration
	// Arrived is when the header of the request was read.
	Arrived time.Time
	// Deadline is when the request expires.
	Deadline time.Time
}

// Fleet chooses runners and keeps the retry budget. Implementations answer
// from memory, without a call. The methods that choose a runner return false
// if none is usable; they skip the runners in without.
type Fleet interface {
	// ChoosePlain chooses a plain service.
	ChoosePlain(now time.Time, pool identifier.Pool, from tracker.Choice) (tracker.Runner, bool)
	// ChoosePrefill chooses a prefill engine, preferably in the data centre near.
	ChoosePrefill(now time.Time, pool identifier.Pool, near identifier.DataCentre, without tracker.Without) (tracker.Runner, bool)
	// ChooseDecode chooses a decode engine that may have room for tokens.
	ChooseDecode(now time.Time, pool identifier.Pool, tokens identifier.Tokens, from tracker.Choice) (tracker.Runner, bool)
	// Serves reports whether the pool has a runner of a version that takes new work and
	// answers requests.
	Serves(pool identifier.Pool, software identifier.Software) bool
	// TryCharge charges one extra send to the retry budget and reports whether
	// the budget allowed it.
	TryCharge(now time.Time, pool identifier.Pool) bool
	// Charge charges an extra send that has already happened, even if the
	// budget is used up.
	Charge(now time.Time, pool identifier.Pool)
	// BlockedFor returns for how long requests with one of the traits are refused;
	// zero if they aren't.
	BlockedFor(now time.Time, traits []isolator.Trait) time.Duration
	// TakeProbe asks to let a request through some of whose traits are blocked. It may be sent
	// to one engine then, else ReturnProbe gives the probe back.
	TakeProbe(now time.Time, traits []isolator.Trait) isolator.Admission
	ReturnProbe(traits []isolator.Trait)
	// RefusesNew reports whether a runner has left or leaves, or asked for a pause that isn't over.
	RefusesNew(now time.Time, r tracker.Runner) bool
	// TakeSend reports whether a request may be sent to a runner by the rate that the
	// runner takes. It has to be sent then, or given back by ReturnSend. The methods that
	// choose a runner do the same.
	TakeSend(now time.Time, r tracker.Runner) bool
	ReturnSend(now time.Time, r tracker.Runner)
	// RateLeft returns the time until a request may be sent to one of the pool's runners
	// by their rates; zero unless all that aren't paused name one.
	RateLeft(now time.Time, pool identifier.Pool) time.Duration
	// PauseLeft returns the time until one of the pool's runners may be used again;
	// zero unless all of them asked for a pause.
	PauseLeft(now time.Time, pool identifier.Pool) time.Duration
	// RetryAfter estimates how long it takes until the pool has room again for a caller
	// that has some time left.
	RetryAfter(now time.Time, pool identifier.Pool, left time.Duration) time.Duration
	// UpdateWaiting calls update with the core that orders the waiting requests of a pool.
	UpdateWaiting(now time.Time, pool identifier.Pool, update func(c *shedder.Core))
}

// phase is the call or pause whose event the core expects next.
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

// Core is the state of one request. Only Step changes it.
type Core struct {
	cfg   Settings
	job   Job
	fleet Fleet
	phase phase
	// runs counts the sends that may have run; at most job.MaxAttempts.
	runs int
	// sends counts all sends of the request, including those that were
	// refused.
	sends int
	// prefills counts the prefill calls.
	prefills int
	// isCharged is true if the retry budget was already charged for the next
	// send, isTaken if that send was taken from the rate of the chosen runner.
	isCharged, isTaken bool
	// hasFailed is true if a runner answered with a server error.
	hasFailed bool
	// mayHaveRun is true if some run of the request may have taken effect.
	mayHaveRun bool
	// runner is the runner of the current run, or the one that keeps a hold
	// for it.
	runner tracker.Runner
	// hold is empty while no memory is reserved.
	hold Hold
	// source is nil if no prefill engine keeps a KV cache for the request.
	source *Source
	// prefillRunner is the engine of the last prefill call.
	prefillRunner tracker.Runner
	// software is the version of the runner whose events the caller has, or at which the
	// stream has to begin; empty for any. Only runners of that version may run it.
	software identifier.Software
	// excluded holds the runners that are not tried again.
	excluded tracker.Without
	// excludedPrefills holds the prefill engines that are not tried again.
	excludedPrefills tracker.Without
	// reserveTries counts the attempts to reserve memory for the current run.
	reserveTries int
	// slack is the free memory that is required beyond the need of the
	// request; zero once no engine had that much or half of the wait has
	// passed. isShrunk is true once the excess was given back.
	slack    identifier.Tokens
	isShrunk bool
	// waitUntil is when a request without memory is refused.
	waitUntil time.Time
	// probe is what the request does while its traits are blocked. probeUntil is when it stops
	// waiting for a probe to be claimed; zero before it waits.
	probe      isolator.Admission
	probeUntil time.Time
	// lastEvent is the id of the last event that the caller has; empty if it
	// has none. headSent is true if the caller has the head of an answer.
	lastEvent string
	headSent  bool
	outcomes  []Outcome
}

// New returns the core of a request that has just arrived.
func New(cfg Settings, job Job, fleet Fleet) *Core {
	c := &Core{
		cfg:              cfg,
		job:              job,
		fleet:            fleet,
		excluded:         tracker.Without{},
		excludedPrefills: tracker.Without{},
		slack:            cfg.Slack,
		software:         job.Software,
	}
	c.waitUntil = job.Arrived.Add(c.memoryWait())
	if job.IsTakenUp {
		c.waitUntil = job.Arrived.Add(ResumeWait)
	}
	return c
}

// waitsToResume reports whether the caller has a part of the stream. The fleet then offers an
// engine that was silent again within ResumeWait.
func (c *Core) waitsToResume() bool { return c.headSent || c.job.IsTakenUp }

// memoryWait returns how long a request waits for memory.
func (c *Core) memoryWait() time.Duration { return c.job.Target / time.Duration(c.cfg.WaitDivisor) }

// Runs returns the number of sends that may have run.
func (c *Core) Runs() int { return c.runs }

// Step handles one event and returns the outcomes to perform, in order. The
// last outcome leads to the next event or ends the request.
func (c *Core) Step(now time.Time, e Event) []Outcome {
	c.outcomes = nil
	if c.phase == phaseEnded {
		return nil
	}
	switch e := e.(type) {
	case Begin, Rested:
		c.chooseRunner(now)
	case Reserved:
		c.handleReserved(now, e.Hold)
	case Prefilled:
		c.source = &Source{c.prefillRunner, e.Handle}
		c.run(now)
	case Failed:
		c.handleFailed(now, e)
	case Answered:
		c.hold, c.source = "", nil
		c.handleAnswered(now, e)
	case Unmarked:
		c.hold, c.source = "", nil
		c.handleUnmarked(now)
	case Overdue:
		c.handleOverdue(now)
	case Broken:
		c.handleBroken(now, e)
	case Expired:
		c.handleExpired(e)
	case Abandoned:
		c.releaseAll()
		c.phase = phaseEnded
	default:
		panic(fmt.Sprintf("attempter: unknown event %T", e))
	}
	if c.phase == phaseEnded {
		c.returnSend(now)
		c.returnProbe()
	}
	return c.outcomes
}

// choice returns which runners may be chosen for the next run.
func (c *Core) choice() tracker.Choice {
	return tracker.Choice{Without: c.excluded, Software: c.software}
}

func (c *Core) emit(o Outcome) { c.outcomes = append(c.outcomes, o) }

func (c *Core) end(o Outcome) {
	c.releaseAll()
	c.phase = phaseEnded
	c.emit(o)
}

// returnSend gives back a send that was taken and isn't made.
func (c *Core) returnSend(now time.Time) {
	if c.isTaken {
		c.fleet.ReturnSend(now, c.runner)
	}
	c.isTaken = false
}

// releaseAll releases the hold and the KV cache that are kept for the request.
func (c *Core) releaseAll() {
	if c.hold != "" {
		c.emit(Release{c.runner, c.hold})
	}
	if c.source != nil {
		c.emit(Discard{*c.source})
	}
	c.hold, c.source = "", nil
}

func (c *Core) handleFailed(now time.Time, e Failed) {
	switch c.phase {
	case phaseReserving:
		c.isShrunk = false
		c.returnSend(now)
		if e.Kind != driver.KindFull && !c.waitsToResume() {
			c.excluded[c.runner.ID] = true
		}
		c.reserve(now)
	case phasePrefilling:
		if e.Kind != driver.KindNotRun && e.Kind != driver.KindUnknown {
			// A prefill call that was not run, or may have been, is not charged
			// here.
			c.fleet.Charge(now, c.job.Pool)
		}
		c.excludedPrefills[c.prefillRunner.ID] = true
		c.prefill(now)
	case phaseRunning:
		c.handleRunFailed(now, e)
	}
}

// handleRunFailed handles a run that failed before any part of its answer
// arrived.
func (c *Core) handleRunFailed(now time.Time, e Failed) {
	if e.Kind == driver.KindUnknown {
		c.mayHaveRun = true
		// The engine may have acted, so the hold and the KV cache may be in use.
		// They are forgotten without being released.
		c.hold, c.source = "", nil
		c.excluded[c.runner.ID] = true
		c.runAgain(now, ReasonLost)
		return
	}
	c.runs--
	if c.source != nil && e.Kind != driver.KindLeaving && c.sends < MaxSends {
		// The KV cache was gone or could not be fetched: the decode engine
		// can still compute the prefill itself.
		c.hold, c.source = "", nil
		c.run(now)
		return
	}
	c.releaseAll()
	c.excluded[c.runner.ID] = true
	if c.sends >= MaxSends {
		c.giveUp(now, ReasonBusy)
		return
	}
	c.chooseRunner(now)
}

func (c *Core) handleAnswered(now time.Time, e Answered) {
	const firstServerError = 500
	if e.Status >= firstServerError && c.repeatFailed(now) {
		return
	}
	c.phase = phaseDelivering
	if !c.job.NeedsEngine {
		c.recordGranted(now)
	}
	c.emit(Deliver{})
}

// handleUnmarked handles an answer whose status is a promise that only the runner could
// make. The request may have run, so the caller gets a failure that promises nothing.
func (c *Core) handleUnmarked(now time.Time) {
	if !c.repeatFailed(now) {
		c.mayHaveRun = true
		c.giveUp(now, ReasonUnmarked)
	}
}

// repeatFailed runs a repeatable request once more after a runner answered it with a
// failure. It reports whether it did, or ended the request as it couldn't.
func (c *Core) repeatFailed(now time.Time) bool {
	if !c.job.IsRepeatable || !c.chargeRetry(now) {
		return false
	}
	c.mayHaveRun = true
	c.excluded[c.runner.ID] = true
	c.chooseRunner(now)
	return true
}

// chargeRetry reports whether another run is allowed, has a runner and has
// time left. It charges the retry budget for that run; if the budget is used
// up, the failed answer is passed on.
func (c *Core) chargeRetry(now time.Time) bool {
	if c.runs >= c.job.MaxAttempts || !now.Before(c.job.Deadline) {
		return false
	}
	c.hasFailed = true
	c.excluded[c.runner.ID] = true
	var next tracker.Runner
	var ok bool
	if c.job.NeedsEngine {
		next, ok = c.fleet.ChooseDecode(now, c.job.Pool, c.tokensNeeded(), c.check())
	} else {
		next, ok = c.choosePlain(now)
	}
	if ok {
		c.fleet.ReturnSend(now, next) // It is chosen again, or another one.
	}
	c.isCharged = ok && (c.isCharged || c.fleet.TryCharge(now, c.job.Pool))
	return c.isCharged
}

func (c *Core) handleBroken(now time.Time, e Broken) {
	c.mayHaveRun = true
	c.lastEvent, c.headSent = e.LastEvent, e.Begun
	if e.Begun && c.job.IsStream {
		c.software = c.runner.Software
	}
	if e.Begun && !c.job.IsStream {
		c.end(Break{ReasonLost})
		return
	}
	c.hold, c.source = "", nil
	c.excluded[c.runner.ID] = true
	c.runAgain(now, ReasonLost)
}

// runAgain runs a repeatable request once more after its answer was lost.
func (c *Core) runAgain(now time.Time, reason Reason) {
	switch {
	case !c.job.IsRepeatable:
		c.giveUp(now, reason)
	case c.runs >= c.job.MaxAttempts:
		c.giveUp(now, ReasonAttempts)
	default:
		c.waitUntil = now.Add(c.memoryWait())
		if c.headSent {
			c.waitUntil = now.Add(ResumeWait)
		}
		c.prefills, c.reserveTries, c.isShrunk = min(c.prefills, 1), 0, false
		c.chooseRunner(now)
	}
}

// giveUp ends the request. The outcome depends on whether the caller has a
// part of an answer and whether the request may have run.
func (c *Core) giveUp(now time.Time, reason Reason) {
	switch {
	case c.headSent:
		c.end(Break{reason})
	case c.mayHaveRun:
		c.end(Fail{Reason: reason})
	case reason == ReasonSoftware && c.job.IsTakenUp:
		c.end(Refuse{Reason: reason}) // The stream can't go on later either.
	default:
		c.recordRefused(now, reason)
		c.end(Refuse{reason, c.retryAfter(now)})
	}
}

// endBlocked ends a request on whose traits engines crash, and reports whether it
// did. Nothing may be sent to an engine then.
func (c *Core) endBlocked(now time.Time) bool {
	if c.probe == isolator.Probing {
		return false
	}
	blockedFor := c.fleet.BlockedFor(now, c.job.Traits)
	if blockedFor <= 0 {
		return false
	}
	if c.headSent || c.mayHaveRun {
		c.giveUp(now, ReasonBlocked)
	} else {
		c.end(Refuse{ReasonBlocked, blockedFor})
	}
	return true
}

// retryAfter returns the time after which a refused caller may try again; at
// most a third of the time that the caller still waits.
func (c *Core) retryAfter(now time.Time) time.Duration {
	left := c.job.Deadline.Sub(now)
	return max(0, min(c.fleet.RetryAfter(now, c.job.Pool, left), left/3))
}

func (c *Core) handleExpired(e Expired) {
	switch {
	case e.Begun:
		c.end(Break{ReasonTimeout})
	case c.mayHaveRun || c.phase == phaseRunning || c.phase == phaseDelivering:
		c.end(Fail{Reason: ReasonTimeout, Late: true})
	default:
		c.end(Refuse{Reason: ReasonTimeout})
	}
}
