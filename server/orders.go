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
	return orderer.NewShell(core, s.Store, s.engineOrNil, orderer.DefaultLoads, s.handleOrderOutcome)
}

// engineOrNil returns the client of a runner, or nil if the runner is unknown.
func (s *Server) engineOrNil(u identifier.Upstream) driver.Engine {
	engine, ok := s.engine(u)
	if !ok {
		return nil
	}
	return engine
}

// handleOrderOutcome handles an outcome of the orderer. It runs on the orderer's
// goroutine.
func (s *Server) handleOrderOutcome(out orderer.Outcome) {
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

// drainSettleTime is the time after the start of a runner's drain before its
// idle reports are trusted. By then, requests placed earlier have reached the
// runner, and its reports include them.
const drainSettleTime = 3 * time.Second

// drainRunner starts or ends the drain of a runner. A draining runner waits for
// an order and gets no new work.
func (s *Server) drainRunner(out orderer.Drain) {
	if out.On {
		s.draining.Store(out.Upstream, time.Now())
	} else {
		s.draining.Delete(out.Upstream)
	}
	s.health.renotifyCore(out.Upstream)
}

// isDraining reports whether a runner is drained for an order, and since when.
func (s *Server) isDraining(u identifier.Upstream) (since time.Time, draining bool) {
	value, draining := s.draining.Load(u)
	if !draining {
		return time.Time{}, false
	}
	return value.(time.Time), true
}

// Idle implements poller.Health. It reports a draining runner as drained, once
// its idle reports can be trusted.
func (h *health) Idle(u identifier.Upstream) {
	since, draining := h.s.isDraining(u)
	if draining && time.Since(since) >= drainSettleTime {
		h.s.orders.Offer(orderer.Drained{Upstream: u})
	}
}
