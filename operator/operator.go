// Package operator is the operators' side of a VM: JSON over HTTPS with
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
)

const (
	// protocol is what both sides must speak.
	protocol = "http/1.1"
	// headerTimeout bounds the header of one request.
	headerTimeout = 5 * time.Second
	// requestTimeout bounds one request, a waiting change included.
	requestTimeout = 30 * time.Second
	// maxBody is the largest change, in bytes.
	maxBody = 1 << 20
)

// Fleet is what the operators' side needs of the VM.
type Fleet interface {
	// Submit brings a change to the store.
	Submit(ctx context.Context, change configurer.Change, wait bool) Submission
	// Configuration returns the document in force on this VM.
	Configuration() configurer.Document
	// Statuses asks all live VMs.
	Statuses(ctx context.Context) []Status
	// Explain collects the log lines of a request from all live VMs.
	Explain(ctx context.Context, r identifier.Request) []json.RawMessage
	// Drain begins the graceful shutdown of this VM.
	Drain()
}

// Listener serves operators.
type Listener struct {
	fleet  Fleet
	server *http.Server
}

// New returns a listener that demands operator certificates.
func New(fleet Fleet, ring *certifier.Keyring) *Listener {
	l := &Listener{fleet: fleet}
	l.server = &http.Server{
		Handler:           l.routes(),
		TLSConfig:         ring.Server(certifier.RoleOperator, protocol),
		ReadHeaderTimeout: headerTimeout,
	}
	return l
}

func (l *Listener) routes() http.Handler {
	e := echo.New()
	e.POST("/Changes", l.submit)
	e.GET("/Configuration", l.configuration)
	e.GET("/Status", l.status)
	e.GET("/Requests/:Request", l.explain)
	e.POST("/Drain", l.drain)
	return e
}

// Serve serves operators on an open socket until Close.
func (l *Listener) Serve(socket net.Listener) error {
	err := l.server.ServeTLS(socket, "", "")
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve operators")
}

// Close ends all connections.
func (l *Listener) Close() error { return l.server.Close() }

func (l *Listener) submit(c *echo.Context) error {
	var change configurer.Change
	body := http.MaxBytesReader(c.Response(), c.Request().Body, maxBody)
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

func (l *Listener) status(c *echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), requestTimeout)
	defer cancel()
	return c.JSON(http.StatusOK, l.fleet.Statuses(ctx))
}

func (l *Listener) explain(c *echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), requestTimeout)
	defer cancel()
	lines := l.fleet.Explain(ctx, identifier.Request(c.Param("Request")))
	if len(lines) == 0 {
		return c.JSON(http.StatusNotFound, Problem{Message: "no VM remembers a decision for this request; the log of the VMs may"})
	}
	return c.JSON(http.StatusOK, lines)
}

func (l *Listener) drain(c *echo.Context) error {
	l.fleet.Drain()
	return c.JSON(http.StatusOK, struct{}{})
}
