package router

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/keeper"
	"github.com/figtrack/figtrack/looper"
	"github.com/figtrack/figtrack/stager"
	"github.com/figtrack/figtrack/tracker"
	"github.com/figtrack/figtrack/wire"
)

const (
	// checkInterval is the time between two checks for a needed order.
	checkInterval = 250 * time.Millisecond
	// orderTimeout bounds the call that gives an order to an engine.
	orderTimeout = time.Second
	// stallThreshold is the time between two checks, or from a check to its order,
	// above which the VM counts as having been suspended. A claim takes less.
	stallThreshold = 2 * time.Second
	// stallCooldown is how long a VM gives no orders after it was suspended.
	stallCooldown = 5 * time.Second
	// defaultInputTokens and defaultOutputTokens are the means of a pool until
	// it has had requests; the sites state these lengths.
	defaultInputTokens, defaultOutputTokens = 3000, 900
	// tokenMeanWeight is the weight of one request in the moving means.
	tokenMeanWeight = 0.01
)

// tokenMeans are moving means of the prompt and answer lengths of a pool's
// requests, in tokens.
type tokenMeans struct{ input, output float64 }

func (s *tokenMeans) add(input, output identifier.Tokens) {
	s.input += tokenMeanWeight * (float64(input) - s.input)
	s.output += tokenMeanWeight * (float64(output) - s.output)
}

func (f *Fleet) tokenMeansOf(pool identifier.Pool) *tokenMeans {
	s := f.tokenMeans[pool]
	if s == nil {
		s = &tokenMeans{defaultInputTokens, defaultOutputTokens}
		f.tokenMeans[pool] = s
	}
	return s
}

// handleOrder handles the record of the last orders. The engines are not chosen
// for requests until the time that a change of role takes has passed. A record
// that is found in a listing may be of any age and keeps no engine from use.
func (f *Fleet) handleOrder(entry keeper.Entry, isListed bool) {
	e, err := readEntry(f.steps, entry, decodeOrder)
	if err != nil {
		f.logUnreadable(entry, err)
		return
	}
	f.mu.Lock()
	f.orderHolder = stager.Holder{VM: identifier.VM(e.VM), Start: identifier.Incarnation(e.Incarnation), Version: entry.Version}
	f.mu.Unlock()
	f.log.Info().Str("Holder", e.VM).Strs("Upstreams", e.Upstreams).Str("Role", e.Role).Int64("Era", int64(entry.Era)).Int64("Version", int64(entry.Version)).Msg("OrderSeen")
	configuration := f.configuration.Load()
	if configuration == nil || isListed {
		return
	}
	for _, id := range e.Upstreams {
		var pool identifier.Pool
		var known bool
		f.step(coreView, id, func() { pool, known = f.view.PoolOf(identifier.Upstream(id)) })
		if known {
			until := time.Now().Add(configuration.Pools[pool].Switch)
			f.stepView(tracker.RoleOrdered{ID: identifier.Upstream(id), Until: until})
		}
	}
}

func decodeOrder(entry keeper.Entry) (*wire.RoleOrder, error) {
	e := &wire.RoleOrder{}
	return e, proto.Unmarshal(entry.Value, e)
}

// stagerView returns the part of the fleet's state that the stager core needs; a view
// that isn't fresh after a panic.
func (f *Fleet) stagerView(self identifier.VM, start identifier.Incarnation) (v stager.View) {
	if !f.step(coreView, self, func() { v = f.lookForStager(self, start) }) {
		return stager.View{Self: self, Start: start}
	}
	return v
}

// lookForStager does the work of stagerView. f.mu must be held.
func (f *Fleet) lookForStager(self identifier.VM, start identifier.Incarnation) stager.View {
	v := stager.View{Self: self, Start: start, Holder: f.orderHolder, Era: f.era}
	for vm := range f.roster.members {
		v.Members = append(v.Members, vm)
	}
	c := f.configuration.Load()
	v.IsFresh = c != nil && f.isListed && !f.isRelisting && f.storeLostSince.Load() == nil && f.roster.members[self] == start
	if !v.IsFresh {
		return v
	}
	for id, pool := range c.Pools {
		if !pool.HasEngines {
			continue
		}
		mean := f.tokenMeansOf(id)
		p := stager.Pool{ID: id, Memory: pool.Memory, Slots: pool.Slots, Input: identifier.Tokens(mean.input), Output: identifier.Tokens(mean.output)}
		for _, r := range f.view.Pool(id) {
			p.Engines = append(p.Engines, stager.Engine{ID: r.ID, Start: r.Start, Role: r.Role, DataCentre: r.DataCentre, IsLeaving: r.Leaving})
		}
		v.Pools = append(v.Pools, p)
	}
	return v
}

// Swapper is the operation of the store that orders need.
type Swapper interface {
	Swap(ctx context.Context, purpose keeper.Purpose, key string, expected keeper.Version, value []byte) (keeper.Entry, bool, error)
}

// Orders is the shell of the stager core in one VM: it gives the orders that
// change the roles of engines.
type Orders struct {
	fleet   *Fleet
	runners Runners
	store   Swapper
	self    identifier.VM
	start   identifier.Incarnation
	log     zerolog.Logger
	core    *stager.Core
}

