package dispatcher

import (
	"time"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/identifier"
)

// Ticket connects one attempt to the owner of its shard: it carries the owner's
// decisions to the attempt and the attempt's events to the owner.
type Ticket struct {
	d   *Dispatcher
	key admitter.Key
	ask admitter.Ask
	// decisions has a capacity of maxQueuedDecisions: the owner sends only a
	// few decisions for an attempt.
	decisions chan admitter.Outcome

	// The fields below belong to the goroutine of Dispatcher.Run.

	shard identifier.Shard
	owner identifier.VM
	// isAnswered is set once the first decision has arrived.
	isAnswered bool
	// lastExchangeAt is when the ask was last sent or the last decision arrived.
	lastExchangeAt time.Time
	// placement is the current placement; empty before the attempt is placed and
	// after it has ended.
	placement admitter.Place
	stage     admitter.Stage
}

// updateState updates placement and stage from a decision or an event of the
// attempt. They are sent to a new owner of the shard.
func (t *Ticket) updateState(e any) {
	switch e := e.(type) {
	case admitter.Place:
		t.placement, t.stage = e, admitter.StagePrefilling
	case admitter.Move:
		t.placement.Decode, t.placement.Pieces = e.Decode, e.Pieces
	case admitter.PrefillEnded:
		t.stage = admitter.StageTransferring
	case admitter.TransferEnded, admitter.FirstToken:
		t.stage = admitter.StageDecoding
	case admitter.Refuse, admitter.Abandon, admitter.Ended, admitter.Withdraw:
		t.placement = admitter.Place{}
	}
}

// Open asks for a placement and returns a ticket that delivers the decisions.
// The caller must close the ticket. Open returns nil, with nothing asked, if
// the command queue is full.
func (d *Dispatcher) Open(ask admitter.Ask) *Ticket {
	t := &Ticket{d: d, key: ask.Key, ask: ask, decisions: make(chan admitter.Outcome, maxQueuedDecisions)}
	select {
	case d.commands <- openTicket{t}:
		return t
	default:
		return nil
	}
}

// Decisions returns the channel of the owner's Place, Move, Refuse and Abandon
// outcomes for this attempt.
func (t *Ticket) Decisions() <-chan admitter.Outcome { return t.decisions }

// Report sends an event of the attempt to the owner.
func (t *Ticket) Report(e admitter.Event) { t.d.enqueue(reportEvent{t, e}) }

// Close removes the ticket. The attempt must have reported Ended or Withdraw
// before if it holds a placement.
func (t *Ticket) Close() { t.d.enqueue(closeTicket{t}) }

// deliver queues a decision. It returns false if the queue is full.
func (t *Ticket) deliver(o admitter.Outcome) bool {
	select {
	case t.decisions <- o:
		return true
	default:
		return false
	}
}
