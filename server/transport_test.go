package server

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"github.com/figtrack/figtrack/piper"
	"github.com/figtrack/figtrack/poster"
)

// serveEndlessHead answers each connection with header lines without end, up to 4 MB,
// and adds the number of bytes taken to taken.
func serveEndlessHead(l net.Listener, taken *int) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
		}
		for *taken < 4<<20 && err == nil {
			var n int
			n, err = io.WriteString(c, "X-More: "+strings.Repeat("x", 4<<10)+"\r\n")
			*taken += n
		}
		c.Close()
	}
}

// TestHeadsOfUpstreamsAreBounded covers the transports to engines and to services.
func TestHeadsOfUpstreamsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		network := &piper.Network{}
		l, err := network.Listen("")
		g.Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		var taken int
		go serveEndlessHead(l, &taken)
		engines := poster.NewClient().Transport.(*http.Transport)
		engines.DialContext = network.Dial
		for _, transport := range []*http.Transport{Dependencies{Dial: network.Dial}.newTransport(true), engines} {
			taken = 0
			r, err := http.NewRequest(http.MethodGet, "http://"+l.Addr().String()+"/", nil)
			g.Expect(err).NotTo(HaveOccurred())
			_, err = transport.RoundTrip(r)
			g.Expect(err).To(MatchError(ContainSubstring("headers exceeded")))
			synctest.Wait()
			g.Expect(taken).To(BeNumerically("<", 1<<20))
		}
	})
}
