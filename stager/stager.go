// Package stager matches the numbers of prefill and decode engines of a pool to
// its requests, by orders that change the role of an engine.
//
// It only turns surplus prefill engines into decode engines. Pools are set up for
// the average request, with prefill engines that are idle two thirds of the time
// even in a surge, while requests are refused because decode engines have no
// memory left. One more decode engine serves some of these requests.
//
// One VM gives all orders: the one whose name sorts first in the roster. Before it
// orders engines it writes a record that names them to the store; the era and
// version of the record make the fencing token of the orders. A VM that takes over from another one first
// waits until no order of the other one can still be in flight. The same holds
// after the store came back from a copy: a VM that took over since may have been
// forgotten. The wait begins with a takeover that the store has confirmed; a claim
// without an answer is made again as a takeover.
package stager

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/keeper"
)

const (
	// MinStartupSurplusDuration is how long a pool has to have a surplus before
	// an order while the fleet starts, when runners register one by one.
	MinStartupSurplusDuration = 1500 * time.Millisecond
	// MinSurplusDuration is how long a pool has to have a surplus after the
	// start: a runner that is being replaced is listed twice for a moment, and
	// one that crashed is back within seconds.
	MinSurplusDuration = 5 * time.Second
	// StartupPeriod is the time after the start of this VM in which
	// MinStartupSurplusDuration applies instead of MinSurplusDuration.
	StartupPeriod = 8 * time.Second
	// TakeoverDelay is the delay before the first order of a VM that takes over
	// from another one. The platform states that an order ends within 3 s; the
	// rest covers clock drift.
	TakeoverDelay = 4 * time.Second
	// EngineAbsenceTimeout is how long an engine may be missing until the pool
	// counts as smaller: engines that crashed are back within some seconds.
	EngineAbsenceTimeout = 15 * time.Second
	// OrderRetryInterval is the time after which an engine may get an order
	// again if the last one had no effect.
	OrderRetryInterval = 20 * time.Second
	// MinOrderInterval is the shortest time from the end of an order or a
	// failed claim to the next claim.
	MinOrderInterval = 250 * time.Millisecond
	// MaxClaimEngines is the highest number of engines whose orders share a claim.
	// Each claim wakes all VMs of the fleet, and each engine is away while it
	// changes its role.
	MaxClaimEngines = 32
	// ClaimPropagationDelay is the time between a claim and its order, in which
	// the other VMs learn of the claim and stop sending requests to the engine.
	ClaimPropagationDelay = 200 * time.Millisecond

	// prefillTimePerToken is the time of a prefill engine for one prompt token,
	// decodeStepTime the time of a decode engine to generate one token for each
	// of its requests. Both are from the data sheets of the engines.
	prefillTimePerToken = 30 * time.Microsecond
	decodeStepTime      = 4 * time.Millisecond
	// prefillHeadroom is the factor by which prefill capacity exceeds the mean
	// demand: prompts queue for prefill, and a first-token target of one second
	// leaves little time for that.
	prefillHeadroom = 1.4
	// versionBits is the number of bits of a fencing token that hold the version;
	// the era is above. Tokens are JSON numbers, which are exact up to 53 bits.
	versionBits = 40
	// noEra is lower than any era of a store.
	noEra keeper.Era = -1
	// minPrefill and minDecode are the least numbers of engines of each role, so
	// that a pool can lose one of either.
	minPrefill, minDecode = 2, 2
)

// Engine describes an engine of a pool.
type Engine struct {
	ID         identifier.Upstream
	Start      identifier.Incarnation
	Role       identifier.Role
	DataCentre identifier.DataCentre
	// IsLeaving is true if the engine accepts no new requests.
	IsLeaving bool
}

// Pool describes the engines and the mean request of a pool.
type Pool struct {
	ID      identifier.Pool
	Engines []Engine
	// Memory is the number of tokens for which a decode engine has memory, Slots
	// the number of requests it runs at once; zero Slots means no limit.
	Memory identifier.Tokens
	Slots  int
	// Input and Output are the mean numbers of prompt and generated tokens of a
	// request.
	Input, Output identifier.Tokens
}

// Holder identifies the VM that wrote the record last.
type Holder struct {
	VM    identifier.VM
	Start identifier.Incarnation
	// Version is the store's version of the record; zero if there is none.
	Version keeper.Version
}

// View is the state on which the core decides. Self and Start identify this VM.
type View struct {
	Self  identifier.VM
	Start identifier.Incarnation
	// Members are the VMs of the roster.
	Members []identifier.VM
	Holder  Holder
	// Era is the era of the store that Holder and Members were read in.
	Era keeper.Era
	// IsFresh is true if the store answers and the roster has this VM's entry.
	IsFresh bool
	Pools   []Pool
}

// Event is an input of the core. Only this package defines events.
type Event interface{ event() }

// Looked reports the current view. The shell sends it at regular intervals.
type Looked struct{ View View }

// Claimed reports that the record was written, and its new version.
type Claimed struct {
	Version keeper.Version
	Era     keeper.Era
}

// Propagated reports that the ClaimPropagationDelay has passed. Era is the latest
// one that this VM knows.
type Propagated struct{ Era keeper.Era }

