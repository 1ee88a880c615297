package relayer

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rs/zerolog"

	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/registrar"
)

const (
	// releaseQueue is the most releases waiting on one VM. What overflows is
	// left to the owner's comparison of holds.
	releaseQueue = 4096
	// releaseWorkers is the most releases under way at once.
	releaseWorkers = 32
	// releaseTimeout bounds one call.
	releaseTimeout = 2 * time.Second
	// releaseTries is the most calls for one hold.
	releaseTries = 6
	// firstRepeat is the wait before the second call.
	firstRepeat = 100 * time.Millisecond
)

// Cancels is a Releaser that repeats each release until the engine has
// acknowledged it or is gone.
type Cancels struct {
	registrar *registrar.Registrar
	log       zerolog.Logger
	queue     chan release
}

type release struct {
	upstream identifier.Upstream
	hold     identifier.Hold
}

// NewCancels returns a releaser; Run drives it.
func NewCancels(r *registrar.Registrar, log zerolog.Logger) *Cancels {
	return &Cancels{registrar: r, log: log, queue: make(chan release, releaseQueue)}
}

// Release implements Releaser. It does not wait.
func (c *Cancels) Release(u identifier.Upstream, hold identifier.Hold) {
	select {
	case c.queue <- release{u, hold}:
	default:
		c.log.Warn().Str("Upstream", string(u)).Str("Request", string(hold.Request)).Msg("ReleaseNotQueued")
	}
}

// Run releases what is queued until ctx ends.
func (c *Cancels) Run(ctx context.Context) {
	done := make(chan struct{})
	for range releaseWorkers {
		go func() {
			c.work(ctx)
			done <- struct{}{}
		}()
	}
	for range releaseWorkers {
		<-done
	}
}

func (c *Cancels) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case one := <-c.queue:
			c.repeat(ctx, one)
		}
	}
}

func (c *Cancels) repeat(ctx context.Context, one release) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = firstRepeat
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		return struct{}{}, c.once(ctx, one)
	}, backoff.WithBackOff(wait), backoff.WithMaxTries(releaseTries))
	if err != nil && ctx.Err() == nil {
		c.log.Warn().Err(err).Str("Upstream", string(one.upstream)).Str("Request", string(one.hold.Request)).Msg("NotReleased")
	}
}

func (c *Cancels) once(ctx context.Context, one release) error {
	engine, ok := c.registrar.Catalog().Engine(one.upstream)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	err := engine.Release(ctx, one.hold)
	if err != nil && kindOf(err) == driver.KindGone {
		return nil
	}
	return err
}
