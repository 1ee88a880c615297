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

// setView takes over the shards that are this VM's and lets go of others.
func (d *Dispatcher) setView(now time.Time, v View) {
	old := d.view
	d.view = v
	d.owners = make(map[identifier.Shard]identifier.VM)
	for _, s := range v.Catalog.Shards() {
		d.owners[s.ID] = s.Owner(v.Live)
		if d.owners[s.ID] == d.self {
			d.own(now, s, old)
		}
	}
	maps.DeleteFunc(d.owned, func(id identifier.Shard, _ *owned) bool { return d.owners[id] != d.self })
	d.order = slices.Sorted(maps.Keys(d.owned))
	d.handOver(now)
}

// handOver tells the new owners of shards of the attempts that run here, and
// asks them for those that are not yet placed.
func (d *Dispatcher) handOver(now time.Time) {
	for _, t := range d.tickets {
		owner, ok := d.owners[t.shard]
		if !ok || owner == t.owner {
			continue
		}
		t.owner = owner
		switch {
		case !t.answered:
			d.ask(now, t)
		case t.place.Prefill != "":
			d.toOwner(now, t, admitter.Adopt{
				Ask:     t.ask,
				Prefill: t.place.Prefill,
				Decode:  t.place.Decode,
				Pieces:  t.place.Pieces,
				Stage:   t.stage,
			})
		}
	}
}

// own makes the core of a shard, or tells it what has changed.
func (d *Dispatcher) own(now time.Time, s registrar.Shard, old View) {
	o := d.owned[s.ID]
	if o == nil {
		o = &owned{core: d.newCore(s.ID, d.source(s.ID))}
		d.owned[s.ID] = o
		old = View{}
	}
	gone := o.shard.Upstreams
	o.shard = s
	for _, c := range d.view.Classes {
		if !slices.Contains(old.Classes, c) {
			d.step(now, o, admitter.ClassChanged{Class: c})
		}
	}
	for _, u := range s.Upstreams {
		if !slices.Contains(gone, u) {
			d.step(now, o, admitter.UpstreamChanged{Upstream: describe(u, stateOf(u))})
		}
	}
	for _, u := range gone {
		if !member(s, u.ID) {
			d.step(now, o, admitter.UpstreamChanged{Upstream: describe(u, admitter.UpstreamLeaving)})
		}
	}
}

func member(s registrar.Shard, id identifier.Upstream) bool {
	return slices.ContainsFunc(s.Upstreams, func(u registrar.Upstream) bool { return u.ID == id })
}

func stateOf(u registrar.Upstream) admitter.UpstreamState {
	if u.Leaving {
		return admitter.UpstreamLeaving
	}
	return admitter.UpstreamUp
}

func describe(u registrar.Upstream, state admitter.UpstreamState) admitter.Upstream {
	return admitter.Upstream{
		ID:         u.ID,
		DataCentre: u.DataCentre,
		Role:       u.Role,
		Pieces:     u.Pieces,
		Streams:    u.Streams,
		State:      state,
	}
}

// feed gives an event to the core of the upstream's shard.
func (d *Dispatcher) feed(now time.Time, id identifier.Upstream, e admitter.Event) {
	for _, shard := range d.order {
		o := d.owned[shard]
		if !member(o.shard, id) {
			continue
		}
		if c, ok := e.(admitter.UpstreamChanged); ok {
			u, _ := d.view.Catalog.Upstream(id)
			e = admitter.UpstreamChanged{Upstream: describe(u, c.Upstream.State)}
		}
		d.step(now, o, e)
	}
}

// decided hands a decision to the VM that asked, and logs it.
func (d *Dispatcher) decided(now time.Time, o *owned, key admitter.Key, to identifier.VM, out admitter.Outcome) {
	d.record(o, key, out)
	if to == d.self {
		d.decide(now, key, out)
		return
	}
	_, p := admitter.OutcomeToWire(o.shard.ID, withoutScores(out))
	message := &wire.Envelope{Body: &wire.Envelope_Placement{Placement: p}}
	if !d.sender.Send(to, message) {
		d.log.Warn().Str("Request", string(key.Request)).Str("To", string(to)).Msg("DecisionNotSent")
	}
}

// withoutScores leaves out what only the owner's log tells.
func withoutScores(out admitter.Outcome) admitter.Outcome {
	if place, ok := out.(admitter.Place); ok {
		place.Scores = nil
		return place
	}
	return out
}

// decide gives a decision to the attempt's ticket.
func (d *Dispatcher) decide(now time.Time, key admitter.Key, out admitter.Outcome) {
	t := d.tickets[key]
	if t == nil {
		return
	}
	t.answered = true
	t.sentAt = now
	t.follow(out)
	if !t.deliver(out) {
		d.log.Error().Str("Request", string(key.Request)).Msg("DecisionDropped")
	}
}

// record writes the line of a decision.
func (d *Dispatcher) record(o *owned, key admitter.Key, out admitter.Outcome) {
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

type scores []admitter.Score

// MarshalZerologArray writes the candidates, best first.
func (s scores) MarshalZerologArray(a *zerolog.Array) {
	for _, one := range s {
		a.Dict(zerolog.Dict().
			Str("Upstream", string(one.Upstream)).
			Dur("FirstTokenMs", one.FirstToken))
	}
}
