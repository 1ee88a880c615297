// Package verifier makes answers fail that net/http accepts though they are cut or malformed.
package verifier

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/limiter"
)

// Dial returns a limiter.Dial for the transport of a client, whose requests have to pass
// through RoundTrip. The reads of its connections fail after a reset, and in a head with too
// many lines.
func Dial(dial limiter.Dial) limiter.Dial {
	return limiter.BoundAnswers(func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(c), nil
	})
}

// conn is a connection whose reads end with io.EOF only if the peer has ended its side. A
// socket reports a reset once: if a write gets the error, the reads after it get io.EOF, which
// is also the end of an answer without a length or chunks.
type conn struct {
	net.Conn
	mu sync.Mutex
	// idle is signalled when the last write in flight ends. Its lock is mu.
	idle *sync.Cond
	// received is the number of bytes that were read, writes that of writes in flight.
	received, writes int
	// writeErr is the error of the first write that failed.
	writeErr error
}

func newConn(c net.Conn) *conn {
	out := &conn{Conn: c}
	out.idle = sync.NewCond(&out.mu)
	return out
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received += n
	if err == io.EOF {
		err = c.endLocked()
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.writes++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeErr == nil {
		c.writeErr = err
	}
	if c.writes--; c.writes == 0 {
		c.idle.Broadcast()
	}
	return n, err
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errors.Errorf("connection of type %T has no descriptor", c.Conn)
}

// endLocked returns io.EOF if the peer has ended its side, else an error. If the socket doesn't
// tell, the writes do: one that got the error of a reset began before the read got io.EOF. The
// caller holds mu.
func (c *conn) endLocked() error {
	raw, err := c.SyscallConn()
	if err == nil {
		switch endOf(raw, c.received) {
		case endOrderly:
			return io.EOF
		case endReset:
			return syscall.ECONNRESET
		case endUnknown:
		}
	}
	for c.writes > 0 {
		c.idle.Wait()
	}
	if c.writeErr != nil {
		return errors.Wrap(c.writeErr, "the connection broke before its end")
	}
	return io.EOF
}

// end is how the receiving side of a socket has ended.
type end int

const (
	endUnknown end = iota
	// endOrderly means that the peer has ended its side.
	endOrderly
	// endReset means that the connection broke off.
	endReset
)
