package forwarder_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/figtrack/figtrack/claimer"
	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/forwarder"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/outcomer"
	"github.com/figtrack/figtrack/piper"
	"github.com/figtrack/figtrack/quarantiner"
	"github.com/figtrack/figtrack/registrar"
)

const (
	maxBody = 64 << 10
	timeout = 10 * time.Second
)

// site is a forwarder with instances of one service, on a virtual clock.
type site struct {
	*WithT
	network piper.Network
	client  *http.Client
	url     string
	// runs counts the requests that reached a handler of a service.
	runs    atomic.Int64
	claims  claims
	health  health
	servers []*http.Server
	sockets []net.Listener
}

// instance describes one instance of the service: an HTTP handler, or a function
// that gets each raw connection.
type instance struct {
	handler http.HandlerFunc
	conn    func(net.Conn)
	// closed is set if the instance refuses connections.
	closed bool
}

// withSite runs a test with a forwarder and the instances, on a virtual clock.
func withSite(t *testing.T, instances []instance, test func(s *site)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &site{WithT: NewWithT(t)}
		s.client = s.network.Client()
		var upstreams []registrar.Upstream
		for i, one := range instances {
			upstreams = append(upstreams, registrar.Upstream{
				ID: identifier.Upstream(fmt.Sprintf("order-desk-%d", i+1)), Pool: "order-desk",
				Role: identifier.RolePlain, Address: s.serve(one),
			})
		}
		r := registrar.New(nil)
		r.Replace([]registrar.Pool{{ID: "order-desk", Prefix: "/orders", Repeatable: []string{"GET /stock"}}}, upstreams)
		transport := &http.Transport{DialContext: s.network.Dial, DisableKeepAlives: true}
		f := forwarder.New(r, &s.claims, noQuarantine{}, &s.health, transport, maxBody, timeout, zerolog.Nop())
		s.url = "http://" + s.serve(instance{handler: f.ServeHTTP})
		defer s.close()
		test(s)
	})
}

func (s *site) close() {
	s.client.CloseIdleConnections()
	for _, one := range s.servers {
		one.Close()
	}
	for _, one := range s.sockets {
		one.Close()
	}
}

func (s *site) serve(one instance) string {
	l, err := s.network.Listen("")
	s.Expect(err).NotTo(HaveOccurred())
	if one.closed {
		l.Close()
		return l.Addr().String()
	}
	s.sockets = append(s.sockets, l)
	if one.conn != nil {
		go s.accept(l, one.conn)
		return l.Addr().String()
	}
	server := &http.Server{Handler: one.handler}
	s.servers = append(s.servers, server)
	go server.Serve(l)
	return l.Addr().String()
}

func (s *site) accept(l net.Listener, handle func(net.Conn)) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		s.runs.Add(1)
		go handle(conn)
	}
}

// countRuns wraps a handler to count its runs.
func (s *site) countRuns(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.runs.Add(1)
		h(w, r)
	}
}

// claims grants each key once.
type claims struct {
	mu    sync.Mutex
	taken map[claimer.Key]bool
}

func (c *claims) Claim(_ context.Context, id claimer.Identity) claimer.Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.taken[id.Key] {
		return claimer.Result{Verdict: claimer.VerdictTaken}
	}
	if c.taken == nil {
		c.taken = make(map[claimer.Key]bool)
	}
	c.taken[id.Key] = true
	return claimer.Result{Verdict: claimer.VerdictGranted}
}

// noQuarantine lets all calls run.
type noQuarantine struct{}

func (noQuarantine) Check(_ context.Context, id identifier.Request, _ quarantiner.Fingerprint) quarantiner.Verdict {
	return quarantiner.Verdict{Request: id, Kind: quarantiner.KindRun}
}

func (noQuarantine) Start(context.Context, quarantiner.Run, quarantiner.Fingerprint, bool) bool {
	return true
}
func (noQuarantine) End(quarantiner.Run, bool, bool)    {}
func (noQuarantine) Withdraw(quarantiner.Run, bool)     {}
func (noQuarantine) ConnectionLost(identifier.Upstream) {}

// health counts the failures that the forwarder reports for upstreams.
type health struct{ failures atomic.Int64 }

func (*health) IsUsable(identifier.Upstream) bool         { return true }
func (*health) Succeeded(identifier.Upstream)             {}
func (h *health) Failed(identifier.Upstream, driver.Kind) { h.failures.Add(1) }

func ranOf(answer *http.Response) outcomer.Ran {
	return outcomer.Ran(answer.Header.Get(outcomer.HeaderRan))
}
