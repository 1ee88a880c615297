package prober

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tidwall/btree"

	"github.com/figtrack/figtrack/identifier"
)

// Intervals and limits of upstream health.
const (
	// FailuresToDown is the number of consecutive failures after which an
	// upstream is down.
	FailuresToDown = 3
	// SuccessesToUp is the number of consecutive successes after which it is
	// up again.
	SuccessesToUp = 2
	// IdleBeforeProbe is how long an upstream must be without traffic before
	// its owner probes it.
	IdleBeforeProbe = 2 * time.Second
	// DownProbeInterval is the time between two probes of an upstream that is
	// down or whose last call failed.
	DownProbeInterval = time.Second
	// MaxProbeJitter is the maximum random delay added to a probe.
	MaxProbeJitter = 250 * time.Millisecond
	// MaxUpstreams bounds the known upstreams.
	MaxUpstreams = 4096
)

// HealthCore tracks the state of the upstreams as seen by one VM. Only Step
// changes its state.
type HealthCore struct {
	rng       *rand.Rand
	upstreams btree.Map[identifier.Upstream, *upstream]
	// leaving holds, for each leaving upstream, the sources that report it,
	// sorted. A notice may arrive before the configuration that adds its
	// upstream.
	leaving  btree.Map[identifier.Upstream, []Source]
	outcomes []HealthOutcome
}

// upstream is the state of one upstream.
type upstream struct {
	id identifier.Upstream
	// failures and successes count consecutive results; at most one of them
	// is above zero.
	failures, successes int
	down                bool
	// probed is true if this VM probes the upstream when it is idle.
	probed bool
	// probeAt is when the next probe is due if no call is reported before.
	probeAt time.Time
	// reported is the state last reported by HealthChanged.
	reported Health
	// reportedSources are the sources last reported by HealthChanged.
	reportedSources []Source
}

// NewHealth returns a core without upstreams. The core takes ownership of rng.
func NewHealth(rng *rand.Rand) *HealthCore { return &HealthCore{rng: rng} }

// Step handles an event and returns the outcomes.
func (c *HealthCore) Step(now time.Time, e HealthEvent) []HealthOutcome {
	c.outcomes = nil
	switch e := e.(type) {
	case Succeeded:
		c.handleSucceeded(now, e.Upstream)
	case Failed:
		c.handleFailed(now, e.Upstream)
	case AnsweredLeaving:
		c.handleAnsweredLeaving(e)
	case LeavingNoticed:
		c.applyNotice(e.Upstream, e.Leaving, e.Source)
	case Assigned:
		c.handleAssigned(now, e)
	case HealthWake:
	}
	c.probeDue(now)
	return c.outcomes
}

// HealthOf returns the state of an upstream; an unknown one is down.
func (c *HealthCore) HealthOf(id identifier.Upstream) Health {
	u, ok := c.upstreams.Get(id)
	if !ok {
		return HealthDown
	}
	return c.health(u)
}

// health returns the state of an upstream. Leaving takes precedence over down, as
// a leaving upstream may still serve streams.
func (c *HealthCore) health(u *upstream) Health {
	switch {
	case len(c.sourcesOf(u.id)) > 0:
		return HealthLeaving
	case u.down:
		return HealthDown
	default:
		return HealthUp
	}
}

func (c *HealthCore) sourcesOf(id identifier.Upstream) []Source {
	s, _ := c.leaving.Get(id)
	return s
}

func (c *HealthCore) reportChange(u *upstream) {
	sources := c.sourcesOf(u.id)
	if u.reported == c.health(u) && slices.Equal(sources, u.reportedSources) {
		return
	}
	u.reported = c.health(u)
	u.reportedSources = sources
	c.outcomes = append(c.outcomes, HealthChanged{Upstream: u.id, Health: u.reported, Sources: u.reportedSources})
}

func (c *HealthCore) handleSucceeded(now time.Time, id identifier.Upstream) {
	u, ok := c.upstreams.Get(id)
	if !ok {
		return
	}
	u.failures = 0
	u.successes = min(u.successes+1, SuccessesToUp)
	if u.successes >= SuccessesToUp {
		u.down = false
	}
	c.scheduleProbe(now, u)
	c.reportChange(u)
}

func (c *HealthCore) handleFailed(now time.Time, id identifier.Upstream) {
	u, ok := c.upstreams.Get(id)
	if !ok {
		return
	}
	u.successes = 0
	u.failures = min(u.failures+1, FailuresToDown)
	if u.failures >= FailuresToDown {
		u.down = true
	}
	c.scheduleProbe(now, u)
	c.reportChange(u)
}

// handleAnsweredLeaving applies an upstream's own answer, and announces it if it
// has changed.
func (c *HealthCore) handleAnsweredLeaving(e AnsweredLeaving) {
	if slices.Contains(c.sourcesOf(e.Upstream), SourceUpstream) == e.Leaving {
		return
	}
	c.applyNotice(e.Upstream, e.Leaving, SourceUpstream)
	c.outcomes = append(c.outcomes, AnnounceLeaving{Upstream: e.Upstream, Leaving: e.Leaving})
}

func (c *HealthCore) applyNotice(id identifier.Upstream, leaving bool, source Source) {
	sources := c.sourcesOf(id)
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
		c.reportChange(u)
	}
}

// handleAssigned applies the upstreams of a new configuration or live set.
func (c *HealthCore) handleAssigned(now time.Time, e Assigned) {
	all, probed, retired := setOf(e.All), setOf(e.Probed), setOf(e.Retired)
	for _, id := range c.upstreams.Keys() {
		if !all[id] {
			c.upstreams.Delete(id)
			c.leaving.Delete(id)
		}
	}
	for _, id := range e.All {
		c.applyNotice(id, retired[id], SourceConfiguration)
		c.addUpstream(now, id)
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

func (c *HealthCore) addUpstream(now time.Time, id identifier.Upstream) {
	if _, ok := c.upstreams.Get(id); ok || c.upstreams.Len() >= MaxUpstreams {
		return
	}
	u := &upstream{id: id}
	c.upstreams.Set(id, u)
	c.scheduleProbe(now, u)
	c.reportChange(u)
}

// scheduleProbe sets the time of the next probe.
func (c *HealthCore) scheduleProbe(now time.Time, u *upstream) {
	wait := IdleBeforeProbe
	if u.down || u.failures > 0 {
		wait = DownProbeInterval
	}
	u.probeAt = now.Add(wait + time.Duration(c.rng.Int64N(int64(MaxProbeJitter))))
}

// probeDue probes the upstreams whose probe is due and requests the next wake.
func (c *HealthCore) probeDue(now time.Time) {
	var next time.Time
	c.upstreams.Scan(func(id identifier.Upstream, u *upstream) bool {
		if !u.probed {
			return true
		}
		if !now.Before(u.probeAt) {
			c.scheduleProbe(now, u)
			c.outcomes = append(c.outcomes, ProbeUpstream{Upstream: id})
		}
		if next.IsZero() || u.probeAt.Before(next) {
			next = u.probeAt
		}
		return true
	})
	if !next.IsZero() {
		c.outcomes = append(c.outcomes, HealthWakeAt{At: next})
	}
}
