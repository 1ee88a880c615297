package quarantiner

import "time"

// guard is the suspect that has an upstream to itself among suspects.
type guard struct {
	content Fingerprint
	run     Run
	until   time.Time
}

// guardAsked lets one suspect at a time run on an upstream.
func (c *Core) guardAsked(now time.Time, e GuardAsked) {
	g, taken := c.guards[e.Run.Upstream]
	free := !taken || !now.Before(g.until) || g.run == e.Run
	if free {
		c.guards[e.Run.Upstream] = guard{content: e.Fingerprint, run: e.Run, until: now.Add(GuardLife)}
	}
	c.emit(GuardAnswered{To: e.From, Run: e.Run, Allowed: free})
}

func (c *Core) guardFreed(r Run) {
	if c.guards[r.Upstream].run == r {
		delete(c.guards, r.Upstream)
	}
}
