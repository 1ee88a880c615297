// Package dispatcher brings each request to the owner VM of a shard and the
// owner's decisions back. It keeps the cores of the shards that this VM owns.
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
	// ringLength is the most commands waiting for the dispatcher. A sender
	// that finds the ring full gets a refusal for a new request and waits
	// with anything else: the loop itself never waits.
	ringLength = 8192
	// ticketLength is the most decisions waiting for one attempt.
	ticketLength = 8
	// askAgainAfter is how long an unanswered ask waits for its owner before
	// it is sent again, to the owner of then.
	askAgainAfter = 1 * time.Second
	// tick is the pace of the checks for unanswered asks.
	tick = 250 * time.Millisecond
)

// Sender is the part of the messenger that carries placements.
type Sender interface {
	Send(to identifier.VM, e *wire.Envelope) bool
}

// Core is the part of admitter.Core that is driven here.
type Core interface {
	Step(now time.Time, e admitter.Event) []admitter.Outcome
	Estimates() admitter.Estimates
}

// NewCore makes the core of a shard with a seeded source.
type NewCore func(shard identifier.Shard, rng *rand.Rand) Core

// View is what the dispatcher knows of the fleet and of the configuration.
type View struct {
	Live    []registrar.VM
	Catalog *registrar.Catalog
	Classes []admitter.Class
}

// Dispatcher is the shell of the cores of placement. Its loop is one
// goroutine that owns all fields below ring.
type Dispatcher struct {
	self    identifier.VM
	sender  Sender
	newCore NewCore
	log     zerolog.Logger
	seed    uint64
	ring    chan command
	done    chan struct{}
	// snapshots are what the metrics tell of the owned shards.
	snapshots atomic.Pointer[[]snapshot]

	view View
	// owners names the VM that owns each shard of the view.
	owners  map[identifier.Shard]identifier.VM
	tickets map[admitter.Key]*Ticket
	// owned has one entry for each shard whose owner is this VM.
	owned map[identifier.Shard]*owned
	// order holds the keys of owned, sorted.
	order []identifier.Shard
	timer *time.Timer
}

// owned is a core with the time at which it wants to be woken.
type owned struct {
	core   Core
	shard  registrar.Shard
	wakeAt time.Time
}

// New returns a dispatcher; Run drives it.
func New(self identifier.VM, sender Sender, newCore NewCore, seed uint64, log zerolog.Logger) *Dispatcher {
	d := &Dispatcher{
		self:    self,
		sender:  sender,
		newCore: newCore,
		log:     log,
		seed:    seed,
		ring:    make(chan command, ringLength),
		done:    make(chan struct{}),
		tickets: make(map[admitter.Key]*Ticket),
		owned:   make(map[identifier.Shard]*owned),
	}
	d.snapshots.Store(&[]snapshot{})
	return d
}

// Run drives the dispatcher until stop is closed.
func (d *Dispatcher) Run(stop <-chan struct{}) {
	defer close(d.done)
	d.timer = time.NewTimer(time.Hour)
	defer d.timer.Stop()
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case c := <-d.ring:
			d.handle(time.Now(), c)
		case <-d.timer.C:
		case <-ticker.C:
			d.askAgain(time.Now())
			d.publish()
		}
		d.wake(time.Now())
	}
}

// put hands a command to the loop. It returns false after the loop's end.
func (d *Dispatcher) put(c command) bool {
	select {
	case d.ring <- c:
		return true
	case <-d.done:
		return false
	}
}

// SetView replaces the view of the fleet and of the configuration.
func (d *Dispatcher) SetView(v View) { d.put(setView{v}) }

// Feed gives an event of an upstream to the core of its shard, where this VM
// owns it.
func (d *Dispatcher) Feed(u identifier.Upstream, e admitter.Event) { d.put(feed{u, e}) }

// Receive takes a message of another VM.
func (d *Dispatcher) Receive(from identifier.VM, p *wire.Placement) { d.put(received{from, p}) }

func (d *Dispatcher) handle(now time.Time, c command) {
	switch c := c.(type) {
	case setView:
		d.setView(now, c.View)
	case openTicket:
		d.open(now, c.ticket)
	case report:
		d.report(now, c.ticket, c.event)
	case closeTicket:
		delete(d.tickets, c.ticket.key)
	case feed:
		d.feed(now, c.upstream, c.event)
	case received:
		d.receive(now, c.from, c.placement)
	}
}

// wake steps the cores that are due and sets the timer for the next one.
func (d *Dispatcher) wake(now time.Time) {
	var next time.Time
	for _, id := range d.order {
		o := d.owned[id]
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

func (d *Dispatcher) step(now time.Time, o *owned, e admitter.Event) {
	for _, outcome := range o.core.Step(now, e) {
		switch out := outcome.(type) {
		case admitter.WakeAt:
			o.wakeAt = out.At
		case admitter.Place:
			d.decided(now, o, out.Key, out.To, out)
		case admitter.Move:
			d.decided(now, o, out.Key, out.To, out)
		case admitter.Refuse:
			d.decided(now, o, out.Key, out.To, out)
		case admitter.Abandon:
			d.decided(now, o, out.Key, out.To, out)
		}
	}
}

func (d *Dispatcher) source(shard identifier.Shard) *rand.Rand {
	return rand.New(rand.NewPCG(d.seed, xxhash.Sum64String(string(shard))))
}
