package granter

import (
	"time"

	"github.com/figtrack/figtrack/estimator"
	"github.com/figtrack/figtrack/identifier"
)

// Lengths returns the output lengths of a class.
func (c *Core) Lengths(class identifier.Class) *estimator.Lengths {
	l, ok := c.lengths[class]
	if ok {
		return l
	}
	l = estimator.NewLengths(c.cfg.Output)
	if len(c.lengths) < maxClasses {
		c.lengths[class] = l
	}
	return l
}

// PaceOn returns the predicted time of one token in a batch of n streams on
// an engine.
func (c *Core) PaceOn(id identifier.Upstream, n int) time.Duration {
	e := c.engines[id]
	if e == nil {
		return c.Pace(n)
	}
	return seconds(e.paceAt(float64(n)))
}

// Pace returns the predicted time of one token in a batch of n streams, as a
// mean of all engines.
func (c *Core) Pace(n int) time.Duration {
	return seconds(c.paceAt(float64(n)))
}

// Transfer returns the predicted time of a transfer without its queue.
func (c *Core) Transfer(n identifier.Tokens, from, to identifier.Upstream) time.Duration {
	t := seconds(c.transfer.At(float64(n)))
	p, d := c.engines[from], c.engines[to]
	if p != nil && d != nil && p.dataCentre != d.dataCentre {
		t += c.cfg.CrossDelay
	}
	return t
}

// Deviations returns the errors of the estimates.
func (c *Core) Deviations() Deviations { return c.errs }

// Engine is a reading of the ledger of one engine.
type Engine struct {
	ID         identifier.Upstream
	DataCentre identifier.DataCentre
	// IdleAt is when a prefill engine has nothing left to do.
	IdleAt time.Time
	// Depth counts the commitments of a prefill engine.
	Depth int
	// Free is the memory that is not reserved; negative by promises.
	Free identifier.Pieces
	// Pieces is the whole memory.
	Pieces identifier.Pieces
	// Streams counts the grants of a decode engine; Room is how many more
	// it runs at once.
	Streams, Room int
	// LinkFree is when the last booked transfer ends.
	LinkFree time.Time
	// Paused says that the link stalled and is not to be used now.
	Paused bool
	// Strictest is the lowest target for the token pace among the grants.
	Strictest time.Duration
}

// Engines appends a reading of each open engine of a role, sorted by id.
func (c *Core) Engines(now time.Time, role identifier.Role, to []Engine) []Engine {
	for _, e := range c.order {
		if e.role != role || !e.open {
			continue
		}
		to = append(to, e.read(now))
	}
	return to
}

func (e *engine) read(now time.Time) Engine {
	return Engine{
		ID: e.id, DataCentre: e.dataCentre, IdleAt: e.idleAt(now), Depth: len(e.queue),
		Free: e.free(), Pieces: e.pieces, Streams: len(e.grants), Room: e.streams - len(e.grants),
		LinkFree: e.linkFree, Paused: e.paused(now), Strictest: e.strictest,
	}
}

// paused says that no transfer is to go to an engine whose link stalled. Once
// the pause is over one transfer tries the link.
func (e *engine) paused(now time.Time) bool {
	if now.Before(e.avoidUntil) {
		return true
	}
	return e.stalls > 0 && len(e.grants) > e.running
}

// made estimates the tokens that a stream has by now.
func (c *Core) made(now time.Time, e *engine, g *Grant) float64 {
	return now.Sub(g.decoding).Seconds() / e.paceAt(float64(max(e.running, 1)))
}

// Freed is the memory that running streams are expected to free.
type Freed struct {
	// Pieces is the mean, Variance its variance.
	Pieces, Variance float64
	// Streams is the mean number of streams that end.
	Streams float64
}

// FreedBy predicts what a decode engine frees until a time.
func (c *Core) FreedBy(now, at time.Time, id identifier.Upstream) Freed {
	var f Freed
	e := c.engines[id]
	if e == nil {
		return f
	}
	pace := e.paceAt(float64(max(e.running, 1)))
	for _, g := range e.grants {
		if g.Stage != StageDecode {
			continue
		}
		p := c.endsBy(now, at, pace, g)
		n := float64(g.Pieces)
		f.Pieces += p * n
		f.Variance += p * (1 - p) * n * n
		f.Streams += p
	}
	return f
}

func (c *Core) endsBy(now, at time.Time, pace float64, g *Grant) float64 {
	made := now.Sub(g.decoding).Seconds() / pace
	more := at.Sub(now).Seconds() / pace
	if made+more >= float64(g.MaxOutput) {
		return 1
	}
	return c.Lengths(g.Class).EndsWithin(made, more)
}

// End is a predicted end of one grant's hold on decode memory.
type End struct {
	At     time.Time
	Pieces identifier.Pieces
}

// Ends appends the predicted ends of all holds on decode memory, unsorted.
func (c *Core) Ends(now time.Time, to []End) []End {
	for _, e := range c.order {
		if !e.open {
			continue
		}
		pace := e.paceAt(float64(max(len(e.grants), 1)))
		for _, g := range e.grants {
			to = append(to, End{c.endOf(now, pace, g), g.Pieces})
		}
	}
	return to
}

func (c *Core) endOf(now time.Time, pace float64, g *Grant) time.Time {
	from, made := g.transferEnds, 0.0
	if g.Stage == StageDecode {
		from, made = now, now.Sub(g.decoding).Seconds()/pace
	}
	rest := c.Lengths(g.Class).Rest(made, 0.5)
	rest = min(rest, max(1, float64(g.MaxOutput)-made))
	return from.Add(seconds(rest * pace))
}

// Bound returns the grants whose prefill runs and whose result is to go to a
// decode engine.
func (c *Core) Bound(id identifier.Upstream) []*Grant {
	e := c.engines[id]
	if e == nil {
		return nil
	}
	var bound []*Grant
	for _, g := range e.grants {
		if g.Stage == StagePrefill {
			bound = append(bound, g)
		}
	}
	return bound
}

// Parked counts the live prefill results that wait for decode memory.
func (c *Core) Parked() int {
	n := 0
	for _, g := range c.byAge {
		if g.Stage == StageParked {
			n++
		}
	}
	return n
}

// EachParked calls fn for each parked grant, oldest first, until it returns
// false. Fn must not change the ledger.
func (c *Core) EachParked(fn func(*Grant) bool) {
	for _, g := range c.byAge {
		if g.Stage == StageParked && !fn(g) {
			return
		}
	}
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
