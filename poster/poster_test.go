package poster_test

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/figtrack/figtrack/poster"
)

// breaker is a server that answers its first call and breaks the connection
// of each later one after it ran.
type breaker struct {
	*httptest.Server
	runs atomic.Int32
}

func newBreaker(t *testing.T) *breaker {
	b := &breaker{}
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

func payment(g *WithT, url string) *http.Request {
	r, err := http.NewRequest(http.MethodPost, url, nil)
	g.Expect(err).NotTo(HaveOccurred())
	r.Header.Set("Idempotency-Key", "key-1")
	return r
}

// TestBrokenConnectionIsNotTriedAgain sends a payment over a connection that
// was used before, where net/http would send it a second time.
func TestBrokenConnectionIsNotTriedAgain(t *testing.T) {
	g := NewWithT(t)
	b := newBreaker(t)
	client := poster.NewClient()
	defer client.CloseIdleConnections()
	reply, sent, err := poster.Do(client, payment(g, b.URL))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(sent).To(BeTrue())
	g.Expect(reply.Header.Get("Key")).To(Equal("key-1"))
	reply.Body.Close()
	_, sent, err = poster.Do(client, payment(g, b.URL))
	g.Expect(err).To(HaveOccurred())
	g.Expect(sent).To(BeTrue())
	g.Expect(b.runs.Load()).To(Equal(int32(2)))
}

func TestRedirectIsNotFollowed(t *testing.T) {
	g := NewWithT(t)
	b := newBreaker(t)
	reply, _, err := poster.Do(b.Client(), payment(g, b.URL+"/moved"))
	g.Expect(err).NotTo(HaveOccurred())
	reply.Body.Close()
	g.Expect(reply.StatusCode).To(Equal(http.StatusTemporaryRedirect))
	g.Expect(b.runs.Load()).To(BeZero())
}

func TestRefusedConnectionSentNothing(t *testing.T) {
	g := NewWithT(t)
	b := newBreaker(t)
	b.Close()
	_, sent, err := poster.Do(poster.NewClient(), payment(g, b.URL))
	g.Expect(err).To(HaveOccurred())
	g.Expect(sent).To(BeFalse())
}
