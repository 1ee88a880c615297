package admitter

import (
	"time"

	"github.com/figtrack/figtrack/granter"
)

// adopt reserves the resources of an attempt that an earlier owner of the shard
// placed. It is not subject to admission, as the engines are already running
// the attempt.
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
		p.setDeadlines()
	}
	p.pieces = e.Pieces
	place := Place{Key: e.Key, To: e.From, Prefill: e.Prefill, Decode: e.Decode, Pieces: e.Pieces}
	c.active[e.Key] = &activeAttempt{pending: p, place: place, adopted: true}
	c.reserveAdopted(now, p, e)
	c.needsPlan = true
}

func (c *Core) reserveAdopted(now time.Time, p *pending, e Adopt) {
	key := granter.Key(e.Key)
	c.stepLedger(now, granter.Reserve{
		Key: key, VM: e.From, Class: e.Class, Prefill: e.Prefill, Decode: e.Decode,
		Pieces: e.Pieces, Prompt: e.Prompt, MaxOutput: e.MaxOutput, PerToken: p.class.PerToken,
		ArrivesAt: now, Cost: c.minPrefillCost(now, p),
	})
	if e.Stage == StagePrefilling {
		return
	}
	c.stepLedger(now, granter.PrefillEnded{Key: key, At: now})
	if e.Stage == StageDecoding {
		c.stepLedger(now, granter.FirstToken{Key: key})
	}
}
