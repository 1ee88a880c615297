package listener

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/figtrack/figtrack/parser"
)

// A drain must not close a connection on which a request is being read.
func TestRequestBegunBeforeADrainIsAnswered(t *testing.T) {
	services := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	cfg := parser.Callers{HeaderTimeout: 5 * time.Second, WriteTimeout: 5 * time.Second, RequestTimeout: 5 * time.Second, MaxHeaderBytes: 1 << 14, MaxRequests: 4}
	l := New(cfg, nil, nil, services, nil, http.NotFoundHandler(), nil, zerolog.Nop())
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- l.Serve(socket) }()
	defer func() {
		l.Close()
		<-served
	}()
	c, err := net.Dial("tcp", socket.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	answers := bufio.NewReader(c)
	exchange := func(rest string) (int, error) {
		if _, err := io.WriteString(c, rest); err != nil {
			return 0, err
		}
		w, err := http.ReadResponse(answers, nil)
		if err != nil {
			return 0, err
		}
		return w.StatusCode, w.Body.Close()
	}
	const text = "GET /pay/1 HTTP/1.1\r\nHost: a.example\r\n\r\n"
	if status, err := exchange(text); status != http.StatusOK || err != nil {
		t.Fatalf("first request: status %d, error %v", status, err)
	}
	if _, err := io.WriteString(c, text[:20]); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond) // The server reads the first part.
	l.RefuseNew()
	var fault error
	if status, err := exchange(text[20:]); status != http.StatusServiceUnavailable || err != nil {
		fault = errors.Errorf("request begun before the drain: status %d, error %v, expected 503", status, err)
	}
	failUnlessKnownRed(t, fault)
}
