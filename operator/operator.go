// Package operator implements the operators' API of a VM, JSON over HTTPS with
// operator certificates, and its client.
package operator

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v5"
	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/certifier"
	"github.com/figtrack/figtrack/configurer"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/limiter"
	"github.com/figtrack/figtrack/reaper"
)

const (
	// protocol is the ALPN protocol that both sides require.
	protocol = "http/1.1"
	// headerTimeout bounds the time to read the header of a request.
	headerTimeout = 5 * time.Second
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 16 << 10
	// requestTimeout bounds one request, including the wait for a change to be
	// in force.
	requestTimeout = 30 * time.Second
	// maxChangeBytes is the maximum size of a change.
	maxChangeBytes = 1 << 20
)

// Fleet performs the operators' requests on this VM and on the others.
type Fleet interface {
	// Submit writes a change to the store. With wait, it returns when all live
	// VMs have the change in force, or when ctx ends.
	Submit(ctx context.Context, change configurer.Change, wait bool) Submission
	// Configuration returns the document in force on this VM.
	Configuration() configurer.Document
	// Statuses collects the status of all VMs of the deployment.
	Statuses(ctx context.Context) []Status
	// Explain collects the log lines of a request from all VMs that answer.
	Explain(ctx context.Context, r identifier.Request) Explanation
	// Drain starts the graceful shutdown of this VM.
	Drain()
}

// Listener is the HTTPS server for operators.
type Listener struct {
	fleet  Fleet
	server *http.Server
	reaper *reaper.Reaper
}

// New returns a listener that requires operator certificates. refusals counts the
// connections that are refused; it may be nil.
func New(fleet Fleet, ring *certifier.Keyring, refusals reaper.Counter) *Listener {
	l := &Listener{fleet: fleet}
	l.reaper = reaper.New(reaper.Settings{
		HeaderTimeout: headerTimeout,
		IdleTimeout:   func() time.Duration { return 0 },
		IsEncrypted:   true,
		MaxConns:      limiter.Derive(0, limiter.Descriptors()).Control,
		Counter:       refusals,
	})
	l.server = &http.Server{
		Handler:        l.routes(),
		TLSConfig:      ring.ServerConfig(certifier.RoleOperator, protocol),
		MaxHeaderBytes: maxHeaderBytes,
	}
	l.reaper.Attach(l.server)
	return l
}

func (l *Listener) routes() http.Handler {
	e := echo.New()
	e.POST("/Changes", l.submit)
	e.GET("/Configuration", l.configuration)
	e.GET("/Status", l.statuses)
	e.GET("/Requests/:Request", l.explain)
	e.POST("/Drain", l.drain)
	return e
}

// Serve accepts connections from socket until Close.
func (l *Listener) Serve(socket net.Listener) error {
	err := l.server.ServeTLS(l.reaper.Listener(socket), "", "")
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve operators")
}

// Close closes all connections.
func (l *Listener) Close() error { return l.server.Close() }

func (l *Listener) submit(c *echo.Context) error {
	var change configurer.Change
	body := http.MaxBytesReader(c.Response(), c.Request().Body, maxChangeBytes)
	if err := json.NewDecoder(body).Decode(&change); err != nil {
		return c.JSON(http.StatusBadRequest, Problem{Message: "the body is not a change: " + err.Error()})
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), requestTimeout)
	defer cancel()
	return c.JSON(http.StatusOK, l.fleet.Submit(ctx, change, c.QueryParam("Wait") == "true"))
}

func (l *Listener) configuration(c *echo.Context) error {
	return c.JSON(http.StatusOK, l.fleet.Configuration())
}

func (l *Listener) statuses(c *echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), requestTimeout)
	defer cancel()
	return c.JSON(http.StatusOK, l.fleet.Statuses(ctx))
}

func (l *Listener) explain(c *echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), requestTimeout)
	defer cancel()
	explanation := l.fleet.Explain(ctx, identifier.Request(c.Param("Request")))
	if len(explanation.Lines) == 0 {
		return c.JSON(http.StatusNotFound, Problem{Message: explanation.problem()})
	}
	return c.JSON(http.StatusOK, explanation.all())
}

func (l *Listener) drain(c *echo.Context) error {
	l.fleet.Drain()
	return c.JSON(http.StatusOK, struct{}{})
}
