package granter

import (
	"math"
	"slices"
	"time"

	"github.com/figtrack/figtrack/estimator"
	"github.com/figtrack/figtrack/identifier"
)

// engine is the ledger of one engine.
type engine struct {
	id          identifier.Upstream
	dataCentre  identifier.DataCentre
	role        identifier.Role
	pieces      identifier.Pieces
	streams     int
	open, alive bool

	// queue holds the commitments of a prefill engine in order of arrival.
	queue []*Grant
	// grants are the attempts that have decode memory here, oldest first.
	grants []*Grant
	// reserved is the sum of the pieces of grants. It exceeds pieces only by
	// promises.
	reserved identifier.Pieces
	// strictest is the lowest target for the token pace among grants.
	strictest time.Duration
	// foreign is memory that the engine reports beyond the ledger.
	foreign identifier.Pieces
	// linkFree is when the last booked transfer is predicted to end.
	linkFree time.Time
	// stalls and avoidUntil keep new transfers off a stalled link.
	stalls     int
	avoidUntil time.Time
	// running counts the streams in StageDecode; area is its integral over
	// time in stream seconds up to areaAt.
	running int
	// pace is the learned time of a token by batch size, in seconds.
	pace   *estimator.Line
	area   float64
	areaAt time.Time
	drift  drift
}

// advance brings the area up to date.
func (e *engine) advance(now time.Time) {
	if now.After(e.areaAt) {
		e.area += float64(e.running) * now.Sub(e.areaAt).Seconds()
		e.areaAt = now
	}
}

// free returns the pieces that are neither reserved nor held by others.
func (e *engine) free() identifier.Pieces {
	return e.pieces - e.reserved - e.foreign
}

func (e *engine) take(g *Grant, now time.Time) {
	g.decode = e
	e.grants = append(e.grants, g)
	e.reserved += g.Pieces
	e.strictest = min(e.strictest, g.pace())
	e.drift.note(now, e.onEngine())
}

func (e *engine) giveBack(g *Grant, now time.Time) {
	i := slices.Index(e.grants, g)
	if i < 0 {
		panic("granter: grant is not on its decode engine")
	}
	e.grants = slices.Delete(e.grants, i, i+1)
	e.reserved -= g.Pieces
	if g.pace() == e.strictest {
		e.findStrictest()
	}
	if g.Stage == StageDecode {
		e.advance(now)
		e.running--
	}
	g.decode = nil
	e.drift.note(now, e.onEngine())
}

func (e *engine) findStrictest() {
	e.strictest = noTarget
	for _, g := range e.grants {
		e.strictest = min(e.strictest, g.pace())
	}
}

// noTarget stands for a class without a target for the token pace.
const noTarget time.Duration = math.MaxInt64

// pace is the target for the token pace.
func (g *Grant) pace() time.Duration {
	if g.PerToken <= 0 {
		return noTarget
	}
	return g.PerToken
}

// onEngine returns the pieces that the engine itself should hold by now.
func (e *engine) onEngine() identifier.Pieces {
	var n identifier.Pieces
	for _, g := range e.grants {
		if g.Stage >= StageTransfer {
			n += g.Pieces
		}
	}
	return n
}

// unqueue removes a commitment; the next one starts at the given time.
func (e *engine) unqueue(g *Grant, at time.Time) {
	i := slices.Index(e.queue, g)
	if i < 0 {
		return
	}
	e.queue = slices.Delete(e.queue, i, i+1)
	if i == 0 && len(e.queue) > 0 && e.queue[0].Started.After(at) {
		e.queue[0].Started = at
	}
	e.chain()
}

// chain lines up the predicted starts behind the first.
func (e *engine) chain() {
	for i := 1; i < len(e.queue); i++ {
		e.queue[i].Started = e.queue[i-1].Started.Add(e.queue[i-1].Cost)
	}
}

// overdueGrace is how late the report of a prefill's end may be before the
// engine counts as slow.
const overdueGrace = 25 * time.Millisecond

// idleAt returns when the prefill engine is predicted to have nothing left.
// The longer its first prefill is overdue, the longer it is expected to take.
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
