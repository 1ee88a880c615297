package server_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figtrack/figtrack/faker"
	"github.com/figtrack/figtrack/parser"
)

// session makes calls and records them, their replies and the log in a golden
// file.
type session struct {
	name   string
	change func(*parser.Settings)
	play   func(s *site, w *strings.Builder)
}

func TestSessions(t *testing.T) {
	for _, tc := range sessions {
		t.Run(tc.name, func(t *testing.T) {
			var w strings.Builder
			runOnSite(t, tc.change, func(s *site) {
				tc.play(s, &w)
				time.Sleep(maxReleaseDelay)
				s.Expect(s.engineHolds()).To(BeEmpty())
				w.WriteString("--- log\n" + s.journal.text())
			})
			assertGolden(t, tc.name, replaceRequestIDs(w.String()))
		})
	}
}

var sessions = []session{
	{name: "streamed-answer", play: streamedAnswer},
	{name: "chat-answer", play: chatAnswer},
	{name: "target-out-of-reach", play: outOfReach},
	{name: "refused", play: refused},
	{name: "cancelled-in-prefill", play: cancelledAfter(40*time.Millisecond, 8000)},
	{name: "cancelled-in-decode", play: cancelledAfter(400*time.Millisecond, 4000)},
	{name: "death-in-decode", play: deathInDecode},
	{name: "plain-call", play: plainCall},
	{name: "plain-death", play: plainDeath},
	{name: "repeat-refused", play: repeatRefused},
	{name: "store-outage", play: storeOutage},
	{name: "rejected", change: smallBodies, play: rejected},
}

// exchange makes a call and writes the request and its reply to w.
func (s *site) exchange(ctx context.Context, w *strings.Builder, r request) reply {
	got := s.call(ctx, r)
	w.WriteString("--- caller to " + string(vmName(r.vm)) + "\n" + r.String() + "--- answer\n" + got.String())
	return got
}

func completion(body string) request {
	return request{
		method: http.MethodPost,
		path:   "/v1/completions",
		header: http.Header{"Figtrack-Workspace": {"builders"}, "Content-Type": {"application/json"}},
		body:   body,
	}
}

func streamedAnswer(s *site, w *strings.Builder) {
	for vm := range s.servers {
		r := completion(`{"model":"timber-7b","prompt":"Check the joints of kit 7.","max_tokens":6,"stream":true,"stream_options":{"include_usage":true}}`)
		r.vm = vm
		text, done := s.text(s.exchange(s.background(), w, r))
		s.Expect(done).To(BeTrue())
		s.Expect(text).To(Equal(expectedAnswer("Check the joints of kit 7.", 6)))
	}
}

func chatAnswer(s *site, w *strings.Builder) {
	r := completion(`{"model":"timber-7b","messages":[{"role":"user","content":"Grade of beam 12?"}],"max_tokens":6}`)
	r.path = "/v1/chat/completions"
	r.header.Set("Figtrack-Class", "LongReading")
	r.header.Set("Idempotency-Key", "beam-12")
	got := s.exchange(s.background(), w, r)
	s.Expect(got.body).To(ContainSubstring(strings.TrimSpace(expectedAnswer("user: Grade of beam 12?\n", 6))))
}

// refused sends a request when both prefill engines accept no new work and all
// VMs know it.
func refused(s *site, w *strings.Builder) {
	for _, e := range s.engines[:2] {
		e.SetLeaving(true)
	}
	time.Sleep(settleTime)
	s.journal.reset()
	s.exchange(s.background(), w, completion(`{"model":"timber-7b","prompt":"Hello.","max_tokens":6,"stream":true}`))
}

// outOfReach sends a prompt whose prefill alone exceeds the class's target and
// patience.
func outOfReach(s *site, w *strings.Builder) {
	s.exchange(s.background(), w, completion(`{"model":"timber-7b","prompt":"`+strings.Repeat("oak ", 60_000)+`","max_tokens":6,"stream":true}`))
}

// cancelledAfter returns a session in which the caller cancels a stream after a
// time.
func cancelledAfter(after time.Duration, tokens int) func(*site, *strings.Builder) {
	return func(s *site, w *strings.Builder) {
		prompt := strings.Repeat("oak ", tokens)
		ctx, cancel := context.WithTimeout(s.background(), after)
		defer cancel()
		got := s.exchange(ctx, w, completion(`{"model":"timber-7b","prompt":"`+prompt+`","max_tokens":400,"stream":true}`))
		text, done := s.text(got)
		s.Expect(done).To(BeFalse())
		s.Expect(expectedAnswer(prompt, 400)).To(HavePrefix(text))
	}
}

