package limiter

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"syscall"

	"github.com/pkg/errors"
)

// maxAnswerLines bounds the lines of an answer's head, beside http.Transport's bound on its
// bytes. A head of 64 KiB may have 20,000 lines, whose fields take some MB.
const maxAnswerLines = 512

var errTooManyLines = errors.Errorf("the head of the answer has over %d lines", maxAnswerLines)

// Dial opens a connection; it has the signature of net.Dialer.DialContext.
type Dial = func(ctx context.Context, network, address string) (net.Conn, error)

// answerConn is a connection whose reads fail in a head with too many lines.
type answerConn struct {
	net.Conn
	mu   sync.Mutex
	head answerHead
}

// Read implements net.Conn.
func (c *answerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.head.add(p[:n]) {
		return 0, errTooManyLines
	}
	return n, err
}

// SyscallConn implements syscall.Conn.
func (c *answerConn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errors.Errorf("connection of type %T has no descriptor", c.Conn)
}

func (c *answerConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = answerHead{isOpen: true}
}

// statusAt is where the status begins in the first line of an answer.
const statusAt = len("HTTP/1.1 ")

// answerHead counts the lines of the head of an answer, with those of interim answers.
type answerHead struct {
	// isOpen is true from the begin of a request to the end of the head of its answer.
	isOpen bool
	// hasStatus is true once the first line is complete, isInterim if its status is 1xx.
	hasStatus, isInterim bool
	// lines counts the lines that are complete, length is that of the one that isn't.
	lines, length int
}

// add takes bytes of an answer and returns false once its head has too many lines.
func (h *answerHead) add(p []byte) bool {
	for h.isOpen && len(p) > 0 {
		line, rest, isComplete := bytes.Cut(p, []byte{'\n'})
		line = bytes.TrimSuffix(line, []byte{'\r'})
		if at := statusAt - h.length; !h.hasStatus && at >= 0 && at < len(line) {
			h.isInterim = line[at] == '1'
		}
		h.length += len(line)
		if !isComplete {
			break
		}
		isEnd := h.length == 0
		h.isOpen = !isEnd || h.isInterim
		h.hasStatus, h.isInterim = !isEnd, h.isInterim && !isEnd
		h.lines, h.length, p = h.lines+1, 0, rest
	}
	return h.lines <= maxAnswerLines
}

// BoundAnswers bounds the lines of the heads of answers on the connections of a transport.
// Its requests have to pass through Trace.
func BoundAnswers(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &answerConn{Conn: c}, nil
	}
}

// Trace returns a request whose answer is bounded on a connection of BoundAnswers, or on one
// whose Unwrap returns such a connection.
func Trace(r *http.Request) *http.Request {
	return r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		c := info.Conn
		if outer, ok := c.(interface{ Unwrap() net.Conn }); ok {
			c = outer.Unwrap()
		}
		if c, ok := c.(*answerConn); ok {
			c.begin()
		}
	}}))
}
