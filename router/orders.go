package router

import (
	"context"
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
	// lookEvery is the pace at which the need for orders is looked at.
	lookEvery = 250 * time.Millisecond
	// spreadFor is the time between a claim and its order, in which the other
	// VMs learn of it and stop sending to the engine.
	spreadFor = 200 * time.Millisecond
	// orderLimit bounds the call of an order.
	orderLimit = time.Second
	// thawGap is the time between two looks after which the VM counts as
	// having stood still.
	thawGap = 2 * time.Second
	// thawRest is how long a VM gives no order after it stood still.
	thawRest = 5 * time.Second
	// priorInput and priorOutput are the mean tokens of requests until some
	// were seen, as the sites state them.
	priorInput, priorOutput = 3000, 900
	// sizeWeight is the weight of one request in the mean sizes.
	sizeWeight = 0.01
)

// sizes are the mean tokens of a pool's requests.
type sizes struct{ input, output float64 }

func (s *sizes) add(input, output identifier.Tokens) {
	s.input += sizeWeight * (float64(input) - s.input)
	s.output += sizeWeight * (float64(output) - s.output)
}

func (f *Fleet) sizesOf(pool identifier.Pool) *sizes {
	s := f.sizes[pool]
	if s == nil {
		s = &sizes{priorInput, priorOutput}
		f.sizes[pool] = s
	}
	return s
}

// takeOrder takes in the record of the last order.
func (f *Fleet) takeOrder(entry keeper.Entry) {
	var e wire.RoleOrder
	if err := proto.Unmarshal(entry.Value, &e); err != nil {
		f.metrics.badEntries.Inc()
		f.log.Warn().Str("Key", entry.Key).AnErr("Error", err).Msg("EntryNotRead")
		return
	}
	f.mu.Lock()
	f.holder = stager.Holder{VM: identifier.VM(e.VM), Start: identifier.Incarnation(e.Incarnation), Version: int64(entry.Version)}
	pool, known := f.view.PoolOf(identifier.Upstream(e.Upstream))
	f.mu.Unlock()
	f.log.Info().Str("Holder", e.VM).Str("Upstream", e.Upstream).Str("Role", e.Role).Int64("Version", int64(entry.Version)).Msg("OrderSeen")
	configuration := f.configuration.Load()
	if known && configuration != nil {
		until := time.Now().Add(configuration.Pools[pool].Switch)
		f.step(tracker.RoleOrdered{ID: identifier.Upstream(e.Upstream), Until: until})
	}
}

// stages returns the view of the orders' core.
func (f *Fleet) stages(self identifier.VM, start identifier.Incarnation) stager.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := stager.View{Self: self, Start: start, Holder: f.holder}
	for vm := range f.roster.members {
		v.Members = append(v.Members, vm)
	}
	c := f.configuration.Load()
	v.IsFresh = c != nil && f.listed && f.lostSince.Load() == nil && f.roster.members[self] == start
	if !v.IsFresh {
		return v
	}
	for id, pool := range c.Pools {
		if !pool.HasEngines {
			continue
		}
		mean := f.sizesOf(id)
		p := stager.Pool{ID: id, Memory: pool.Memory, Slots: pool.Slots, Input: identifier.Tokens(mean.input), Output: identifier.Tokens(mean.output)}
		for _, r := range f.view.Pool(id) {
			p.Engines = append(p.Engines, stager.Engine{ID: r.ID, Start: r.Start, Role: r.Role, DataCentre: r.DataCentre, IsLeaving: r.Leaving})
		}
		v.Pools = append(v.Pools, p)
	}
	return v
}

// Swapper is the part of a store that orders need.
type Swapper interface {
	Swap(ctx context.Context, purpose keeper.Purpose, key string, expected keeper.Version, value []byte) (keeper.Entry, bool, error)
}

// Orders gives the orders of one VM.
type Orders struct {
	fleet   *Fleet
	runners Runners
	store   Swapper
	self    identifier.VM
	start   identifier.Incarnation
	log     zerolog.Logger
	core    *stager.Core
}

// NewOrders returns the shell of a VM's orders.
func NewOrders(fleet *Fleet, runners Runners, store Swapper, self identifier.VM, start identifier.Incarnation, log zerolog.Logger) *Orders {
	return &Orders{fleet: fleet, runners: runners, store: store, self: self, start: start, log: log}
}

// Run looks for needed orders until ctx ends.
func (o *Orders) Run(ctx context.Context) {
	o.core = stager.New(time.Now())
	last := time.Now()
	var restUntil time.Time
	for looper.Sleep(ctx, lookEvery) {
		now := time.Now()
		// The wall clock also counts the time for which a VM was suspended.
		if now.Sub(last) > thawGap || now.Round(0).Sub(last.Round(0)) > thawGap {
			restUntil = now.Add(thawRest)
			o.log.Warn().Dur("Gap", now.Round(0).Sub(last.Round(0))).Msg("StoodStill")
		}
		last = now
		if now.Before(restUntil) {
			continue
		}
		var e stager.Event = stager.Looked{View: o.fleet.stages(o.self, o.start)}
		for e != nil {
			e = o.perform(ctx, o.core.Step(time.Now(), e))
		}
		last = time.Now()
	}
}

func (o *Orders) perform(ctx context.Context, outcome stager.Outcome) stager.Event {
	switch c := outcome.(type) {
	case stager.Claim:
		return o.claim(ctx, c)
	case stager.Order:
		looper.Sleep(ctx, spreadFor)
		o.order(ctx, c)
		return stager.Ordered{}
	}
	return nil
}

func (o *Orders) claim(ctx context.Context, c stager.Claim) stager.Event {
	value, err := proto.Marshal(&wire.RoleOrder{VM: string(o.self), Incarnation: uint64(o.start), Upstream: string(c.Engine.ID), Role: string(c.Role)})
	if err != nil {
		o.log.Error().AnErr("Error", err).Msg("OrderNotClaimed")
		return stager.Failed{}
	}
	entry, done, err := o.store.Swap(ctx, keeper.PurposeFence, ordersKey, keeper.Version(c.Expected), value)
	if err != nil || !done {
		o.log.Info().Int64("Expected", c.Expected).AnErr("Error", err).Msg("OrderNotClaimed")
		return stager.Failed{}
	}
	o.log.Info().Str("Upstream", string(c.Engine.ID)).Str("Role", string(c.Role)).Int64("Fence", int64(entry.Version)).Msg("OrderClaimed")
	return stager.Claimed{Version: int64(entry.Version)}
}

func (o *Orders) order(ctx context.Context, c stager.Order) {
	r, ok := o.fleet.runner(c.Engine.ID, c.Engine.Start)
	if !ok {
		o.log.Info().Str("Upstream", string(c.Engine.ID)).Msg("OrderDropped")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderLimit)
	defer cancel()
	err := o.runners.Order(ctx, r, c.Role, o.self, c.Fence)
	o.log.Info().Str("Upstream", string(r.ID)).Str("Role", string(c.Role)).Uint64("Fence", uint64(c.Fence)).AnErr("Error", err).Msg("Ordered")
}

func (f *Fleet) runner(id identifier.Upstream, start identifier.Incarnation) (tracker.Runner, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Runner(id, start)
}
