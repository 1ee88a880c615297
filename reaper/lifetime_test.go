package reaper_test

import (
	"bufio"
	"bytes"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/figtrack/figtrack/budgeter"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/keeper"
	"github.com/figtrack/figtrack/listener"
	"github.com/figtrack/figtrack/parser"
	"github.com/figtrack/figtrack/platform"
	"github.com/figtrack/figtrack/router"
	"github.com/figtrack/figtrack/stepper"
	"github.com/figtrack/figtrack/tracker"
	"github.com/figtrack/figtrack/versioner"
)

const (
	headerTimeout = 3 * time.Second
	// fixedIdleTimeout is the idle timeout of figtrack's own interface.
	fixedIdleTimeout = 2 * time.Minute
	// exitPollInterval is the interval at which a server that stops is asked for its work.
	exitPollInterval = 5 * time.Millisecond
	headerWork       = "X-Work-Ms"
	// frozen is how long a process stands still that outlasts the header timeout.
	frozen = headerTimeout + time.Second
)

// kind is a kind of interface for callers.
type kind struct {
	new func() server
	// idleTimeout is the idle timeout at the begin of each plan.
	idleTimeout time.Duration
	// isFixed is true if it doesn't change.
	isFixed bool
}

var kinds = map[string]kind{
	"platform": {new: newPlatformServer, idleTimeout: time.Second},
	"own":      {new: newOwnServer, idleTimeout: fixedIdleTimeout, isFixed: true},
}

// server is an interface for callers.
type server interface {
	Serve(l net.Listener) error
	Drain()
	StopReading()
	Busy() int
	Close() error
	setIdleTimeout(d time.Duration)
}

// platformServer is the server of a VM on the users' platform.
type platformServer struct {
	*platform.Server
	fleet    *router.Fleet
	mu       sync.Mutex
	revision int
}

func newPlatformServer() server {
	registry := prometheus.NewRegistry()
	metrics, log := router.NewMetrics(registry), zerolog.Nop()
	steps, runners := stepper.New(registry, log), platform.NewRunners(platform.NewDial())
	budget := budgeter.New(budgeter.Settings{Ratio: 0.2, Window: 10 * time.Second, Allowance: 50}, 1, time.Now())
	fleet := router.NewFleet(limitsReader{}, runners, tracker.New("east", 1), budget, versioner.New(versioner.Settings{Lag: time.Second}), steps, metrics, log)
	s := &platformServer{fleet: fleet}
	s.Server = platform.NewServer(http.HandlerFunc(answer), router.New(fleet, runners, metrics, log), 1<<14, headerTimeout, platform.Bounds{})
	return s
}

func (s *platformServer) setIdleTimeout(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.fleet.Take(keeper.Entry{Key: "limits", Value: []byte(d.String()), Version: keeper.Version(s.revision)})
}

// limitsReader reads entries whose value is an idle timeout as configurations.
type limitsReader struct{}

// Read implements router.Reader.
func (limitsReader) Read(entry keeper.Entry) (router.Document, error) {
	idle, err := time.ParseDuration(string(entry.Value))
	c := &router.Configuration{Revision: identifier.Revision(entry.Version), Limits: router.Limits{IdleTimeout: idle}}
	return router.Configured{Configuration: c}, err
}

// ownServer is the server of figtrack's own interface.
type ownServer struct{ *listener.Listener }

func newOwnServer() server {
	cfg := parser.Callers{HeaderTimeout: headerTimeout, WriteTimeout: time.Hour, RequestTimeout: time.Hour, MaxHeaderBytes: 1 << 14, MaxRequests: 4}
	return ownServer{listener.New(cfg, nil, nil, http.HandlerFunc(answer), nil, http.NotFoundHandler(), nil, zerolog.Nop())}
}

func (s ownServer) Drain() { s.RefuseNew() }

func (ownServer) setIdleTimeout(time.Duration) {}

