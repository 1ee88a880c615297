package dispatcher

import (
	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/wire"
)

// command is what the loop is told. The set is sealed.
type command interface{ command() }

type setView struct{ View }

type openTicket struct{ ticket *Ticket }

type closeTicket struct{ ticket *Ticket }

type report struct {
	ticket *Ticket
	event  admitter.Event
}

type feed struct {
	upstream identifier.Upstream
	event    admitter.Event
}

type received struct {
	from      identifier.VM
	placement *wire.Placement
}

func (setView) command()     {}
func (openTicket) command()  {}
func (closeTicket) command() {}
func (report) command()      {}
func (feed) command()        {}
func (received) command()    {}
