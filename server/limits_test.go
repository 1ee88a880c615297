package server_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figtrack/figtrack/outcomer"
	"github.com/figtrack/figtrack/parser"
)

// shortLimits sets limits that are short enough for tests. The timeouts differ,
// so that the time of an abort shows which one applied.
func shortLimits(cfg *parser.Settings) {
	cfg.Callers.HeaderTimeout = 2 * time.Second
	cfg.Callers.BodyTimeout = 3 * time.Second
	cfg.Callers.WriteTimeout = 4 * time.Second
	cfg.Callers.RequestTimeout = 20 * time.Second
	cfg.Callers.MaxHeaderBytes = 16 << 10
	cfg.Callers.MaxRequests = 1
}

// sendRaw sends text, which may be an incomplete request, on a new connection.
func (s *site) sendRaw(text string) net.Conn {
	conn, err := s.network.Dial(context.Background(), "tcp", s.callers[0])
	s.Expect(err).NotTo(HaveOccurred())
	// The VM may stop reading, so the write may block until the connection closes.
	go io.WriteString(conn, text)
	return conn
}

func requestHead(path, header string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: figtrack\r\n" + header
}

// TestIncompleteRequestsTimeOut sends incomplete requests. Each must be aborted
// at its limit, with a correct answer if there is one, and its connection must
// close.
func TestIncompleteRequestsTimeOut(t *testing.T) {
	cases := []struct {
		name, text string
		within     time.Duration
		status     int
		ran        outcomer.Ran
		runs       int
	}{
		{"header", requestHead("/v1/completions", ""), 2 * time.Second, 0, "", 0},
		{"body", requestHead("/v1/completions", "Content-Length: 100\r\n\r\n{"), 3 * time.Second, http.StatusBadRequest, outcomer.RanNo, 0},
		{"keyed body", requestHead("/orders/kits", "Idempotency-Key: a\r\nContent-Length: 100\r\n\r\n{"), 20 * time.Second, http.StatusBadRequest, outcomer.RanNo, 0},
		{"streamed body", requestHead("/orders/kits", "Transfer-Encoding: chunked\r\n\r\n1\r\n7\r\n"), 20 * time.Second, http.StatusOK, "", 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			runOnSite(t, shortLimits, func(s *site) {
				began := time.Now()
				conn := s.sendRaw(tc.text)
				defer conn.Close()
				r := bufio.NewReader(conn)
				if tc.status != 0 {
					answer, err := http.ReadResponse(r, nil)
					s.Expect(err).NotTo(HaveOccurred())
					s.Expect(answer.StatusCode).To(Equal(tc.status))
					s.Expect(outcomer.Ran(answer.Header.Get(outcomer.HeaderRan))).To(Equal(tc.ran))
				}
				_, _ = io.Copy(io.Discard, r)
				s.Expect(time.Since(began)).To(BeNumerically("~", tc.within, time.Second))
				s.Expect(s.runCount("/orders/kits")).To(Equal(tc.runs))
				s.Expect(s.stockStatus()).To(Equal(http.StatusOK))
			})
		})
	}
}

// stockStatus sends a call, which needs the VM's only request slot, and returns
// its status code.
func (s *site) stockStatus() int {
	got := s.call(context.Background(), request{method: http.MethodGet, path: "/orders/stock"})
	return got.status
}

// TestUnreadAnswerTimesOut occupies the only request slot of a VM with an
// answer that the caller doesn't read. After the write timeout the slot must be
// free and the engines must hold nothing.
func TestUnreadAnswerTimesOut(t *testing.T) {
	big := strings.Repeat("7", 256<<10)
	completion := `{"model":"timber-7b","prompt":"Hello.","max_tokens":300,"stream":%v}`
	length := func(body string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body) }
	for name, text := range map[string]string{
		"stream": requestHead("/v1/completions", length(fmt.Sprintf(completion, true))),
		"plain":  requestHead("/orders/kits", length(big)),
	} {
		t.Run(name, func(t *testing.T) {
			runOnSite(t, shortLimits, func(s *site) {
				conn := s.sendRaw(text)
				defer conn.Close()
				time.Sleep(time.Second)
				busy := s.call(context.Background(), request{method: http.MethodGet, path: "/orders/stock"})
				s.Expect(busy.status).To(Equal(http.StatusServiceUnavailable))
				s.Expect(busy.header.Get(outcomer.HeaderRan)).To(Equal(string(outcomer.RanNo)))
				s.Expect(busy.header.Get("Retry-After")).NotTo(BeEmpty())
				time.Sleep(4*time.Second + maxReleaseDelay)
				s.Expect(s.stockStatus()).To(Equal(http.StatusOK))
				s.Expect(s.engineHolds()).To(BeEmpty())
			})
		})
	}
}

func TestHeaderFloodIsRefused(t *testing.T) {
	runOnSite(t, shortLimits, func(s *site) {
		for _, header := range []http.Header{
			{"X-Flood": {strings.Repeat("x", 64<<10)}},
			{"X-Flood": strings.Split(strings.Repeat("x ", 16<<10), " ")},
		} {
			got := s.call(context.Background(), request{method: http.MethodGet, path: "/orders/stock", header: header})
			s.Expect(got.status).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
		}
		s.Expect(s.runCount("/orders/stock")).To(BeZero())
		s.Expect(s.stockStatus()).To(Equal(http.StatusOK))
	})
}