// Failed reports that a claim failed or that its result is unknown.
type Failed struct{}

// Ordered reports that an order has ended, with or without an answer.
type Ordered struct{}

func (Looked) event()     {}
func (Claimed) event()    {}
func (Propagated) event() {}
func (Failed) event()     {}
func (Ordered) event()    {}

// Outcome tells the shell what to do. Only this package defines outcomes.
type Outcome interface{ outcome() }

// Claim asks to write the record if its version is Expected. It has no Engines if
// this VM takes over from another one; no order follows then.
type Claim struct {
	Expected keeper.Version
	Engines  []Engine
	Role     identifier.Role
}

// Propagate asks for Propagated after ClaimPropagationDelay.
type Propagate struct{}

// Order asks to change the role of engines, all at once. Fence is higher than that
// of any earlier record.
type Order struct {
	Engines []Engine
	Role    identifier.Role
	Fence   identifier.Fence
}

func (Claim) outcome()     {}
func (Propagate) outcome() {}
func (Order) outcome()     {}

type engineKey struct {
	id    identifier.Upstream
	start identifier.Incarnation
}

// recentPeak is the highest number of engines and when it was last seen.
type recentPeak struct {
	n  int
	at time.Time
}

// Core is the state of one VM. Only Step changes it.
type Core struct {
	startedAt time.Time
	// isBusy is true while a claim or an order is in flight.
	isBusy bool
	// claim is the claim in flight, or the last one.
	claim Claim
	// claimedAs is the age of the record that the last confirmed claim has written.
	// This VM holds the record only at that age.
	claimedAs keeper.Age
	// era is the latest era of the store that was seen.
	era keeper.Era
	// earliestClaim is the earliest time of the next claim for an order.
	earliestClaim time.Time
	// surplusSince holds when the current surplus of each pool began.
	surplusSince map[identifier.Pool]time.Time
	// peaks holds the highest recent number of engines of each pool, so that an
	// engine that is missing for a moment doesn't change the wanted numbers.
	peaks map[identifier.Pool]recentPeak
	// lastOrders holds the time of the last order to each engine.
	lastOrders map[engineKey]time.Time
}

// New returns the core of a VM that starts at now.
func New(now time.Time) *Core {
	return &Core{
		startedAt:    now,
		era:          noEra,
		surplusSince: map[identifier.Pool]time.Time{},
		peaks:        map[identifier.Pool]recentPeak{},
		lastOrders:   map[engineKey]time.Time{},
	}
}

// Restarted returns a core in place of one that was lost at now. Its first claim comes
// after TakeoverDelay, which the lost core may have been waiting for.
func Restarted(now time.Time) *Core {
	c := New(now)
	c.earliestClaim = now.Add(TakeoverDelay)
	return c
}

// Step handles one event. It returns nil if there is nothing to do.
func (c *Core) Step(now time.Time, e Event) Outcome {
	switch e := e.(type) {
	case Looked:
		return c.handleLooked(now, e.View)
	case Claimed:
		return c.handleClaimed(now, e)
	case Propagated:
		c.updateEra(now, e.Era)
		return c.handlePropagated(now)
	case Failed, Ordered:
		c.end(now)
	default:
		panic(fmt.Sprintf("stager: unexpected event of type %T", e))
	}
	return nil
}

// end ends a claim or an order.
func (c *Core) end(now time.Time) {
	c.isBusy = false
	c.earliestClaim = latest(c.earliestClaim, now.Add(MinOrderInterval))
}

// updateEra delays the next claim if a new era has begun: the roster is incomplete
// until all VMs have enrolled again, and another VM may have held the record that
// the copy lacks.
func (c *Core) updateEra(now time.Time, era keeper.Era) {
	if era <= c.era {
		return
	}
	isFirst := c.era == noEra
	c.era = era
	if !isFirst {
		c.earliestClaim = latest(c.earliestClaim, now.Add(TakeoverDelay))
	}
}

// handleLooked claims the record if this VM gives the orders and a pool has had a
// surplus for long enough. A stale view or an empty roster resets the start of
// each surplus.
func (c *Core) handleLooked(now time.Time, v View) Outcome {
	if v.IsFresh {
		c.updateEra(now, v.Era)
	}
	if c.isBusy || !v.IsFresh || v.Era != c.era || len(v.Members) == 0 || slices.Min(v.Members) != v.Self {
		if !v.IsFresh || len(v.Members) == 0 {
			clear(c.surplusSince)
		}
		return nil
	}
	for _, p := range v.Pools {
		engines, role := c.selectEngines(now, p)
		if len(engines) == 0 {
			delete(c.surplusSince, p.ID)
			continue
		}
		if c.surplusSince[p.ID].IsZero() {
			c.surplusSince[p.ID] = now
		}
		if now.Sub(c.surplusSince[p.ID]) < c.minSurplusDuration(now) || now.Before(c.earliestClaim) {
			continue
		}
		return c.claimFor(v, engines, role)
	}
	return nil
}

