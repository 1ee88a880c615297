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
	// maxQueuedHealthEvents bounds the queue of health events. Events that don't
	// fit are dropped; the next call to the upstream reports its state again.
	maxQueuedHealthEvents = 4096
	// probeTimeout bounds a single probe of an upstream.
	probeTimeout = time.Second
	// maxConcurrentProbes bounds the probes that run at the same time.
	maxConcurrentProbes = 16
)

// health is the shell of prober.HealthCore: it queues events, performs outcomes
// and keeps the health of the upstreams that are not up.
type health struct {
	s          *Server
	core       *prober.HealthCore
	queue      chan prober.HealthEvent
	probeSlots chan struct{}

	mu sync.Mutex
	// states holds the health of each upstream that is not up.
	states map[identifier.Upstream]prober.Health
}

func newHealth(s *Server) *health {
	return &health{
		s:          s,
		core:       prober.NewHealth(rand.New(rand.NewPCG(uint64(s.Incarnation), 1))),
		queue:      make(chan prober.HealthEvent, maxQueuedHealthEvents),
		probeSlots: make(chan struct{}, maxConcurrentProbes),
		states:     make(map[identifier.Upstream]prober.Health),
	}
}

// offer queues an event without blocking, and drops it if the queue is full.
func (h *health) offer(e prober.HealthEvent) {
	select {
	case h.queue <- e:
	default:
	}
}

// assign queues the upstreams of a configuration. It blocks while the queue is
// full, because this event must not be dropped.
func (h *health) assign(e prober.Assigned) {
	select {
	case h.queue <- e:
	case <-h.s.ctx.Done():
	}
}

// Succeeded implements relayer.Health.
func (h *health) Succeeded(u identifier.Upstream) { h.offer(prober.Succeeded{Upstream: u}) }

// Failed implements relayer.Health. An engine that refuses a call itself is up.
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

// IsUsable implements forwarder.Health.
func (h *health) IsUsable(u identifier.Upstream) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, impaired := h.states[u]
	return !impaired
}

func (h *health) run() {
	looper.Run[prober.HealthEvent](h.s.ctx, h.queue, prober.HealthWake{}, h.step)
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
		h.handleChange(out)
	case prober.ProbeUpstream:
		h.startProbe(out.Upstream)
	case prober.AnnounceLeaving:
		h.s.membership.Offer(prober.UpstreamLeaving{
			Upstream: out.Upstream,
			Leaving:  out.Leaving,
			Source:   prober.SourceUpstream,
		})
	}
}

func (h *health) handleChange(out prober.HealthChanged) {
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
	h.notifyCore(out.Upstream, out.Health)
}

// notifyCore passes the state of an upstream to its admitter core, if this VM
// owns the shard. A runner that waits for an order is passed as leaving even if
// it is up, so that it gets no new work.
func (h *health) notifyCore(u identifier.Upstream, state prober.Health) {
	if _, draining := h.s.isDraining(u); draining && state == prober.HealthUp {
		state = prober.HealthLeaving
	}
	h.s.dispatcher.HandleUpstreamEvent(u, admitter.UpstreamChanged{
		Upstream: admitter.Upstream{ID: u, State: admitter.UpstreamState(state)},
	})
}

// renotifyCore passes the current state of an upstream to its core again.
func (h *health) renotifyCore(u identifier.Upstream) {
	h.mu.Lock()
	state, impaired := h.states[u]
	h.mu.Unlock()
	if !impaired {
		state = prober.HealthUp
	}
	h.notifyCore(u, state)
}

// notifyImpaired passes the state of every impaired upstream to its core,
// because a new core doesn't know it.
func (h *health) notifyImpaired() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for u, state := range h.states {
		h.notifyCore(u, state)
	}
}

// impairedUpstreams returns the upstreams that are not up, sorted by ID.
func (h *health) impairedUpstreams() []operator.UpstreamStatus {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []operator.UpstreamStatus
	for _, u := range slices.Sorted(maps.Keys(h.states)) {
		out = append(out, operator.UpstreamStatus{Upstream: u, Health: string(h.states[u])})
	}
	return out
}

// startProbe probes an idle upstream once, unless too many probes are running.
func (h *health) startProbe(id identifier.Upstream) {
	u, ok := h.s.registrar.Catalog().Upstream(id)
	if !ok {
		return
	}
	select {
	case h.probeSlots <- struct{}{}:
	default:
		return
	}
	h.s.wg.Go(func() {
		defer func() { <-h.probeSlots }()
		h.runProbe(u)
	})
}

func (h *health) runProbe(u registrar.Upstream) {
	ctx, cancel := context.WithTimeout(h.s.ctx, probeTimeout)
	defer cancel()
	var err error
	if engine, ok := h.s.registrar.Catalog().Engine(u.ID); ok {
		_, err = engine.Load(ctx)
	} else {
		err = h.probeConnection(ctx, u.Address)
	}
	if err != nil {
		h.offer(prober.Failed{Upstream: u.ID})
		return
	}
	h.offer(prober.Succeeded{Upstream: u.ID})
}

// probeConnection probes a plain service by opening a connection. It sends no
// request, as that could have side effects.
func (h *health) probeConnection(ctx context.Context, address string) error {
	var conn net.Conn
	conn, err := h.s.Dial(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return conn.Close()
}
