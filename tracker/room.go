package tracker

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/throttler"
)

// RunnerHash identifies a start of a runner between VMs. Two runners of a fleet that share a
// hash, which is unlikely, count with the load of both.
type RunnerHash uint32

// HashOf returns the hash of a start of a runner.
func HashOf(r Runner) RunnerHash {
	return RunnerHash(xxhash.Sum64String(string(r.ID) + "\x00" + strconv.FormatUint(uint64(r.Start), 10)))
}

// Occupied is work in flight at a runner.
type Occupied struct {
	// Calls is the number of calls and of reservations without a call.
	Calls int
	// Tokens is the decode memory that they occupy when they are complete.
	Tokens identifier.Tokens
}

func (o Occupied) isZero() bool { return o == Occupied{} }

// Size is the capacity of one decode engine.
type Size struct {
	Memory identifier.Tokens
	Slots  int
}

// Sized carries the capacities of the decode engines of all pools with engines.
type Sized struct{ Pools map[identifier.Pool]Size }

// Digested carries the work of all VMs by the digest that answers the report that
// EncodeReport has written last, and when that was sent.
type Digested struct {
	SentAt time.Time
	All    map[RunnerHash]Occupied
	// Calls holds how many calls the runners of each pool took and rejected within
	// throttler.Window.
	Calls map[PoolHash]Calls
	// Reporting is the number of VMs that All and Calls are of.
	Reporting int
}

// PoolHash identifies a pool between VMs.
type PoolHash uint32

// HashOfPool returns the hash of a pool.
func HashOfPool(pool identifier.Pool) PoolHash { return PoolHash(xxhash.Sum64String(string(pool))) }

// Calls counts what runners did within throttler.Window with calls: with reservations in pools
// with engines, else with requests.
type Calls struct{ Granted, Rejected float64 }

// acceptance returns the share of calls that were granted; 1 without any.
func (c Calls) acceptance() float64 {
	if c.Granted+c.Rejected == 0 {
		return 1
	}
	return c.Granted / (c.Granted + c.Rejected)
}

func (Sized) event()    {}
func (Digested) event() {}

const (
	// fullTrust is the age of a digest up to which it decides alone: a fleet of 300 VMs
	// gets one each second. Up to maxDigestAge it decides ever fewer choices.
	fullTrust = 1100 * time.Millisecond
	// completeShare is the share of the VMs in the last digest that have to be in the next.
	completeShare = 0.75
	// maxDigestAge is the age from which a digest isn't used.
	maxDigestAge = 2 * time.Second
)

// shared is what the view knows of the work of all VMs.
type shared struct {
	// sizes is replaced as a whole.
	sizes map[identifier.Pool]Size
	// digestAt is when the report was sent that the last digest answers; zero before the
	// first one. digestInterval is the time between it and the report before.
	digestAt       time.Time
	digestInterval time.Duration
	// fleetCalls are those of the last digest.
	fleetCalls map[PoolHash]Calls
	// reporting is the number of VMs in the last digest.
	reporting int
	// counts are this VM's calls by pool.
	counts map[identifier.Pool]*counts
}

// counts are this VM's calls to the runners of one pool.
type counts struct {
	throttle *throttler.Core
	hash     PoolHash
	// trialAt is when an engine may be tried next that has no room by the estimate.
	trialAt time.Time
}

// occupancy is what is known of the work at a runner besides the calls of this VM.
type occupancy struct {
	hash RunnerHash
	// holds are the reservations of this VM, also those that were asked for, without a call.
	holds Occupied
	// reported is this VM's part of the last digest, others the rest of it.
	reported, others Occupied
	// correction is the memory by which others are more than the last digest says, as this
	// VM's reservations show; negative if they are less.
	correction identifier.Tokens
	// refusedAt is when a reservation of refusedTokens was refused here last.
	refusedAt     time.Time
	refusedTokens identifier.Tokens
	// meanCalls is the moving average of others.Calls.
	meanCalls float64
	// rejections is the moving average of the share of calls that a plain service rejected.
	rejections float64
}

// own returns the work of this VM at a runner.
func (u *upstream) own() Occupied {
	return Occupied{Calls: u.calls + u.holds.Calls, Tokens: u.decodeTokens + u.holds.Tokens}
}

