// Package listener is the callers' side of a VM: completions in the form that
// OpenAI clients use, and the paths of plain services.
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
	"github.com/figtrack/figtrack/outcomer"
	"github.com/figtrack/figtrack/parser"
	"github.com/figtrack/figtrack/relayer"
)

// idleTimeout closes a caller's connection that carries no request.
const idleTimeout = 2 * time.Minute

// busyRetryAfter is the wait that a caller is told when the VM is full.
const busyRetryAfter = time.Second

// Runner runs a completion request to its end.
type Runner interface {
	Run(ctx context.Context, job relayer.Job, sink relayer.Sink) outcomer.Outcome
}

// Classes are the classes and models of the accepted configuration.
type Classes interface {
	// Class returns a class by its name.
	Class(name identifier.Class) (admitter.Class, bool)
	// ClassFor returns the class of a model's requests that name none.
	ClassFor(m identifier.Model) (identifier.Class, bool)
	// ClassNames lists all classes, sorted.
	ClassNames() []identifier.Class
	// Models lists all models that are served, sorted.
	Models() []identifier.Model
}

// Readiness tells whether the VM should get new requests.
type Readiness interface {
	// Ready returns an empty text, or why the VM is not ready.
	Ready() string
}

// Listener serves callers.
type Listener struct {
	cfg       parser.Callers
	runner    Runner
	classes   Classes
	services  http.Handler
	readiness Readiness
	metrics   http.Handler
	log       zerolog.Logger
	// slots has room for MaxRequests requests.
	slots  chan struct{}
	server *http.Server
	// refusing says that no new request is taken.
	refusing atomic.Bool
	// cutting ends when the requests in flight are to be cut off.
	cutting context.Context
	cut     context.CancelFunc
}

// New returns a listener. services takes every path that is not figtrack's.
func New(
	cfg parser.Callers, runner Runner, classes Classes, services http.Handler,
	readiness Readiness, metrics http.Handler, log zerolog.Logger,
) *Listener {
	l := &Listener{
		cfg:       cfg,
		runner:    runner,
		classes:   classes,
		services:  services,
		readiness: readiness,
		metrics:   metrics,
		log:       log,
		slots:     make(chan struct{}, cfg.MaxRequests),
	}
	l.cutting, l.cut = context.WithCancel(context.Background())
	l.server = &http.Server{
		Handler:           l.readBy(l.routes()),
		ReadHeaderTimeout: cfg.HeaderTimeout,
		MaxHeaderBytes:    cfg.MaxHeaderBytes,
		IdleTimeout:       idleTimeout,
	}
	return l
}

func (l *Listener) routes() http.Handler {
	e := echo.New()
	e.GET("/healthz", l.healthz)
	e.GET("/readyz", l.readyz)
	e.GET("/metrics", echo.WrapHandler(l.metrics))
	e.GET("/v1/models", l.models)
	e.POST("/v1/completions", l.completions)
	e.POST("/v1/chat/completions", l.chatCompletions)
	e.Any("/*", l.service)
	return e
}

// readBy limits how long a caller may leave a part of an answer unread.
func (l *Listener) readBy(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(newBoundedWriter(w, l.cfg.WriteTimeout), r)
	})
}

// Handler returns the handler of all paths.
func (l *Listener) Handler() http.Handler { return l.server.Handler }

// Serve serves callers on an open socket until Shutdown.
func (l *Listener) Serve(socket net.Listener) error {
	err := l.server.Serve(socket)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve callers")
}

// RefuseNew refuses new requests with Draining and ends idle connections.
func (l *Listener) RefuseNew() {
	l.refusing.Store(true)
	l.server.SetKeepAlivesEnabled(false)
}

// Cut ends the requests in flight with CutByDrain.
func (l *Listener) Cut() { l.cut() }

// Close ends all connections.
func (l *Listener) Close() error { return l.server.Close() }

// InFlight returns the number of requests in flight.
func (l *Listener) InFlight() int { return len(l.slots) }

func (l *Listener) healthz(c *echo.Context) error {
	return c.String(http.StatusOK, "ok\n")
}

func (l *Listener) readyz(c *echo.Context) error {
	if reason := l.readiness.Ready(); reason != "" {
		return c.String(http.StatusServiceUnavailable, reason+"\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

// enter takes a slot for a request, or refuses it.
func (l *Listener) enter(c *echo.Context) bool {
	if l.refusing.Load() {
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

func (l *Listener) leave() { <-l.slots }

// bounded returns the context of a request, which also ends with the request's
// time and with Cut.
func (l *Listener) bounded(c *echo.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(c.Request().Context(), l.cfg.RequestTimeout)
	stop := context.AfterFunc(l.cutting, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

func (l *Listener) service(c *echo.Context) error {
	if !l.enter(c) {
		return nil
	}
	defer l.leave()
	ctx, cancel := l.bounded(c)
	defer cancel()
	// The end of ctx does not end a read of the caller's body.
	control := http.NewResponseController(c.Response())
	_ = control.SetReadDeadline(time.Now().Add(l.cfg.RequestTimeout))
	l.services.ServeHTTP(c.Response(), c.Request().WithContext(ctx))
	return nil
}
