package admitter

import (
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// messageDelay returns the predicted one-way delay of a message between two
// data centres.
func (c *Core) messageDelay(a, b identifier.DataCentre) time.Duration {
	if a == b {
		return c.cfg.LocalDelay
	}
	return c.cfg.CrossDelay
}

// outboundDelay returns the predicted delay from the owner VM to an upstream by
// way of an entry VM.
func (c *Core) outboundDelay(vm identifier.DataCentre, upstream identifier.DataCentre) time.Duration {
	return c.messageDelay(c.cfg.DataCentre, vm) + c.messageDelay(vm, upstream)
}

// returnDelay returns the predicted delay from the prefill engine of an attempt
// to the owner VM by way of the entry VM.
func (c *Core) returnDelay(a *activeAttempt) time.Duration {
	return c.outboundDelay(a.FromDataCentre, c.upstreams[a.place.Prefill].DataCentre)
}

// messageDelayAfterPrefill returns the message delays from the end of a prefill
// to the first token at the entry VM. The prefill engine reports to the entry
// VM, which exchanges four messages with the decode engine to start the
// transfer and then the decode.
func (c *Core) messageDelayAfterPrefill(p *pending, prefillCentre, decodeCentre identifier.DataCentre) time.Duration {
	return c.messageDelay(prefillCentre, p.FromDataCentre) + 4*c.messageDelay(p.FromDataCentre, decodeCentre)
}
