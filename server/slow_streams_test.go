package server_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figtrack/figtrack/faker"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/parser"
	"github.com/figtrack/figtrack/registrar"
)

const streamLimit = 90 * time.Second

func limitRequests(cfg *parser.Settings) { cfg.Callers.RequestTimeout = streamLimit }

// serveParts adds a service below /events that sends a part of an event stream every two
// seconds. Its listener has to be closed.
func (s *site) serveParts(part string, count int) net.Listener {
	l, err := s.network.Listen("")
	s.Expect(err).NotTo(HaveOccurred())
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go sendParts(c, part, count)
		}
	}()
	c := s.configuration()
	c.Revision = 2
	c.Pools = append(c.Pools, registrar.Pool{ID: "event-desk", Prefix: "/events"})
	c.Upstreams = append(c.Upstreams, registrar.Upstream{ID: "event-desk-1", Pool: "event-desk", Role: identifier.RolePlain, DataCentre: "thamel-room", Address: l.Addr().String()})
	for _, vm := range s.servers {
		vm.SetConfiguration(c)
	}
	time.Sleep(settleTime)
	return l
}

func sendParts(c net.Conn, part string, count int) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
	for i := 0; i < count && err == nil; i++ {
		_, err = io.WriteString(c, part)
		time.Sleep(2 * time.Second)
	}
}

// TestSlowStreamIsNotCut guards against a limit on the pause between events or tokens.
func TestSlowStreamIsNotCut(t *testing.T) {
	t.Run("service", func(t *testing.T) {
		runOnSite(t, limitRequests, func(s *site) {
			defer s.serveParts("id: 1\ndata: a\n\n", 30).Close()
			got, err := s.client.Get("http://" + s.callers[0] + "/events")
			s.Expect(err).NotTo(HaveOccurred())
			text, err := io.ReadAll(got.Body)
			s.Expect(err).NotTo(HaveOccurred())
			s.Expect(strings.Count(string(text), "data: a")).To(Equal(30))
		})
	})
	t.Run("engine", func(t *testing.T) {
		runOnSite(t, limitRequests, func(s *site) {
			cfg := faker.DefaultEngine(identifier.RoleDecode)
			cfg.ID, cfg.StepBase = "slow-desk-1", 3*time.Second
			e, err := faker.NewEngineServer(cfg, s.network.Listen, s.client)
			s.Expect(err).NotTo(HaveOccurred())
			defer e.Kill()
			c := s.configuration()
			c.Revision = 2
			for i, u := range c.Upstreams {
				if u.Role == identifier.RoleDecode {
					c.Upstreams[i].ID, c.Upstreams[i].Address = cfg.ID, e.Address()
				}
			}
			for _, vm := range s.servers {
				vm.SetConfiguration(c)
			}
			time.Sleep(settleTime)
			began := time.Now()
			r := completion(`{"model":"timber-7b","prompt":"Check the joints of kit 7.","max_tokens":30,"stream":true}`)
			r.header.Set("Figtrack-Class", "LongReading")
			text, done := s.text(s.call(s.background(), r))
			s.Expect(done).To(BeTrue())
			s.Expect(text).To(Equal(expectedAnswer("Check the joints of kit 7.", 30)))
			s.Expect(time.Since(began)).To(BeNumerically(">=", 58*time.Second))
		})
	})
}

// TestStreamThatNeverCompletesAnEventEnds has a service that sends a byte every two seconds. The
// limit is Callers.RequestTimeout.
func TestStreamThatNeverCompletesAnEventEnds(t *testing.T) {
	runOnSite(t, limitRequests, func(s *site) {
		defer s.serveParts("x", 120).Close()
		began := time.Now()
		got, err := s.client.Get("http://" + s.callers[0] + "/events")
		s.Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(got.Body)
		s.Expect(err).To(HaveOccurred())
		s.Expect(time.Since(began)).To(BeNumerically("~", streamLimit, time.Second))
		time.Sleep(4 * time.Second) // The service notices at its next byte.
	})
}
