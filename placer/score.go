package placer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/figtrack/figtrack/granter"
	"github.com/figtrack/figtrack/identifier"
)

// Request is what is placed.
type Request struct {
	Prompt   identifier.Tokens
	Prefix   []identifier.Block
	Excluded []identifier.Upstream
	// Pieces is the decode memory.
	Pieces identifier.Pieces
	// PerToken is the target for the token pace; zero means none.
	PerToken time.Duration
}

// Prefill is one candidate for the prefill.
type Prefill struct {
	granter.Engine
	// Wait is the time until the prefill could start there, with all that is
	// already meant for the engine.
	Wait time.Duration
	// Ready says that an order now finds the engine idle when it arrives.
	Ready bool
}

// Choice is a scored prefill engine.
type Choice struct {
	// Index is the position among the candidates, or -1 if there is none.
	Index int
	// Cost is the predicted time of the prefill itself.
	Cost time.Duration
	// Expected is the believed length of the cached prefix.
	Expected identifier.Tokens
	// Total is wait and cost.
	Total time.Duration
}

// Prefill returns the candidate with the shortest time to the end of the
// prefill. Cached tokens count by the time that they save, so a long queue
// outweighs a cache.
func (c *Core) Prefill(now time.Time, r Request, from []Prefill) Choice {
	best := Choice{Index: -1, Total: math.MaxInt64}
	c.weighed = c.weighed[:0]
	for i, p := range from {
		if slices.Contains(r.Excluded, p.ID) {
			continue
		}
		hit := min(c.Hit(now, p.ID, r.Prefix), r.Prompt)
		cost := c.CostOn(p.ID, r.Prompt-hit)
		total := p.Wait + cost
		c.weighed = append(c.weighed, Weighed{p.ID, total})
		if total < best.Total {
			best = Choice{Index: i, Cost: cost, Expected: hit, Total: total}
		}
	}
	return best
}

// Weighed is a candidate of the last choice of a prefill engine.
type Weighed struct {
	Upstream identifier.Upstream
	// Total is the time to the end of the prefill.
	Total time.Duration
}

// Weighed returns the candidates of the last choice, best first. The result
// is valid until the next choice.
func (c *Core) Weighed() []Weighed {
	slices.SortStableFunc(c.weighed, func(a, b Weighed) int { return cmp.Compare(a.Total, b.Total) })
	return c.weighed
}

// Decode is one candidate for the decode.
type Decode struct {
	granter.Engine
	// Pace is the predicted time of a token with one more stream.
	Pace time.Duration
	// Transfer is the predicted time of the transfer without its queue.
	Transfer time.Duration
}

// Decode returns the index of the candidate with the shortest time from the
// end of the prefill to the first token, and that time without messages. It
// returns -1 if no candidate that has room keeps the token pace.
func (c *Core) Decode(r Request, prefillEnds time.Time, from []Decode, room func(*Decode) bool) (int, time.Duration) {
	best, least := -1, time.Duration(math.MaxInt64)
	for i := range from {
		d := &from[i]
		if d.Paused || !room(d) || slices.Contains(r.Excluded, d.ID) {
			continue
		}
		if d.tooSlow(r.PerToken) {
			continue
		}
		total := d.wait(prefillEnds) + paceWeight*d.Pace + d.unbalance(r.Pieces)
		if total < least {
			best, least = i, total
		}
	}
	if best < 0 {
		return -1, 0
	}
	return best, from[best].wait(prefillEnds) + from[best].Pace*3/2
}

// wait is the time for the link and the transfer.
func (d *Decode) wait(prefillEnds time.Time) time.Duration {
	return max(0, d.LinkFree.Sub(prefillEnds)) + d.Transfer
}

// unbalance is the cost of leaving more of one resource than of the other:
// memory without streams, or streams without memory, serves nobody.
func (d *Decode) unbalance(n identifier.Pieces) time.Duration {
	streams := d.Streams + d.Room
	if d.Pieces <= 0 || streams <= 0 {
		return 0
	}
	memory := float64(d.Free-n) / float64(d.Pieces)
	room := float64(d.Room-1) / float64(streams)
	return time.Duration(math.Abs(memory-room) * float64(unbalanceCost))
}

// unbalanceCost is the cost of an engine that has all of one resource left
// and nothing of the other.
const unbalanceCost = 200 * time.Millisecond

// tooSlow says that one more stream would break a target for the token pace.
// An empty engine is never too slow: its pace may be out of date, and only a
// stream can show it.
func (d *Decode) tooSlow(target time.Duration) bool {
	return d.Streams > 0 && d.Pace > strictest(target, d.Strictest)
}

// paceWeight is the number of tokens by whose pace an engine is judged.
const paceWeight = 8

func strictest(a, b time.Duration) time.Duration {
	if a <= 0 {
		return b
	}
	return min(a, b)
}
