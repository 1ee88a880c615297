package placer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/figtrack/figtrack/granter"
	"github.com/figtrack/figtrack/identifier"
)

// Request is a request to be placed.
type Request struct {
	Prompt   identifier.Tokens
	Prefix   []identifier.Block
	Excluded []identifier.Upstream
	// Pieces is the decode memory that the request needs.
	Pieces identifier.Pieces
	// PerToken is the target for the time per token; zero means none.
	PerToken time.Duration
}

// Prefill is a candidate engine for the prefill.
type Prefill struct {
	granter.Engine
	// Wait is the time until the engine could start the prefill, after all work
	// already assigned to it.
	Wait time.Duration
	// Ready is true if the engine will be idle when an order sent now arrives.
	Ready bool
}

// Choice is the prefill engine chosen by Prefill.
type Choice struct {
	// Index is the position in the candidates, or -1 if none is usable.
	Index int
	// Cost is the predicted time of the prefill itself.
	Cost time.Duration
	// Expected is the predicted length of the cached prefix.
	Expected identifier.Tokens
	// Total is the sum of the candidate's Wait and Cost.
	Total time.Duration
}

// Prefill returns the candidate with the shortest time to the end of the
// prefill. A cache hit counts only by the prefill time that it saves, so a long
// queue can outweigh it.
func (c *Core) Prefill(now time.Time, r Request, candidates []Prefill) Choice {
	best := Choice{Index: -1, Total: math.MaxInt64}
	c.candidates = c.candidates[:0]
	for i, p := range candidates {
		if slices.Contains(r.Excluded, p.ID) {
			continue
		}
		hit := min(c.Hit(now, p.ID, r.Prefix), r.Prompt)
		cost := c.CostOn(p.ID, r.Prompt-hit)
		total := p.Wait + cost
		c.candidates = append(c.candidates, ScoredEngine{p.ID, total})
		if total < best.Total {
			best = Choice{Index: i, Cost: cost, Expected: hit, Total: total}
		}
	}
	return best
}

// ScoredEngine is a candidate of the last call of Prefill with its score.
type ScoredEngine struct {
	Upstream identifier.Upstream
	// Total is the time to the end of the prefill.
	Total time.Duration
}

// LastScores returns the candidates of the last call of Prefill, best first. The
// result is valid until the next call.
func (c *Core) LastScores() []ScoredEngine {
	slices.SortStableFunc(c.candidates, func(a, b ScoredEngine) int { return cmp.Compare(a.Total, b.Total) })
	return c.candidates
}

// Decode is a candidate engine for the decode.
type Decode struct {
	granter.Engine
	// Pace is the predicted time per token with one more stream.
	Pace time.Duration
	// Transfer is the predicted transfer time without queueing.
	Transfer time.Duration
}

// Decode returns the index of the best candidate and its predicted time from
// the end of the prefill to the first token, without message delays. The score
// adds to that time the pace of the first tokens and a cost for uneven use of
// memory and streams. It returns -1 if no candidate that passes room meets the
// targets for the time per token.
func (c *Core) Decode(r Request, prefillEnds time.Time, candidates []Decode, room func(*Decode) bool) (int, time.Duration) {
	best, shortest := -1, time.Duration(math.MaxInt64)
	for i := range candidates {
		d := &candidates[i]
		if d.Paused || !room(d) || slices.Contains(r.Excluded, d.ID) {
			continue
		}
		if d.exceedsPace(r.PerToken) {
			continue
		}
		total := d.transferDelay(prefillEnds) + paceWeightTokens*d.Pace + d.imbalanceCost(r.Pieces)
		if total < shortest {
			best, shortest = i, total
		}
	}
	if best < 0 {
		return -1, 0
	}
	return best, candidates[best].transferDelay(prefillEnds) + candidates[best].Pace*3/2
}

// transferDelay returns the time to wait for the link plus the transfer time.
func (d *Decode) transferDelay(prefillEnds time.Time) time.Duration {
	return max(0, d.LinkFree.Sub(prefillEnds)) + d.Transfer
}

// imbalanceCost returns a penalty for an engine whose free memory and free
// streams would get out of proportion: neither can be used without the other.
func (d *Decode) imbalanceCost(n identifier.Pieces) time.Duration {
	streams := d.Streams + d.FreeStreams
	if d.Pieces <= 0 || streams <= 0 {
		return 0
	}
	memory := float64(d.Free-n) / float64(d.Pieces)
	room := float64(d.FreeStreams-1) / float64(streams)
	return time.Duration(math.Abs(memory-room) * float64(maxImbalanceCost))
}

// maxImbalanceCost is the penalty for an engine with all of one resource free
// and nothing of the other.
const maxImbalanceCost = 200 * time.Millisecond

// exceedsPace reports whether one more stream would break a target for the time
// per token. It is never true for an empty engine: its learned pace may be
// outdated, and only a new stream can update it.
func (d *Decode) exceedsPace(target time.Duration) bool {
	return d.Streams > 0 && d.Pace > strictest(target, d.StrictestPace)
}

// paceWeightTokens is the number of tokens whose predicted time enters the
// score of an engine.
const paceWeightTokens = 8

func strictest(a, b time.Duration) time.Duration {
	if a <= 0 {
		return b
	}
	return min(a, b)
}
