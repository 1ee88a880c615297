package deduper_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/deduper"
	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/outcomer"
	"github.com/figtrack/figtrack/relayer"
	"github.com/figtrack/figtrack/wire"
)

// tokenInterval is the time that the engine takes to generate one token. Its
// tokens are the words of the prompt.
const tokenInterval = 50 * time.Millisecond

// site simulates an engine with its holds, and has the shells of two VMs.
type site struct {
	// calls is the number of callers so far.
	calls     int
	mu        sync.Mutex
	startedAt map[identifier.Hold]time.Time
	prompts   map[identifier.Hold]string
	released  map[identifier.Hold]bool
	runs      int
	shells    map[identifier.VM]*deduper.Shell
}

func (s *site) start(hold identifier.Hold, prompt string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs++
	s.startedAt[hold], s.prompts[hold] = time.Now(), prompt
}

// wordStream is a stream that reads one hold.
type wordStream struct {
	*site
	ctx  context.Context
	hold identifier.Hold
	next identifier.Tokens
}

func (w *wordStream) Close() error { return nil }

func (w *wordStream) Next() (driver.Token, error) {
	w.mu.Lock()
	all, began, released := strings.Fields(w.prompts[w.hold]), w.startedAt[w.hold], w.released[w.hold]
	w.mu.Unlock()
	if int(w.next) == len(all) {
		return driver.Token{}, io.EOF
	}
	if released {
		return driver.Token{}, &driver.Error{Kind: driver.KindGone, Err: errors.New("released")}
	}
	select {
	case <-time.After(time.Until(began.Add(time.Duration(w.next+1) * tokenInterval))):
	case <-w.ctx.Done():
		return driver.Token{}, w.ctx.Err()
	}
	t := driver.Token{Index: w.next, Text: all[w.next] + " "}
	if w.next++; int(w.next) == len(all) {
		t.Finish = "stop"
	}
	return t, nil
}

// engine implements the part of driver.Engine that resumes streams.
type engine struct {
	driver.Engine
	site *site
}

func (e engine) Resume(ctx context.Context, hold identifier.Hold, from identifier.Tokens) (driver.Stream, error) {
	return &wordStream{site: e.site, ctx: ctx, hold: hold, next: from}, nil
}

func (s *site) Vouch(identifier.Hold) {}

func (s *site) Disown(identifier.Hold) {}

func (s *site) Release(_ identifier.Upstream, hold identifier.Hold) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.released[hold] = true
}

func (s *site) isReleased() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.released) > 0
}

// leakedHolds counts the holds that are not released and still generate tokens.
func (s *site) leakedHolds() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for hold, began := range s.startedAt {
		over := began.Add(time.Duration(len(strings.Fields(s.prompts[hold]))) * tokenInterval)
		if !s.released[hold] && time.Now().Before(over) {
			n++
		}
	}
	return n
}

// entryVM is one VM. It implements the Runner and Sender of its shell.
type entryVM struct {
	*site
	self deduper.Start
}

func (e entryVM) Send(to identifier.VM, m *wire.Envelope) bool {
	time.AfterFunc(5*time.Millisecond, func() { e.shells[to].Handle(e.self, m.GetRequestState()) })
	return true
}

func (e entryVM) Run(ctx context.Context, job relayer.Job, sink relayer.Sink) outcomer.Outcome {
	hold := identifier.Hold{VM: e.self.VM, Incarnation: 1, Request: job.Request, Attempt: 1}
	e.start(hold, job.Prompt)
	if streaming, ok := sink.(deduper.StreamSink); ok {
		streaming.Streaming(hold, "d1")
	}
	w := &wordStream{site: e.site, ctx: ctx, hold: hold}
	for {
		t, err := w.Next()
		if errors.Is(err, io.EOF) {
			return outcomer.Answered{}
		}
		if err == nil {
			err = sink.WriteToken(t)
		}
		var leaves interface{ LeavesStream() }
		if err != nil {
			if !errors.As(context.Cause(ctx), &leaves) {
				e.Release("d1", hold)
			}
			return outcomer.CallerGone{}
		}
	}
}

