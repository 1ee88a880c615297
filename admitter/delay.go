package admitter

import (
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// delay is the predicted one-way time of a message.
func (c *Core) delay(a, b identifier.DataCentre) time.Duration {
	if a == b {
		return c.cfg.LocalDelay
	}
	return c.cfg.CrossDelay
}

// out returns the time from here to an upstream by way of an entry VM.
func (c *Core) reach(vm identifier.DataCentre, upstream identifier.DataCentre) time.Duration {
	return c.delay(c.cfg.DataCentre, vm) + c.delay(vm, upstream)
}

// back returns the time from an attempt's prefill engine to here by way of
// its entry VM.
func (c *Core) back(a *active) time.Duration {
	return c.reach(a.FromDataCentre, c.upstreams[a.place.Prefill].DataCentre)
}

// messages is the time that messages take from the end of a prefill to the
// first token at the entry VM: the end of the prefill is told to the VM,
// which starts the transfer and then the decode.
func (c *Core) messages(p *pending, prefill, decode identifier.DataCentre) time.Duration {
	return c.delay(prefill, p.FromDataCentre) + 4*c.delay(p.FromDataCentre, decode)
}