// BeginHold adds a reservation that is asked of an engine. EndHold must follow.
func (t *Tracker) BeginHold(r Runner, tokens identifier.Tokens) {
	if u := t.current(r); u != nil {
		u.holds.Calls++
		u.holds.Tokens += tokens
	}
}

// EndHold removes a reservation that was refused, released or is used by a call.
func (t *Tracker) EndHold(r Runner, tokens identifier.Tokens) {
	if u := t.current(r); u != nil {
		u.holds.Calls--
		u.holds.Tokens -= tokens
	}
}

// RecordGranted records that an engine has granted a reservation that BeginHold has added.
func (t *Tracker) RecordGranted(now time.Time, r Runner) {
	u := t.current(r)
	if u == nil {
		return
	}
	t.countsOf(now, u.Pool).throttle.RecordCall(now, true)
	if free := t.freeMemory(u); free < 0 {
		u.correction += free // The others have left that much by now, or not grown yet.
	}
}

// recordRefused records that an engine has refused a reservation that BeginHold has added: it
// has less free.
func (t *Tracker) recordRefused(now time.Time, u *upstream, tokens identifier.Tokens) {
	t.countsOf(now, u.Pool).throttle.RecordCall(now, false)
	u.refusedAt, u.refusedTokens = now, tokens
	if over := t.freeMemory(u) + 1; over > 0 {
		u.correction += over
	}
}

// report returns the work of this VM by runner in whole blocks, and keeps it to tell it apart in the digest
// that answers. Work at prefill engines isn't reported, as no choice depends on that of others.
func (t *Tracker) report() map[RunnerHash]Occupied {
	all := map[RunnerHash]Occupied{}
	for _, u := range t.upstreams {
		u.reported = Occupied{}
		own := u.own()
		own.Tokens = (own.Tokens + blockTokens/2) / blockTokens * blockTokens
		if u.Role != identifier.RolePrefill && !own.isZero() {
			u.reported, all[u.hash] = own, own
		}
	}
	return all
}

// applyDigest takes in the work of all VMs. Runners that the digest doesn't name have none.
func (t *Tracker) applyDigest(e Digested) {
	if e.SentAt.Sub(t.digestAt) < fullTrust && float64(e.Reporting) < completeShare*float64(t.reporting) {
		return // A new coordinator hasn't heard most VMs yet. What is known is better.
	}
	weight := 1.0
	if !t.digestAt.IsZero() {
		weight = min(1, e.SentAt.Sub(t.digestAt).Seconds()/meanCallsTime.Seconds())
	}
	if t.digestInterval = 0; !t.digestAt.IsZero() {
		t.digestInterval = min(maxDigestAge, e.SentAt.Sub(t.digestAt))
	}
	t.digestAt, t.fleetCalls, t.reporting = e.SentAt, e.Calls, e.Reporting
	for _, u := range t.upstreams {
		all := e.All[u.hash]
		u.others = Occupied{Calls: max(0, all.Calls-u.reported.Calls), Tokens: max(0, all.Tokens-u.reported.Tokens)}
		u.meanCalls += weight * (float64(u.others.Calls) - u.meanCalls)
		u.correction = 0
		// The reports in a digest are half an interval old on average, and a refusal may be
		// newer.
		if e.SentAt.Sub(u.refusedAt) < max(t.digestInterval/2, FullFor) {
			u.correction = max(0, t.freeMemory(u)-u.refusedTokens+1)
		}
	}
}

// freeMemory returns the memory of a decode engine that is free by the estimate. It may be
// negative: engines count what requests have filled, the estimate what they will fill.
func (t *Tracker) freeMemory(u *upstream) identifier.Tokens {
	return t.sizes[u.Pool].Memory - u.others.Tokens - u.correction - u.own().Tokens
}

// room returns how many requests of a number of tokens a decode engine has room for by the
// estimate.
func (t *Tracker) room(u *upstream, tokens identifier.Tokens) float64 {
	slots := t.sizes[u.Pool].Slots
	if slots == 0 {
		slots = u.Slots
	}
	freeSlots := slots - u.others.Calls - u.own().Calls
	return min(float64(t.freeMemory(u))/float64(max(tokens, 1)), float64(freeSlots))
}