// minSurplusDuration returns how long a surplus has to last before an order.
func (c *Core) minSurplusDuration(now time.Time) time.Duration {
	if now.Sub(c.startedAt) < StartupPeriod {
		return MinStartupSurplusDuration
	}
	return MinSurplusDuration
}

// claimFor claims the record for an order or, if another VM wrote it last or may
// have done so in an earlier era, to take over. A record of this VM's own that no
// answer has confirmed counts as another one's: the claim may have been a takeover.
func (c *Core) claimFor(v View, engines []Engine, role identifier.Role) Outcome {
	c.isBusy = true
	c.claim = Claim{Expected: v.Holder.Version, Engines: engines, Role: role}
	isHeld := v.Holder.VM == v.Self && v.Holder.Start == v.Start && c.claimedAs == keeper.Age{Era: c.era, Version: v.Holder.Version}
	if !isHeld && (v.Holder.Version != 0 || c.era > 0) {
		c.claim = Claim{Expected: v.Holder.Version}
	}
	return c.claim
}

// handleClaimed waits until the other VMs know of a claim that was written. After a
// takeover it starts the longer delay instead. A claim that was written in another
// era than it was asked for met a reissued version by chance and counts as failed.
func (c *Core) handleClaimed(now time.Time, e Claimed) Outcome {
	asked := c.era
	c.updateEra(now, e.Era)
	if e.Era != asked {
		c.end(now)
		return nil
	}
	c.claimedAs = keeper.Age{Era: e.Era, Version: e.Version}
	if len(c.claim.Engines) == 0 {
		c.isBusy = false
		c.earliestClaim = latest(c.earliestClaim, now.Add(TakeoverDelay))
		return nil
	}
	return Propagate{}
}

// handlePropagated gives the orders of the last claim, unless the era of the claim
// has ended.
func (c *Core) handlePropagated(now time.Time) Outcome {
	if c.claimedAs.Era != c.era {
		c.end(now)
		return nil
	}
	for _, e := range c.claim.Engines {
		c.lastOrders[engineKey{e.ID, e.Start}] = now
	}
	return Order{Engines: c.claim.Engines, Role: c.claim.Role, Fence: fence(c.claimedAs)}
}

// fence returns the fencing token of a record. It rises with the age of the record,
// also across eras, in which the store issues versions again.
func fence(a keeper.Age) identifier.Fence {
	return identifier.Fence(a.Era)<<versionBits | identifier.Fence(a.Version)
}

// selectEngines returns the engines whose role should change, at most
// MaxClaimEngines, and their new role.
func (c *Core) selectEngines(now time.Time, p Pool) ([]Engine, identifier.Role) {
	byRole := map[identifier.Role][]Engine{}
	for _, e := range p.Engines {
		if !e.IsLeaving {
			byRole[e.Role] = append(byRole[e.Role], e)
		}
	}
	n := len(byRole[identifier.RolePrefill]) + len(byRole[identifier.RoleDecode])
	if peak := c.peaks[p.ID]; n >= peak.n || now.Sub(peak.at) > EngineAbsenceTimeout {
		c.peaks[p.ID] = recentPeak{n, now}
	}
	want := PrefillCount(c.peaks[p.ID].n, p)
	if len(byRole[identifier.RolePrefill]) <= want || want == 0 {
		return nil, ""
	}
	candidates := slices.DeleteFunc(slices.Clone(byRole[identifier.RolePrefill]), func(e Engine) bool {
		at, ok := c.lastOrders[engineKey{e.ID, e.Start}]
		return ok && now.Sub(at) < OrderRetryInterval
	})
	// None are left if earlier orders already remove the surplus.
	surplus := min(max(len(candidates)-want, 0), MaxClaimEngines)
	return fromLargestDataCentres(candidates, surplus), identifier.RoleDecode
}

// fromLargestDataCentres returns n engines, each of the data centre that has most of
// those left, so that no data centre loses its last one.
func fromLargestDataCentres(engines []Engine, n int) []Engine {
	count := map[identifier.DataCentre]int{}
	for _, e := range engines {
		count[e.DataCentre]++
	}
	var chosen []Engine
	for range n {
		i := 0
		for j, e := range engines {
			if count[e.DataCentre] > count[engines[i].DataCentre] {
				i = j
			}
		}
		chosen = append(chosen, engines[i])
		count[engines[i].DataCentre]--
		engines = slices.Delete(engines, i, i+1)
	}
	return chosen
}

// PrefillCount returns how many of n engines of a pool should be prefill
// engines, or zero if there are too few engines or the pool's sizes are
// unknown.
func PrefillCount(n int, p Pool) int {
	if n < minPrefill+minDecode || p.Memory <= 0 || p.Input <= 0 || p.Output <= 0 {
		return 0
	}
	batchSize := float64(p.Memory) / float64(p.Input+p.Output)
	if p.Slots > 0 {
		batchSize = min(batchSize, float64(p.Slots))
	}
	prefill := prefillHeadroom * float64(p.Input) * prefillTimePerToken.Seconds()
	decode := float64(p.Output) * decodeStepTime.Seconds() / max(batchSize, 1)
	want := int(math.Ceil(float64(n) * prefill / (prefill + decode)))
	return min(max(want, minPrefill), n-minDecode)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
