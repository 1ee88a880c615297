// Package stager keeps the numbers of prefill and decode engines of a pool in
// proportion to its requests, by orders that change an engine's role.
//
// Load pattern: pools are set up for the average request, with prefill engines
// that stand idle two thirds of the time even in a surge, while the memory of
// decode engines is what refuses callers. One engine more that decodes serves
// callers that would be refused.
//
// One VM gives all orders: the first of the roster by name. It claims a record
// in the store before each order, whose version is the order's fencing number.
// A VM that takes over from another one waits longer than an order of that one
// may be under way.
package stager

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/figtrack/figtrack/identifier"
)

const (
	// SettleFor is how long a need has to last while the fleet starts, when
	// runners join one by one.
	SettleFor = 1500 * time.Millisecond
	// LastFor is how long it has to last later: a runner that is replaced is
	// there twice for a moment, one that crashed is back after seconds.
	LastFor = 5 * time.Second
	// StartFor is the time after the start in which SettleFor holds.
	StartFor = 8 * time.Second
	// TakeOverWait is the pause before the first order after another holder's:
	// the platform states 3 s, the rest is for clocks that run apart.
	TakeOverWait = 4 * time.Second
	// AwayFor is how long an engine may be away until it counts as gone for good:
	// crashed ones are back within some seconds.
	AwayFor = 15 * time.Second
	// OrderAgainAfter is when an order without effect is given again.
	OrderAgainAfter = 20 * time.Second
	// Pace is the shortest time between two orders.
	Pace = 250 * time.Millisecond

	// readTime is a prefill engine's time for one prompt token, stepTime a
	// decode engine's for one token of all its requests, as the engines'
	// sheets state them.
	readTime = 30 * time.Microsecond
	stepTime = 4 * time.Millisecond
	// headroom is what prefill engines have beyond the mean: a prompt waits
	// for the ones before it, and a target of a second bears little of that.
	headroom = 1.4
	// minPrefill and minDecode let a pool lose an engine of either role.
	minPrefill, minDecode = 2, 2
)

// Engine is an engine of a pool.
type Engine struct {
	ID         identifier.Upstream
	Start      identifier.Incarnation
	Role       identifier.Role
	DataCentre identifier.DataCentre
	// IsLeaving says that the engine takes no new work.
	IsLeaving bool
}

// Pool is a pool with engines.
type Pool struct {
	ID      identifier.Pool
	Engines []Engine
	// Memory is the tokens that a decode engine holds, Slots the requests.
	Memory identifier.Tokens
	Slots  int
	// Input and Output are the mean tokens of its requests.
	Input, Output identifier.Tokens
}

// Holder is the VM that gave the last order.
type Holder struct {
	VM    identifier.VM
	Start identifier.Incarnation
	// Version is the store's version of the record; zero without one.
	Version int64
}

// View is what the decision needs to know.
type View struct {
	Self  identifier.VM
	Start identifier.Incarnation
	// Members are the VMs of the roster.
	Members []identifier.VM
	Holder  Holder
	// IsFresh says that the store answers and this VM's entry stands.
	IsFresh bool
	Pools   []Pool
}

// Event is an input. The set is sealed.
type Event interface{ event() }

// Looked carries the view, at a steady pace.
type Looked struct{ View View }

// Claimed says that the record was written at a version.
type Claimed struct{ Version int64 }

// Failed says that a claim failed or its end is unknown.
type Failed struct{}

// Ordered says that an order was answered or not.
type Ordered struct{}

func (Looked) event()  {}
func (Claimed) event() {}
func (Failed) event()  {}
func (Ordered) event() {}

// Outcome is what the shell has to do. The set is sealed.
type Outcome interface{ outcome() }

// Claim asks to write the record over a version. Engine has no ID where this
// VM only takes over.
type Claim struct {
	Expected int64
	Engine   Engine
	Role     identifier.Role
}

// Order asks to change an engine's role.
type Order struct {
	Engine Engine
	Role   identifier.Role
	Fence  identifier.Fence
}

func (Claim) outcome() {}
func (Order) outcome() {}

type engineKey struct {
	id    identifier.Upstream
	start identifier.Incarnation
}

// peak is a number of engines and when it was last there.
type peak struct {
	n  int
	at time.Time
}

// Core is the state of one VM. It is advanced only by Step.
type Core struct {
	began time.Time
	// isBusy says that a claim or an order is under way.
	isBusy bool
	// claim is the claim under way.
	claim Claim
	// notBefore is when the next order may be given.
	notBefore time.Time
	// since holds when each pool's present need began.
	since map[identifier.Pool]time.Time
	// most holds the most engines that each pool had lately, so that one that
	// is away for a moment changes no proportion.
	most map[identifier.Pool]peak
	// ordered holds the orders by engine.
	ordered map[engineKey]time.Time
}