// answer reads the body of a request and answers after the time that it asks for.
func answer(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		http.Error(w, "the body isn't whole", http.StatusBadRequest)
		return
	}
	ms, _ := strconv.Atoi(r.Header.Get(headerWork))
	time.Sleep(time.Duration(ms) * time.Millisecond)
	_, _ = io.WriteString(w, "done")
}

// plan is the life of some connections, and what happens beside them.
type plan struct {
	Callers []callerPlan
	// Acts happen at times from the begin on.
	Acts []timedAct
}

type timedAct struct {
	After time.Duration
	Act   act
}

// act is what changes the server. The set is sealed.
type act interface{ apply(s server, r *run) }

type (
	drain          struct{}
	stop           struct{}
	setIdleTimeout struct{ d time.Duration }
)

func (drain) apply(s server, r *run) {
	r.endAt(&r.drainedAt)
	s.Drain()
}

func (stop) apply(s server, r *run) {
	r.endAt(&r.stoppedAt)
	s.StopReading()
	if r.checkExit(s) {
		return
	}
	r.duties.Go(func() {
		for range time.Minute / exitPollInterval {
			time.Sleep(exitPollInterval)
			if r.checkExit(s) {
				return
			}
		}
	})
}

func (a setIdleTimeout) apply(s server, r *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.setIdleTimeout(a.d)
	r.timeouts = append(r.timeouts, timeoutSince{time.Now(), a.d})
}

// callerPlan is what one caller does on its connection.
type callerPlan struct {
	Requests []requestPlan
	// Without is the number of bytes that are left out of the last request.
	Without int
	// Ending is what the caller does after its last byte.
	Ending ending
	// Pauses hold the server's goroutine at points of its operations; Acts happen there.
	Pauses map[point]time.Duration
	Acts   map[point]act
}

type ending int

const (
	staysOpen ending = iota
	endsSending
	leaves
	endings
)

type requestPlan struct {
	Kind requestKind
	Work time.Duration
	// Pause is the time before its first byte, since the answer to the one before it or, if
	// IsEarly, since that one's last byte.
	Pause   time.Duration
	IsEarly bool
	// Cuts are the pieces in which it is sent, as lengths; what is left comes last.
	Cuts []cut
}

type cut struct {
	Length int
	Pause  time.Duration
}

type requestKind int

const (
	withoutBody requestKind = iota
	withLength
	inChunks
	requestKinds
)

func (q requestPlan) text() string {
	head := fmt.Sprintf("POST /x HTTP/1.1\r\nHost: a\r\n%s: %d\r\n", headerWork, q.Work.Milliseconds())
	switch q.Kind {
	case withLength:
		return head + "Content-Length: 8\r\n\r\nlong body"[:len("Content-Length: 8\r\n\r\n")+8]
	case inChunks:
		return head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
	default:
		return head + "\r\n"
	}
}

// run is a plan that is played.
type run struct {
	conns  []*played
	duties sync.WaitGroup

	mu                   sync.Mutex
	drainedAt, stoppedAt time.Time
	timeouts             []timeoutSince
	faults               []string
	hasExited            bool
}

type timeoutSince struct {
	at time.Time
	d  time.Duration
}

// played is a connection of a run.
type played struct {
	*memoryConn
	plan callerPlan
	// ends holds where each request ends in the bytes sent, heads where its header does.
	ends, heads []int
	opened      time.Time
	// gone is when the caller closed its sending side, zero if it hasn't.
	gone time.Time
}

func (r *run) endAt(at *time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.IsZero() {
		*at = time.Now()
	}
}

func (r *run) fail(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = append(r.faults, fmt.Sprintf(format, args...))
}

// checkExit checks that a server that has stopped and is idle owes no answer, as its process
// would exit now. It returns false while work is left.
func (r *run) checkExit(s server) bool {
	r.mu.Lock()
	isFirst := !r.hasExited && s.Busy() == 0
	r.hasExited = r.hasExited || isFirst
	hasExited := r.hasExited
	r.mu.Unlock()
	if !isFirst {
		return hasExited
	}
	for i, c := range r.conns {
		if reason := c.owed(); reason != "" {
			r.fail("conn %d at the exit: %s", i, reason)
		}
	}
	return true
}

