package server

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figtrack/figtrack/poster"
)

// serveReset answers each connection with a part of an unframed answer before it reads the body
// of the request, and resets it.
func serveReset(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
			time.Sleep(5 * time.Millisecond)
		}
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// TestResetAnswersOfUpstreamsAreBroken covers the transports to engines and to services.
func TestResetAnswersOfUpstreamsAreBroken(t *testing.T) {
	const tries = 10
	upload := strings.Repeat("u", 16<<20) // More than the buffers of a socket take.
	services := Dependencies{Dial: (&net.Dialer{}).DialContext}
	for name, transport := range map[string]http.RoundTripper{
		"services": services.newTransport(true),
		"engines":  services.newTransport(false),
		"poster":   poster.NewClient().Transport,
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer l.Close()
			go serveReset(l)
			taken := 0
			for range tries {
				r, err := http.NewRequest(http.MethodPost, "http://"+l.Addr().String()+"/", strings.NewReader(upload))
				g.Expect(err).NotTo(HaveOccurred())
				w, err := transport.RoundTrip(r)
				if err != nil {
					continue
				}
				if _, err = io.ReadAll(w.Body); err == nil {
					taken++
				}
				w.Body.Close()
			}
			g.Expect(taken).To(BeZero(), "answers of %d that were taken for whole", tries)
		})
	}
}
