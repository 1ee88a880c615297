package tracker

import (
	"time"

	"github.com/figtrack/figtrack/identifier"
)

const (
	// MaxPause bounds the pause that a runner may ask for.
	MaxPause = 5 * time.Minute
	// TrialTimeout is how long the first request after a pause keeps others from the
	// runner if it gets no answer.
	TrialTimeout = 500 * time.Millisecond
)

// pause is a pause that a runner asked for.
type pause struct {
	// pausedUntil is when the pause is over; zero once a request was accepted after
	// it. trialUntil is until when the first request after it may take for an answer.
	pausedUntil, trialUntil time.Time
}

// RecordPause records that a runner asked this VM to send it nothing for a time. A
// later, shorter pause doesn't shorten an earlier one. A pause of a runner whose entry
// was removed counts once it is back with the same start.
func (t *Tracker) RecordPause(now time.Time, r Runner, pause time.Duration) []Change {
	u := t.current(r)
	until := now.Add(min(pause, MaxPause))
	if d, ok := t.departed[r.ID]; ok && u == nil && d.Start == r.Start && until.After(d.pausedUntil) {
		d.pausedUntil, d.trialUntil = until, time.Time{}
		t.departed[r.ID] = d
	}
	if u == nil || !until.After(u.pausedUntil) {
		return nil
	}
	isNew := !now.Before(u.pausedUntil)
	u.pausedUntil, u.trialUntil = until, time.Time{}
	if !isNew {
		return nil
	}
	return []Change{Paused{u.Runner, until}}
}

// BeginTrial records a request to a runner. After a pause others wait for its answer,
// so that not all requests return to the runner at once.
func (t *Tracker) BeginTrial(now time.Time, r Runner) {
	if u := t.current(r); u != nil && !u.pausedUntil.IsZero() && !now.Before(u.pausedUntil) {
		u.trialUntil = now.Add(TrialTimeout)
	}
}

// RecordAccepted records that a runner has accepted a request, which ends its pause
// if the time of that is over.
func (t *Tracker) RecordAccepted(now time.Time, r Runner) []Change {
	u := t.current(r)
	if u == nil || u.pausedUntil.IsZero() || now.Before(u.pausedUntil) {
		return nil
	}
	u.pausedUntil, u.trialUntil = time.Time{}, time.Time{}
	return []Change{Resumed{u.Runner}}
}

// IsPaused reports whether a runner asked for a pause that isn't over.
func (t *Tracker) IsPaused(now time.Time, r Runner) bool {
	u := t.current(r)
	return u != nil && now.Before(u.pausedUntil)
}

// RefusesNew reports whether a runner has left, leaves or is paused.
func (t *Tracker) RefusesNew(now time.Time, r Runner) bool {
	u := t.current(r)
	return u == nil || u.Leaving || now.Before(u.pausedUntil)
}

// PauseLeft returns the time until one of a pool's runners that answer requests may
// be used again. It is zero if one may be used now, as far as pauses go, or if there is
// none at all.
func (t *Tracker) PauseLeft(now time.Time, pool identifier.Pool) time.Duration {
	least := time.Duration(0)
	for _, u := range t.pools[pool] {
		if u.Leaving || u.Role == identifier.RolePrefill {
			continue
		}
		if !u.isHeldBack(now) {
			return 0
		}
		left := max(u.pausedUntil.Sub(now), u.trialUntil.Sub(now))
		if least == 0 || left < least {
			least = left
		}
	}
	return least
}

// isHeldBack reports whether a runner is paused, or tried by one request after a
// pause.
func (u *upstream) isHeldBack(now time.Time) bool {
	return !u.pausedUntil.IsZero() && (now.Before(u.pausedUntil) || now.Before(u.trialUntil))
}
