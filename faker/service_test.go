package faker_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figtrack/figtrack/faker"
	"github.com/figtrack/figtrack/piper"
)

// onService runs a test on a fake plain service in virtual time.
func onService(t *testing.T, test func(g *WithT, s *faker.Service, call func(method, path, body string) (*http.Response, error))) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var network piper.Network
		client := network.Client()
		g := NewWithT(t)
		s, err := faker.NewService(network.Listen)
		g.Expect(err).NotTo(HaveOccurred())
		defer client.CloseIdleConnections()
		defer s.Close()
		test(g, s, func(method, path, body string) (*http.Response, error) {
			r, err := http.NewRequestWithContext(t.Context(), method, s.URL()+path, strings.NewReader(body))
			g.Expect(err).NotTo(HaveOccurred())
			r.ContentLength = -1
			r.Header.Set("Idempotency-Key", "key-1")
			r.Trailer = http.Header{"Checksum": {"abc"}}
			return client.Do(r)
		})
	})
}

func TestServiceEchoesRequest(t *testing.T) {
	onService(t, func(g *WithT, s *faker.Service, call func(method, path, body string) (*http.Response, error)) {
		s.SetFaults(faker.ServiceFaults{Delay: time.Second})
		began := time.Now()
		reply, err := call(http.MethodPut, "/fees?berth=7", "two beams")
		g.Expect(err).NotTo(HaveOccurred())
		defer reply.Body.Close()
		body, err := io.ReadAll(reply.Body)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(time.Since(began)).To(Equal(time.Second))
		g.Expect(string(body)).To(Equal("two beams"))
		g.Expect(reply.Header).To(HaveKeyWithValue("Echo-Method", []string{"PUT"}))
		g.Expect(reply.Header).To(HaveKeyWithValue("Echo-Query", []string{"berth=7"}))
		g.Expect(reply.Header).To(HaveKeyWithValue("Echo-Idempotency-Key", []string{"key-1"}))
		g.Expect(reply.Trailer).To(HaveKeyWithValue("Echo-Checksum", []string{"abc"}))
	})
}

func TestServiceCountsOnlyRuns(t *testing.T) {
	onService(t, func(g *WithT, s *faker.Service, call func(method, path, body string) (*http.Response, error)) {
		s.SetFaults(faker.ServiceFaults{DieAfterRun: true})
		_, err := call(http.MethodPost, "/fees", "")
		g.Expect(err).To(HaveOccurred())
		g.Expect(s.RunsWithKey("key-1")).To(Equal(1))
		s.SetFaults(faker.ServiceFaults{Leaving: true})
		reply, err := call(http.MethodPost, "/fees", "")
		g.Expect(err).NotTo(HaveOccurred())
		reply.Body.Close()
		g.Expect(reply.StatusCode).To(Equal(http.StatusServiceUnavailable))
		g.Expect(s.RunsWithKey("key-1")).To(Equal(1))
		g.Expect(s.RunsOfPath("/fees")).To(Equal(1))
	})
}
