package quarantiner

import "time"

// guardedRun is the only run of a suspect that the guard allows on an
// upstream.
type guardedRun struct {
	fingerprint Fingerprint
	run         Run
	// expires is when the guard may allow another run even if this one has
	// not been reported as ended.
	expires time.Time
}

// allowRun answers whether a suspect may run on an upstream. It allows one run
// at a time; asking again for the same run renews its GuardTimeout.
func (c *Core) allowRun(now time.Time, e GuardAsked) {
	g, taken := c.guardedRuns[e.Run.Upstream]
	free := !taken || !now.Before(g.expires) || g.run == e.Run
	if free {
		c.guardedRuns[e.Run.Upstream] = guardedRun{fingerprint: e.Fingerprint, run: e.Run, expires: now.Add(GuardTimeout)}
	}
	c.emit(GuardAnswered{To: e.From, Run: e.Run, Allowed: free})
}

// freeUpstream lets the next suspect run on the upstream of r.
func (c *Core) freeUpstream(r Run) {
	if c.guardedRuns[r.Upstream].run == r {
		delete(c.guardedRuns, r.Upstream)
	}
}