// usesDigest reports whether the last digest decides a choice. While it ages it does so with
// a falling probability.
func (t *Tracker) usesDigest(now time.Time) bool {
	age := now.Sub(t.digestAt)
	if t.digestAt.IsZero() || age >= maxDigestAge {
		return false
	}
	return age <= fullTrust || t.random.Float64() < float64(maxDigestAge-age)/float64(maxDigestAge-fullTrust)
}

// countsOf returns the counts of a pool.
func (t *Tracker) countsOf(now time.Time, pool identifier.Pool) *counts {
	c := t.counts[pool]
	if c == nil {
		c = &counts{throttle: throttler.New(now), hash: HashOfPool(pool)}
		t.counts[pool] = c
	}
	return c
}

// poolCalls returns this VM's calls by pool, within a time of throttler.Window.
func (t *Tracker) poolCalls(now time.Time) map[PoolHash]Calls {
	all := map[PoolHash]Calls{}
	for _, c := range t.counts {
		if n, accepted := c.throttle.Counts(now); n > 0 {
			all[c.hash] = Calls{Granted: accepted, Rejected: n - accepted}
		}
	}
	return all
}

// reserveRatio returns the number of reservations allowed for each granted one.
func (t *Tracker) reserveRatio() float64 {
	if t.digestInterval > lateDigests {
		return lateReserveRatio
	}
	return reserveRatio
}

// allowsRefusal reports whether this VM may make a reservation that may be refused. It goes by
// the reservations of the fleet while few of them are refused, and else by its own: a VM that
// makes few would wait long after a refusal by chance.
func (t *Tracker) allowsRefusal(now time.Time, pool identifier.Pool) bool {
	c := t.countsOf(now, pool)
	fleet := t.fleetCalls[c.hash]
	ratio := t.reserveRatio()
	if c.throttle.Allows(now, ratio, fleet.Granted/float64(max(t.reporting, 1))) {
		return true
	}
	return t.random.Float64() < 1-fleet.Rejected/((ratio-1)*max(fleet.Granted, 1))
}

// RecordCalled records whether a plain service has accepted a call or rejected it for lack of
// room.
func (t *Tracker) RecordCalled(now time.Time, r Runner, isAccepted bool) {
	u := t.current(r)
	if u == nil || u.Role != identifier.RolePlain {
		return
	}
	t.countsOf(now, u.Pool).throttle.RecordCall(now, isAccepted)
	value := 1.0
	if isAccepted {
		value = 0
	}
	u.rejections += rejectionWeight * (value - u.rejections)
}

// Throttles reports, at random, whether a new request to a pool of plain services should be
// refused at once, as they reject too many calls.
func (t *Tracker) Throttles(now time.Time, pool identifier.Pool) bool {
	c, acceptance := t.countsOf(now, pool), 1.0
	if !t.digestAt.IsZero() && now.Sub(t.digestAt) < maxDigestAge {
		acceptance = t.fleetCalls[c.hash].acceptance()
	}
	share := c.throttle.Share(now, plainRatio, acceptance)
	return share > 0 && t.random.Float64() < share
}

// HasWork reports whether this VM has work at a runner whose load it reports.
func (t *Tracker) HasWork() bool {
	for _, u := range t.upstreams {
		if u.Role != identifier.RolePrefill && !u.own().isZero() {
			return true
		}
	}
	return false
}

// State is a summary of the estimate for operators.
type State struct {
	// Free is the free memory of all decode engines by the estimate.
	Free identifier.Tokens
	// DigestAge is the age of the last digest; zero before the first one.
	DigestAge time.Duration
	// Calls are this VM's reservations within throttler.Window.
	Calls Calls
}

// State returns the state of the estimate.
func (t *Tracker) State(now time.Time) (s State) {
	if !t.digestAt.IsZero() {
		s.DigestAge = now.Sub(t.digestAt)
	}
	for pool, size := range t.sizes {
		if size.Memory == 0 {
			continue
		}
		for _, u := range t.pools[pool] {
			if u.Role == identifier.RoleDecode && !u.Leaving {
				s.Free += max(0, t.freeMemory(u))
			}
		}
		if c := t.counts[pool]; c != nil {
			n, accepted := c.throttle.Counts(now)
			s.Calls.Granted += accepted
			s.Calls.Rejected += n - accepted
		}
	}
	return s
}
