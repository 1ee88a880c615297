package forwarder_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figtrack/figtrack/outcomer"
)

// TestNonRepeatableCallIsSentOnce sends calls that are not repeatable to two
// instances that fail in the same way, so that a second try is counted whichever
// instance gets it.
func TestNonRepeatableCallIsSentOnce(t *testing.T) {
	dieAfterRun := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	dieUnread := func(c net.Conn) { c.Close() }
	dieAfterHeader := func(c net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(c))
		c.Close()
	}
	cases := map[string]struct {
		one    instance
		method string
		runs   int64
		ran    outcomer.Ran
	}{
		"dies after the run":             {instance{handler: dieAfterRun}, http.MethodPost, 1, outcomer.RanUnknown},
		"dies before reading":            {instance{conn: dieUnread}, http.MethodPost, 1, outcomer.RanUnknown},
		"dies after the header":          {instance{conn: dieAfterHeader}, http.MethodDelete, 1, outcomer.RanUnknown},
		"an unnamed GET is no exception": {instance{handler: dieAfterRun}, http.MethodGet, 1, outcomer.RanUnknown},
		"refuses connections":            {instance{closed: true}, http.MethodPost, 0, outcomer.RanNo},
	}
	for name, one := range cases {
		for _, body := range []string{"", "7", strings.Repeat("7", maxBody+1)} {
			t.Run(name, func(t *testing.T) {
				var s *site
				if h := one.one.handler; h != nil {
					one.one.handler = func(w http.ResponseWriter, r *http.Request) { s.countRuns(h)(w, r) }
				}
				withSite(t, []instance{one.one, one.one}, func(made *site) {
					s = made
					answer := s.do(one.method, "/orders/kits", body, nil)
					defer answer.Body.Close()
					s.Expect(s.runs.Load()).To(Equal(one.runs))
					s.Expect(ranOf(answer)).To(Equal(one.ran))
				})
			})
		}
	}
}

func (s *site) do(method, path, body string, header http.Header) *http.Response {
	r, err := http.NewRequest(method, s.url+path, strings.NewReader(body))
	s.Expect(err).NotTo(HaveOccurred())
	for name, values := range header {
		r.Header[name] = values
	}
	answer, err := s.client.Do(r)
	s.Expect(err).NotTo(HaveOccurred())
	return answer
}

func TestUnsentCallGoesToAnotherInstance(t *testing.T) {
	echo := func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }
	withSite(t, []instance{{closed: true}, {handler: echo}}, func(s *site) {
		for range 4 {
			answer := s.do(http.MethodPost, "/orders/kits", "7", nil)
			body, err := io.ReadAll(answer.Body)
			s.Expect(err).NotTo(HaveOccurred())
			s.Expect(string(body)).To(Equal("7"))
		}
	})
}

func TestFailedRepeatableCallReportsRanUnknown(t *testing.T) {
	die := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	for name, instances := range map[string][]instance{
		"both die":                {{handler: die}, {handler: die}},
		"the second is not there": {{closed: true}, {handler: die}},
	} {
		t.Run(name, func(t *testing.T) {
			withSite(t, instances, func(s *site) {
				for range 2 {
					answer := s.do(http.MethodGet, "/orders/stock", "", nil)
					answer.Body.Close()
					s.Expect(ranOf(answer)).To(Equal(outcomer.RanUnknown))
				}
			})
		})
	}
}

// TestRefusalOfAServiceIsNotTakenForFigtracks lets a service run a call and answer as
// figtrack answers one that has not run.
func TestRefusalOfAServiceIsNotTakenForFigtracks(t *testing.T) {
	for _, status := range []int{408, 421, 429, 503} {
		var s *site
		refuse := func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body) // Else the connection may close before the call is written.
			w.Header().Set(outcomer.HeaderRan, string(outcomer.RanNo))
			w.Header().Set(outcomer.HeaderRequest, "another")
			w.Header().Set("Trailer", outcomer.HeaderRan)
			w.WriteHeader(status)
			w.Header().Set(outcomer.HeaderRan, string(outcomer.RanNo))
		}
		withSite(t, []instance{{handler: func(w http.ResponseWriter, r *http.Request) { s.countRuns(refuse)(w, r) }}}, func(made *site) {
			s = made
			answer := s.do(http.MethodPost, "/orders/kits", "7", nil)
			_, err := io.Copy(io.Discard, answer.Body)
			s.Expect(err).NotTo(HaveOccurred())
			s.Expect(s.runs.Load()).To(Equal(int64(1)))
			s.Expect(answer.StatusCode).To(Equal(status))
			s.Expect(answer.Header.Values(outcomer.HeaderRan)).To(Equal([]string{string(outcomer.RanUnknown)}))
			s.Expect(answer.Header.Values(outcomer.HeaderRequest)).To(And(HaveLen(1), Not(ContainElement("another"))))
			s.Expect(answer.Trailer).NotTo(HaveKey(outcomer.HeaderRan))
		})
	}
}

