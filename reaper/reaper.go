// Package reaper ends callers' connections that are idle, and none on which a byte of a
// request was read. net/http counts a connection as idle until it has the whole header of a
// request, so its own idle timeout and SetKeepAlivesEnabled close some whose request it is
// reading.
package reaper

import (
	"container/list"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Settings are the time limits of callers' connections.
type Settings struct {
	// HeaderTimeout bounds the time from the first byte of a request to the end of its
	// header, and the time until the first byte on a new connection.
	HeaderTimeout time.Duration
	// CurrentHeaderTimeout returns a header timeout that is in force if it is shorter; zero
	// for none. It may change while connections are open. It may be nil.
	CurrentHeaderTimeout func() time.Duration
	// Heads bounds the memory of request heads.
	Heads HeadBounds
	// IsEncrypted is true if the bytes of the connections aren't those of requests. Heads
	// are then bounded by net/http alone.
	IsEncrypted bool
	// MaxConns is the number of connections that are open at the same time; zero for any.
	// The longest waiting one without a request ends to make room.
	MaxConns int
	// Counter counts what was refused; nil for none.
	Counter Counter
	// IdleTimeout returns the time after which an idle connection ends; zero for none. It
	// may change while connections are open.
	IdleTimeout func() time.Duration
}

// Reaper tracks the connections of one http.Server.
type Reaper struct {
	cfg Settings
	// busy counts the connections whose core is busy.
	busy atomic.Int64

	mu sync.Mutex
	// isDraining and isStopped are set once Drain and StopReading were called.
	isDraining, isStopped bool
	// conns holds the open connections.
	conns map[*Conn]bool
	// open counts the connections that were accepted and have not ended.
	open int
	// fresh and idle hold the connections without a request, the longest waiting first:
	// those that have had none, and the others.
	fresh, idle list.List
}

// New returns a reaper without connections.
func New(cfg Settings) *Reaper { return &Reaper{cfg: cfg, conns: map[*Conn]bool{}} }

// Attach sets what the reaper needs of a server that hasn't started, and its header
// timeout. The server's connections have to come from Accept or Listener.
func (r *Reaper) Attach(s *http.Server) {
	s.ReadHeaderTimeout = r.cfg.HeaderTimeout
	s.Handler = r.withConn(s.Handler)
	s.ConnState = r.handleState
	next := s.ConnContext
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if next != nil {
			ctx = next(ctx, c)
		}
		if one, ok := c.(reapable); ok {
			ctx = context.WithValue(ctx, connKey{}, one.reaped())
		}
		return ctx
	}
}

type connKey struct{}

// FromContext returns the connection of a request by its context; nil if it has none.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

func (r *Reaper) wrap(c net.Conn) *Conn {
	return &Conn{Conn: c, reaper: r, core: core{headerTimeout: r.headerTimeout()}, framing: framing{bounds: r.cfg.Heads, isEncrypted: r.cfg.IsEncrypted}}
}

// headerTimeout returns the header timeout that is in force.
func (r *Reaper) headerTimeout() time.Duration {
	if r.cfg.CurrentHeaderTimeout != nil {
		if current := r.cfg.CurrentHeaderTimeout(); current > 0 {
			return min(current, r.cfg.HeaderTimeout)
		}
	}
	return r.cfg.HeaderTimeout
}

// Listener returns a listener that wraps the connections of l.
func (r *Reaper) Listener(l net.Listener) net.Listener { return listener{l, r} }

type listener struct {
	net.Listener
	reaper *Reaper
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.reaper.Accept(l.Listener)
	if err != nil {
		return nil, err
	}
	return c, nil
}

// Drain ends the connections that are idle, and the others after their answers.
func (r *Reaper) Drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isDraining = true
	for c := range r.conns {
		c.step(drained{})
	}
}

// StopReading lets no further request begin. Those whose first byte was read go on.
func (r *Reaper) StopReading() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isStopped = true
	for c := range r.conns {
		c.step(stopped{})
	}
}

// Busy returns the number of requests that are being read or whose answers are not
// completely written. After StopReading, reads that haven't returned count, too: they may
// hold a request.
func (r *Reaper) Busy() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isStopped {
		return int(r.busy.Load())
	}
	n := 0
	for c := range r.conns {
		if c.isUnsettled() {
			n++
		}
	}
	return n
}

// reapable is a Conn or what embeds one.
type reapable interface{ reaped() *Conn }

// handleState is an http.Server.ConnState.
func (r *Reaper) handleState(conn net.Conn, state http.ConnState) {
	if encrypted, ok := conn.(*tls.Conn); ok {
		conn = encrypted.NetConn()
	}
	one, ok := conn.(reapable)
	if !ok {
		return
	}
	c := one.reaped()
	switch state {
	case http.StateNew:
		r.add(c)
	case http.StateActive:
		c.step(requestBegun{})
		r.unqueue(c)
	case http.StateIdle:
		c.framing.next()
		c.step(answerEnded{c.framing.hasBegun(), r.cfg.IdleTimeout()})
		r.queue(c, &r.idle)
	case http.StateClosed, http.StateHijacked:
		c.step(closed{})
		c.framing.release()
		r.remove(c)
	}
}

func (r *Reaper) add(c *Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[c] = true
	r.queueLocked(c, &r.fresh)
	if r.isDraining {
		c.step(drained{})
	}
	if r.isStopped {
		c.step(stopped{})
	}
}

// withConn prepares the answer to a request. It is the last one on its connection while the
// server drains, or if what follows was refused. A request that was itself refused is read
// only if it came with the end of the one before it.
func (r *Reaper) withConn(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.mu.Lock()
		isDraining := r.isDraining
		r.mu.Unlock()
		c := FromContext(q.Context())
		if c != nil && c.framing.isBlocked() {
			panic(http.ErrAbortHandler)
		}
		if isDraining || c != nil && c.framing.isRefused() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, q)
	})
}