// checkStatuses checks that no request is refused as malformed whose header was sent in time
// and whose body was sent to its end.
func (c *played) checkStatuses() error {
	reader := bufio.NewReader(bytes.NewReader(c.received))
	for i, end := range c.ends {
		w, err := http.ReadResponse(reader, nil)
		if err != nil {
			return nil
		}
		_, _ = io.Copy(io.Discard, w.Body)
		begin := 0
		if i > 0 {
			begin = c.ends[i-1]
		}
		isWhole := len(c.sentAt) >= end && c.sentAt[c.heads[i]-1].Sub(c.sentAt[begin]) < headerTimeout
		if isWhole && w.StatusCode != http.StatusOK && w.StatusCode != http.StatusServiceUnavailable {
			return errors.Errorf("status %d of request %d", w.StatusCode, i)
		}
	}
	return nil
}

// answers returns the whole answers that were received and whether the last of them ends
// the connection.
func (c *played) answers() (n int, isLast bool) {
	reader := bufio.NewReader(bytes.NewReader(c.received))
	for {
		w, err := http.ReadResponse(reader, nil)
		if err != nil {
			return n, isLast
		}
		if _, err := io.Copy(io.Discard, w.Body); err != nil {
			return n, isLast
		}
		n, isLast = n+1, isLast || w.Close
	}
}

// owed returns what is unanswered of the bytes that were read; empty for nothing.
func (c *played) owed() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, isLast := c.answers()
	if isLast || c.hasEnded {
		return ""
	}
	begin := 0
	if n > 0 {
		begin = c.ends[n-1]
	}
	read := len(c.takenAt)
	if isCut := !c.closedAt.IsZero() && read > begin && read < c.heads[n]; isCut && c.closedAt.Sub(c.takenAt[begin]) >= headerTimeout {
		return ""
	}
	if read > begin {
		return fmt.Sprintf("%d bytes read of request %d (header %d, whole %d)", read-begin, n, c.heads[n]-begin, c.ends[n]-begin)
	}
	return ""
}

// play plays a plan and returns what didn't hold.
func play(t *testing.T, k kind, p plan) (faults []string) {
	synctest.Test(t, func(*testing.T) {
		r := &run{}
		s := k.new()
		setIdleTimeout{k.idleTimeout}.apply(s, r)
		l := newMemoryListener()
		r.duties.Go(func() { _ = s.Serve(l) })
		for _, one := range p.Callers {
			c := &played{plan: one, opened: time.Now()}
			c.memoryConn = newMemoryConn(func(at point) {
				if a := one.Acts[at]; a != nil {
					a.apply(s, r)
				}
				time.Sleep(one.Pauses[at])
			})
			end := 0
			for _, q := range one.Requests {
				text := q.text()
				c.heads = append(c.heads, end+strings.Index(text, "\r\n\r\n")+4)
				end += len(text)
				c.ends = append(c.ends, end)
			}
			r.conns = append(r.conns, c)
		}
		for _, a := range p.Acts {
			r.duties.Go(func() {
				time.Sleep(a.After)
				a.Act.apply(s, r)
			})
		}
		var callers sync.WaitGroup
		for _, c := range r.conns {
			l.conns <- c.memoryConn
			callers.Go(c.call)
		}
		callers.Wait()
		const later = 20 * fixedIdleTimeout // Longer than all work and timeouts of a plan.
		time.Sleep(later)
		synctest.Wait()
		r.checkClosed("long after the last byte")
		if r.shortestAt(time.Now()) < later {
			r.checkEnded("long after the last byte")
		}
		if r.drainedAt.IsZero() {
			drain{}.apply(s, r)
			time.Sleep(later)
			synctest.Wait()
		}
		r.checkClosed("long after the drain")
		r.checkEnded("long after the drain")
		for _, c := range r.conns {
			c.leave()
		}
		time.Sleep(time.Minute)
		synctest.Wait()
		if n := s.Busy(); n != 0 {
			r.fail("%d busy at the end", n)
		}
		for i, c := range r.conns {
			if c.closedAt.IsZero() {
				r.fail("conn %d is open at the end", i)
			}
		}
		if r.stoppedAt.IsZero() {
			s.StopReading()
		}
		s.Close()
		r.duties.Wait()
		faults = r.faults
	})
	return faults
}

