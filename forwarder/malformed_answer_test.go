package forwarder_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// TestMalformedAnswersAreNotPassedOn covers answers that net/http accepts.
func TestMalformedAnswersAreNotPassedOn(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 000 OK\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 099 OK\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 +20 OK\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 101 OK\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 101 OK\r\nConnection: upgrade\r\nUpgrade: raw\r\n\r\nwhole",
		"HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\nwhole",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
	} {
		t.Run(text, func(t *testing.T) {
			sick := instance{conn: func(c net.Conn) {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, text)
			}}
			withSite(t, []instance{sick, sick}, func(s *site) {
				for path, runs := range map[string]int64{"/orders/stock": 2, "/orders/list": 1} {
					s.runs.Store(0)
					reply, err := s.client.Get(s.url + path)
					s.Expect(err).NotTo(HaveOccurred())
					reply.Body.Close()
					s.Expect(reply.StatusCode).To(Equal(http.StatusBadGateway))
					s.Expect(s.runs.Load()).To(Equal(runs))
				}
			})
		})
	}
}
