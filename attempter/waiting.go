package attempter

import (
	"time"

	"github.com/figtrack/figtrack/shedder"
)

// recordGranted counts the request among those for which a runner had room.
func (c *Core) recordGranted(now time.Time) {
	c.fleet.UpdateWaiting(now, c.job.Pool, func(s *shedder.Core) { s.RecordGranted(now) })
}

// recordRefused counts the request among those for which no runner had room, if that is the
// reason of its refusal.
func (c *Core) recordRefused(now time.Time, reason Reason) {
	switch reason {
	case ReasonNoMemory, ReasonBusy, ReasonBudget:
		c.fleet.UpdateWaiting(now, c.job.Pool, func(s *shedder.Core) { s.RecordRefused(now) })
	}
}