// call plays the caller.
func (c *played) call() {
	for i, q := range c.plan.Requests {
		if i > 0 && !q.IsEarly {
			c.await(func() bool {
				n, _ := c.answers()
				return n >= i
			})
		}
		time.Sleep(q.Pause)
		text := q.text()
		if i == len(c.plan.Requests)-1 {
			text = text[:max(0, len(text)-c.plan.Without)]
		}
		for _, one := range q.Cuts {
			k := min(one.Length, len(text))
			if k > 0 {
				c.send([]byte(text[:k]))
				text = text[k:]
				time.Sleep(one.Pause)
			}
		}
		if len(text) > 0 {
			c.send([]byte(text))
		}
	}
	switch c.plan.Ending {
	case endsSending:
		c.closeWrite()
	case leaves:
		c.leave()
	}
}

// shortestAt returns the idle timeout in force at a time, the shortest of those that were in
// force at that instant, and a day for none.
func (r *run) shortestAt(at time.Time) time.Duration {
	const none = 24 * time.Hour
	shortest := time.Duration(none)
	for i, one := range r.timeouts {
		if one.at.After(at) {
			break
		}
		d := one.d
		if d == 0 {
			d = none
		}
		if i+1 < len(r.timeouts) && r.timeouts[i+1].at.Before(at) {
			continue
		}
		shortest = min(shortest, d)
	}
	return shortest
}

// checkClosed checks what was closed so far.
func (r *run) checkClosed(when string) {
	for i, c := range r.conns {
		if err := r.check(c); err != nil {
			r.fail("conn %d, %s: %v", i, when, err)
		}
	}
}

func (r *run) check(c *played) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.checkStatuses(); err != nil {
		return err
	}
	n, isLast := c.answers()
	if isLast || c.hasLeft {
		return nil
	}
	begin := 0
	if n > 0 {
		begin = c.ends[n-1]
	}
	read := len(c.takenAt)
	isClosed := !c.closedAt.IsZero()
	switch {
	case n < len(c.ends) && read >= c.ends[n]:
		return errors.Errorf("request %d was read and has no whole answer", n)
	case !isClosed || c.hasEnded:
		return nil
	case len(c.waiting) > 0 && c.sentAt[read].Before(c.closedAt) && (r.stoppedAt.IsZero() || c.closedAt.Before(r.stoppedAt)):
		return errors.Errorf("closed with %d bytes unread that came %v before", len(c.waiting), c.closedAt.Sub(c.sentAt[read]))
	case read > begin:
		if read >= c.heads[n] {
			return errors.Errorf("closed within the body of request %d", n)
		}
		if took := c.closedAt.Sub(c.takenAt[begin]); took < headerTimeout {
			return errors.Errorf("closed %v after the first byte of request %d", took, n)
		}
	default:
		return r.checkIdle(c, n)
	}
	return nil
}

