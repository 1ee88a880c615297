package isolator

import (
	"cmp"
	"slices"
)

const (
	// BlockThreshold is the number of engines that have to crash on a trait until
	// requests with it are refused. Engines also crash for other reasons, but
	// hardly that often without one whole answer in between.
	BlockThreshold = 3
	// minRivalCrashes is the number of crashes from which on a more specific trait
	// explains those of a less specific one.
	minRivalCrashes = 2
	// rivalLag is the number of crashes by which the more specific trait may be
	// behind, as its reports come from other VMs.
	rivalLag = 1
)

// findBlocked returns the traits to blame for the crashes. All requests with a
// common prefix share its traits, so a crash that one trait explains doesn't count
// against another one.
func findBlocked(record Record) map[Trait]int {
	blocked := map[Trait]int{}
	rest := make(Record, 0, len(record))
	for _, s := range record {
		rest = append(rest, Suspect{Trait: s.Trait, Depth: s.Depth, Crashes: slices.Clone(s.Crashes)})
	}
	for len(rest) > 0 {
		blamed := mostBlamed(rest)
		if len(rest[blamed].Crashes) < BlockThreshold {
			break
		}
		blamed = deepestRival(rest, blamed)
		s := rest[blamed]
		if len(s.Crashes) >= BlockThreshold {
			blocked[s.Trait] = len(s.Crashes)
		}
		rest = slices.Delete(rest, blamed, blamed+1)
		for i := range rest {
			rest[i].Crashes = slices.DeleteFunc(rest[i].Crashes, func(c Crash) bool { return slices.Contains(s.Crashes, c) })
		}
	}
	return blocked
}

// mostBlamed returns the index of the suspect with the most crashes; of several,
// the deepest one.
func mostBlamed(record Record) int {
	best := 0
	for i, s := range record {
		b := record[best]
		if cmp.Or(cmp.Compare(len(s.Crashes), len(b.Crashes)), cmp.Compare(s.Depth, b.Depth), cmp.Compare(b.Trait, s.Trait)) > 0 {
			best = i
		}
	}
	return best
}

// deepestRival returns the index of the deepest suspect that explains most crashes
// of another one, or the index of that one.
func deepestRival(record Record, of int) int {
	best := of
	for i, s := range record {
		shared := 0
		for _, c := range s.Crashes {
			if slices.Contains(record[of].Crashes, c) {
				shared++
			}
		}
		if shared >= max(minRivalCrashes, len(record[of].Crashes)-rivalLag) && s.Depth > record[best].Depth {
			best = i
		}
	}
	return best
}
