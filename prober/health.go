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
	// leaving holds who states that an upstream is leaving, sorted. A notice
	// may come before the configuration that names its upstream.
	leaving btree.Map[identifier.Upstream, []Source]
	out     []HealthOutcome
}

// upstream is the state of one upstream.
type upstream struct {
	id identifier.Upstream
	// failures and successes are runs; at most one of them is above zero.
	failures, successes int
	down                bool
	probed              bool
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
	return c.health(u)
}

// health puts leaving above down: a leaving upstream may still hold streams.
func (c *HealthCore) health(u *upstream) Health {
	switch {
	case len(c.sources(u.id)) > 0:
		return HealthLeaving
	case u.down:
		return HealthDown
	default:
		return HealthUp
	}
}

func (c *HealthCore) sources(id identifier.Upstream) []Source {
	s, _ := c.leaving.Get(id)
	return s
}

func (c *HealthCore) report(u *upstream) {
	sources := c.sources(u.id)
	if u.reported == c.health(u) && slices.Equal(sources, u.reportedSources) {
		return
	}
	u.reported = c.health(u)
	u.reportedSources = sources
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
	if slices.Contains(c.sources(e.Upstream), SourceUpstream) == e.Leaving {
		return
	}
	c.noticed(e.Upstream, e.Leaving, SourceUpstream)
	c.out = append(c.out, Announce{Upstream: e.Upstream, Leaving: e.Leaving})
}

func (c *HealthCore) noticed(id identifier.Upstream, leaving bool, source Source) {
	sources := c.sources(id)
	at, has := slices.BinarySearch(sources, source)
	if leaving == has || (leaving && len(sources) == 0 && c.leaving.Len() >= MaxUpstreams) {
		return
	}
	sources = slices.Clone(sources)
	if leaving {
		sources = slices.Insert(sources, at, source)
	} else {
		sources = slices.Delete(sources, at, at+1)
	}
	c.leaving.Set(id, sources)
	if len(sources) == 0 {
		c.leaving.Delete(id)
	}
	if u, ok := c.upstreams.Get(id); ok {
		c.report(u)
	}
}

// assigned takes in the upstreams of a new configuration or live set.
func (c *HealthCore) assigned(now time.Time, e Assigned) {
	all, probed, retired := setOf(e.All), setOf(e.Probed), setOf(e.Retired)
	for _, id := range c.upstreams.Keys() {
		if !all[id] {
			c.upstreams.Delete(id)
			c.leaving.Delete(id)
		}
	}
	for _, id := range e.All {
		c.noticed(id, retired[id], SourceConfiguration)
		c.add(now, id)
	}
	c.upstreams.Scan(func(id identifier.Upstream, u *upstream) bool {
		u.probed = probed[id]
		return true
	})
}

func setOf(ids []identifier.Upstream) map[identifier.Upstream]bool {
	set := make(map[identifier.Upstream]bool, len(ids))
	for _, id := range ids {
		set[id] = true
	}
	return set
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
