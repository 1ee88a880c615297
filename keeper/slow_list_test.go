package keeper_test

import (
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figtrack/figtrack/keeper"
	"github.com/figtrack/figtrack/piper"
)

// slowReply sends a reply to a list byte by byte. It stops after stopAfter bytes, if that
// isn't zero.
type slowReply struct{ stopAfter int }

const (
	listReply = `{"header":{"revision":"7"},"kvs":[{"key":"YQ==","value":"eA==","mod_revision":"7"}]}`
	byteGap   = 100 * time.Millisecond
)

// ServeHTTP implements http.Handler.
func (h slowReply) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	for i := range len(listReply) {
		if h.stopAfter > 0 && i == h.stopAfter {
			<-r.Context().Done()
			return
		}
		_, _ = io.WriteString(w, listReply[i:i+1])
		_ = http.NewResponseController(w).Flush()
		time.Sleep(byteGap)
	}
}

// TestListThatArrivesSlowlyIsRead sends a list for longer than the timeout, as over a
// narrow link, and one that stops.
func TestListThatArrivesSlowlyIsRead(t *testing.T) {
	for _, stopAfter := range []int{0, 20} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			var network piper.Network
			l, err := network.Listen("")
			g.Expect(err).NotTo(HaveOccurred())
			server := &http.Server{Handler: slowReply{stopAfter}}
			go server.Serve(l)
			defer server.Close()
			client := network.Client()
			defer client.CloseIdleConnections()
			store := keeper.New(keeper.Settings{
				Endpoints: []string{"http://" + l.Addr().String()}, Timeout: time.Second, Client: client,
				Shares: map[keeper.Purpose]keeper.Share{purpose: {1000, 1000, 1000, 1000}},
			}, keeper.NewMetrics())
			since := time.Now()
			entries, err := store.List(t.Context(), purpose, "a")
			if stopAfter == 0 {
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(entries).To(HaveLen(1))
				return
			}
			g.Expect(kindOf(err)).To(Equal(keeper.KindNotDone))
			g.Expect(time.Since(since)).To(BeNumerically("<=", time.Duration(stopAfter)*byteGap+time.Second))
		})
	}
}

// drippingReply sends a byte of white space now and then, for longer than any limit.
type drippingReply struct{}

// ServeHTTP implements http.Handler.
func (drippingReply) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	for i := 0; i < 1000 && r.Context().Err() == nil; i++ {
		_, _ = io.WriteString(w, " ")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(900 * time.Millisecond)
	}
}

// TestListThatNeverCompletesEnds guards against a VM that waits for ever for a list of which a
// byte comes now and then.
func TestListThatNeverCompletesEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var network piper.Network
		l, err := network.Listen("")
		g.Expect(err).NotTo(HaveOccurred())
		server := &http.Server{Handler: drippingReply{}}
		go server.Serve(l)
		defer server.Close()
		client := network.Client()
		defer client.CloseIdleConnections()
		store := keeper.New(keeper.Settings{
			Endpoints: []string{"http://" + l.Addr().String()}, Timeout: time.Second, Client: client,
			Shares: map[keeper.Purpose]keeper.Share{purpose: {1000, 1000, 1000, 1000}},
		}, keeper.NewMetrics())
		since := time.Now()
		_, err = store.List(t.Context(), purpose, "a")
		g.Expect(kindOf(err)).To(Equal(keeper.KindNotDone))
		g.Expect(time.Since(since)).To(BeNumerically("~", time.Minute, time.Second))
		time.Sleep(time.Second)
	})
}
