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

// maxLookAhead is the most waiting requests considered in one pass.
const maxLookAhead = 64

// dispatch places waiting requests on prefill engines that will be idle when an
// order reaches them, as far as decode memory allows.
func (c *Core) dispatch(now time.Time) {
	if c.queue.len() == 0 || !c.readEngines(now) {
		return
	}
	if !c.dispatchFrom(now, c.queue.onTime) {
		return
	}
	c.dispatchFrom(now, c.lateByUsage(now))
}

// readEngines loads the state of the engines into the buffers and reports
// whether a prefill engine is ready for work.
func (c *Core) readEngines(now time.Time) bool {
	b := &c.buf
	b.engines = c.granter.Engines(now, identifier.RolePrefill, b.engines[:0])
	b.prefills = b.prefills[:0]
	ready := false
	for _, e := range b.engines {
		p := placer.Prefill{Engine: e, Wait: e.IdleAt.Sub(now)}
		p.Ready = c.isReady(p)
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
	c.setAsideForParked(now)
	return true
}

func (c *Core) isReady(p placer.Prefill) bool {
	return p.Depth < maxQueuedPrefills && p.Wait <= c.dispatchLead()
}

// dispatchLead is how long before its predicted idle time a prefill engine is
// sent more work, so that the order arrives in time.
func (c *Core) dispatchLead() time.Duration { return 3 * c.cfg.CrossDelay }

// dispatchFrom places the requests of one list in order. For a request that
// finds no decode memory it sets aside memory on one engine, so that later
// requests can only use the others. It returns false if no ready engine or no
// memory is left.
func (c *Core) dispatchFrom(now time.Time, list []*pending) bool {
	b := &c.buf
	for i, n := 0, 0; i < len(list) && n < maxLookAhead; n++ {
		p := list[i]
		choice := c.placer.Prefill(now, p.placerRequest(), b.prefills)
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
		if late && !c.hasMemoryForLate(now, p) {
			return false
		}
		if !c.placeOn(now, p, choice) {
			if late || !c.setAsideMemory(now, p.pieces, now.Add(choice.Total)) {
				return false
			}
			i++
			continue
		}
		if late {
			list = slices.Delete(list, i, i+1)
		} else {
			list = c.queue.onTime
		}
		if !c.hasReadyPrefill() {
			return false
		}
	}
	return true
}

func (c *Core) hasReadyPrefill() bool {
	for i := range c.buf.prefills {
		if c.buf.prefills[i].Ready {
			return true
		}
	}
	return false
}

func (p *pending) placerRequest() placer.Request {
	return placer.Request{
		Prompt: p.Prompt, Prefix: p.Prefix, Excluded: p.Excluded, Pieces: p.pieces, PerToken: p.class.PerToken,
	}
}

// placeOn places a request on the chosen prefill engine, or gives the request
// up if it can't meet its target there. It returns false if no decode engine
// has memory or is likely to have it in time.
func (c *Core) placeOn(now time.Time, p *pending, choice placer.Choice) bool {
	b := &c.buf
	target := &b.prefills[choice.Index]
	orderArrives := now.Add(c.outboundDelay(p.FromDataCentre, target.DataCentre))
	prefillStarts := orderArrives
	if idle := now.Add(target.Wait); idle.After(prefillStarts) {
		prefillStarts = idle
	}
	prefillEnds := prefillStarts.Add(choice.Cost)
	i, promised, untilFirstToken := c.chooseDecode(now, p, target.ID, prefillEnds)
	if i < 0 {
		return false
	}
	d := &b.decodes[i]
	firstTokenAt := prefillEnds.Add(untilFirstToken + c.messageDelayAfterPrefill(p, target.DataCentre, d.DataCentre))
	if firstTokenAt.Add(c.safetyMargin()).After(p.firstTokenLimit(now)) {
		c.giveUp(now, p, ReasonTargetOutOfReach, firstTokenAt.Sub(p.firstTokenLimit(now)))
		return true
	}
	if p.late && firstTokenAt.After(p.giveUpAt) {
		c.queue.remove(p)
		c.refuse(p, ReasonTargetOutOfReach, firstTokenAt.Sub(p.giveUpAt))
		return true
	}
	place := Place{
		Key: p.Key, To: p.From, Prefill: target.ID, Decode: d.ID, Pieces: p.pieces,
		TransferWithin: c.transferTimeout(d.LinkFree.Sub(prefillEnds), d.Transfer), Promised: promised,
		Predicted: firstTokenAt.Sub(p.Arrived),
	}
	place.Scores = c.scores(untilFirstToken)
	c.reserve(now, p, place, choice, orderArrives, d.Transfer)
	target.Wait = prefillEnds.Sub(now)
	target.Depth++
	target.Ready = c.isReady(*target)
	d.Free -= p.pieces
	d.Streams++
	d.FreeStreams--
	d.Pace = c.granter.PaceOn(d.ID, d.Streams+1)
	return true
}

func (c *Core) reserve(now time.Time, p *pending, place Place, choice placer.Choice, orderArrives time.Time, transfer time.Duration) {
	c.queue.remove(p)
	if p.late {
		c.latePieces += p.pieces
	}
	c.active[p.Key] = &activeAttempt{pending: p, place: place, expectedCached: choice.Expected}
	c.stepLedger(now, granter.Reserve{
		Key: granter.Key(p.Key), VM: p.From, Class: p.Class, Prefill: place.Prefill, Decode: place.Decode,
		Pieces: p.pieces, Prompt: p.Prompt, MaxOutput: p.MaxOutput, PerToken: p.class.PerToken,
		ArrivesAt: orderArrives, Cost: choice.Cost, Transfer: transfer, Promised: place.Promised,
	})
	c.placer.Step(now, placer.Placed{Upstream: place.Prefill, Prefix: p.Prefix})
	p.class.shares.addServed(now, p.Workspace, c.serviceCost(p))
	c.emit(place)
}

// scores lists the best candidates for the prefill, best first.
func (c *Core) scores(untilFirstToken time.Duration) []Score {
	weighed := c.placer.LastScores()
	weighed = weighed[:min(maxScores, len(weighed))]
	s := make([]Score, 0, len(weighed))
	for _, w := range weighed {
		s = append(s, Score{w.Upstream, w.Total + untilFirstToken})
	}
	return s
}
