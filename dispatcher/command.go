package dispatcher

import (
	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/wire"
)

// command is a message to the goroutine of Run. Only the types of this file
// implement it.
type command interface{ command() }

type setView struct{ View }

type openTicket struct{ ticket *Ticket }

type closeTicket struct{ ticket *Ticket }

type reportEvent struct {
	ticket *Ticket
	event  admitter.Event
}

type upstreamEvent struct {
	upstream identifier.Upstream
	event    admitter.Event
}

type placementReceived struct {
	from      identifier.VM
	placement *wire.Placement
}

func (setView) command()           {}
func (openTicket) command()        {}
func (closeTicket) command()       {}
func (reportEvent) command()       {}
func (upstreamEvent) command()     {}
func (placementReceived) command() {}
