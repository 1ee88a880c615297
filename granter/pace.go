package granter

// minPaceSeconds is the lower bound of a pace estimate, in seconds. It prevents a
// division by zero for an engine that is faster than the clock's resolution.
const minPaceSeconds = 1e-5

// paceSecondsAt returns the pace over all engines at a batch size, in seconds.
func (c *Core) paceSecondsAt(batch float64) float64 {
	return max(c.pace.At(batch), minPaceSeconds)
}

// paceSecondsAt returns the engine's own pace at a batch size, in seconds.
func (e *engine) paceSecondsAt(batch float64) float64 {
	return max(e.pace.At(batch), minPaceSeconds)
}