// checkIdle checks when a connection was closed on which no byte of a request was read after
// its nth answer.
func (r *run) checkIdle(c *played, n int) error {
	since, limit := c.receivedAt, r.shortestAt(c.closedAt)
	if n == 0 {
		since, limit = c.opened, headerTimeout
	}
	var held time.Duration
	for _, d := range c.plan.Pauses {
		held += d
	}
	for _, end := range []time.Time{r.drainedAt, r.stoppedAt} {
		if end.IsZero() || c.closedAt.Before(end) {
			continue
		}
		if late := min(c.closedAt.Sub(end), c.closedAt.Sub(since)); n > 0 && late > held {
			return errors.Errorf("closed %v after the drain or the stop, or the answer to request %d", late, n-1)
		}
		return nil
	}
	switch idle := c.closedAt.Sub(since); {
	case idle < limit:
		return errors.Errorf("closed %v after answer %d, the timeout is %v", idle, n, limit)
	case len(r.timeouts) == 1 && idle > limit+held:
		return errors.Errorf("closed only %v after answer %d, the timeout is %v", idle, n, limit)
	}
	return nil
}

// checkEnded checks that only those connections are open whose body hasn't come.
func (r *run) checkEnded(when string) {
	for i, c := range r.conns {
		c.mu.Lock()
		n, _ := c.answers()
		isInBody := n < len(c.ends) && len(c.takenAt) >= c.heads[n] && len(c.takenAt) < c.ends[n]
		if c.closedAt.IsZero() && !isInBody {
			r.faults = append(r.faults, fmt.Sprintf("conn %d is open %s: %d bytes read, %d answers", i, when, len(c.takenAt), n))
		}
		c.mu.Unlock()
	}
}

// shapes are second requests as they come in.
func shapes() map[string]requestPlan {
	return map[string]requestPlan{
		"whole":        {Kind: withLength},
		"first byte":   {Kind: withLength, Cuts: []cut{{1, 4 * time.Millisecond}}},
		"four bytes":   {Kind: withoutBody, Cuts: []cut{{4, 4 * time.Millisecond}}},
		"header parts": {Kind: inChunks, Cuts: []cut{{20, 4 * time.Millisecond}, {10, 4 * time.Millisecond}}},
		"body parts":   {Kind: withLength, Cuts: []cut{{len(requestPlan{Kind: withLength}.text()) - 3, 4 * time.Millisecond}}},
		"early":        {Kind: withLength, IsEarly: true},
		"early byte":   {Kind: withLength, IsEarly: true, Cuts: []cut{{1, 40 * time.Millisecond}}},
		"early header": {Kind: inChunks, IsEarly: true, Cuts: []cut{{30, 40 * time.Millisecond}}},
	}
}

// TestEachRequestThatWasReadIsAnswered plays each act at each point of the operations of a
// connection that carries two requests, the second of which comes at the idle timeout or at
// once, in each shape.
func TestEachRequestThatWasReadIsAnswered(t *testing.T) {
	for name, k := range kinds {
		t.Run(name, func(t *testing.T) {
			n := 0
			for shape, second := range shapes() {
				for _, second.Pause = range []time.Duration{time.Millisecond, k.idleTimeout - time.Millisecond, k.idleTimeout, k.idleTimeout + time.Millisecond} {
					if !second.IsEarly || second.Pause == time.Millisecond {
						n += k.playAtEachPoint(t, shape, second)
					}
				}
			}
			t.Logf("%d plans", n)
		})
	}
}

// playAtEachPoint returns the number of plans.
func (k kind) playAtEachPoint(t *testing.T, shape string, second requestPlan) (plans int) {
	for kind := range pointKinds {
		for n := range 6 {
			for _, held := range []time.Duration{0, 2 * time.Millisecond, frozen} {
				for _, a := range append(k.acts(), nil) {
					plans++
					at := point{kind, n}
					faults := play(t, k, plan{Callers: []callerPlan{{
						Requests: []requestPlan{{Kind: withLength, Work: 20 * time.Millisecond}, second},
						Pauses:   map[point]time.Duration{at: held},
						Acts:     map[point]act{at: a},
					}}})
					if len(faults) > 0 {
						t.Errorf("%s after %v, held %v and %T%+v at %+v: %s", shape, second.Pause, held, a, a, at, strings.Join(faults, "; "))
					}
				}
			}
		}
	}
	return plans
}

