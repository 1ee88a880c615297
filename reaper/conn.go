package reaper

import (
	"container/list"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Conn is a caller's connection.
type Conn struct {
	net.Conn
	reaper *Reaper
	// framing notes which requests have two lengths, where they end, and what their heads
	// cost.
	framing framing
	// queue holds the connection while it may be ended to make room, at element; nil for
	// none. The mu of reaper is locked to use them.
	queue   *list.List
	element *list.Element
	// isForgotten is true once the reaper doesn't count the connection, by the same lock.
	isForgotten bool

	// mu is held while an event is handled and its outcomes are carried out, so that no
	// byte is recorded between a check and what follows from it.
	mu    sync.Mutex
	core  core
	timer *time.Timer
	// deadline is the read deadline.
	deadline time.Time
}

func (c *Conn) reaped() *Conn { return c }

// HasTwoLengths reports whether the request that is being served has a body in chunks and
// a Content-Length.
func (c *Conn) HasTwoLengths() bool { return c.framing.isAmbiguous() }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.framing.isBlocked() {
		return 0, c.refuse(p)
	}
	c.step(readBegun{})
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = c.readLate(p, err)
	}
	c.framing.observe(p[:n])
	c.step(readEnded{n})
	if c.framing.isBlocked() {
		return 0, c.refuse(p)
	}
	return n, err
}

// readLate reads what has arrived when a read has failed because its deadline has passed.
// Without anything it returns err.
func (c *Conn) readLate(p []byte, err error) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.core.mayReadLate() {
		return 0, err
	}
	_ = c.Conn.SetReadDeadline(time.Time{}) // It fails only on a closed connection.
	if n := readArrived(c.Conn, p); n > 0 {
		return n, c.stepLocked(readLate{})
	}
	_ = c.Conn.SetReadDeadline(c.deadline)
	return 0, err
}

// readArrived reads bytes that have arrived, without waiting. It returns 0 for none.
func readArrived(c net.Conn, p []byte) (n int) {
	switch c := c.(type) {
	case interface{ ReadArrived(p []byte) (int, error) }:
		n, _ = c.ReadArrived(p)
	case syscall.Conn:
		raw, err := c.SyscallConn()
		if err != nil {
			return 0
		}
		_ = raw.Read(func(fd uintptr) bool {
			n, _ = syscall.Read(int(fd), p)
			return true
		})
	}
	return max(n, 0)
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stepLocked(deadlineSet{at})
}

// CloseWrite closes the sending side, as net/http does before it closes a connection with
// an unread request.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

func (c *Conn) step(e event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.stepLocked(e) // A deadline fails only on a closed connection.
}

// stepLocked handles an event. c.mu must be held.
func (c *Conn) stepLocked(e event) (err error) {
	wasBusy := c.core.isBusy
	c.core.headerTimeout = c.reaper.headerTimeout()
	for _, o := range c.core.Step(time.Now(), e) {
		switch o := o.(type) {
		case setDeadline:
			c.deadline = o.at
			err = c.Conn.SetReadDeadline(o.at)
		case startTimer:
			c.stopTimer()
			c.timer = time.AfterFunc(o.after, c.fire)
		case stopTimer:
			c.stopTimer()
		}
	}
	switch isBusy := c.core.isBusy; {
	case isBusy && !wasBusy:
		c.reaper.busy.Add(1)
	case wasBusy && !isBusy:
		c.reaper.busy.Add(-1)
	}
	return err
}

func (c *Conn) fire() { c.step(timerFired{c.reaper.cfg.IdleTimeout()}) }

func (c *Conn) stopTimer() {
	if c.timer != nil {
		c.timer.Stop()
	}
	c.timer = nil
}

func (c *Conn) isUnsettled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.isUnsettled()
}