// TestCallerDisconnectCancelsCall closes the caller's connection while the
// service works. The service's request must be cancelled, the call not sent
// again, and the instance not blamed.
func TestCallerDisconnectCancelsCall(t *testing.T) {
	ended := make(chan time.Time, 2)
	slow := func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		ended <- time.Now()
	}
	var s *site
	one := instance{handler: func(w http.ResponseWriter, r *http.Request) { s.countRuns(slow)(w, r) }}
	withSite(t, []instance{one, one}, func(made *site) {
		s = made
		began := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, s.url+"/orders/stock", nil)
		s.Expect(err).NotTo(HaveOccurred())
		_, err = s.client.Do(r)
		s.Expect(err).To(HaveOccurred())
		s.Expect((<-ended).Sub(began)).To(Equal(time.Second))
		time.Sleep(timeout)
		s.Expect(s.runs.Load()).To(Equal(int64(1)))
		s.Expect(s.health.failures.Load()).To(BeZero())
	})
}

func TestSlowServiceTimesOut(t *testing.T) {
	slow := func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}
	withSite(t, []instance{{handler: slow}}, func(s *site) {
		began := time.Now()
		answer := s.do(http.MethodPost, "/orders/kits", "7", nil)
		answer.Body.Close()
		s.Expect(time.Since(began)).To(Equal(timeout))
		s.Expect(answer.StatusCode).To(Equal(http.StatusGatewayTimeout))
		s.Expect(ranOf(answer)).To(Equal(outcomer.RanUnknown))
	})
}

// TestBodiesStreamBothWays has the service answer each part of a body before
// the caller sends the next one.
func TestBodiesStreamBothWays(t *testing.T) {
	echo := func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		_ = control.EnableFullDuplex()
		w.Header().Set("Trailer", "Sum")
		_ = control.Flush()
		buffer := make([]byte, 100)
		for {
			n, err := r.Body.Read(buffer)
			_, _ = w.Write(buffer[:n])
			_ = control.Flush()
			if err != nil {
				break
			}
		}
		w.Header().Set("Sum", "of "+r.Trailer.Get("Sum"))
	}
	withSite(t, []instance{{handler: echo}}, func(s *site) {
		out, in := io.Pipe()
		r, err := http.NewRequest(http.MethodPost, s.url+"/orders/kits", out)
		s.Expect(err).NotTo(HaveOccurred())
		r.Trailer = http.Header{"Sum": {"7"}}
		answer, err := s.client.Do(r)
		s.Expect(err).NotTo(HaveOccurred())
		defer answer.Body.Close()
		buffer := make([]byte, 100)
		for _, part := range []string{"two", "beams", "of oak"} {
			_, err := in.Write([]byte(part))
			s.Expect(err).NotTo(HaveOccurred())
			n, err := io.ReadFull(answer.Body, buffer[:len(part)])
			s.Expect(err).NotTo(HaveOccurred())
			s.Expect(string(buffer[:n])).To(Equal(part))
		}
		s.Expect(in.Close()).To(Succeed())
		rest, err := io.ReadAll(answer.Body)
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(rest).To(BeEmpty())
		s.Expect(answer.Trailer).To(HaveKeyWithValue("Sum", []string{"of 7"}))
	})
}

func TestTruncatedAnswerIsReportedToCaller(t *testing.T) {
	half := func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("half"))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	withSite(t, []instance{{handler: half}}, func(s *site) {
		answer := s.do(http.MethodGet, "/orders/stock", "", nil)
		_, err := io.ReadAll(answer.Body)
		s.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		s.Expect(s.health.failures.Load()).To(Equal(int64(1)))
	})
}

func TestEventStreamCutInsideAnEventDoesNotLookComplete(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream; charset=utf-8\r\nConnection: close\r\n\r\n"
	for rest, isBroken := range map[string]bool{
		"id: 1\ndata: a\n\nid: 2\nda":       true,
		"":                                  true,
		"id: 1\ndata: a\n\n":                false,
		"id: 1\r\ndata: a\r\n\r\n: end\r\n": false,
	} {
		cut := instance{conn: func(c net.Conn) {
			defer c.Close()
			if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
				return
			}
			_, _ = io.WriteString(c, head+rest)
		}}
		withSite(t, []instance{cut}, func(s *site) {
			reply, err := s.client.Get(s.url + "/orders/stock")
			s.Expect(err).NotTo(HaveOccurred())
			defer reply.Body.Close()
			text, err := io.ReadAll(reply.Body)
			s.Expect(string(text)).To(Equal(rest))
			s.Expect(err != nil).To(Equal(isBroken), "%q: %v", rest, err)
		})
	}
}