func (k kind) acts() []act {
	if k.isFixed {
		return []act{drain{}, stop{}}
	}
	return []act{drain{}, stop{}, setIdleTimeout{k.idleTimeout / 2}, setIdleTimeout{k.idleTimeout}, setIdleTimeout{2 * k.idleTimeout}, setIdleTimeout{0}}
}

// TestIdleTimeoutHoldsForConnectionsThatHadNone sets an idle timeout after a time without
// one.
func TestIdleTimeoutHoldsForConnectionsThatHadNone(t *testing.T) {
	k := kinds["platform"]
	faults := play(t, k, plan{
		Callers: []callerPlan{{Requests: []requestPlan{{Kind: withLength}}}},
		Acts:    []timedAct{{0, setIdleTimeout{0}}, {time.Minute, setIdleTimeout{k.idleTimeout}}},
	})
	if len(faults) > 0 {
		t.Error(strings.Join(faults, "; "))
	}
}

// pauses returns times at which something else is due, and those beside them.
func (k kind) pauses() []time.Duration {
	return []time.Duration{
		0, time.Millisecond, 2 * time.Millisecond, 20 * time.Millisecond, 21 * time.Millisecond,
		k.idleTimeout / 2, k.idleTimeout - time.Millisecond, k.idleTimeout, k.idleTimeout + time.Millisecond,
		2 * k.idleTimeout, headerTimeout - time.Millisecond, headerTimeout, headerTimeout + time.Millisecond,
	}
}

func (k kind) drawPlan(t *rapid.T) plan {
	pause, short, acts := rapid.SampledFrom(k.pauses()), rapid.SampledFrom(k.pauses()[:5]), rapid.SampledFrom(k.acts())
	points := rapid.Custom(func(t *rapid.T) point {
		return point{pointKind(rapid.IntRange(0, int(pointKinds)-1).Draw(t, "kind")), rapid.IntRange(0, 9).Draw(t, "n")}
	})
	cuts := rapid.Custom(func(t *rapid.T) cut { return cut{rapid.IntRange(1, 40).Draw(t, "length"), pause.Draw(t, "pause")} })
	requests := rapid.Custom(func(t *rapid.T) requestPlan {
		return requestPlan{
			Kind:    requestKind(rapid.IntRange(0, int(requestKinds)-1).Draw(t, "kind")),
			Work:    pause.Draw(t, "work"),
			Pause:   pause.Draw(t, "pause"),
			IsEarly: rapid.IntRange(0, 3).Draw(t, "early") == 0,
			Cuts:    rapid.SliceOfN(cuts, 0, 3).Draw(t, "cuts"),
		}
	})
	callers := rapid.Custom(func(t *rapid.T) callerPlan {
		c := callerPlan{
			Requests: rapid.SliceOfN(requests, 1, 4).Draw(t, "requests"),
			Pauses:   rapid.MapOfN(points, short, 0, 6).Draw(t, "pauses"),
			Acts:     rapid.MapOfN(points, acts, 0, 2).Draw(t, "acts"),
			Ending:   ending(max(0, rapid.IntRange(-2, int(endings)-1).Draw(t, "ending"))),
		}
		if rapid.IntRange(0, 3).Draw(t, "stops") == 0 {
			c.Without = rapid.IntRange(1, 80).Draw(t, "without")
		}
		return c
	})
	timed := rapid.Custom(func(t *rapid.T) timedAct { return timedAct{pause.Draw(t, "after"), acts.Draw(t, "act")} })
	return plan{rapid.SliceOfN(callers, 1, 3).Draw(t, "callers"), rapid.SliceOfN(timed, 0, 3).Draw(t, "acts")}
}

// TestEachRequestThatWasReadIsAnsweredInAnyOrder plays drawn plans.
func TestEachRequestThatWasReadIsAnsweredInAnyOrder(t *testing.T) {
	for name, k := range kinds {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				if faults := play(t, k, k.drawPlan(rt)); len(faults) > 0 {
					rt.Fatal(strings.Join(faults, "; "))
				}
			})
		})
	}
}

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "2000")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
