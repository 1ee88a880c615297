package faker

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/figtrack/figtrack/identifier"
)

// maxLateEvents bounds the cache events that wait for their lag.
const maxLateEvents = 1024

// cacheFeed sends the events of a prefix cache late and with losses.
type cacheFeed struct {
	engine   *Engine
	sequence identifier.Sequence
	// late is ordered by time and holds at most maxLateEvents.
	late []lateEvent
}

type lateEvent struct {
	at    time.Time
	event CacheChanged
}

func (f *cacheFeed) add(now time.Time, added, removed []identifier.Block) {
	if len(added) == 0 && len(removed) == 0 {
		return
	}
	f.sequence++
	if len(f.late) == maxLateEvents || f.engine.rng.Float64() < f.engine.cfg.CacheLoss {
		return
	}
	event := CacheChanged{Sequence: f.sequence, Added: added, Removed: removed}
	f.late = append(f.late, lateEvent{at: now.Add(f.engine.cfg.CacheLag), event: event})
}

func (f *cacheFeed) due() time.Time {
	if len(f.late) == 0 {
		return time.Time{}
	}
	return f.late[0].at
}

func (f *cacheFeed) flush(now time.Time) {
	for len(f.late) > 0 && !f.late[0].at.After(now) {
		f.engine.emit(f.late[0].event)
		f.late = f.late[1:]
	}
}

// prefixCache is the set of blocks that a prefill engine keeps, the least
// recently used leaving first.
type prefixCache struct {
	blocks  *simplelru.LRU[identifier.Block, struct{}]
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

// hit returns the length of the prefix that is cached and marks it used.
func (c *prefixCache) hit(prefix []identifier.Block) identifier.Tokens {
	var hit identifier.Tokens
	for _, b := range prefix {
		if _, ok := c.blocks.Get(b); !ok {
			break
		}
		hit += identifier.BlockTokens
	}
	return hit
}

// insert adds the blocks of a prompt and returns what changed.
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
