package server_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/parser"
	"github.com/figtrack/figtrack/registrar"
)

// orderCounter is a service that counts the requests that it has run, by their header.
type orderCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

func (o *orderCounter) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go o.serveConn(c)
	}
}

func (o *orderCounter) serveConn(c net.Conn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	o.mu.Lock()
	o.runs[r.Header.Get("Order")]++
	o.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
}

// TestStopUnderLoadCutsNoRequest stops a VM while callers send on kept and on new connections. It
// guards against a request that is run and whose answer is cut off by the stop.
func TestStopUnderLoadCutsNoRequest(t *testing.T) {
	change := func(cfg *parser.Settings) { cfg.Drain.Notice, cfg.Drain.Limit = 200*time.Millisecond, 2*time.Second }
	runOnSite(t, change, func(s *site) {
		orders := &orderCounter{runs: map[string]int{}}
		l, err := s.network.Listen("")
		s.Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		go orders.serve(l)
		c := s.configuration()
		c.Revision = 2
		c.Pools = append(c.Pools, registrar.Pool{ID: "pay-desk", Prefix: "/pay"})
		c.Upstreams = append(c.Upstreams, registrar.Upstream{ID: "pay-desk-1", Pool: "pay-desk", Role: identifier.RolePlain, DataCentre: "thamel-room", Address: l.Addr().String()})
		for _, vm := range s.servers {
			vm.SetConfiguration(c)
		}
		time.Sleep(settleTime)
		var wg sync.WaitGroup
		var mu sync.Mutex
		statuses := map[string]int{}
		for i := range 16 {
			wg.Go(func() {
				transport := &http.Transport{DialContext: s.network.Dial, DisableKeepAlives: i%2 == 0}
				defer transport.CloseIdleConnections()
				for n := range 200 {
					id := fmt.Sprintf("c%d-%d", i, n)
					r, err := http.NewRequest(http.MethodPost, "http://"+s.callers[0]+"/pay/1", strings.NewReader("x"))
					s.Expect(err).NotTo(HaveOccurred())
					r.Header.Set("Order", id)
					w, err := transport.RoundTrip(r)
					status := 0
					if err == nil {
						status = w.StatusCode
						w.Body.Close()
					}
					mu.Lock()
					statuses[id] = status
					mu.Unlock()
					time.Sleep(time.Duration(1+i%7) * time.Millisecond)
				}
			})
		}
		time.Sleep(500 * time.Millisecond)
		s.Expect(s.servers[0].Stop(nil)).To(BeZero())
		wg.Wait()
		counts := map[int]int{}
		for _, status := range statuses {
			s.Expect(status).To(BeElementOf(0, http.StatusOK, http.StatusServiceUnavailable))
			counts[status]++
		}
		t.Logf("answers by status, 0 for none: %v", counts)
		s.Expect(counts[http.StatusOK]).To(BeNumerically(">", 16))
		orders.mu.Lock()
		defer orders.mu.Unlock()
		for id, runs := range orders.runs {
			s.Expect(runs).To(Equal(1), id)
			s.Expect(statuses[id]).To(Equal(http.StatusOK), id)
		}
	})
}
