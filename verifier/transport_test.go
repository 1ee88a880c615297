package verifier_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/figtrack/figtrack/piper"
	"github.com/figtrack/figtrack/verifier"
)

// serveText answers each request on connections to a network with text, and counts the
// connections.
func serveText(t *testing.T, network *piper.Network, text string) (url string, conns *atomic.Int64) {
	t.Helper()
	l, err := network.Listen("")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { l.Close() })
	conns = &atomic.Int64{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go func() {
				defer c.Close()
				for r := bufio.NewReader(c); ; {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					if _, err := io.WriteString(c, text); err != nil {
						return
					}
				}
			}()
		}
	}()
	return "http://" + l.Addr().String() + "/", conns
}

func newTransport(network *piper.Network) verifier.Transport {
	return verifier.Transport{RoundTripper: &http.Transport{DialContext: verifier.Dial(network.Dial), MaxResponseHeaderBytes: 64 << 10}}
}

// TestConnectionOfAMalformedAnswerIsNotUsedAgain guards against an answer that begins inside the
// one before.
func TestConnectionOfAMalformedAnswerIsNotUsedAgain(t *testing.T) {
	for text, want := range map[string]int64{
		"HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 0\r\n\r\n":                   3,
		"HTTP/1.1 200 OK\r\nX-Odd: 1\r\nContent-Length: 0\r\n\r\n":                   1,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX Odd: 1\r\n\r\n": 3,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Odd: 1\r\n\r\n": 1,
	} {
		network := &piper.Network{}
		url, conns := serveText(t, network, text)
		client := &http.Client{Transport: newTransport(network)}
		for range 3 {
			w, err := client.Get(url)
			if err == nil {
				_, err = io.ReadAll(w.Body)
				w.Body.Close()
			}
			NewWithT(t).Expect(err != nil).To(Equal(want > 1), "%q", text)
		}
		NewWithT(t).Expect(conns.Load()).To(Equal(want), "%q", text)
		client.CloseIdleConnections()
	}
}

// TestInterimAnswersAreBounded guards against interim answers without end.
func TestInterimAnswersAreBounded(t *testing.T) {
	g := NewWithT(t)
	network := &piper.Network{}
	interim := "HTTP/1.1 103 Early Hints\r\nLink: " + strings.Repeat("x", 8<<10) + "\r\n\r\n"
	const final = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	for count, isBounded := range map[int]bool{1: false, 4: false, 20: true} {
		url, _ := serveText(t, network, strings.Repeat(interim, count)+final)
		w, err := (&http.Client{Transport: newTransport(network)}).Get(url)
		g.Expect(err != nil).To(Equal(isBounded), "%d interim answers", count)
		if err == nil {
			w.Body.Close()
		}
	}
}
