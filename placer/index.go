package placer

import (
	"sort"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/figtrack/figtrack/identifier"
)

const (
	// indexBlocks is the most blocks known of one engine.
	indexBlocks = 1 << 16
	// entryLives is the age at which an entry is no longer believed.
	entryLives = 10 * time.Minute
	// maxGap is the most missing events that leave an index usable.
	maxGap = 64
	// trustWeight is the weight of one prefill in the trust of an index.
	trustWeight = 0.1
)

// index is what is believed of one engine's prefix cache.
type index struct {
	blocks *simplelru.LRU[identifier.Block, time.Time]
	// sequence is the highest seen; zero before the first event.
	sequence identifier.Sequence
	// missing counts the events below sequence that have not come.
	missing uint64
	// trust is the share of predicted cached tokens that proved true.
	trust float64
}

func newIndex() *index {
	blocks, err := simplelru.NewLRU[identifier.Block, time.Time](indexBlocks, nil)
	if err != nil {
		panic(err)
	}
	return &index{blocks: blocks, trust: 1}
}

// apply takes one event and returns the events missed if the index had to be
// dropped, else zero.
func (x *index) apply(now time.Time, ev CacheChanged) uint64 {
	dropped := x.follow(ev.Sequence)
	if dropped > 0 {
		x.blocks.Purge()
	}
	for _, b := range ev.Removed {
		x.blocks.Remove(b)
	}
	x.add(now, ev.Added)
	return dropped
}

// follow keeps count of the gaps.
func (x *index) follow(s identifier.Sequence) uint64 {
	switch {
	case x.sequence == 0:
		x.sequence = s
	case s > x.sequence:
		x.missing += uint64(s - x.sequence - 1)
		x.sequence = s
	case x.missing > 0:
		x.missing--
	}
	if x.missing <= maxGap {
		return 0
	}
	missed := x.missing
	x.missing = 0
	return missed
}

func (x *index) add(now time.Time, blocks []identifier.Block) {
	for _, b := range blocks {
		x.blocks.Add(b, now)
	}
}

// hit returns the believed length of the cached part of a prefix.
func (x *index) hit(now time.Time, prefix []identifier.Block) identifier.Tokens {
	if len(prefix) == 0 || !x.has(now, prefix[0]) {
		return 0
	}
	n := sort.Search(len(prefix), func(i int) bool { return !x.has(now, prefix[i]) })
	return identifier.Tokens(x.trust * float64(identifier.Tokens(n)*identifier.BlockTokens))
}

func (x *index) has(now time.Time, b identifier.Block) bool {
	at, ok := x.blocks.Peek(b)
	return ok && now.Sub(at) < entryLives
}

// check learns from a prefill how far the index can be believed.
func (x *index) check(expected, cached identifier.Tokens) {
	if expected <= 0 {
		return
	}
	share := min(1, float64(cached)/(float64(expected)/max(x.trust, minTrust)))
	x.trust += trustWeight * (share - x.trust)
	x.trust = max(x.trust, minTrust)
}

// minTrust keeps an index in use, so that its trust can rise again.
const minTrust = 0.05
