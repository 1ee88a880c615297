// Package dispatcher sends the placement ask of each attempt to the owner VM of
// a shard and returns the owner's decisions. It also runs the placement cores
// of the shards that this VM owns.
package dispatcher

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/registrar"
	"github.com/figtrack/figtrack/wire"
)

const (
	// maxQueuedCommands is the capacity of the command queue. While it is full,
	// Open fails and the other methods that queue a command block. The loop of
	// Run itself never blocks.
	maxQueuedCommands = 8192
	// maxQueuedDecisions is the capacity of a ticket's decision queue.
	maxQueuedDecisions = 8
	// askRetryInterval is how long to wait for an answer before an ask is sent
	// again, to the shard's current owner.
	askRetryInterval = 1 * time.Second
	// tickInterval is the interval at which unanswered asks are checked and the
	// metrics are updated.
	tickInterval = 250 * time.Millisecond
)

// Sender is the part of messenger.Sender that the dispatcher uses.
type Sender interface {
	Send(to identifier.VM, e *wire.Envelope) bool
}

// Core is the part of admitter.Core that the dispatcher uses.
type Core interface {
	Step(now time.Time, e admitter.Event) []admitter.Outcome
	Estimates() admitter.Estimates
}

// NewCore returns a new core for a shard. All its randomness comes from rng.
type NewCore func(shard identifier.Shard, rng *rand.Rand) Core

// View holds the live VMs and the configuration that the dispatcher works with.
type View struct {
	LiveVMs []registrar.VM
	Catalog *registrar.Catalog
	Classes []admitter.Class
}

// Dispatcher is the shell of the placement cores: it passes them events and
// carries out their outcomes. The goroutine of Run owns the fields from view
// on.
type Dispatcher struct {
	self     identifier.VM
	sender   Sender
	newCore  NewCore
	log      zerolog.Logger
	seed     uint64
	commands chan command
	done     chan struct{}
	// snapshots holds the metrics of the owned shards for Collect.
	snapshots atomic.Pointer[[]shardSnapshot]

	view View
	// owners maps each shard of the view to its owner.
	owners  map[identifier.Shard]identifier.VM
	tickets map[admitter.Key]*Ticket
	// ownedShards holds the shards that this VM owns.
	ownedShards map[identifier.Shard]*ownedShard
	// ownedIDs holds the keys of ownedShards, sorted.
	ownedIDs []identifier.Shard
	timer    *time.Timer
}

// ownedShard is a shard that this VM owns, with its core.
type ownedShard struct {
	core  Core
	shard registrar.Shard
	// wakeAt is when the core asked for its next Wake event; zero without one.
	wakeAt time.Time
}

// New returns a dispatcher that does nothing until Run is called. The seed
// feeds the random sources of the cores.
func New(self identifier.VM, sender Sender, newCore NewCore, seed uint64, log zerolog.Logger) *Dispatcher {
	d := &Dispatcher{
		self:        self,
		sender:      sender,
		newCore:     newCore,
		log:         log,
		seed:        seed,
		commands:    make(chan command, maxQueuedCommands),
		done:        make(chan struct{}),
		tickets:     make(map[admitter.Key]*Ticket),
		ownedShards: make(map[identifier.Shard]*ownedShard),
	}
	d.snapshots.Store(&[]shardSnapshot{})
	return d
}

// Run executes commands and wakes the cores until stop is closed.
func (d *Dispatcher) Run(stop <-chan struct{}) {
	defer close(d.done)
	d.timer = time.NewTimer(time.Hour)
	defer d.timer.Stop()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case c := <-d.commands:
			d.handle(time.Now(), c)
		case <-d.timer.C:
		case <-ticker.C:
			d.resendAsks(time.Now())
			d.updateSnapshots()
		}
		d.wakeCores(time.Now())
	}
}

// enqueue queues a command for Run and blocks while the queue is full. It
// returns false once Run has returned.
func (d *Dispatcher) enqueue(c command) bool {
	select {
	case d.commands <- c:
		return true
	case <-d.done:
		return false
	}
}

// SetView replaces the live VMs and the configuration.
func (d *Dispatcher) SetView(v View) { d.enqueue(setView{v}) }

// HandleUpstreamEvent passes an event of an upstream to the core of its shard if
// this VM owns that shard.
func (d *Dispatcher) HandleUpstreamEvent(u identifier.Upstream, e admitter.Event) {
	d.enqueue(upstreamEvent{u, e})
}

// Receive handles a placement message of another VM.
func (d *Dispatcher) Receive(from identifier.VM, p *wire.Placement) {
	d.enqueue(placementReceived{from, p})
}

func (d *Dispatcher) handle(now time.Time, c command) {
	switch c := c.(type) {
	case setView:
		d.handleView(now, c.View)
	case openTicket:
		d.handleOpen(now, c.ticket)
	case reportEvent:
		d.handleReport(now, c.ticket, c.event)
	case closeTicket:
		delete(d.tickets, c.ticket.key)
	case upstreamEvent:
		d.handleUpstreamEvent(now, c.upstream, c.event)
	case placementReceived:
		d.handlePlacement(now, c.from, c.placement)
	}
}

// wakeCores passes Wake to the cores that are due and sets the timer for the
// next one.
func (d *Dispatcher) wakeCores(now time.Time) {
	var next time.Time
	for _, id := range d.ownedIDs {
		o := d.ownedShards[id]
		if !o.wakeAt.IsZero() && !o.wakeAt.After(now) {
			o.wakeAt = time.Time{}
			d.step(now, o, admitter.Wake{})
		}
		if !o.wakeAt.IsZero() && (next.IsZero() || o.wakeAt.Before(next)) {
			next = o.wakeAt
		}
	}
	if next.IsZero() {
		d.timer.Stop()
		return
	}
	d.timer.Reset(max(0, next.Sub(now)))
}

// step passes an event to a core and carries out the outcomes.
func (d *Dispatcher) step(now time.Time, o *ownedShard, e admitter.Event) {
	for _, outcome := range o.core.Step(now, e) {
		switch out := outcome.(type) {
		case admitter.WakeAt:
			o.wakeAt = out.At
		case admitter.Place:
			d.sendDecision(now, o, out.Key, out.To, out)
		case admitter.Move:
			d.sendDecision(now, o, out.Key, out.To, out)
		case admitter.Refuse:
			d.sendDecision(now, o, out.Key, out.To, out)
		case admitter.Abandon:
			d.sendDecision(now, o, out.Key, out.To, out)
		}
	}
}

// newRand returns the source of randomness of a shard's core. It depends only
// on the seed and the shard.
func (d *Dispatcher) newRand(shard identifier.Shard) *rand.Rand {
	return rand.New(rand.NewPCG(d.seed, xxhash.Sum64String(string(shard))))
}
