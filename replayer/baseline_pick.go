package replayer

import (
	"slices"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/identifier"
)

// usable returns the upstreams of a role that are up and neither excluded
// nor tried. If only excluded ones are up, it returns those.
func (b *baseline) usable(role identifier.Role, excluded []identifier.Upstream, tried []*target) []*target {
	var fresh, all []*target
	for _, t := range b.targets {
		if t.Role != role || t.State != admitter.UpstreamUp || slices.Contains(tried, t) {
			continue
		}
		all = append(all, t)
		if !slices.Contains(excluded, t.ID) {
			fresh = append(fresh, t)
		}
	}
	if len(fresh) == 0 {
		return all
	}
	return fresh
}

// roundRobin picks the candidate that was picked longest ago.
func (b *baseline) roundRobin(from []*target) *target {
	best := from[0]
	for _, t := range from[1:] {
		if t.turn < best.turn {
			best = t
		}
	}
	b.turn++
	best.turn = b.turn
	return best
}

// leastLoad picks the lowest reported load, at random among equals.
func (b *baseline) leastLoad(from []*target) *target {
	start := b.rng.IntN(len(from))
	best := from[start]
	for i := 1; i < len(from); i++ {
		t := from[(start+i)%len(from)]
		if b.load(t) < b.load(best) {
			best = t
		}
	}
	return best
}

// twoChoices picks the lower load of two candidates drawn at random.
func (b *baseline) twoChoices(from []*target) *target {
	first := from[b.rng.IntN(len(from))]
	second := from[b.rng.IntN(len(from))]
	if b.load(second) < b.load(first) {
		return second
	}
	return first
}

// load is the reported load and what this baseline has sent since: requests
// on a prefill engine, used pieces on a decode engine.
func (b *baseline) load(t *target) int {
	if t.Role == identifier.RoleDecode {
		return int(t.Pieces - t.free())
	}
	if b.ledger {
		return t.backlog
	}
	return t.report.Running + t.report.Queued + len(t.sent)
}

// free is the reported free memory less what was sent since.
func (t *target) free() identifier.Pieces {
	free := t.report.FreePieces
	for _, s := range t.sent {
		free -= s.pieces
	}
	return free
}

func (t *target) hasRoom(pieces identifier.Pieces) bool {
	running := t.report.Running + t.report.Queued + len(t.sent)
	return t.free() >= pieces && running < t.Streams
}

// maxSent bounds the placements that are remembered between two reports.
const maxSent = 1000

func (b *baseline) note(t *target, pieces identifier.Pieces) {
	if len(t.sent) < maxSent {
		t.sent = append(t.sent, sending{at: b.now, pieces: pieces})
	}
}
