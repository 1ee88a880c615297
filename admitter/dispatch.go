package admitter

import (
	"slices"
	"time"

	"github.com/figtrack/figtrack/granter"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/placer"
)

type (
	placerPrefill = placer.Prefill
	placerDecode  = placer.Decode
)

// lookAhead is the most waiting requests considered in one step.
const lookAhead = 64

// dispatch places waiting requests on the prefill engines that are idle when
// an order arrives, as far as decode memory is there.
func (c *Core) dispatch(now time.Time) {
	if c.queue.len() == 0 || !c.prepare(now) {
		return
	}
	if !c.dispatchFrom(now, c.queue.due) {
		return
	}
	c.dispatchFrom(now, c.fairLate(now))
}

// prepare reads the engines and says whether a prefill engine is ready.
func (c *Core) prepare(now time.Time) bool {
	b := &c.buf
	b.engines = c.granter.Engines(now, identifier.RolePrefill, b.engines[:0])
	b.prefills = b.prefills[:0]
	ready := false
	for _, e := range b.engines {
		p := placer.Prefill{Engine: e, Wait: e.IdleAt.Sub(now)}
		p.Ready = c.ready(p)
		ready = ready || p.Ready
		b.prefills = append(b.prefills, p)
	}
	if !ready {
		return false
	}
	b.engines = c.granter.Engines(now, identifier.RoleDecode, b.engines[:0])
	b.decodes = b.decodes[:0]
	for _, e := range b.engines {
		b.decodes = append(b.decodes, placer.Decode{Engine: e, Pace: c.granter.PaceOn(e.ID, e.Streams+1)})
	}
	c.earmark(now)
	return true
}

func (c *Core) ready(p placer.Prefill) bool {
	return p.Depth < readyDepth && p.Wait <= c.lead()
}

// lead is how long before its idle time an engine is given more work.
func (c *Core) lead() time.Duration { return 3 * c.cfg.CrossDelay }

// dispatchFrom places requests of one list in order. A request without memory
// claims what becomes free on one engine, so that those behind it use the
// others. It returns false if no engine or memory is left.
func (c *Core) dispatchFrom(now time.Time, list []*pending) bool {
	b := &c.buf
	for i, n := 0, 0; i < len(list) && n < lookAhead; n++ {
		p := list[i]
		choice := c.placer.Prefill(now, p.request(), b.prefills)
		if choice.Index < 0 {
			i++
			continue
		}
		target := &b.prefills[choice.Index]
		if !target.Ready {
			target.Wait += choice.Cost
			i++
			continue
		}
		late := p.late
		if late && !c.spare(now, p) {
			return false
		}
		if !c.placeOn(now, p, choice) {
			if late || !c.claim(now, p.pieces, now.Add(choice.Total)) {
				return false
			}
			i++
			continue
		}
		if late {
			list = slices.Delete(list, i, i+1)
		} else {
			list = c.queue.due
		}
		if !c.anyReady() {
			return false
		}
	}
	return true
}

func (c *Core) anyReady() bool {
	for i := range c.buf.prefills {
		if c.buf.prefills[i].Ready {
			return true
		}
	}
	return false
}

func (p *pending) request() placer.Request {
	return placer.Request{
		Prompt: p.Prompt, Prefix: p.Prefix, Excluded: p.Excluded, Pieces: p.pieces, PerToken: p.class.PerToken,
	}
}

// placeOn places a request on a chosen prefill engine. It returns false if
// no decode engine has or will have room.
func (c *Core) placeOn(now time.Time, p *pending, choice placer.Choice) bool {
	b := &c.buf
	target := &b.prefills[choice.Index]
	reaches := now.Add(c.reach(p.FromDataCentre, target.DataCentre))
	starts := reaches
	if idle := now.Add(target.Wait); idle.After(starts) {
		starts = idle
	}
	ends := starts.Add(choice.Cost)
	i, promised, after := c.decodeFor(now, p, target.ID, ends)
	if i < 0 {
		return false
	}
	d := &b.decodes[i]
	first := ends.Add(after + c.messages(p, target.DataCentre, d.DataCentre))
	if first.Add(c.safety()).After(p.due(now)) {
		c.giveUp(now, p, ReasonTargetOutOfReach, first.Sub(p.due(now)))
		return true
	}
	if p.late && first.After(p.given) {
		c.queue.remove(p)
		c.refuse(p, ReasonTargetOutOfReach, first.Sub(p.given))
		return true
	}
	place := Place{
		Key: p.Key, To: p.From, Prefill: target.ID, Decode: d.ID, Pieces: p.pieces,
		TransferWithin: c.transferWithin(d.LinkFree.Sub(ends), d.Transfer), Promised: promised,
		Predicted: first.Sub(p.Arrived),
	}
	place.Scores = c.scores(after)
	c.reserve(now, p, place, choice, reaches, d.Transfer)
	target.Wait = ends.Sub(now)
	target.Depth++
	target.Ready = c.ready(*target)
	d.Free -= p.pieces
	d.Streams++
	d.Room--
	d.Pace = c.granter.PaceOn(d.ID, d.Streams+1)
	return true
}

func (c *Core) reserve(now time.Time, p *pending, place Place, choice placer.Choice, reaches time.Time, transfer time.Duration) {
	c.queue.remove(p)
	if p.late {
		c.latePieces += p.pieces
	}
	c.active[p.Key] = &active{pending: p, place: place, expected: choice.Expected}
	c.ledger(now, granter.Reserve{
		Key: granter.Key(p.Key), VM: p.From, Class: p.Class, Prefill: place.Prefill, Decode: place.Decode,
		Pieces: p.pieces, Prompt: p.Prompt, MaxOutput: p.MaxOutput, PerToken: p.class.PerToken,
		Reaches: reaches, Cost: choice.Cost, Transfer: transfer, Promised: place.Promised,
	})
	c.placer.Step(now, placer.Placed{Upstream: place.Prefill, Prefix: p.Prefix})
	p.class.shares.serve(now, p.Workspace, c.service(p))
	c.emit(place)
}

// scores lists the prefill engines that were weighed, best first.
func (c *Core) scores(after time.Duration) []Score {
	weighed := c.placer.Weighed()
	weighed = weighed[:min(maxScores, len(weighed))]
	s := make([]Score, 0, len(weighed))
	for _, w := range weighed {
		s = append(s, Score{w.Upstream, w.Total + after})
	}
	return s
}
