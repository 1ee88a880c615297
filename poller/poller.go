// Package poller reads load and cache events of the runners whose shards this
// VM owns.
package poller

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/looper"
	"github.com/figtrack/figtrack/registrar"
)

const (
	// every is the pace of reading one runner. The ledger is exact for what
	// was granted; a reading only corrects it.
	every = time.Second
	// timeout bounds one call.
	timeout = time.Second
)

// Feeder takes what was read.
type Feeder interface {
	Feed(u identifier.Upstream, e admitter.Event)
}

// Health hears how the readings went.
type Health interface {
	Succeeded(u identifier.Upstream)
	Failed(u identifier.Upstream, kind driver.Kind)
	Leaving(u identifier.Upstream, leaving bool)
	// Idle says that a runner neither runs nor queues a request.
	Idle(u identifier.Upstream)
}

// Poller has one goroutine for each runner that is read.
type Poller struct {
	registrar *registrar.Registrar
	feeder    Feeder
	health    Health
	log       zerolog.Logger

	mu sync.Mutex
	// readers has an entry for each runner of the shards that are owned.
	readers map[identifier.Upstream]context.CancelFunc
	wg      sync.WaitGroup
}

// New returns a poller that reads nothing yet.
func New(r *registrar.Registrar, f Feeder, h Health, log zerolog.Logger) *Poller {
	return &Poller{registrar: r, feeder: f, health: h, log: log, readers: make(map[identifier.Upstream]context.CancelFunc)}
}

// SetShards reads the runners of these shards and no others.
func (p *Poller) SetShards(ctx context.Context, shards []registrar.Shard) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wanted := make(map[identifier.Upstream]bool)
	for _, s := range shards {
		for _, u := range s.Upstreams {
			wanted[u.ID] = true
			p.start(ctx, u.ID)
		}
	}
	for id, stop := range p.readers {
		if !wanted[id] {
			stop()
			delete(p.readers, id)
		}
	}
}

func (p *Poller) start(ctx context.Context, id identifier.Upstream) {
	if p.readers[id] != nil {
		return
	}
	ctx, stop := context.WithCancel(ctx)
	p.readers[id] = stop
	r := &reader{Poller: p, id: id}
	p.wg.Go(func() { r.run(ctx) })
}

// Wait returns when all readers have ended, after the end of their context.
func (p *Poller) Wait() { p.wg.Wait() }

// reader reads one runner.
type reader struct {
	*Poller
	id       identifier.Upstream
	sequence identifier.Sequence
	// incarnation is the engine's start of the last reading.
	incarnation identifier.Incarnation
}

func (r *reader) run(ctx context.Context) {
	// The readings of a VM's runners are spread over the pace.
	if !looper.Sleep(ctx, rand.N(every)) {
		return
	}
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		r.read(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (r *reader) read(ctx context.Context) {
	engine, ok := r.registrar.Catalog().Engine(r.id)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	load, err := engine.Load(ctx)
	if err != nil {
		r.unread(ctx, err)
		return
	}
	r.loaded(load)
	if load.Role == identifier.RolePrefill {
		r.cache(ctx, engine)
	}
}

func (r *reader) unread(ctx context.Context, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	r.health.Failed(r.id, driver.KindOf(err))
}

func (r *reader) loaded(load driver.Load) {
	r.health.Succeeded(r.id)
	r.health.Leaving(r.id, load.Leaving)
	if load.Running+load.Queued == 0 {
		r.health.Idle(r.id)
	}
	if r.incarnation != 0 && load.Incarnation != r.incarnation {
		r.restarted()
	}
	r.incarnation = load.Incarnation
	r.feeder.Feed(r.id, admitter.LoadReport{
		Upstream:   r.id,
		At:         load.At,
		Running:    load.Running,
		Queued:     load.Queued,
		FreePieces: load.FreePieces,
	})
}

// restarted tells that what the engine held is gone.
func (r *reader) restarted() {
	r.log.Warn().Str("Upstream", string(r.id)).Msg("UpstreamRestarted")
	r.sequence = 0
	for _, state := range []admitter.UpstreamState{admitter.UpstreamDown, admitter.UpstreamUp} {
		r.feeder.Feed(r.id, admitter.UpstreamChanged{Upstream: admitter.Upstream{ID: r.id, State: state}})
	}
}

func (r *reader) cache(ctx context.Context, engine driver.Engine) {
	events, err := engine.CacheEvents(ctx, r.sequence)
	if err != nil {
		return
	}
	for _, e := range events {
		r.sequence = max(r.sequence, e.Sequence)
		r.feeder.Feed(r.id, admitter.CacheReport{
			Upstream: r.id,
			Sequence: e.Sequence,
			Added:    e.Added,
			Removed:  e.Removed,
		})
	}
}