// TestUnframedAnswerThatEndsBeforeItsBodyIsBroken has an instance close the connection
// after the head of an answer without a length or chunks.
func TestUnframedAnswerThatEndsBeforeItsBodyIsBroken(t *testing.T) {
	for head, isBroken := range map[string]bool{
		"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n":                      true,
		"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole":                 false,
		"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n": false,
		"HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n":              false,
	} {
		cut := instance{conn: func(c net.Conn) {
			defer c.Close()
			if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
				return
			}
			_, _ = io.WriteString(c, head)
		}}
		withSite(t, []instance{cut}, func(s *site) {
			reply, err := s.client.Get(s.url + "/orders/stock")
			s.Expect(err).NotTo(HaveOccurred())
			defer reply.Body.Close()
			_, err = io.ReadAll(reply.Body)
			s.Expect(err != nil).To(Equal(isBroken), "%q: %v", head, err)
		})
	}
}

// TestHopByHopHeadersAreDropped checks that hop-by-hop headers are dropped and
// all others kept, in both directions.
func TestHopByHopHeadersAreDropped(t *testing.T) {
	var got http.Header
	// The answer is raw: at the end of a connection net/http changes its Connection header.
	note := func(c net.Conn) {
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		got = r.Header
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, "HTTP/1.1 418 I'm a teapot\r\nConnection: X-Back\r\nX-Back: 1\r\nKeep-Alive: timeout=5\r\n"+
			"Proxy-Authenticate: Basic\r\nX-Kit: 7\r\nX-Kit: 8\r\nContent-Length: 0\r\n\r\n")
	}
	withSite(t, []instance{{conn: note}}, func(s *site) {
		answer := s.do(http.MethodGet, "/orders/stock", "", http.Header{
			"Connection": {"X-Hop"}, "X-Hop": {"1"}, "Te": {"trailers"}, "X-Kit": {"7", "8"},
			"Proxy-Authorization": {"secret"}, "User-Agent": nil, "Accept-Encoding": {"br"},
		})
		answer.Body.Close()
		// Connection is the forwarder's own: each call has its connection.
		s.Expect(got).To(Equal(http.Header{"X-Kit": {"7", "8"}, "Accept-Encoding": {"br"}, "Connection": {"close"}}))
		s.Expect(answer.Header.Get(outcomer.HeaderRequest)).To(HaveLen(36))
		answer.Header.Del(outcomer.HeaderRequest)
		answer.Header.Del("Date")
		s.Expect(answer.Header).To(Equal(http.Header{"X-Kit": {"7", "8"}, "Content-Length": {"0"}}))
		s.Expect(answer.StatusCode).To(Equal(http.StatusTeapot))
	})
}

func TestKeyedCallLimits(t *testing.T) {
	var s *site
	// The service reads the body first: the test network has no buffers, so an
	// earlier answer would make the caller's write fail.
	one := instance{handler: func(w http.ResponseWriter, r *http.Request) {
		s.countRuns(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })(w, r)
	}}
	withSite(t, []instance{one}, func(made *site) {
		s = made
		for _, c := range []struct {
			key, body string
			status    int
		}{
			{"a", strings.Repeat("7", maxBody+1), http.StatusRequestEntityTooLarge},
			{strings.Repeat("k", 256), "7", http.StatusBadRequest},
		} {
			answer := s.do(http.MethodPost, "/orders/kits", c.body, http.Header{"Idempotency-Key": {c.key}})
			answer.Body.Close()
			s.Expect(answer.StatusCode).To(Equal(c.status))
			s.Expect(ranOf(answer)).To(Equal(outcomer.RanNo))
		}
		s.Expect(s.runs.Load()).To(BeZero())
		for _, status := range []int{http.StatusOK, http.StatusConflict} {
			answer := s.do(http.MethodPost, "/orders/kits", "7", http.Header{"Idempotency-Key": {"a"}})
			answer.Body.Close()
			s.Expect(answer.StatusCode).To(Equal(status))
		}
		s.Expect(s.runs.Load()).To(Equal(int64(1)))
	})
}