// NewOrders returns the orders shell of VM self.
func NewOrders(fleet *Fleet, runners Runners, store Swapper, self identifier.VM, start identifier.Incarnation, log zerolog.Logger) *Orders {
	return &Orders{fleet: fleet, runners: runners, store: store, self: self, start: start, log: log}
}

// Run checks for needed orders and gives them until ctx ends.
func (o *Orders) Run(ctx context.Context) {
	o.core = stager.New(time.Now())
	last := time.Now()
	var cooldownUntil time.Time
	for looper.Sleep(ctx, checkInterval) {
		now := time.Now()
		if o.stoodStill(last, now) {
			cooldownUntil = now.Add(stallCooldown)
		}
		last = now
		if now.Before(cooldownUntil) {
			continue
		}
		var e stager.Event = stager.Looked{View: o.fleet.stagerView(o.self, o.start)}
		for e != nil {
			outcome := o.step(e)
			if _, isOrder := outcome.(stager.Order); isOrder && o.stoodStill(now, time.Now()) {
				// Another VM may have claimed the record since, and an engine may check no fence.
				cooldownUntil, e = time.Now().Add(stallCooldown), stager.Failed{}
				continue
			}
			if !o.fleet.steps.Call(coreOrders, outcome, func() { e = o.perform(ctx, outcome) }) {
				o.core, e = stager.Restarted(time.Now()), nil
			}
		}
		last = time.Now()
	}
}

// stoodStill reports, and logs, that the VM was suspended between two times. The wall clock
// also counts the time for which a VM was suspended.
func (o *Orders) stoodStill(from, to time.Time) bool {
	gap := to.Round(0).Sub(from.Round(0))
	if to.Sub(from) <= stallThreshold && gap <= stallThreshold {
		return false
	}
	o.log.Warn().Dur("Gap", gap).Msg("StoodStill")
	return true
}

// step passes an event to the core. A core that panics is replaced by one that waits
// like a VM that takes over.
func (o *Orders) step(e stager.Event) (outcome stager.Outcome) {
	if !o.fleet.steps.Call(coreStager, e, func() { outcome = o.core.Step(time.Now(), e) }) {
		o.core = stager.Restarted(time.Now())
		return nil
	}
	return outcome
}

func (o *Orders) perform(ctx context.Context, outcome stager.Outcome) stager.Event {
	switch c := outcome.(type) {
	case stager.Claim:
		return o.claim(ctx, c)
	case stager.Propagate:
		looper.Sleep(ctx, stager.ClaimPropagationDelay)
		return stager.Propagated{Era: o.fleet.latestEra()}
	case stager.Order:
		var all sync.WaitGroup
		for _, e := range c.Engines {
			all.Go(func() {
				o.fleet.steps.Call(coreOrders, e, func() { o.order(ctx, e, c.Role, c.Fence) })
			})
		}
		all.Wait()
		return stager.Ordered{}
	}
	return nil
}

func (o *Orders) claim(ctx context.Context, c stager.Claim) stager.Event {
	record := &wire.RoleOrder{VM: string(o.self), Incarnation: uint64(o.start), Role: string(c.Role)}
	for _, e := range c.Engines {
		record.Upstreams = append(record.Upstreams, string(e.ID))
	}
	value, err := proto.Marshal(record)
	if err != nil {
		o.log.Error().AnErr("Error", err).Msg("OrderNotClaimed")
		return stager.Failed{}
	}
	entry, done, err := o.store.Swap(ctx, keeper.PurposeFence, ordersKey, c.Expected, value)
	if err != nil || !done {
		o.log.Info().Int64("Expected", int64(c.Expected)).AnErr("Error", err).Msg("OrderNotClaimed")
		return stager.Failed{}
	}
	o.log.Info().Strs("Upstreams", record.Upstreams).Str("Role", record.Role).Int64("Era", int64(entry.Era)).Int64("Version", int64(entry.Version)).Msg("OrderClaimed")
	return stager.Claimed{Version: entry.Version, Era: entry.Era}
}

func (o *Orders) order(ctx context.Context, e stager.Engine, role identifier.Role, fence identifier.Fence) {
	r, ok := o.fleet.findRunner(e.ID, e.Start)
	if !ok {
		o.log.Info().Str("Upstream", string(e.ID)).Msg("OrderDropped")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := o.runners.Order(ctx, r, role, o.self, fence)
	o.log.Info().Str("Upstream", string(r.ID)).Str("Role", string(role)).Uint64("Fence", uint64(fence)).AnErr("Error", err).Msg("Ordered")
}

// latestEra returns the latest era of the store that this VM knows.
func (f *Fleet) latestEra() keeper.Era {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.era
}

// findRunner returns the runner with an id if it is still the same incarnation
// and accepts work now.
func (f *Fleet) findRunner(id identifier.Upstream, start identifier.Incarnation) (r tracker.Runner, ok bool) {
	isDone := f.step(coreView, id, func() {
		r, ok = f.view.Runner(id, start)
		ok = ok && !f.view.IsPaused(time.Now(), r)
	})
	return r, ok && isDone
}
