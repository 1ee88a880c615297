package verifier_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/limiter"
	"github.com/figtrack/figtrack/verifier"
)

// bare hides the descriptor of a connection.
type bare struct{ net.Conn }

// connect returns both ends of a TCP connection, the first one as the client of an upstream
// has it. Its bytes fill the buffers of a peer that doesn't read.
func connect(t *testing.T, isBare bool) (net.Conn, *net.TCPConn) {
	t.Helper()
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	var dial limiter.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err == nil && isBare {
			c = bare{c}
		}
		return c, err
	}
	c, err := verifier.Dial(dial)(t.Context(), "tcp", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	peer, err := l.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { c.Close(); peer.Close() })
	return c, peer.(*net.TCPConn)
}

// upload is longer than the buffers of a connection.
var upload = strings.Repeat("u", 16<<20)

// writeAll writes an upload and returns the error.
func writeAll(c net.Conn) error {
	_, err := io.WriteString(c, upload)
	return err
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	c.Close()
}

// TestReadAfterAResetFails covers the orders in which the writer and the reader of a connection
// learn that it was reset.
func TestReadAfterAResetFails(t *testing.T) {
	for name, isBare := range map[string]bool{"socket": false, "no descriptor": true} {
		t.Run(name+", the writer first", func(t *testing.T) {
			g := NewWithT(t)
			c, peer := connect(t, isBare)
			_, err := io.WriteString(peer, "part")
			g.Expect(err).NotTo(HaveOccurred())
			time.AfterFunc(20*time.Millisecond, func() { reset(peer) })
			g.Expect(writeAll(c)).NotTo(Succeed())
			text, err := io.ReadAll(c)
			g.Expect(err).To(HaveOccurred(), "%q was read to io.EOF", text)
		})
		t.Run(name+", the reader first", func(t *testing.T) {
			g := NewWithT(t)
			c, peer := connect(t, isBare)
			reset(peer)
			_, err := io.ReadAll(c)
			g.Expect(err).To(HaveOccurred())
		})
		t.Run(name+", both at once", func(t *testing.T) {
			for range 20 {
				c, peer := connect(t, isBare)
				written := make(chan error)
				go func() { written <- writeAll(c) }()
				time.AfterFunc(time.Millisecond, func() { reset(peer) })
				_, err := io.ReadAll(c)
				NewWithT(t).Expect(err).To(HaveOccurred())
				NewWithT(t).Expect(<-written).NotTo(Succeed())
			}
		})
	}
}

// TestReadAfterAnOrderlyEndIsComplete has the peer end its side while a write is in flight.
func TestReadAfterAnOrderlyEndIsComplete(t *testing.T) {
	for name, resets := range map[string]bool{"the peer reads nothing": false, "the peer resets afterwards": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c, peer := connect(t, false)
			written := make(chan error)
			go func() { written <- writeAll(c) }()
			_, err := io.WriteString(peer, "whole")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(peer.CloseWrite()).To(Succeed())
			time.Sleep(20 * time.Millisecond) // The write has filled the buffers then.
			if resets {
				reset(peer)
				g.Expect(<-written).NotTo(Succeed())
			}
			g.Expect(c.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
			text, err := io.ReadAll(c)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(text)).To(Equal("whole"))
			if !resets {
				c.Close()
				g.Expect(<-written).NotTo(Succeed())
			}
		})
	}
}

// lateConn is a connection whose reads end at once, and whose writes end with the error that
// is sent to ends.
type lateConn struct {
	net.Conn
	begun chan struct{}
	ends  chan error
}

// Read implements net.Conn.
func (c lateConn) Read([]byte) (int, error) { return 0, io.EOF }

// Write implements net.Conn.
func (c lateConn) Write([]byte) (int, error) {
	close(c.begun)
	return 0, <-c.ends
}

// TestReadWaitsForAWriteInFlight covers connections whose sockets can't tell how they ended.
func TestReadWaitsForAWriteInFlight(t *testing.T) {
	for name, want := range map[string]error{"failed": errors.New("reset"), "succeeded": nil} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			late := lateConn{begun: make(chan struct{}), ends: make(chan error)}
			c, err := verifier.Dial(func(context.Context, string, string) (net.Conn, error) { return late, nil })(t.Context(), "tcp", "")
			g.Expect(err).NotTo(HaveOccurred())
			go func() { _, _ = c.Write([]byte("u")) }()
			<-late.begun
			time.AfterFunc(20*time.Millisecond, func() { late.ends <- want })
			_, err = c.Read(make([]byte, 1))
			if want == nil {
				g.Expect(err).To(Equal(io.EOF))
			} else {
				g.Expect(err).To(MatchError(want))
			}
		})
	}
}
