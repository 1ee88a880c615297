package server

import (
	"math/rand/v2"
	"slices"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/configurer"
	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/orderer"
	"github.com/figtrack/figtrack/registrar"
)

func (s *Server) newOrders() *orderer.Shell {
	core := orderer.New(s.Settings.VM, s.Incarnation, rand.New(rand.NewPCG(uint64(s.Incarnation), 4)))
	return orderer.NewShell(core, s.Store, s.ordered, orderer.DefaultLoads, s.observeOrder)
}

// ordered returns the client of a runner, or nil.
func (s *Server) ordered(u identifier.Upstream) driver.Engine {
	engine, ok := s.engine(u)
	if !ok {
		return nil
	}
	return engine
}

// observeOrder hears what the orderer decides, on its goroutine.
func (s *Server) observeOrder(out orderer.Outcome) {
	switch out := out.(type) {
	case orderer.Drain:
		s.drainRunner(out)
	case orderer.Issue:
		s.Log.Info().
			Str("Upstream", string(out.Upstream)).
			Uint64("Fence", uint64(out.Order.Fence)).
			Str("Role", string(out.Order.Role)).
			Str("Version", out.Order.Version).
			Msg("Order")
	case orderer.Settled:
		s.Log.Info().
			Str("Upstream", string(out.Upstream)).
			Uint64("Revision", uint64(out.Revision)).
			Bool("Ordered", out.Ordered).
			Msg("RunnerSettled")
	case orderer.Deferred:
		s.Log.Warn().
			Str("Upstream", string(out.Upstream)).
			Str("Reason", string(out.Reason)).
			Time("Until", out.Until).
			Msg("OrderDeferred")
	}
}

// drainRunner keeps new work from a runner that waits for an order.
func (s *Server) drainRunner(out orderer.Drain) {
	state := admitter.UpstreamUp
	if out.On {
		state = admitter.UpstreamLeaving
		s.draining.Store(out.Upstream, true)
	} else {
		s.draining.Delete(out.Upstream)
	}
	s.dispatcher.Feed(out.Upstream, admitter.UpstreamChanged{Upstream: admitter.Upstream{ID: out.Upstream, State: state}})
}

// Idle implements poller.Health: the runner holds no request by its own word.
func (h *health) Idle(u identifier.Upstream) {
	if _, draining := h.s.draining.Load(u); draining {
		h.s.orders.Offer(orderer.Drained{Upstream: u})
	}
}

// wanted is what the runners of the owned shards should serve.
func wanted(d configurer.Document, own []registrar.Shard) orderer.Wanted {
	out := orderer.Wanted{Revision: d.Revision}
	for _, shard := range own {
		pool, ok := d.Pool(shard.Pool)
		if !ok {
			continue
		}
		for _, u := range shard.Upstreams {
			one, known := d.Upstream(u.ID)
			if !known || one.Retired {
				continue
			}
			out.Runners = append(out.Runners, orderer.Want{
				Upstream:    u.ID,
				Pool:        shard.Pool,
				ChecksFence: one.ChecksFence,
				Serving: orderer.Serving{
					Models:   slices.Clone(pool.Models),
					Adapters: slices.Clone(pool.Adapters),
					Version:  pool.Version,
					Role:     one.Role,
				},
			})
		}
	}
	return out
}
