package granter

import (
	"math"
	"slices"
	"time"

	"github.com/figtrack/figtrack/estimator"
	"github.com/figtrack/figtrack/identifier"
)

// engine is the ledger of one engine. The fields for queues apply to prefill
// engines, those for memory, streams and the link to decode engines.
type engine struct {
	id         identifier.Upstream
	dataCentre identifier.DataCentre
	role       identifier.Role
	// pieces and streams are the engine's capacity.
	pieces  identifier.Pieces
	streams int
	// open is true if the engine takes new work, alive if work on it goes on.
	open, alive bool

	// queue holds the grants with a pending prefill here, in order of arrival.
	queue []*Grant
	// grants are the attempts that have decode memory here, oldest first.
	grants []*Grant
	// reserved is the sum of the pieces of grants. It may exceed pieces: by
	// promised memory, by the grants of adopted attempts, which are booked without
	// a check, and after a change of the engine's capacity.
	reserved identifier.Pieces
	// strictestPace is the lowest pace target among grants.
	strictestPace time.Duration
	// usedByOthers is the memory that the engine reports as used beyond the ledger.
	usedByOthers identifier.Pieces
	// linkFree is when the last booked transfer is predicted to end.
	linkFree time.Time
	// stalls counts the stalled transfers since the last successful one.
	stalls int
	// avoidUntil is when the link may be used again after a stall.
	avoidUntil time.Time
	// running counts the streams in StageDecode.
	running int
	// pace is the learned pace by batch size, in seconds.
	pace *estimator.Line
	// streamSeconds is the integral of running over time up to
	// streamSecondsUntil. Its growth during a stream, divided by the stream's
	// duration, is the mean batch size.
	streamSeconds      float64
	streamSecondsUntil time.Time
	drift              driftDetector
}

// updateStreamSeconds brings streamSeconds up to date. It must be called before
// each change of running.
func (e *engine) updateStreamSeconds(now time.Time) {
	if now.After(e.streamSecondsUntil) {
		e.streamSeconds += float64(e.running) * now.Sub(e.streamSecondsUntil).Seconds()
		e.streamSecondsUntil = now
	}
}

// free returns the pieces that are neither reserved nor used by others.
func (e *engine) free() identifier.Pieces {
	return e.pieces - e.reserved - e.usedByOthers
}

// reserve reserves the decode memory of a grant.
func (e *engine) reserve(g *Grant, now time.Time) {
	g.decode = e
	e.grants = append(e.grants, g)
	e.reserved += g.Pieces
	e.strictestPace = min(e.strictestPace, g.paceTarget())
	e.drift.record(now, e.expectedUse())
}

// release frees the decode memory and the stream of a grant.
func (e *engine) release(g *Grant, now time.Time) {
	i := slices.Index(e.grants, g)
	if i < 0 {
		panic("granter: grant is not on its decode engine")
	}
	e.grants = slices.Delete(e.grants, i, i+1)
	e.reserved -= g.Pieces
	if g.paceTarget() == e.strictestPace {
		e.updateStrictestPace()
	}
	if g.Stage == StageDecode {
		e.updateStreamSeconds(now)
		e.running--
	}
	g.decode = nil
	e.drift.record(now, e.expectedUse())
}

func (e *engine) updateStrictestPace() {
	e.strictestPace = noPaceTarget
	for _, g := range e.grants {
		e.strictestPace = min(e.strictestPace, g.paceTarget())
	}
}

// noPaceTarget stands for a class without a pace target.
const noPaceTarget time.Duration = math.MaxInt64

// paceTarget returns the class's target for the time per output token.
func (g *Grant) paceTarget() time.Duration {
	if g.PerToken <= 0 {
		return noPaceTarget
	}
	return g.PerToken
}

// expectedUse returns the pieces that the engine itself should report as used by
// now: those of grants whose transfer has begun.
func (e *engine) expectedUse() identifier.Pieces {
	var n identifier.Pieces
	for _, g := range e.grants {
		if g.Stage >= StageTransfer {
			n += g.Pieces
		}
	}
	return n
}

// dequeue removes a grant from the prefill queue. If it was the first, the next
// prefill starts at the given time unless it has started before.
func (e *engine) dequeue(g *Grant, at time.Time) {
	i := slices.Index(e.queue, g)
	if i < 0 {
		return
	}
	e.queue = slices.Delete(e.queue, i, i+1)
	if i == 0 && len(e.queue) > 0 && e.queue[0].Started.After(at) {
		e.queue[0].Started = at
	}
	e.updateStarts()
}

// updateStarts recomputes the predicted starts of the prefills behind the first.
func (e *engine) updateStarts() {
	for i := 1; i < len(e.queue); i++ {
		e.queue[i].Started = e.queue[i-1].Started.Add(e.queue[i-1].Cost)
	}
}

// overdueGrace is how long after the predicted end of a prefill its report may
// arrive before the engine counts as slow.
const overdueGrace = 25 * time.Millisecond

// idleAt returns when the prefill engine is predicted to have an empty queue.
// The longer its first prefill is overdue, the longer the rest of that prefill
// is expected to take.
func (e *engine) idleAt(now time.Time) time.Time {
	if len(e.queue) == 0 {
		return now
	}
	first, last := e.queue[0], e.queue[len(e.queue)-1]
	ends := last.Started.Add(last.Cost)
	if over := now.Sub(first.Started.Add(first.Cost)); over > 0 {
		ends = ends.Add(over + max(0, over-overdueGrace))
	}
	if ends.Before(now) {
		return now
	}
	return ends
}
