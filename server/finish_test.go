package server

import (
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/figtrack/figtrack/drainer"
	"github.com/figtrack/figtrack/listener"
	"github.com/figtrack/figtrack/parser"
)

// TestExitWaitsForARequestTakenAtTheLastMoment guards against a request that begins between the
// last look at the work and the refusal of new requests, and is cut by the exit.
func TestExitWaitsForARequestTakenAtTheLastMoment(t *testing.T) {
	g := NewWithT(t)
	const work = drainer.CutTimeout + time.Second
	begun := make(chan struct{})
	services := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		time.Sleep(work)
		w.WriteHeader(http.StatusNoContent)
	})
	cfg := parser.Callers{HeaderTimeout: time.Second, WriteTimeout: time.Minute, RequestTimeout: time.Minute, MaxHeaderBytes: 1 << 14, MaxRequests: 1}
	s := &Server{listener: listener.New(cfg, nil, nil, services, nil, http.NotFoundHandler(), nil, zerolog.Nop())}
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	go func() { _ = s.listener.Serve(socket) }()
	answered := make(chan int, 1)
	go func() {
		w, err := http.Get("http://" + socket.Addr().String() + "/pay/1")
		if err != nil {
			answered <- 0
			return
		}
		w.Body.Close()
		answered <- w.StatusCode
	}()
	<-begun
	s.listener.RefuseNew()
	cut := s.finish(time.Now().Add(time.Minute))
	g.Expect(s.listener.Close()).To(Succeed())
	g.Expect(cut).To(BeZero())
	g.Expect(<-answered).To(Equal(http.StatusNoContent))
}
