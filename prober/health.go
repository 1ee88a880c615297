package prober

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tidwall/btree"

	"github.com/figtrack/figtrack/identifier"
)

// Times and bounds of upstream health.
const (
	// FailuresToDown is the run of failures that takes an upstream down.
	FailuresToDown = 3
	// SuccessesToUp is the run of successes that brings it up again.
	SuccessesToUp = 2
	// IdleBeforeProbe is how long an upstream is without traffic before its
	// owner probes it.
	IdleBeforeProbe = 2 * time.Second
	// DownProbeEvery is the time between two probes of a down upstream.
	DownProbeEvery = time.Second
	// ProbeSpread is the most by which a probe is put off at random.
	ProbeSpread = 250 * time.Millisecond
	// MaxUpstreams bounds the known upstreams.
	MaxUpstreams = 4096
)

// HealthCore is the state of the upstreams as one VM sees it. It is advanced
// only by Step.
type HealthCore struct {
	rng       *rand.Rand
	upstreams btree.Map[identifier.Upstream, *upstream]
	out       []HealthOutcome
}

// upstream is the state of one upstream.
type upstream struct {
	id identifier.Upstream
	// failures and successes are runs; at most one of them is above zero.
	failures, successes int
	down                bool
	// sources state that the upstream is leaving, sorted.
	sources []Source
	probed  bool
	// probeAt is when the next probe is due if no call comes before.
	probeAt time.Time
	// reported is the state that was last given out.
	reported Health
	// reportedSources are the sources that were last given out.
	reportedSources []Source
}

// NewHealth returns a core without upstreams. The rng is owned by the core
// afterwards.
func NewHealth(rng *rand.Rand) *HealthCore { return &HealthCore{rng: rng} }

// Step advances the core.
func (c *HealthCore) Step(now time.Time, e HealthEvent) []HealthOutcome {
	c.out = nil
	switch e := e.(type) {
	case Succeeded:
		c.succeeded(now, e.Upstream)
	case Failed:
		c.failed(now, e.Upstream)
	case AnsweredLeaving:
		c.answered(e)
	case Noticed:
		c.noticed(e.Upstream, e.Leaving, e.Source)
	case Assigned:
		c.assigned(now, e)
	case HealthWake:
	}
	c.probeDue(now)
	return c.out
}

// HealthOf returns the state of an upstream; an unknown one is down.
func (c *HealthCore) HealthOf(id identifier.Upstream) Health {
	u, ok := c.upstreams.Get(id)
	if !ok {
		return HealthDown
	}
	return u.health()
}

// health puts leaving above down: a leaving upstream may still hold streams.
func (u *upstream) health() Health {
	switch {
	case len(u.sources) > 0:
		return HealthLeaving
	case u.down:
		return HealthDown
	default:
		return HealthUp
	}
}

func (c *HealthCore) report(u *upstream) {
	if u.reported == u.health() && slices.Equal(u.sources, u.reportedSources) {
		return
	}
	u.reported = u.health()
	u.reportedSources = slices.Clone(u.sources)
	c.out = append(c.out, HealthChanged{Upstream: u.id, Health: u.reported, Sources: u.reportedSources})
}

func (c *HealthCore) succeeded(now time.Time, id identifier.Upstream) {
	u, ok := c.upstreams.Get(id)
	if !ok {
		return
	}
	u.failures = 0
	u.successes = min(u.successes+1, SuccessesToUp)
	if u.successes >= SuccessesToUp {
		u.down = false
	}
	c.postpone(now, u)
	c.report(u)
}

func (c *HealthCore) failed(now time.Time, id identifier.Upstream) {
	u, ok := c.upstreams.Get(id)
	if !ok {
		return
	}
	u.successes = 0
	u.failures = min(u.failures+1, FailuresToDown)
	if u.failures >= FailuresToDown {
		u.down = true
	}
	c.postpone(now, u)
	c.report(u)
}

// answered takes in an upstream's own answer. Only its change is announced.
func (c *HealthCore) answered(e AnsweredLeaving) {
	u, ok := c.upstreams.Get(e.Upstream)
	if !ok || slices.Contains(u.sources, SourceUpstream) == e.Leaving {
		return
	}
	c.noticed(e.Upstream, e.Leaving, SourceUpstream)
	c.out = append(c.out, Announce{Upstream: e.Upstream, Leaving: e.Leaving})
}

func (c *HealthCore) noticed(id identifier.Upstream, leaving bool, source Source) {
	u, ok := c.upstreams.Get(id)
	if !ok {
		return
	}
	at, has := slices.BinarySearch(u.sources, source)
	if leaving && !has {
		u.sources = slices.Insert(u.sources, at, source)
	}
	if !leaving && has {
		u.sources = slices.Delete(u.sources, at, at+1)
	}
	c.report(u)
}

// assigned takes in the upstreams of a new configuration or live set.
func (c *HealthCore) assigned(now time.Time, e Assigned) {
	all := make(map[identifier.Upstream]bool, len(e.All))
	for _, id := range e.All {
		all[id] = true
		c.add(now, id)
	}
	probed := make(map[identifier.Upstream]bool, len(e.Probed))
	for _, id := range e.Probed {
		probed[id] = true
	}
	for _, id := range c.upstreams.Keys() {
		if !all[id] {
			c.upstreams.Delete(id)
			continue
		}
		u, _ := c.upstreams.Get(id)
		u.probed = probed[id]
	}
}

func (c *HealthCore) add(now time.Time, id identifier.Upstream) {
	if _, ok := c.upstreams.Get(id); ok || c.upstreams.Len() >= MaxUpstreams {
		return
	}
	u := &upstream{id: id}
	c.upstreams.Set(id, u)
	c.postpone(now, u)
	c.report(u)
}

// postpone sets the next probe after a call.
func (c *HealthCore) postpone(now time.Time, u *upstream) {
	wait := IdleBeforeProbe
	if u.down || u.failures > 0 {
		wait = DownProbeEvery
	}
	u.probeAt = now.Add(wait + time.Duration(c.rng.Int64N(int64(ProbeSpread))))
}

// probeDue probes what was idle for long and asks for the next wake.
func (c *HealthCore) probeDue(now time.Time) {
	var next time.Time
	c.upstreams.Scan(func(id identifier.Upstream, u *upstream) bool {
		if !u.probed {
			return true
		}
		if !now.Before(u.probeAt) {
			c.postpone(now, u)
			c.out = append(c.out, ProbeUpstream{Upstream: id})
		}
		if next.IsZero() || u.probeAt.Before(next) {
			next = u.probeAt
		}
		return true
	})
	if !next.IsZero() {
		c.out = append(c.out, HealthWakeAt{At: next})
	}
}
