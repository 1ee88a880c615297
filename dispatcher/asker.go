package dispatcher

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/registrar"
	"github.com/figtrack/figtrack/wire"
)

// open sends an ask to the owner of one of the shards that serve its model.
func (d *Dispatcher) open(now time.Time, t *Ticket) {
	d.tickets[t.key] = t
	d.ask(now, t)
}

func (d *Dispatcher) ask(now time.Time, t *Ticket) {
	t.sentAt = now
	shard, ok := d.choose(t.ask)
	if !ok {
		d.decide(now, t.key, d.refusal(t, admitter.ReasonNoUpstream))
		return
	}
	t.shard = shard.ID
	t.owner = d.owners[shard.ID]
	d.toOwner(now, t, t.ask)
}

func (d *Dispatcher) refusal(t *Ticket, reason admitter.Reason) admitter.Refuse {
	return admitter.Refuse{Key: t.key, To: d.self, Reason: reason, RetryAfter: askAgainAfter}
}

// choose takes the shard by the start of the prompt, so that prompts with the
// same start meet the same prefix caches, and moves on for a later attempt.
func (d *Dispatcher) choose(ask admitter.Ask) (registrar.Shard, bool) {
	if d.view.Catalog == nil {
		return registrar.Shard{}, false
	}
	shards := d.view.Catalog.ShardsFor(ask.Model)
	if len(shards) == 0 {
		return registrar.Shard{}, false
	}
	start := xxhash.Sum64String(string(ask.Request))
	if len(ask.Prefix) > 0 {
		start = uint64(ask.Prefix[0])
	}
	return shards[(start+uint64(ask.Attempt)-1)%uint64(len(shards))], true
}

func (d *Dispatcher) report(now time.Time, t *Ticket, e admitter.Event) {
	t.follow(e)
	d.toOwner(now, t, e)
}

// toOwner gives an event to the core of the ticket's shard, here or on the
// VM that owns it.
func (d *Dispatcher) toOwner(now time.Time, t *Ticket, e admitter.Event) {
	if t.owner == d.self {
		if o := d.owned[t.shard]; o != nil {
			d.step(now, o, e)
		}
		return
	}
	p := admitter.EventToWire(now, t.shard, e)
	d.sender.Send(t.owner, &wire.Envelope{Body: &wire.Envelope_Placement{Placement: p}})
}

// receive takes an event for a shard of this VM or a decision for a ticket.
func (d *Dispatcher) receive(now time.Time, from identifier.VM, p *wire.Placement) {
	if out, err := admitter.OutcomeFromWire(d.self, p); err == nil {
		d.decide(now, admitter.KeyOf(out), out)
		return
	}
	e, err := admitter.EventFromWire(now, from, p)
	if err != nil {
		d.log.Warn().Err(err).Str("Peer", string(from)).Msg("PlacementNotUnderstood")
		return
	}
	if o := d.owned[identifier.Shard(p.Shard)]; o != nil {
		d.step(now, o, e)
	}
}

// askAgain repeats the asks whose owner has changed or did not answer.
func (d *Dispatcher) askAgain(now time.Time) {
	for _, t := range d.tickets {
		if !t.answered && now.Sub(t.sentAt) >= askAgainAfter {
			d.ask(now, t)
		}
	}
}
