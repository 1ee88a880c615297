package placer

import (
	"sort"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/figtrack/figtrack/identifier"
)

const (
	// maxIndexBlocks is the maximum number of blocks tracked per engine.
	maxIndexBlocks = 1 << 16
	// entryMaxAge is the age at which an entry is ignored.
	entryMaxAge = 10 * time.Minute
	// maxMissingEvents is the most missing events with which an index is still
	// used.
	maxMissingEvents = 64
	// trustWeight is the weight of one prefill in the trust of an index.
	trustWeight = 0.1
)

// index tracks the blocks that one engine is believed to have cached.
type index struct {
	blocks *simplelru.LRU[identifier.Block, time.Time]
	// sequence is the highest sequence number received; zero before the first
	// event.
	sequence identifier.Sequence
	// missingEvents counts the events below sequence that have not arrived.
	missingEvents uint64
	// trust is the observed share of predicted cached tokens that were in the
	// cache.
	trust float64
}

func newIndex() *index {
	blocks, err := simplelru.NewLRU[identifier.Block, time.Time](maxIndexBlocks, nil)
	if err != nil {
		panic(err)
	}
	return &index{blocks: blocks, trust: 1}
}

// apply handles one event. If it had to drop the index, it returns the number
// of missing events, else zero.
func (x *index) apply(now time.Time, ev CacheChanged) uint64 {
	dropped := x.trackSequence(ev.Sequence)
	if dropped > 0 {
		x.blocks.Purge()
	}
	for _, b := range ev.Removed {
		x.blocks.Remove(b)
	}
	x.add(now, ev.Added)
	return dropped
}

// trackSequence updates the count of missing events. It returns the count and
// resets it once it exceeds maxMissingEvents, else it returns zero.
func (x *index) trackSequence(s identifier.Sequence) uint64 {
	switch {
	case x.sequence == 0:
		x.sequence = s
	case s > x.sequence:
		x.missingEvents += uint64(s - x.sequence - 1)
		x.sequence = s
	case x.missingEvents > 0:
		x.missingEvents--
	}
	if x.missingEvents <= maxMissingEvents {
		return 0
	}
	missed := x.missingEvents
	x.missingEvents = 0
	return missed
}

func (x *index) add(now time.Time, blocks []identifier.Block) {
	for _, b := range blocks {
		x.blocks.Add(b, now)
	}
}

// hit returns the predicted length of the cached part of a prefix.
func (x *index) hit(now time.Time, prefix []identifier.Block) identifier.Tokens {
	if len(prefix) == 0 || !x.isCached(now, prefix[0]) {
		return 0
	}
	n := sort.Search(len(prefix), func(i int) bool { return !x.isCached(now, prefix[i]) })
	return identifier.Tokens(x.trust * float64(identifier.Tokens(n)*identifier.BlockTokens))
}

func (x *index) isCached(now time.Time, b identifier.Block) bool {
	at, ok := x.blocks.Peek(b)
	return ok && now.Sub(at) < entryMaxAge
}

// updateTrust compares a predicted with an actual cache hit.
func (x *index) updateTrust(expected, cached identifier.Tokens) {
	if expected <= 0 {
		return
	}
	share := min(1, float64(cached)/(float64(expected)/max(x.trust, minTrust)))
	x.trust += trustWeight * (share - x.trust)
	x.trust = max(x.trust, minTrust)
}

// minTrust keeps an index in use, so that its trust can recover.
const minTrust = 0.05
