package admitter

import (
	"time"

	"github.com/figtrack/figtrack/granter"
)

// adopt books an attempt that an earlier owner of the shard has placed, so
// that the ledger knows what it holds. It is never refused: the engines hold
// it already.
func (c *Core) adopt(now time.Time, e Adopt) {
	_, decode := c.upstreams[e.Decode]
	_, prefill := c.upstreams[e.Prefill]
	if c.active[e.Key] != nil || !decode || !prefill || c.classes[e.Class] == nil {
		return
	}
	p := c.queue.find(e.Key)
	if p != nil {
		c.queue.remove(p)
	} else {
		p = c.newPending(e.Ask)
		p.setTimes()
	}
	p.pieces = e.Pieces
	place := Place{Key: e.Key, To: e.From, Prefill: e.Prefill, Decode: e.Decode, Pieces: e.Pieces}
	c.active[e.Key] = &active{pending: p, place: place, adopted: true}
	c.bookAdopted(now, p, e)
	c.stale = true
}

func (c *Core) bookAdopted(now time.Time, p *pending, e Adopt) {
	key := granter.Key(e.Key)
	c.ledger(now, granter.Reserve{
		Key: key, VM: e.From, Class: e.Class, Prefill: e.Prefill, Decode: e.Decode,
		Pieces: e.Pieces, Prompt: e.Prompt, MaxOutput: e.MaxOutput, PerToken: p.class.PerToken,
		Reaches: now, Cost: c.leastCost(now, p),
	})
	if e.Stage == StagePrefilling {
		return
	}
	c.ledger(now, granter.PrefillEnded{Key: key, At: now})
	if e.Stage == StageDecoding {
		c.ledger(now, granter.FirstToken{Key: key})
	}
}
