package dispatcher

import (
	"maps"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/registrar"
	"github.com/figtrack/figtrack/wire"
)

// handleView applies a new view: it creates or updates the cores of the shards
// that this VM owns now and drops those of all others.
func (d *Dispatcher) handleView(now time.Time, v View) {
	old := d.view
	d.view = v
	d.owners = make(map[identifier.Shard]identifier.VM)
	for _, s := range v.Catalog.Shards() {
		d.owners[s.ID] = s.Owner(v.LiveVMs)
		if d.owners[s.ID] == d.self {
			d.updateShard(now, s, old)
		}
	}
	maps.DeleteFunc(d.ownedShards, func(id identifier.Shard, _ *ownedShard) bool { return d.owners[id] != d.self })
	d.ownedIDs = slices.Sorted(maps.Keys(d.ownedShards))
	d.informNewOwners(now)
}

// informNewOwners informs the new owners of shards about the attempts of this
// VM. It sends Adopt for a placed attempt and repeats the ask of one that has
// had no decision.
func (d *Dispatcher) informNewOwners(now time.Time) {
	for _, t := range d.tickets {
		owner, ok := d.owners[t.shard]
		if !ok || owner == t.owner {
			continue
		}
		t.owner = owner
		switch {
		case !t.isAnswered:
			d.sendAsk(now, t)
		case t.placement.Prefill != "":
			d.sendToOwner(now, t, admitter.Adopt{
				Ask:     t.ask,
				Prefill: t.placement.Prefill,
				Decode:  t.placement.Decode,
				Pieces:  t.placement.Pieces,
				Stage:   t.stage,
			})
		}
	}
}

// updateShard passes the changes of classes and upstreams since the old view to
// the core of an owned shard. It creates the core first if the shard is new
// here.
func (d *Dispatcher) updateShard(now time.Time, s registrar.Shard, old View) {
	o := d.ownedShards[s.ID]
	if o == nil {
		o = &ownedShard{core: d.newCore(s.ID, d.newRand(s.ID))}
		d.ownedShards[s.ID] = o
		old = View{}
	}
	oldUpstreams := o.shard.Upstreams
	o.shard = s
	for _, c := range d.view.Classes {
		if !slices.Contains(old.Classes, c) {
			d.step(now, o, admitter.ClassChanged{Class: c})
		}
	}
	for _, u := range s.Upstreams {
		if !slices.Contains(oldUpstreams, u) {
			d.step(now, o, admitter.UpstreamChanged{Upstream: admitterUpstream(u, upstreamState(u))})
		}
	}
	for _, u := range oldUpstreams {
		if !hasUpstream(s, u.ID) {
			d.step(now, o, admitter.UpstreamChanged{Upstream: admitterUpstream(u, admitter.UpstreamLeaving)})
		}
	}
}

func hasUpstream(s registrar.Shard, id identifier.Upstream) bool {
	return slices.ContainsFunc(s.Upstreams, func(u registrar.Upstream) bool { return u.ID == id })
}

func upstreamState(u registrar.Upstream) admitter.UpstreamState {
	if u.Leaving {
		return admitter.UpstreamLeaving
	}
	return admitter.UpstreamUp
}

// admitterUpstream converts an upstream of the catalogue to the form that the
// core takes.
func admitterUpstream(u registrar.Upstream, state admitter.UpstreamState) admitter.Upstream {
	return admitter.Upstream{
		ID:         u.ID,
		DataCentre: u.DataCentre,
		Role:       u.Role,
		Pieces:     u.Pieces,
		Streams:    u.Streams,
		State:      state,
	}
}

// handleUpstreamEvent passes an event to the core of the upstream's shard. An
// UpstreamChanged event has only the ID and state set; the rest is filled in
// from the catalogue.
func (d *Dispatcher) handleUpstreamEvent(now time.Time, id identifier.Upstream, e admitter.Event) {
	for _, shard := range d.ownedIDs {
		o := d.ownedShards[shard]
		if !hasUpstream(o.shard, id) {
			continue
		}
		if c, ok := e.(admitter.UpstreamChanged); ok {
			u, _ := d.view.Catalog.Upstream(id)
			e = admitter.UpstreamChanged{Upstream: admitterUpstream(u, c.Upstream.State)}
		}
		d.step(now, o, e)
	}
}

// sendDecision logs a decision and sends it to the VM that asked.
func (d *Dispatcher) sendDecision(now time.Time, o *ownedShard, key admitter.Key, to identifier.VM, out admitter.Outcome) {
	d.logDecision(o, key, out)
	if to == d.self {
		d.deliverDecision(now, key, out)
		return
	}
	_, p := admitter.OutcomeToWire(o.shard.ID, withoutScores(out))
	message := &wire.Envelope{Body: &wire.Envelope_Placement{Placement: p}}
	if !d.sender.Send(to, message) {
		d.log.Warn().Str("Request", string(key.Request)).Str("To", string(to)).Msg("DecisionNotSent")
	}
}

// withoutScores removes the scores of a placement: only the owner's log uses
// them.
func withoutScores(out admitter.Outcome) admitter.Outcome {
	if place, ok := out.(admitter.Place); ok {
		place.Scores = nil
		return place
	}
	return out
}

// deliverDecision delivers a decision to the ticket of its attempt, if that is
// still open.
func (d *Dispatcher) deliverDecision(now time.Time, key admitter.Key, out admitter.Outcome) {
	t := d.tickets[key]
	if t == nil {
		return
	}
	t.isAnswered = true
	t.lastExchangeAt = now
	t.updateState(out)
	if !t.deliver(out) {
		d.log.Error().Str("Request", string(key.Request)).Msg("DecisionDropped")
	}
}

func (d *Dispatcher) logDecision(o *ownedShard, key admitter.Key, out admitter.Outcome) {
	line := d.log.Info().
		Str("Request", string(key.Request)).
		Uint32("Attempt", uint32(key.Attempt)).
		Str("Shard", string(o.shard.ID))
	switch out := out.(type) {
	case admitter.Place:
		line.Str("To", string(out.To)).
			Str("Prefill", string(out.Prefill)).
			Str("Decode", string(out.Decode)).
			Int("Pieces", int(out.Pieces)).
			Bool("Promised", out.Promised).
			Dur("PredictedMs", out.Predicted).
			Array("Scores", scores(out.Scores)).
			Msg("Place")
	case admitter.Move:
		line.Str("To", string(out.To)).Str("Decode", string(out.Decode)).Msg("Move")
	case admitter.Refuse:
		line.Str("To", string(out.To)).
			Str("Reason", string(out.Reason)).
			Dur("RetryAfterMs", out.RetryAfter).
			Msg("Refuse")
	case admitter.Abandon:
		line.Str("To", string(out.To)).Str("Reason", string(out.Reason)).Msg("Abandon")
	}
}

// scores logs the scores of a placement.
type scores []admitter.Score

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (s scores) MarshalZerologArray(a *zerolog.Array) {
	for _, one := range s {
		a.Dict(zerolog.Dict().
			Str("Upstream", string(one.Upstream)).
			Dur("FirstTokenMs", one.FirstToken))
	}
}
