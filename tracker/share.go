package tracker

import (
	"math"
	"time"

	"github.com/figtrack/figtrack/identifier"
)

const (
	// reserveRatio is the number of reservations allowed for each granted one, as four may be
	// refused for each granted one in a burst. Digests that come more than lateDigests apart
	// show an excess so late that lateReserveRatio has to hold.
	reserveRatio     = 5
	lateReserveRatio = 3.5
	lateDigests      = 500 * time.Millisecond
	// plainRatio is the number of calls to plain services allowed for each accepted one. The
	// retry budget allows an extra send for each fifth request.
	plainRatio = 1.5
	// spillShare is the share of the memory of the own data centre's engines that has to be
	// free for all requests to stay there, and spillRatio how many times as much has to be free
	// elsewhere for some to leave: engines there are half empty while those here are full.
	spillShare = 0.25
	spillRatio = 2
	// rejectionWeight is the weight of the latest call in the moving average of rejections.
	rejectionWeight = 0.1
	// trialSpread is by how many requests the room of two engines differs of which such a
	// reservation takes the roomier one about three times as often. VMs with equal digests
	// would all take the same engine if each took the one with the most room.
	trialSpread = 0.25
	// trialPause is the time between two such reservations of a VM, about a round trip. Memory
	// that others have freed is known only from the next digest on, and callers wait for less
	// than that.
	trialPause = 5 * time.Millisecond
	// meanCallsTime is the time of the moving average of calls at plain services.
	meanCallsTime = 10 * time.Second
	// nearShare is the share of free slots in the own data centre from which on all calls
	// stay there; at half of it they go to all services alike.
	nearShare = 0.6
	// baseShare is added to the share of a plain service's slots that is free in its weight.
	// Calls last a fraction of the age of a digest, so that little follows from their number.
	baseShare = 1
)

// sample chooses at random among runners, in proportion to their weights.
type sample struct {
	found *upstream
	total float64
}

func (s *sample) add(random float64, u *upstream, weight float64) {
	if s.total += weight; weight > 0 && random*s.total < weight {
		s.found = u
	}
}

// centre sums up the decode engines with room in some data centres.
type centre struct {
	sample
	free, memory float64
}

func (c *centre) add(random float64, u *upstream, room, free, memory float64) {
	c.free += max(0, free)
	c.memory += memory
	if room >= 1 {
		c.sample.add(random, u, room/u.failureFactor())
	}
}

// needsMoreThan reports whether engines have little free memory compared with others.
func (c *centre) needsMoreThan(far centre) bool {
	return c.free < spillShare*c.memory && far.free*c.memory > spillRatio*c.free*far.memory
}

// decodeByRoom chooses among the engines with room for tokens by the estimate, first among
// those of the VM's data centre. If there are none, it may return one of those with the
// most room: engines take requests that have not grown yet, and the estimate may be wrong.
func (t *Tracker) decodeByRoom(now time.Time, pool identifier.Pool, tokens identifier.Tokens, from Choice) (Runner, bool) {
	var near, far, all centre
	var freed, trial sample
	memory := float64(t.sizes[pool].Memory)
	for _, u := range t.pools[pool] {
		if u.Leaving || from.Without[u.ID] || u.isHeldBack(now) || !u.canDecode(now, tokens, from) {
			continue
		}
		room, free := t.room(u, tokens), float64(t.freeMemory(u))
		if room >= 1 && u.reported.Tokens-u.own().Tokens >= tokens {
			freed.add(t.random.Float64(), u, 1)
		}
		if room < 1 {
			trial.add(t.random.Float64(), u, math.Exp(room/trialSpread))
		}
		all.add(t.random.Float64(), u, room, free, memory)
		if u.DataCentre == t.dataCentre {
			near.add(t.random.Float64(), u, room, free, memory)
		} else {
			far.add(t.random.Float64(), u, room, free, memory)
		}
	}
	found := near.found
	if found == nil || near.needsMoreThan(far) {
		found = all.found
	}
	if found == nil && (from.IsCheck || trial.found != nil && t.allowsTrial(now, pool)) {
		found = trial.found
	}
	if found != nil && !from.IsCheck && !t.allowsRefusal(now, pool) {
		found = freed.found // Room that this VM has left is known for certain.
	}
	if found == nil {
		return Runner{}, false
	}
	return found.Runner, true
}

// allowsTrial reports whether this VM may make a reservation at an engine that has no room by
// the estimate, and counts it.
func (t *Tracker) allowsTrial(now time.Time, pool identifier.Pool) bool {
	c := t.countsOf(now, pool)
	if now.Before(c.trialAt) {
		return false
	}
	c.trialAt = now.Add(trialPause)
	return true
}

// failureFactor divides the weight of a runner whose calls fail: a failed call costs as much
// as many calls to another data centre.
func (u *upstream) failureFactor() float64 {
	return 1 + u.failures*float64(failureCost)/float64(crossDataCentreCost)
}

// canDecode reports whether an engine may be asked to reserve memory.
func (u *upstream) canDecode(now time.Time, tokens identifier.Tokens, from Choice) bool {
	return u.Role == identifier.RoleDecode && from.allows(u) && (!now.Before(u.fullUntil) || tokens < u.smallestRefused) &&
		!now.Before(u.roleChangeUntil) && !now.Before(u.suspectUntil)
}

// plainByRoom chooses a plain service in proportion to the calls that it takes in a time and
// to its free slots. It returns false if each is suspected or full.
func (t *Tracker) plainByRoom(now time.Time, pool identifier.Pool, from Choice) (Runner, bool) {
	var near, all sample
	var nearFree, nearSlots float64
	for _, u := range t.pools[pool] {
		if u.Role != identifier.RolePlain || !from.allows(u) || u.Leaving || from.Without[u.ID] || u.isHeldBack(now) ||
			now.Before(u.suspectUntil) || now.Before(u.fullUntil) {
			continue
		}
		slots := float64(max(u.Slots, 1))
		free := slots - t.estimatedCalls(now, u)
		accepting := 1 - u.rejections
		weight := accepting * accepting * (max(0, free) + baseShare*slots) / u.meanLatency().Seconds() / u.failureFactor()
		all.add(t.random.Float64(), u, weight)
		if u.DataCentre == t.dataCentre {
			near.add(t.random.Float64(), u, weight)
			nearFree += accepting * max(0, free)
			nearSlots += slots
		}
	}
	found := all.found
	if stay := (nearFree/max(nearSlots, 1) - nearShare/2) / (nearShare / 2); near.found != nil && t.random.Float64() < stay {
		found = near.found
	}
	if found == nil {
		return Runner{}, false
	}
	return found.Runner, true
}

// estimatedCalls returns the calls of all VMs at a plain service. What a digest says of single
// calls holds about as long as they last; after that only their mean is known.
func (t *Tracker) estimatedCalls(now time.Time, u *upstream) float64 {
	age := now.Sub(t.digestAt) + t.digestInterval/2 // The reports in it are older on average.
	fresh := math.Exp(-age.Seconds() / u.meanLatency().Seconds())
	return float64(u.own().Calls) + u.meanCalls + fresh*(float64(u.others.Calls)-u.meanCalls)
}

// meanLatency returns the time that a call to a runner takes.
func (u *upstream) meanLatency() time.Duration {
	if u.latency == 0 {
		return defaultPlainLatency
	}
	return u.latency
}
