package replayer

import (
	"slices"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/identifier"
)

// candidates returns the upstreams of a role that are up and neither excluded
// nor tried. If all that are up and untried are excluded, it returns those.
func (b *baseline) candidates(role identifier.Role, excluded []identifier.Upstream, tried []*trackedUpstream) []*trackedUpstream {
	var fresh, all []*trackedUpstream
	for _, t := range b.upstreams {
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

// roundRobin picks the candidate that was picked least recently.
func (b *baseline) roundRobin(from []*trackedUpstream) *trackedUpstream {
	best := from[0]
	for _, t := range from[1:] {
		if t.lastTurn < best.lastTurn {
			best = t
		}
	}
	b.lastTurn++
	best.lastTurn = b.lastTurn
	return best
}

// leastLoad picks the candidate with the lowest load. It starts at a random
// candidate, so that equal loads don't always favour the same one.
func (b *baseline) leastLoad(from []*trackedUpstream) *trackedUpstream {
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

// twoChoices draws two candidates at random and picks the one with the lower
// load.
func (b *baseline) twoChoices(from []*trackedUpstream) *trackedUpstream {
	first := from[b.rng.IntN(len(from))]
	second := from[b.rng.IntN(len(from))]
	if b.load(second) < b.load(first) {
		return second
	}
	return first
}

// load returns the load of an upstream: requests on a prefill engine, used
// pieces on a decode engine. It is the last report plus the placements sent
// since, or the baseline's own count of prefills if it has countsBacklog.
func (b *baseline) load(t *trackedUpstream) int {
	if t.Role == identifier.RoleDecode {
		return int(t.Pieces - t.freePieces())
	}
	if b.countsBacklog {
		return t.backlog
	}
	return t.report.Running + t.report.Queued + len(t.sentSinceReport)
}

// freePieces returns the free pieces of the last report minus those placed
// since.
func (t *trackedUpstream) freePieces() identifier.Pieces {
	free := t.report.FreePieces
	for _, s := range t.sentSinceReport {
		free -= s.pieces
	}
	return free
}

func (t *trackedUpstream) hasRoom(pieces identifier.Pieces) bool {
	running := t.report.Running + t.report.Queued + len(t.sentSinceReport)
	return t.freePieces() >= pieces && running < t.Streams
}

// maxSentPlacements is the most placements that are kept for an upstream
// between two reports.
const maxSentPlacements = 1000

func (b *baseline) recordSent(t *trackedUpstream, pieces identifier.Pieces) {
	if len(t.sentSinceReport) < maxSentPlacements {
		t.sentSinceReport = append(t.sentSinceReport, sentPlacement{at: b.now, pieces: pieces})
	}
}
