package dispatcher

import (
	"time"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/identifier"
)

// Ticket is one attempt's connection to the owner of its shard.
type Ticket struct {
	d   *Dispatcher
	key admitter.Key
	ask admitter.Ask
	// decisions is bounded; the owner sends at most a few for an attempt.
	decisions chan admitter.Outcome

	// The fields below belong to the dispatcher's loop.

	shard identifier.Shard
	owner identifier.VM
	// answered says that a first decision has come.
	answered bool
	sentAt   time.Time
	// place is the placement that stands; empty before it and once it has
	// ended.
	place admitter.Place
	stage admitter.Stage
}

// follow keeps what a new owner of the shard must be told.
func (t *Ticket) follow(e any) {
	switch e := e.(type) {
	case admitter.Place:
		t.place, t.stage = e, admitter.StagePrefilling
	case admitter.Move:
		t.place.Decode, t.place.Pieces = e.Decode, e.Pieces
	case admitter.PrefillEnded:
		t.stage = admitter.StageTransferring
	case admitter.TransferEnded, admitter.FirstToken:
		t.stage = admitter.StageDecoding
	case admitter.Refuse, admitter.Abandon, admitter.Ended, admitter.Withdraw:
		t.place = admitter.Place{}
	}
}

// Open asks for a placement. The decisions come on the ticket, which must be
// closed. A nil ticket means that the ring is full and nothing was asked.
func (d *Dispatcher) Open(ask admitter.Ask) *Ticket {
	t := &Ticket{d: d, key: ask.Key, ask: ask, decisions: make(chan admitter.Outcome, ticketLength)}
	select {
	case d.ring <- openTicket{t}:
		return t
	default:
		return nil
	}
}

// Decisions gives Place, Move, Refuse and Abandon for this attempt.
func (t *Ticket) Decisions() <-chan admitter.Outcome { return t.decisions }

// Report tells the owner what became of the attempt.
func (t *Ticket) Report(e admitter.Event) { t.d.put(report{t, e}) }

// Close ends the ticket. What the attempt still holds must have been reported
// as ended or withdrawn before.
func (t *Ticket) Close() { t.d.put(closeTicket{t}) }

func (t *Ticket) deliver(o admitter.Outcome) bool {
	select {
	case t.decisions <- o:
		return true
	default:
		return false
	}
}
