package server

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/looper"
	"github.com/figtrack/figtrack/operator"
	"github.com/figtrack/figtrack/prober"
	"github.com/figtrack/figtrack/registrar"
)

const (
	// healthRing is the most events waiting for the health duty. What
	// overflows is repeated by the next call to the upstream.
	healthRing = 4096
	// probeTimeout bounds one probe of an upstream.
	probeTimeout = time.Second
	// maxProbes is the most probes under way at once.
	maxProbes = 16
)

// health is the shell of prober.HealthCore.
type health struct {
	s      *Server
	core   *prober.HealthCore
	ring   chan prober.HealthEvent
	probes chan struct{}

	mu sync.Mutex
	// states holds what is not up.
	states map[identifier.Upstream]prober.Health
}

func newHealth(s *Server) *health {
	return &health{
		s:      s,
		core:   prober.NewHealth(rand.New(rand.NewPCG(uint64(s.Incarnation), 1))),
		ring:   make(chan prober.HealthEvent, healthRing),
		probes: make(chan struct{}, maxProbes),
		states: make(map[identifier.Upstream]prober.Health),
	}
}

// offer queues an event without waiting.
func (h *health) offer(e prober.HealthEvent) {
	select {
	case h.ring <- e:
	default:
	}
}

// assign queues the upstreams of a configuration; it must not be lost.
func (h *health) assign(e prober.Assigned) {
	select {
	case h.ring <- e:
	case <-h.s.ctx.Done():
	}
}

// Succeeded implements relayer.Health.
func (h *health) Succeeded(u identifier.Upstream) { h.offer(prober.Succeeded{Upstream: u}) }

// Failed implements relayer.Health. An engine's own refusal shows that it
// lives.
func (h *health) Failed(u identifier.Upstream, kind driver.Kind) {
	switch kind {
	case driver.KindLeaving:
		h.offer(prober.AnsweredLeaving{Upstream: u, Leaving: true})
	case driver.KindFull, driver.KindGone:
		h.offer(prober.Succeeded{Upstream: u})
	default:
		h.offer(prober.Failed{Upstream: u})
	}
}

// Leaving implements poller.Health.
func (h *health) Leaving(u identifier.Upstream, leaving bool) {
	h.offer(prober.AnsweredLeaving{Upstream: u, Leaving: leaving})
}

// Usable says whether an upstream may get new work.
func (h *health) Usable(u identifier.Upstream) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, impaired := h.states[u]
	return !impaired
}

func (h *health) run() {
	looper.Run[prober.HealthEvent](h.s.ctx, h.ring, prober.HealthWake{}, h.step)
}

func (h *health) step(timer *time.Timer, e prober.HealthEvent) {
	now := time.Now()
	for _, out := range h.core.Step(now, e) {
		h.perform(now, timer, out)
	}
}

func (h *health) perform(now time.Time, timer *time.Timer, out prober.HealthOutcome) {
	switch out := out.(type) {
	case prober.HealthWakeAt:
		timer.Reset(max(0, out.At.Sub(now)))
	case prober.HealthChanged:
		h.changed(out)
	case prober.ProbeUpstream:
		h.probe(out.Upstream)
	case prober.Announce:
		h.s.members.Offer(prober.UpstreamLeaving{
			Upstream: out.Upstream,
			Leaving:  out.Leaving,
			Source:   prober.SourceUpstream,
		})
	}
}

func (h *health) changed(out prober.HealthChanged) {
	h.mu.Lock()
	if out.Health == prober.HealthUp {
		delete(h.states, out.Upstream)
	} else {
		h.states[out.Upstream] = out.Health
	}
	h.mu.Unlock()
	h.s.Log.Info().
		Str("Upstream", string(out.Upstream)).
		Str("Health", string(out.Health)).
		Interface("Sources", out.Sources).
		Msg("UpstreamChanged")
	h.feed(out.Upstream, out.Health)
}

// feed tells the owner's core, if this VM is the owner. A runner that waits for
// an order gets no new work, whatever its health.
func (h *health) feed(u identifier.Upstream, state prober.Health) {
	if _, draining := h.s.isDraining(u); draining && state == prober.HealthUp {
		state = prober.HealthLeaving
	}
	h.s.dispatcher.Feed(u, admitter.UpstreamChanged{
		Upstream: admitter.Upstream{ID: u, State: admitter.UpstreamState(state)},
	})
}

// repeat feeds the present state of an upstream again.
func (h *health) repeat(u identifier.Upstream) {
	h.mu.Lock()
	state, impaired := h.states[u]
	h.mu.Unlock()
	if !impaired {
		state = prober.HealthUp
	}
	h.feed(u, state)
}

// feedAll repeats what is not up, for cores that were just made.
func (h *health) feedAll() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for u, state := range h.states {
		h.feed(u, state)
	}
}

// impaired lists what is not up, by name.
func (h *health) impaired() []operator.UpstreamStatus {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []operator.UpstreamStatus
	for _, u := range slices.Sorted(maps.Keys(h.states)) {
		out = append(out, operator.UpstreamStatus{Upstream: u, Health: string(h.states[u])})
	}
	return out
}

// probe calls an idle upstream once.
func (h *health) probe(id identifier.Upstream) {
	u, ok := h.s.registrar.Catalog().Upstream(id)
	if !ok {
		return
	}
	select {
	case h.probes <- struct{}{}:
	default:
		return
	}
	h.s.wg.Go(func() {
		defer func() { <-h.probes }()
		h.probeOnce(u)
	})
}

func (h *health) probeOnce(u registrar.Upstream) {
	ctx, cancel := context.WithTimeout(h.s.ctx, probeTimeout)
	defer cancel()
	var err error
	if engine, ok := h.s.registrar.Catalog().Engine(u.ID); ok {
		_, err = engine.Load(ctx)
	} else {
		err = h.connect(ctx, u.Address)
	}
	if err != nil {
		h.offer(prober.Failed{Upstream: u.ID})
		return
	}
	h.offer(prober.Succeeded{Upstream: u.ID})
}

// connect probes a plain service, whose calls may not be made for a probe.
func (h *health) connect(ctx context.Context, address string) error {
	var conn net.Conn
	conn, err := h.s.Dial(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return conn.Close()
}
