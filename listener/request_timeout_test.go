package listener_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/figtrack/figtrack/listener"
	"github.com/figtrack/figtrack/parser"
)

// TestRequestTimeoutIsNoLeftCaller guards against a request without a body that gets no
// answer at its timeout, as the end of its read deadline passes for a caller that has left.
func TestRequestTimeoutIsNoLeftCaller(t *testing.T) {
	const requests, timeout = 400, 100 * time.Millisecond
	g := NewWithT(t)
	var mu sync.Mutex
	left := 0
	services := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		if !errors.Is(r.Context().Err(), context.DeadlineExceeded) {
			mu.Lock()
			defer mu.Unlock()
			left++
		}
		_, _ = io.WriteString(w, "late")
	})
	cfg := parser.Callers{HeaderTimeout: time.Second, WriteTimeout: time.Minute, RequestTimeout: timeout, MaxHeaderBytes: 1 << 14, MaxRequests: requests}
	l := listener.New(cfg, nil, nil, services, nil, http.NotFoundHandler(), nil, zerolog.Nop())
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	go func() { _ = l.Serve(socket) }()
	defer l.Close()
	var callers sync.WaitGroup
	for range requests {
		callers.Go(func() {
			if w, err := http.Get("http://" + socket.Addr().String() + "/x"); err == nil {
				w.Body.Close()
			}
		})
	}
	callers.Wait()
	mu.Lock()
	defer mu.Unlock()
	g.Expect(left).To(BeZero(), "requests taken for those of callers that have left")
}
