// Package poller regularly reads the load and the cache events of the runners in
// the shards that this VM owns.
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
	// readInterval is the interval at which one runner is read. The ledger already
	// counts everything that was granted; the load read from the runner only
	// corrects it.
	readInterval = time.Second
	// readTimeout bounds the calls of one reading.
	readTimeout = time.Second
)

// Feeder receives the load and the cache events as events of an admitter core.
type Feeder interface {
	HandleUpstreamEvent(u identifier.Upstream, e admitter.Event)
}

// Health is told whether each reading succeeded and what it showed.
type Health interface {
	// Succeeded is called when a load was read.
	Succeeded(u identifier.Upstream)
	// Failed is called when reading the load failed.
	Failed(u identifier.Upstream, kind driver.Kind)
	// Leaving is called with each load that was read. Leaving is true if the
	// runner accepts no new requests.
	Leaving(u identifier.Upstream, leaving bool)
	// Idle is called when a runner neither runs nor queues a request.
	Idle(u identifier.Upstream)
}

// Poller reads each runner in a goroutine of its own.
type Poller struct {
	registrar *registrar.Registrar
	feeder    Feeder
	health    Health
	log       zerolog.Logger

	mu sync.Mutex
	// stops holds, for each runner of the owned shards, the function that stops
	// its goroutine.
	stops map[identifier.Upstream]context.CancelFunc
	wg    sync.WaitGroup
}

// New returns a poller that reads no runner before SetShards.
func New(r *registrar.Registrar, f Feeder, h Health, log zerolog.Logger) *Poller {
	return &Poller{registrar: r, feeder: f, health: h, log: log, stops: make(map[identifier.Upstream]context.CancelFunc)}
}

// SetShards starts reading the runners of these shards and stops reading all
// others. The readers stop when ctx ends.
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
	for id, stop := range p.stops {
		if !wanted[id] {
			stop()
			delete(p.stops, id)
		}
	}
}

// start starts reading a runner unless it is already being read.
func (p *Poller) start(ctx context.Context, id identifier.Upstream) {
	if p.stops[id] != nil {
		return
	}
	ctx, stop := context.WithCancel(ctx)
	p.stops[id] = stop
	r := &reader{Poller: p, id: id}
	p.wg.Go(func() { r.run(ctx) })
}

// Wait returns when the goroutines of all readers have ended. They end when the
// context given to SetShards ends.
func (p *Poller) Wait() { p.wg.Wait() }

// reader reads one runner.
type reader struct {
	*Poller
	id identifier.Upstream
	// sequence is the number of the last cache event that was read.
	sequence identifier.Sequence
	// incarnation identifies the engine's start as of the last reading; zero
	// before the first one.
	incarnation identifier.Incarnation
}

// run reads the runner at regular intervals until ctx ends.
func (r *reader) run(ctx context.Context) {
	// A random delay spreads the readings of the runners over the interval.
	if !looper.Sleep(ctx, rand.N(readInterval)) {
		return
	}
	ticker := time.NewTicker(readInterval)
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

// read reads the load of the runner and, if it is a prefill runner, the cache
// events. It does nothing if the runner is not in the catalog.
func (r *reader) read(ctx context.Context) {
	engine, ok := r.registrar.Catalog().Engine(r.id)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	load, err := engine.Load(ctx)
	if err != nil {
		r.reportFailure(ctx, err)
		return
	}
	r.reportLoad(load)
	if load.Role == identifier.RolePrefill {
		r.readCacheEvents(ctx, engine)
	}
}

// reportFailure reports a failed reading, unless it was stopped on purpose.
func (r *reader) reportFailure(ctx context.Context, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	r.health.Failed(r.id, driver.KindOf(err))
}

// reportLoad passes a load on to health and to the feeder. If the engine's
// incarnation has changed, it reports the restart to the feeder first.
func (r *reader) reportLoad(load driver.Load) {
	r.health.Succeeded(r.id)
	r.health.Leaving(r.id, load.Leaving)
	if load.Running+load.Queued == 0 {
		r.health.Idle(r.id)
	}
	if r.incarnation != 0 && load.Incarnation != r.incarnation {
		r.reportRestart()
	}
	r.incarnation = load.Incarnation
	r.feeder.HandleUpstreamEvent(r.id, admitter.LoadReport{
		Upstream:   r.id,
		At:         load.At,
		Running:    load.Running,
		Queued:     load.Queued,
		FreePieces: load.FreePieces,
	})
}

// reportRestart reports that the engine has restarted and lost its requests and its
// cache, as an upstream that goes down and comes up again.
func (r *reader) reportRestart() {
	r.log.Warn().Str("Upstream", string(r.id)).Msg("UpstreamRestarted")
	r.sequence = 0
	for _, state := range []admitter.UpstreamState{admitter.UpstreamDown, admitter.UpstreamUp} {
		r.feeder.HandleUpstreamEvent(r.id, admitter.UpstreamChanged{Upstream: admitter.Upstream{ID: r.id, State: state}})
	}
}

// readCacheEvents reads the cache events after the last known one. A failure is
// ignored, as the next reading asks for the same events.
func (r *reader) readCacheEvents(ctx context.Context, engine driver.Engine) {
	events, err := engine.CacheEvents(ctx, r.sequence)
	if err != nil {
		return
	}
	for _, e := range events {
		r.sequence = max(r.sequence, e.Sequence)
		r.feeder.HandleUpstreamEvent(r.id, admitter.CacheReport{
			Upstream: r.id,
			Sequence: e.Sequence,
			Added:    e.Added,
			Removed:  e.Removed,
		})
	}
}
