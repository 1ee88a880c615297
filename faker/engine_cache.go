package faker

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/figtrack/figtrack/identifier"
)

// maxDelayedEvents bounds the cache events that are delayed at once. Further ones
// are lost.
const maxDelayedEvents = 1024

// cacheEventQueue emits the events of a prefix cache after the delay CacheLag. It
// loses the share CacheLoss of them, which leaves gaps in the sequence numbers.
type cacheEventQueue struct {
	engine   *Engine
	sequence identifier.Sequence
	// delayed is ordered by time and holds at most maxDelayedEvents.
	delayed []delayedEvent
}

// delayedEvent is an event that is emitted at a time.
type delayedEvent struct {
	at    time.Time
	event CacheChanged
}

// schedule adds an event unless nothing changed or the event is lost.
func (f *cacheEventQueue) schedule(now time.Time, added, removed []identifier.Block) {
	if len(added) == 0 && len(removed) == 0 {
		return
	}
	f.sequence++
	if len(f.delayed) == maxDelayedEvents || f.engine.rng.Float64() < f.engine.cfg.CacheLoss {
		return
	}
	event := CacheChanged{Sequence: f.sequence, Added: added, Removed: removed}
	f.delayed = append(f.delayed, delayedEvent{at: now.Add(f.engine.cfg.CacheLag), event: event})
}

// due returns the time of the next event, or zero if there is none.
func (f *cacheEventQueue) due() time.Time {
	if len(f.delayed) == 0 {
		return time.Time{}
	}
	return f.delayed[0].at
}

// flush emits the events that are due.
func (f *cacheEventQueue) flush(now time.Time) {
	for len(f.delayed) > 0 && !f.delayed[0].at.After(now) {
		f.engine.emit(f.delayed[0].event)
		f.delayed = f.delayed[1:]
	}
}

// prefixCache is the set of blocks that a prefill engine has cached. It evicts the
// least recently used block first.
type prefixCache struct {
	blocks *simplelru.LRU[identifier.Block, struct{}]
	// removed collects the blocks that were evicted since the last insert.
	removed []identifier.Block
}

func newPrefixCache(size int) *prefixCache {
	c := &prefixCache{}
	onEvict := func(b identifier.Block, _ struct{}) { c.removed = append(c.removed, b) }
	blocks, err := simplelru.NewLRU(max(size, 1), onEvict)
	if err != nil {
		panic("faker: prefix cache: " + err.Error())
	}
	c.blocks = blocks
	return c
}

// cachedTokens returns how many tokens of the prefix are cached and marks their
// blocks as used.
func (c *prefixCache) cachedTokens(prefix []identifier.Block) identifier.Tokens {
	var hit identifier.Tokens
	for _, b := range prefix {
		if _, ok := c.blocks.Get(b); !ok {
			break
		}
		hit += identifier.BlockTokens
	}
	return hit
}

// insert adds the blocks of a prompt. It returns those that are new and those that
// were evicted.
func (c *prefixCache) insert(prefix []identifier.Block) (added, removed []identifier.Block) {
	for _, b := range prefix {
		if !c.blocks.Contains(b) {
			added = append(added, b)
		}
		c.blocks.Add(b, struct{}{})
	}
	removed = c.removed
	c.removed = nil
	return added, removed
}