// deathInDecode kills the decode engine of a stream after some tokens. A second
// attempt must continue the stream, and the caller must get each token once.
func deathInDecode(s *site, w *strings.Builder) {
	time.AfterFunc(150*time.Millisecond, func() {
		for _, e := range s.engines[2:] {
			if held := s.holdCount(e); held > 0 {
				e.Kill()
			}
		}
	})
	got := s.exchange(s.background(), w, completion(`{"model":"timber-7b","prompt":"Load of the ridge beam?","max_tokens":16,"stream":true}`))
	text, done := s.text(got)
	s.Expect(done).To(BeTrue())
	s.Expect(text).To(Equal(expectedAnswer("Load of the ridge beam?", 16)))
}

func plainCall(s *site, w *strings.Builder) {
	s.exchange(s.background(), w, request{
		method: http.MethodPut,
		path:   "/orders/kits/7?room=lalitpur&note=a%20b",
		header: http.Header{
			"Content-Type": {"text/plain"}, "X-Kit": {"7", "8"},
			"Connection": {"X-Hop"}, "X-Hop": {"dropped"}, "Te": {"trailers"},
			"Keep-Alive": {"timeout=5"}, "Proxy-Authorization": {"dropped"},
		},
		body:    "two beams",
		trailer: http.Header{"Checksum": {"abc"}},
	})
	s.exchange(s.background(), w, request{method: http.MethodGet, path: "/orders/stock/beams"})
	s.Expect(s.runCount("/orders/kits/7")).To(Equal(1))
}

// plainDeath breaks the upstream's connection after each run. A repeatable call
// must be retried on another instance; any other must be sent only once.
func plainDeath(s *site, w *strings.Builder) {
	for _, service := range s.services {
		service.SetFaults(faker.ServiceFaults{DieAfterRun: true})
	}
	s.exchange(s.background(), w, request{method: http.MethodGet, path: "/orders/stock/beams"})
	s.exchange(s.background(), w, request{method: http.MethodPost, path: "/orders/kits", body: "7"})
	s.Expect(s.runCount("/orders/stock/beams")).To(Equal(2))
	s.Expect(s.runCount("/orders/kits")).To(Equal(1))
}

// repeatRefused repeats a keyed call through both VMs, then sends another body
// with the same key.
func repeatRefused(s *site, w *strings.Builder) {
	for _, r := range []request{{vm: 0, body: "7"}, {vm: 0, body: "7"}, {vm: 1, body: "7"}, {vm: 1, body: "8"}} {
		r.method, r.path = http.MethodPost, "/orders/reservations"
		r.header = http.Header{"Idempotency-Key": {"reserve-7"}}
		s.exchange(s.background(), w, r)
	}
	s.Expect(s.runCount("/orders/reservations")).To(Equal(1))
}

// storeOutage sends a keyed call while the store refuses connections, then a
// call without a key, which doesn't need the store.
func storeOutage(s *site, w *strings.Builder) {
	s.Expect(s.store.SetRefusing(true)).To(Succeed())
	r := request{method: http.MethodPost, path: "/orders/reservations", header: http.Header{"Idempotency-Key": {"reserve-9"}}, body: "9"}
	s.exchange(s.background(), w, r)
	s.Expect(s.runCount("/orders/reservations")).To(BeZero())
	r.header = nil
	s.exchange(s.background(), w, r)
	s.Expect(s.runCount("/orders/reservations")).To(Equal(1))
	s.Expect(s.store.SetRefusing(false)).To(Succeed())
}

func smallBodies(cfg *parser.Settings) { cfg.Callers.MaxBodyBytes = 4096 }

func rejected(s *site, w *strings.Builder) {
	for _, body := range []string{
		`{"model":"timber-7b","prompt":"` + strings.Repeat("oak ", 2000) + `"}`,
		`{"model":"timber-7b","prompt":`,
		`{"model":"oak-1b","prompt":"Hello."}`,
		`{"model":"timber-7b","prompt":"Hello.","max_tokens":0}`,
		`{"model":"timber-7b","prompt":"Hello.","n":2}`,
	} {
		s.exchange(s.background(), w, completion(body))
	}
	unknown := completion(`{"model":"timber-7b","prompt":"Hello."}`)
	unknown.header.Set("Figtrack-Class", "Fastest")
	s.exchange(s.background(), w, unknown)
	s.exchange(s.background(), w, request{method: http.MethodGet, path: "/nothing"})
}
