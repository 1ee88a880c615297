package granter

// minPace is the least time a token that is reckoned with, in seconds. An
// engine that answers faster than the clock tells must not lead to a division
// by zero.
const minPace = 1e-5

// paceAt returns the time a token at a batch size, in seconds.
func (c *Core) paceAt(batch float64) float64 {
	return max(c.pace.At(batch), minPace)
}

// paceAt returns the engine's own time a token at a batch size, in seconds.
func (e *engine) paceAt(batch float64) float64 {
	return max(e.pace.At(batch), minPace)
}
