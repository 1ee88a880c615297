// Package listener serves the HTTP API of callers: OpenAI-compatible
// completions and the paths of plain services.
package listener

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v5"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/limiter"
	"github.com/figtrack/figtrack/outcomer"
	"github.com/figtrack/figtrack/parser"
	"github.com/figtrack/figtrack/reaper"
	"github.com/figtrack/figtrack/relayer"
)

// idleTimeout is how long a caller's connection without a request stays open.
const idleTimeout = 2 * time.Minute

// unreadBodyTimeout bounds the read of a body that isn't used.
const unreadBodyTimeout = 3 * time.Second

// busyRetryAfter is the Retry-After of a refusal by a full or draining VM.
const busyRetryAfter = time.Second

// Runner runs a completion request to its end.
type Runner interface {
	Run(ctx context.Context, job relayer.Job, sink relayer.Sink) outcomer.Outcome
}

// Classes looks up the classes and models of the accepted configuration.
type Classes interface {
	// Class returns a class by its name.
	Class(name identifier.Class) (admitter.Class, bool)
	// ClassFor returns the default class of a model.
	ClassFor(m identifier.Model) (identifier.Class, bool)
	// ClassNames lists all classes, sorted.
	ClassNames() []identifier.Class
	// Models lists all served models, sorted.
	Models() []identifier.Model
}

// Readiness reports whether the VM should get new requests.
type Readiness interface {
	// NotReadyReason returns why the VM is not ready, empty if it is ready.
	NotReadyReason() string
}

// Listener is the HTTP server for callers.
type Listener struct {
	cfg       parser.Callers
	runner    Runner
	classes   Classes
	services  http.Handler
	readiness Readiness
	metrics   http.Handler
	log       zerolog.Logger
	// slots holds one element for each request in flight, at most
	// cfg.MaxRequests.
	slots  chan struct{}
	server *http.Server
	reaper *reaper.Reaper
	// isRefusing is true once new requests are refused because of a drain.
	isRefusing atomic.Bool
	// cutCtx is canceled when a drain ends the requests in flight.
	cutCtx       context.Context
	cancelCutCtx context.CancelFunc
}

// New returns a listener. services handles every path that isn't figtrack's
// own. refusals counts the connections that are refused; it may be nil.
func New(
	cfg parser.Callers, runner Runner, classes Classes, services http.Handler,
	readiness Readiness, metrics http.Handler, refusals reaper.Counter, log zerolog.Logger,
) *Listener {
	bounds := limiter.Derive(0, limiter.Descriptors()).
		WithSettings(limiter.Bytes(cfg.HeaderMemoryMB)*limiter.Megabyte, cfg.MaxConnections)
	l := &Listener{
		cfg:       cfg,
		runner:    runner,
		classes:   classes,
		services:  services,
		readiness: readiness,
		metrics:   metrics,
		log:       log,
		slots:     make(chan struct{}, cfg.MaxRequests),
		reaper: reaper.New(reaper.Settings{
			HeaderTimeout: cfg.HeaderTimeout,
			IdleTimeout:   func() time.Duration { return idleTimeout },
			Heads:         reaper.HeadBounds{Quota: limiter.NewQuota(bounds.Heads), MaxBytes: func() int { return cfg.MaxHeaderBytes }},
			MaxConns:      bounds.Callers,
			Counter:       refusals,
		}),
	}
	l.cutCtx, l.cancelCutCtx = context.WithCancel(context.Background())
	l.server = &http.Server{Handler: l.withTimeouts(l.routes()), MaxHeaderBytes: cfg.MaxHeaderBytes}
	l.reaper.Attach(l.server)
	return l
}

func (l *Listener) routes() http.Handler {
	e := echo.New()
	e.GET("/healthz", l.healthz)
	e.GET("/readyz", l.readyz)
	e.GET("/metrics", echo.WrapHandler(l.metrics))
	e.GET("/v1/models", l.listModels)
	e.POST("/v1/completions", l.completions)
	e.POST("/v1/chat/completions", l.chatCompletions)
	e.Any("/*", l.forwardToService)
	return e
}

// withTimeouts limits how long each write waits for a caller that doesn't read its
// response, and the read of a body that the handler doesn't read: net/http reads it after the
// answer, for any time. Handlers that read it set a limit of their own.
func (l *Listener) withTimeouts(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body != http.NoBody {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout)) // It fails only on a closed connection.
		}
		timed := newTimeoutWriter(w, l.cfg.WriteTimeout)
		next.ServeHTTP(timed, r)
		_ = timed.extendDeadline() // net/http writes the end of the answer after this.
	})
}

// Handler returns the HTTP handler for all paths.
func (l *Listener) Handler() http.Handler { return l.server.Handler }

// Serve accepts connections from socket until Close.
func (l *Listener) Serve(socket net.Listener) error {
	err := l.server.Serve(l.reaper.Listener(socket))
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve callers")
}

// RefuseNew makes the listener refuse new requests with Draining and ends idle
// connections.
func (l *Listener) RefuseNew() {
	l.isRefusing.Store(true)
	l.reaper.Drain()
}

// StopReading lets no further request begin. Those whose first byte was read go on.
func (l *Listener) StopReading() { l.reaper.StopReading() }

// Busy returns the number of requests that are being read or whose answers are not
// completely written.
func (l *Listener) Busy() int { return l.reaper.Busy() }

// CancelRequests cancels the requests in flight; their outcome is CutByDrain.
func (l *Listener) CancelRequests() { l.cancelCutCtx() }

// Close closes all connections.
func (l *Listener) Close() error { return l.server.Close() }

// InFlight returns the number of requests in flight.
func (l *Listener) InFlight() int { return len(l.slots) }

func (l *Listener) healthz(c *echo.Context) error {
	return c.String(http.StatusOK, "ok\n")
}

func (l *Listener) readyz(c *echo.Context) error {
	if reason := l.readiness.NotReadyReason(); reason != "" {
		return c.String(http.StatusServiceUnavailable, reason+"\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

// tryAcquireSlot reserves a slot for a request. It sends a refusal and returns
// false if the VM is draining or no slot is free.
func (l *Listener) tryAcquireSlot(c *echo.Context) bool {
	if l.isRefusing.Load() {
		refuse(c, "", outcomer.NewDraining(busyRetryAfter))
		return false
	}
	select {
	case l.slots <- struct{}{}:
		return true
	default:
		refuse(c, "", outcomer.NewBusy(busyRetryAfter), "The limit is Callers.MaxRequests.")
		return false
	}
}

func (l *Listener) releaseSlot() { <-l.slots }

// requestContext returns a request's context with RequestTimeout.
// CancelRequests cancels it, too.
func (l *Listener) requestContext(c *echo.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(c.Request().Context(), l.cfg.RequestTimeout)
	stop := context.AfterFunc(l.cutCtx, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

func (l *Listener) forwardToService(c *echo.Context) error {
	if !l.tryAcquireSlot(c) {
		return nil
	}
	defer l.releaseSlot()
	ctx, cancel := l.requestContext(c)
	defer cancel()
	if c.Request().Body != http.NoBody {
		// Canceling ctx doesn't interrupt a read of the caller's body. net/http takes a read
		// that fails without a body for a caller that has left.
		control := http.NewResponseController(c.Response())
		_ = control.SetReadDeadline(time.Now().Add(l.cfg.RequestTimeout))
	}
	l.services.ServeHTTP(c.Response(), c.Request().WithContext(ctx))
	return nil
}
