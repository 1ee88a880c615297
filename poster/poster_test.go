package poster_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/figtrack/figtrack/poster"
)

// breakingServer is a server that answers its first request. It counts each later
// one but closes its connection without an answer.
type breakingServer struct {
	*httptest.Server
	runs atomic.Int32
}

func newBreakingServer(t *testing.T) *breakingServer {
	b := &breakingServer{}
	b.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/moved" {
			http.Redirect(w, r, "/", http.StatusTemporaryRedirect)
			return
		}
		if b.runs.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Key", r.Header.Get("Idempotency-Key"))
	}))
	t.Cleanup(b.Close)
	return b
}

// newRequest returns a request with an idempotency key.
func newRequest(g *WithT, url string) *http.Request {
	r, err := http.NewRequest(http.MethodPost, url, nil)
	g.Expect(err).NotTo(HaveOccurred())
	r.Header.Set("Idempotency-Key", "key-1")
	return r
}

// TestRequestIsNotRetriedOnBrokenConnection breaks a reused connection. net/http
// retries a request with an idempotency key then, so that it would run twice.
func TestRequestIsNotRetriedOnBrokenConnection(t *testing.T) {
	g := NewWithT(t)
	b := newBreakingServer(t)
	client := poster.NewClient()
	defer client.CloseIdleConnections()
	reply, sent, err := poster.Do(client, newRequest(g, b.URL))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(sent).To(BeTrue())
	g.Expect(reply.Header.Get("Key")).To(Equal("key-1"))
	reply.Body.Close()
	_, sent, err = poster.Do(client, newRequest(g, b.URL))
	g.Expect(err).To(HaveOccurred())
	g.Expect(sent).To(BeTrue())
	g.Expect(b.runs.Load()).To(Equal(int32(2)))
}

func TestRedirectIsNotFollowed(t *testing.T) {
	g := NewWithT(t)
	b := newBreakingServer(t)
	reply, _, err := poster.Do(b.Client(), newRequest(g, b.URL+"/moved"))
	g.Expect(err).NotTo(HaveOccurred())
	reply.Body.Close()
	g.Expect(reply.StatusCode).To(Equal(http.StatusTemporaryRedirect))
	g.Expect(b.runs.Load()).To(BeZero())
}

func TestRefusedConnectionSentNothing(t *testing.T) {
	g := NewWithT(t)
	b := newBreakingServer(t)
	b.Close()
	_, sent, err := poster.Do(poster.NewClient(), newRequest(g, b.URL))
	g.Expect(err).To(HaveOccurred())
	g.Expect(sent).To(BeFalse())
}

// TestMalformedReplyIsAnError covers replies that net/http accepts.
func TestMalformedReplyIsAnError(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 101 OK\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}",
		"HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
	} {
		g := NewWithT(t)
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				_, _ = io.WriteString(c, text)
				c.Close()
			}
		}))
		for name, client := range map[string]*http.Client{"NewClient": poster.NewClient(), "zero client": {}} {
			_, sent, err := poster.PostJSON(t.Context(), client, s.URL, nil, struct{}{})
			g.Expect(err).To(HaveOccurred(), "%s: %q", name, text)
			g.Expect(sent).To(BeTrue())
		}
		s.Close()
	}
}