// New returns the core of a VM that starts now.
func New(now time.Time) *Core {
	return &Core{
		began:   now,
		since:   map[identifier.Pool]time.Time{},
		most:    map[identifier.Pool]peak{},
		ordered: map[engineKey]time.Time{},
	}
}

// Step takes in one event. The outcome is nil where nothing is to be done.
func (c *Core) Step(now time.Time, e Event) Outcome {
	switch e := e.(type) {
	case Looked:
		return c.looked(now, e.View)
	case Claimed:
		return c.claimed(now, e)
	case Failed, Ordered:
		c.isBusy = false
		c.notBefore = later(c.notBefore, now.Add(Pace))
	default:
		panic(fmt.Sprintf("stager: event %T", e))
	}
	return nil
}

func (c *Core) looked(now time.Time, v View) Outcome {
	if c.isBusy || !v.IsFresh || len(v.Members) == 0 || slices.Min(v.Members) != v.Self {
		if !v.IsFresh || len(v.Members) == 0 {
			clear(c.since)
		}
		return nil
	}
	for _, p := range v.Pools {
		engine, role, isNeeded := c.need(now, p)
		if !isNeeded {
			delete(c.since, p.ID)
			continue
		}
		if c.since[p.ID].IsZero() {
			c.since[p.ID] = now
		}
		if now.Sub(c.since[p.ID]) < c.lasting(now) || now.Before(c.notBefore) {
			continue
		}
		return c.claimFor(v, engine, role)
	}
	return nil
}

func (c *Core) lasting(now time.Time) time.Duration {
	if now.Sub(c.began) < StartFor {
		return SettleFor
	}
	return LastFor
}

// claimFor claims the record for an order, or to take over first.
func (c *Core) claimFor(v View, engine Engine, role identifier.Role) Outcome {
	c.isBusy = true
	c.claim = Claim{Expected: v.Holder.Version, Engine: engine, Role: role}
	isOwn := v.Holder.VM == v.Self && v.Holder.Start == v.Start
	if v.Holder.Version != 0 && !isOwn {
		c.claim = Claim{Expected: v.Holder.Version}
	}
	return c.claim
}

func (c *Core) claimed(now time.Time, e Claimed) Outcome {
	if c.claim.Engine.ID == "" {
		c.isBusy = false
		c.notBefore = now.Add(TakeOverWait)
		return nil
	}
	c.ordered[engineKey{c.claim.Engine.ID, c.claim.Engine.Start}] = now
	return Order{Engine: c.claim.Engine, Role: c.claim.Role, Fence: identifier.Fence(e.Version)}
}

// need returns the engine whose role a pool needs changed.
func (c *Core) need(now time.Time, p Pool) (Engine, identifier.Role, bool) {
	by := map[identifier.Role][]Engine{}
	for _, e := range p.Engines {
		if !e.IsLeaving {
			by[e.Role] = append(by[e.Role], e)
		}
	}
	n := len(by[identifier.RolePrefill]) + len(by[identifier.RoleDecode])
	if most := c.most[p.ID]; n >= most.n || now.Sub(most.at) > AwayFor {
		c.most[p.ID] = peak{n, now}
	}
	want := Prefills(c.most[p.ID].n, p)
	if len(by[identifier.RolePrefill]) <= want || want == 0 {
		return Engine{}, "", false
	}
	free := slices.DeleteFunc(slices.Clone(by[identifier.RolePrefill]), func(e Engine) bool {
		at, ok := c.ordered[engineKey{e.ID, e.Start}]
		return ok && now.Sub(at) < OrderAgainAfter
	})
	if len(free) <= want {
		return Engine{}, "", false // The orders that are under way suffice.
	}
	return mostCommon(free), identifier.RoleDecode, true
}

// mostCommon returns an engine of the data centre that has most of them, so
// that none is left without.
func mostCommon(engines []Engine) Engine {
	count := map[identifier.DataCentre]int{}
	for _, e := range engines {
		count[e.DataCentre]++
	}
	return slices.MaxFunc(engines, func(a, b Engine) int { return count[a.DataCentre] - count[b.DataCentre] })
}

// Prefills returns how many of n engines of a pool are to read prompts; zero
// where too little is known.
func Prefills(n int, p Pool) int {
	if n < minPrefill+minDecode || p.Memory <= 0 || p.Input <= 0 || p.Output <= 0 {
		return 0
	}
	at := float64(p.Memory) / float64(p.Input+p.Output)
	if p.Slots > 0 {
		at = min(at, float64(p.Slots))
	}
	read := headroom * float64(p.Input) * readTime.Seconds()
	decode := float64(p.Output) * stepTime.Seconds() / max(at, 1)
	want := int(math.Ceil(float64(n) * read / (read + decode)))
	return min(max(want, minPrefill), n-minDecode)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
