package reaper

import (
	"fmt"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/limiter"
)

// HeadBounds bounds the memory of request heads.
type HeadBounds struct {
	// MaxBytes returns the longest request line and the longest fields of a head; zero for
	// any length. It may change while connections are open. It may be nil.
	MaxBytes func() int
	// Quota is what the heads of all connections share; nil for no bound.
	Quota *limiter.Quota
}

// Reason is why a head or a connection was refused. Its values are labels of a metric.
type Reason string

// The reasons of refusals.
const (
	ReasonHeadTooLarge  Reason = "HeadTooLarge"
	ReasonNoHeadMemory  Reason = "NoHeadMemory"
	ReasonNoConnection  Reason = "NoConnection"
	ReasonEvictedUnused Reason = "EvictedUnused"
	ReasonEvictedIdle   Reason = "EvictedIdle"
)

// Counter counts refusals.
type Counter interface {
	Refused(by Reason)
}

// The answers to heads that are refused. Their requests have not run.
var (
	answerTooLarge = refusalOf("431 Request Header Fields Too Large\r\n", "the head of the request is longer than the limit\n")
	answerNoMemory = refusalOf("503 Service Unavailable\r\nRetry-After: 1\r\n", "no memory for the head of the request\n")
)

func refusalOf(status, text string) string {
	return fmt.Sprintf("HTTP/1.1 %sContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", status, len(text), text)
}

const (
	// lingerTimeout and maxLingerBytes bound the reading of what a client still sends after
	// a refusal. A close with unread bytes resets the connection, which may destroy the
	// answer.
	lingerTimeout  = 300 * time.Millisecond
	maxLingerBytes = 128 << 10
	// refusalTimeout bounds the write of a refusal.
	refusalTimeout = 100 * time.Millisecond
)

// errRefused ends the reads of a connection. net/http sends no answer of its own after it.
var errRefused = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the connection takes no further request")}

// addToHead counts bytes of the header block, the first length of p or all if that isn't
// positive. It returns false if the block is refused.
func (f *framing) addToHead(p []byte, length int) bool {
	if length > 0 {
		p = p[:length]
	}
	limit := 0
	if f.bounds.MaxBytes != nil {
		limit = f.bounds.MaxBytes()
	}
	f.verdict = f.head.Add(p, limit, f.bounds.Quota)
	if f.verdict != limiter.Accepted {
		f.part = nil
	}
	return f.verdict == limiter.Accepted
}

// isRefused reports whether no request is read after those that are complete.
func (f *framing) isRefused() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.verdict != limiter.Accepted || f.state == isLost
}

// isBlocked reports whether the request that is being read was refused.
func (f *framing) isBlocked() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isCut || len(f.requests) == 0 && (f.verdict != limiter.Accepted || f.state == isLost)
}

// cut blocks the connection if no request was read from it, and reports whether it did.
func (f *framing) cut() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isCut = f.isCut || len(f.requests) == 0
	return f.isCut
}

// takeVerdict returns why the request was refused that is being read, once.
func (f *framing) takeVerdict() limiter.Verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.verdict
	if f.isCut {
		v = limiter.Accepted
	}
	if v != limiter.Accepted {
		f.isCut = true
	}
	return v
}

// release gives back what the heads of a connection that has ended have acquired.
func (f *framing) release() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.bounds.Quota.Release(f.head.Take())
	for _, r := range f.requests {
		f.bounds.Quota.Release(r.acquired)
	}
	f.requests, f.part = nil, nil
}

// refuse answers a head that was refused, once, and returns the error of the read. It reads
// into p what follows.
func (c *Conn) refuse(p []byte) error {
	reason, answer := ReasonHeadTooLarge, answerTooLarge
	switch c.framing.takeVerdict() {
	case limiter.Accepted:
		return errRefused
	case limiter.NoMemory:
		reason, answer = ReasonNoHeadMemory, answerNoMemory
	case limiter.TooLarge:
	}
	c.reaper.count(reason)
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout)) // It fails only on a closed connection.
	if _, err := io.WriteString(c.Conn, answer); err != nil {
		return errRefused
	}
	if err := c.CloseWrite(); err != nil {
		return errRefused
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	for read := 0; read < maxLingerBytes; {
		n, err := c.Conn.Read(p)
		if err != nil {
			break
		}
		read += n
	}
	return errRefused
}
