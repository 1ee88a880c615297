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

// tight are limits that a test can wait for, all of different length.
func tight(cfg *parser.Settings) {
	cfg.Callers.HeaderTimeout = 2 * time.Second
	cfg.Callers.BodyTimeout = 3 * time.Second
	cfg.Callers.WriteTimeout = 4 * time.Second
	cfg.Callers.RequestTimeout = 20 * time.Second
	cfg.Callers.MaxHeaderBytes = 16 << 10
	cfg.Callers.MaxRequests = 1
}

// open sends the begin of a request over a connection of its own.
func (s *site) open(text string) net.Conn {
	conn, err := s.network.Dial(context.Background(), "tcp", s.callers[0])
	s.Expect(err).NotTo(HaveOccurred())
	// The VM may stop reading, so that the write ends with the connection.
	go io.WriteString(conn, text)
	return conn
}

func post(path, header string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: figtrack\r\n" + header
}

// TestSlowCallersAreLeft sends requests that stop half-way. Each ends within
// its limit, with a true answer where there is one, and its connection closes.
func TestSlowCallersAreLeft(t *testing.T) {
	cases := []struct {
		name, text string
		within     time.Duration
		status     int
		ran        outcomer.Ran
		runs       int
	}{
		{"header", post("/v1/completions", ""), 2 * time.Second, 0, "", 0},
		{"body", post("/v1/completions", "Content-Length: 100\r\n\r\n{"), 3 * time.Second, http.StatusBadRequest, outcomer.RanNo, 0},
		{"keyed body", post("/orders/kits", "Idempotency-Key: a\r\nContent-Length: 100\r\n\r\n{"), 20 * time.Second, http.StatusBadRequest, outcomer.RanNo, 0},
		{"streamed body", post("/orders/kits", "Transfer-Encoding: chunked\r\n\r\n1\r\n7\r\n"), 20 * time.Second, http.StatusOK, "", 1},
	}
	for _, one := range cases {
		t.Run(one.name, func(t *testing.T) {
			onSite(t, tight, func(s *site) {
				began := time.Now()
				conn := s.open(one.text)
				defer conn.Close()
				r := bufio.NewReader(conn)
				if one.status != 0 {
					answer, err := http.ReadResponse(r, nil)
					s.Expect(err).NotTo(HaveOccurred())
					s.Expect(answer.StatusCode).To(Equal(one.status))
					s.Expect(outcomer.Ran(answer.Header.Get(outcomer.HeaderRan))).To(Equal(one.ran))
				}
				_, _ = io.Copy(io.Discard, r)
				s.Expect(time.Since(began)).To(BeNumerically("~", one.within, time.Second))
				s.Expect(s.runsOf("/orders/kits")).To(Equal(one.runs))
				s.Expect(s.ready()).To(Equal(http.StatusOK))
			})
		})
	}
}

// ready makes a call that needs the VM's only place.
func (s *site) ready() int {
	got := s.call(context.Background(), request{method: http.MethodGet, path: "/orders/stock"})
	return got.status
}

// TestCallerThatNeverReadsIsLeft fills the only place of a VM with an answer
// that nobody reads. The place is free and the engines hold nothing once the
// limit has passed.
func TestCallerThatNeverReadsIsLeft(t *testing.T) {
	big := strings.Repeat("7", 256<<10)
	completion := `{"model":"timber-7b","prompt":"Hello.","max_tokens":300,"stream":%v}`
	length := func(body string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body) }
	for name, text := range map[string]string{
		"stream": post("/v1/completions", length(fmt.Sprintf(completion, true))),
		"plain":  post("/orders/kits", length(big)),
	} {
		t.Run(name, func(t *testing.T) {
			onSite(t, tight, func(s *site) {
				conn := s.open(text)
				defer conn.Close()
				time.Sleep(time.Second)
				busy := s.call(context.Background(), request{method: http.MethodGet, path: "/orders/stock"})
				s.Expect(busy.status).To(Equal(http.StatusServiceUnavailable))
				s.Expect(busy.header.Get(outcomer.HeaderRan)).To(Equal(string(outcomer.RanNo)))
				s.Expect(busy.header.Get("Retry-After")).NotTo(BeEmpty())
				time.Sleep(4*time.Second + releasedWithin)
				s.Expect(s.ready()).To(Equal(http.StatusOK))
				s.Expect(s.holds()).To(BeEmpty())
			})
		})
	}
}

func TestHeaderFloodIsRefused(t *testing.T) {
	onSite(t, tight, func(s *site) {
		for _, header := range []http.Header{
			{"X-Flood": {strings.Repeat("x", 64<<10)}},
			{"X-Flood": strings.Split(strings.Repeat("x ", 16<<10), " ")},
		} {
			got := s.call(context.Background(), request{method: http.MethodGet, path: "/orders/stock", header: header})
			s.Expect(got.status).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
		}
		s.Expect(s.runsOf("/orders/stock")).To(BeZero())
		s.Expect(s.ready()).To(Equal(http.StatusOK))
	})
}
