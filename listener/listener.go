// Package listener is the callers' side of a VM: completions in the form that
// OpenAI clients use, and the paths of plain services.
package listener

import (
	"context"
	"net"
	"net/http"
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
	l.server = &http.Server{
		Handler:           l.routes(),
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

// Shutdown takes no new connections and waits for the open requests until
// ctx ends; then it breaks them off.
func (l *Listener) Shutdown(ctx context.Context) error {
	if l.server.Shutdown(ctx) != nil {
		return l.server.Close()
	}
	return nil
}

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
	select {
	case l.slots <- struct{}{}:
		return true
	default:
		refuse(c, "", outcomer.NewBusy(busyRetryAfter), "The limit is Callers.MaxRequests.")
		return false
	}
}

func (l *Listener) leave() { <-l.slots }

func (l *Listener) service(c *echo.Context) error {
	if !l.enter(c) {
		return nil
	}
	defer l.leave()
	l.services.ServeHTTP(c.Response(), c.Request())
	return nil
}
