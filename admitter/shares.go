package admitter

import (
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/figtrack/figtrack/identifier"
)

const (
	// maxWorkspaces bounds the workspaces remembered for one class.
	maxWorkspaces = 4096
	// shareHalfLife is the time in which served work counts half.
	shareHalfLife = 10 * time.Second
)

// shares keeps the service that each workspace of a class had lately.
type shares struct {
	used *simplelru.LRU[identifier.Workspace, *use]
}

// use is the service of one workspace, faded up to at.
type use struct {
	// served is in seconds of prefill.
	served float64
	// waiting is the sum of the costs of its waiting requests in seconds.
	waiting float64
	at      time.Time
}

func newShares() *shares {
	used, err := simplelru.NewLRU[identifier.Workspace, *use](maxWorkspaces, nil)
	if err != nil {
		panic(err)
	}
	return &shares{used: used}
}

func (s *shares) get(w identifier.Workspace) *use {
	if u, ok := s.used.Get(w); ok {
		return u
	}
	u := &use{}
	s.used.Add(w, u)
	return u
}

func (u *use) fade(now time.Time) {
	if now.After(u.at) {
		u.served *= math.Exp2(-now.Sub(u.at).Seconds() / shareHalfLife.Seconds())
		u.at = now
	}
}

// serve counts service in seconds.
func (s *shares) serve(now time.Time, w identifier.Workspace, cost float64) {
	u := s.get(w)
	u.fade(now)
	u.served += cost
}

// usedBy returns the faded service of a workspace in seconds.
func (s *shares) usedBy(now time.Time, w identifier.Workspace) float64 {
	u, ok := s.used.Peek(w)
	if !ok {
		return 0
	}
	u.fade(now)
	return u.served
}
