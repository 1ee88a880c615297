package admitter

import (
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/figtrack/figtrack/identifier"
)

const (
	// maxWorkspaces limits the workspaces tracked per class.
	maxWorkspaces = 4096
	// usageHalfLife is the half-life of the weight of past service.
	usageHalfLife = 10 * time.Second
)

// workspaceShares tracks the recent service of each workspace of a class.
type workspaceShares struct {
	byWorkspace *simplelru.LRU[identifier.Workspace, *workspaceUsage]
}

// workspaceUsage is the service of one workspace, decayed to the time updated.
type workspaceUsage struct {
	// served is in seconds of service cost.
	served float64
	// waiting is the total cost of its waiting requests in seconds.
	waiting float64
	updated time.Time
}

func newWorkspaceShares() *workspaceShares {
	used, err := simplelru.NewLRU[identifier.Workspace, *workspaceUsage](maxWorkspaces, nil)
	if err != nil {
		panic(err)
	}
	return &workspaceShares{byWorkspace: used}
}

func (s *workspaceShares) get(w identifier.Workspace) *workspaceUsage {
	if u, ok := s.byWorkspace.Get(w); ok {
		return u
	}
	u := &workspaceUsage{}
	s.byWorkspace.Add(w, u)
	return u
}

func (u *workspaceUsage) decay(now time.Time) {
	if now.After(u.updated) {
		u.served *= math.Exp2(-now.Sub(u.updated).Seconds() / usageHalfLife.Seconds())
		u.updated = now
	}
}

// addServed adds service in seconds.
func (s *workspaceShares) addServed(now time.Time, w identifier.Workspace, cost float64) {
	u := s.get(w)
	u.decay(now)
	u.served += cost
}

// usageOf returns the decayed service of a workspace in seconds.
func (s *workspaceShares) usageOf(now time.Time, w identifier.Workspace) float64 {
	u, ok := s.byWorkspace.Peek(w)
	if !ok {
		return 0
	}
	u.decay(now)
	return u.served
}
