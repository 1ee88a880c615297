package server

import (
	"math/rand/v2"
	"time"

	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/orderer"
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

// drainSettles is how long after the start of a drain a runner's word that it
// is idle is taken: what was placed before has reached it by then, and its
// reports have caught up.
const drainSettles = 3 * time.Second

// drainRunner keeps new work from a runner that waits for an order.
func (s *Server) drainRunner(out orderer.Drain) {
	if out.On {
		s.draining.Store(out.Upstream, time.Now())
	} else {
		s.draining.Delete(out.Upstream)
	}
	s.health.repeat(out.Upstream)
}

// isDraining says whether a runner waits for an order, and since when.
func (s *Server) isDraining(u identifier.Upstream) (since time.Time, draining bool) {
	value, draining := s.draining.Load(u)
	if !draining {
		return time.Time{}, false
	}
	return value.(time.Time), true
}

// Idle implements poller.Health: the runner holds no request by its own word.
func (h *health) Idle(u identifier.Upstream) {
	since, draining := h.s.isDraining(u)
	if draining && time.Since(since) >= drainSettles {
		h.s.orders.Offer(orderer.Drained{Upstream: u})
	}
}
