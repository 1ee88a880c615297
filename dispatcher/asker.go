package dispatcher

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/registrar"
	"github.com/figtrack/figtrack/wire"
)

// handleOpen registers a ticket and sends its ask to the owner of one of the
// shards that serve its model.
func (d *Dispatcher) handleOpen(now time.Time, t *Ticket) {
	d.tickets[t.key] = t
	d.sendAsk(now, t)
}

// sendAsk sends the ticket's ask to the owner of a shard. It refuses the attempt
// if no shard serves its model.
func (d *Dispatcher) sendAsk(now time.Time, t *Ticket) {
	t.lastExchangeAt = now
	shard, ok := d.chooseShard(t.ask)
	if !ok {
		d.deliverDecision(now, t.key, d.refusal(t, admitter.ReasonNoUpstream))
		return
	}
	t.shard = shard.ID
	t.owner = d.owners[shard.ID]
	d.sendToOwner(now, t, t.ask)
}

func (d *Dispatcher) refusal(t *Ticket, reason admitter.Reason) admitter.Refuse {
	return admitter.Refuse{Key: t.key, To: d.self, Reason: reason, RetryAfter: askRetryInterval}
}

// chooseShard selects a shard by the hash of the first block of the prompt, so
// that prompts with a common start share prefix caches. Without a whole block it
// uses the request's ID. Each further attempt selects the next shard.
func (d *Dispatcher) chooseShard(ask admitter.Ask) (registrar.Shard, bool) {
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

// handleReport records an event of an attempt on its ticket and sends it to the
// owner.
func (d *Dispatcher) handleReport(now time.Time, t *Ticket, e admitter.Event) {
	t.updateState(e)
	d.sendToOwner(now, t, e)
}

// sendToOwner passes an event to the core of the ticket's shard if this VM owns
// the shard, and sends it to the owner otherwise.
func (d *Dispatcher) sendToOwner(now time.Time, t *Ticket, e admitter.Event) {
	if t.owner == d.self {
		if o := d.ownedShards[t.shard]; o != nil {
			d.step(now, o, e)
		}
		return
	}
	p := admitter.EventToWire(now, t.shard, e)
	d.sender.Send(t.owner, &wire.Envelope{Body: &wire.Envelope_Placement{Placement: p}})
}

// handlePlacement handles a message of another VM: a decision for a ticket of
// this VM, or an event for a shard that this VM owns.
func (d *Dispatcher) handlePlacement(now time.Time, from identifier.VM, p *wire.Placement) {
	if out, err := admitter.OutcomeFromWire(d.self, p); err == nil {
		d.deliverDecision(now, admitter.KeyOf(out), out)
		return
	}
	e, err := admitter.EventFromWire(now, from, p)
	if err != nil {
		d.log.Warn().Err(err).Str("Peer", string(from)).Msg("PlacementNotUnderstood")
		return
	}
	if o := d.ownedShards[identifier.Shard(p.Shard)]; o != nil {
		d.step(now, o, e)
	}
}

// resendAsks resends the asks that have had no answer for askRetryInterval.
func (d *Dispatcher) resendAsks(now time.Time) {
	for _, t := range d.tickets {
		if !t.isAnswered && now.Sub(t.lastExchangeAt) >= askRetryInterval {
			d.sendAsk(now, t)
		}
	}
}
