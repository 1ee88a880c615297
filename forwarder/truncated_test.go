package forwarder_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestTruncatedAnswersDoNotLookComplete covers the framings with a stated end. The end of an
// answer without one is tested by TestUnframedAnswerThatEndsBeforeItsBodyIsBroken and
// TestEventStreamCutInsideAnEventDoesNotLookComplete.
func TestTruncatedAnswersDoNotLookComplete(t *testing.T) {
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	for rest, isBroken := range map[string]bool{
		"Content-Length: 5\r\n\r\nhalf":                        true,
		"Content-Length: 5\r\n\r\n":                            true,
		"Content-Length: 5\r\n\r\nwhole":                       false,
		chunked:                                                true,
		chunked + "5\r\nhalf":                                  true,
		chunked + "5\r\nwhole":                                 true,
		chunked + "5\r\nwhole\r\n":                             true,
		chunked + "5\r\nwhole\r\n0\r\n":                        true,
		chunked + "5\r\nwhole\r\n0\r\nSum: 1\r\n":              true,
		chunked + "5\r\nwhole\r\n0\r\nSum: 1\r\n\r\n":          false,
		chunked + "5\r\nwhole\r\n0\r\nSum : 1\r\n\r\n":         true,
		chunked + "5\r\nwhole\r\n0\r\nA: 1\r\nS um: 1\r\n\r\n": true,
		chunked + "5\r\nwhole\r\n0\r\n\r\n":                    false,
	} {
		cut := instance{conn: func(c net.Conn) {
			defer c.Close()
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+rest)
		}}
		withSite(t, []instance{cut}, func(s *site) {
			reply, err := s.client.Get(s.url + "/orders/stock")
			s.Expect(err).NotTo(HaveOccurred())
			defer reply.Body.Close()
			_, err = io.ReadAll(reply.Body)
			s.Expect(err != nil).To(Equal(isBroken), "%q: %v", rest, err)
		})
	}
}

// TestTruncatedRequestIsNotCompleteAtAService guards against a service that runs the first
// part of a request as if it were the whole.
func TestTruncatedRequestIsNotCompleteAtAService(t *testing.T) {
	const large = maxBody + 1 // Such a body isn't buffered.
	for name, text := range map[string]string{
		"whole":                 "Content-Length: 5\r\n\r\nwhole",
		"length":                "Content-Length: 5\r\n\r\nhalf",
		"length, large":         "Content-Length: 65537\r\n\r\nhalf",
		"chunk":                 "Transfer-Encoding: chunked\r\n\r\n5\r\nhalf",
		"chunks without an end": "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n",
		"end without trailers":  "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n",
		"keyed":                 "Idempotency-Key: k\r\nContent-Length: 5\r\n\r\nhalf",
	} {
		t.Run(name, func(t *testing.T) {
			whole := 0
			take := instance{handler: func(_ http.ResponseWriter, r *http.Request) {
				if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, large)); err == nil {
					whole++
				}
			}}
			withSite(t, []instance{take, take}, func(s *site) {
				c, err := s.network.Dial(context.Background(), "tcp", s.url[len("http://"):])
				s.Expect(err).NotTo(HaveOccurred())
				_, err = io.WriteString(c, "POST /orders/kits HTTP/1.1\r\nHost: a.example\r\n"+text)
				s.Expect(err).NotTo(HaveOccurred())
				time.Sleep(timeout / 2)
				c.Close()
				time.Sleep(timeout)
			})
			NewWithT(t).Expect(whole > 0).To(Equal(name == "whole"))
		})
	}
}