// caller is the sink of one connection, with its result once done is closed.
type caller struct {
	got        string
	out        outcomer.Outcome
	disconnect context.CancelFunc
	done       chan struct{}
}

func (c *caller) WriteToken(t driver.Token) error {
	c.got += t.Text
	return nil
}

func (s *site) call(vm identifier.VM, key identifier.Request, prompt string) *caller {
	ctx, cancel := context.WithCancel(context.Background())
	c := &caller{disconnect: cancel, done: make(chan struct{})}
	s.calls++
	job := relayer.Job{Request: identifier.Request(fmt.Sprintf("run-%d", s.calls)), Workspace: "w", Prompt: prompt}
	if !strings.HasPrefix(string(key), "u") {
		job.Key = string(key)
	}
	go func() {
		defer close(c.done)
		c.out = s.shells[vm].Run(ctx, job, c)
	}()
	return c
}

const prompt = "one two three four five six seven eight nine ten "

func runOnSite(t *testing.T, test func(g *WithT, s *site)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &site{
			startedAt: map[identifier.Hold]time.Time{},
			prompts:   map[identifier.Hold]string{},
			released:  map[identifier.Hold]bool{},
			shells:    map[identifier.VM]*deduper.Shell{},
		}
		ctx, cancel := context.WithCancel(t.Context())
		live := []identifier.VM{"vm1", "vm2"}
		for _, vm := range live {
			e := entryVM{site: s, self: deduper.Start{VM: vm, Incarnation: 1}}
			engines := func(identifier.Upstream) (driver.Engine, bool) { return engine{site: s}, true }
			s.shells[vm] = deduper.NewShell(e.self, e, engines, s, e)
			go s.shells[vm].Loop(ctx)
			s.shells[vm].SetLive(live)
		}
		test(NewWithT(t), s)
		time.Sleep(2 * deduper.RepeatableGrace)
		NewWithT(t).Expect(s.leakedHolds()).To(BeZero())
		cancel()
		synctest.Wait()
	})
}

func TestReconnectedCallerTakesOverAnswer(t *testing.T) {
	for _, vm := range []identifier.VM{"vm1", "vm2"} {
		for _, disconnects := range []bool{true, false} {
			for _, key := range []identifier.Request{"k1", "k2", "k3", "k4"} {
				runOnSite(t, func(g *WithT, s *site) {
					first := s.call("vm1", key, prompt)
					time.Sleep(4*tokenInterval + tokenInterval/2)
					if disconnects {
						first.disconnect()
						<-first.done
						time.Sleep(2 * tokenInterval)
					}
					second := s.call(vm, key, prompt)
					<-second.done
					<-first.done
					g.Expect(second.out).To(Equal(outcomer.Answered{}))
					g.Expect(second.got).To(Equal(prompt))
					g.Expect(prompt).To(HavePrefix(first.got))
					g.Expect(first.got).NotTo(Equal(prompt))
					if !disconnects {
						g.Expect(first.out).To(Equal(outcomer.TakenOver{}))
					}
					g.Expect(s.runs).To(Equal(1), "the running stream is continued, not started again")
				})
			}
		}
	}
}

func TestRunEndsAfterCallerDisconnects(t *testing.T) {
	for key, after := range map[identifier.Request]time.Duration{"k": deduper.RepeatableGrace, "u1": 0} {
		runOnSite(t, func(g *WithT, s *site) {
			long := strings.Repeat(prompt, 100)
			c := s.call("vm1", key, long)
			time.Sleep(3 * tokenInterval)
			c.disconnect()
			<-c.done
			synctest.Wait()
			g.Expect(s.isReleased()).To(Equal(after == 0))
			time.Sleep(after + time.Millisecond)
			synctest.Wait()
			g.Expect(s.isReleased()).To(BeTrue())
		})
	}
}

func TestSameKeyWithAnotherBodyIsAnotherRequest(t *testing.T) {
	runOnSite(t, func(g *WithT, s *site) {
		a, b := s.call("vm1", "k", prompt), s.call("vm2", "k", "another text")
		<-a.done
		<-b.done
		g.Expect(a.got).To(Equal(prompt))
		g.Expect(b.got).To(Equal("another text "))
	})
}
