package listener

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/figtrack/figtrack/parser"
	"github.com/figtrack/figtrack/piper"
)

// TestEndOfAnAnswerIsSentAfterASilence ends an answer later than the write deadline of its last
// part.
func TestEndOfAnAnswerIsSentAfterASilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		services := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "part")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(6 * time.Second)
		})
		cfg := parser.Callers{HeaderTimeout: 5 * time.Second, WriteTimeout: 5 * time.Second, RequestTimeout: time.Minute, MaxHeaderBytes: 1 << 14, MaxRequests: 4}
		l := New(cfg, nil, nil, services, nil, http.NotFoundHandler(), nil, zerolog.Nop())
		network := &piper.Network{}
		socket, err := network.Listen("")
		if err != nil {
			t.Fatal(err)
		}
		served := make(chan error, 1)
		go func() { served <- l.Serve(socket) }()
		defer func() {
			l.Close()
			<-served
		}()
		c, err := network.Dial(t.Context(), "tcp", socket.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := io.WriteString(c, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		w, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(w.Body); string(body) != "part" || err != nil {
			t.Errorf("body %q, error %v", body, err)
		}
	})
}
