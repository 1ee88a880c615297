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
