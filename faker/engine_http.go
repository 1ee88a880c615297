package faker

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/identifier"
)

// pathExport is the call between engines that hands over a prefill result.
const pathExport = "/Export"

// EngineServer serves a stand-in engine over HTTP in real time. Its faults
// may be switched from any goroutine.
type EngineServer struct {
	*endpoint
	cfg    EngineSettings
	client *http.Client
	mu     sync.Mutex
	// life is nil while the engine is killed.
	life        *engineLife
	incarnation identifier.Incarnation
	leaving     bool
	// crashOn is empty or part of the prompts that kill the engine.
	crashOn string
	thaw    chan struct{}
}

// NewEngineServer starts an engine. It pulls KV cache through the client.
func NewEngineServer(cfg EngineSettings, listen Listen, client *http.Client) (*EngineServer, error) {
	s := &EngineServer{cfg: cfg, client: client}
	s.begin()
	mux := http.NewServeMux()
	mux.HandleFunc(driver.PathLoad, serve(s, (*engineLife).load))
	mux.HandleFunc(driver.PathCacheEvents, serve(s, (*engineLife).cacheEvents))
	mux.HandleFunc(driver.PathHolds, serve(s, (*engineLife).holds))
	mux.HandleFunc(driver.PathOrder, serve(s, (*engineLife).order))
	mux.HandleFunc(driver.PathPrefill, s.prefill)
	mux.HandleFunc(driver.PathImport, s.importKV)
	mux.HandleFunc(driver.PathRelease, serve(s, (*engineLife).release))
	mux.HandleFunc(pathExport, serve(s, (*engineLife).export))
	mux.HandleFunc(driver.PathDecode, s.decode)
	mux.HandleFunc(driver.PathResume, s.resume)
	var err error
	s.endpoint, err = newEndpoint(listen, mux)
	return s, err
}

func (s *EngineServer) begin() {
	s.incarnation++
	rng := rand.New(rand.NewPCG(uint64(s.incarnation), 0))
	s.life = newEngineLife(s, NewEngine(s.cfg, rng))
}

// Kill breaks all connections and loses the memory.
func (s *EngineServer) Kill() { s.kill(s.current()) }

// kill ends a life unless it has ended before.
func (s *EngineServer) kill(life *engineLife) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if life == nil || s.life != life {
		return
	}
	life.end()
	s.life = nil
	s.Close()
}

// Restart starts a killed engine again on its address.
func (s *EngineServer) Restart() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.life == nil {
		s.begin()
	}
	return s.start()
}

// Freeze stops the engine as a paused process, with its connections open,
// until Thaw.
func (s *EngineServer) Freeze() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.thaw != nil || s.life == nil {
		return
	}
	thaw, ended := make(chan struct{}), s.life.ctx.Done()
	s.thaw = thaw
	go s.life.tell(func() {
		select {
		case <-thaw:
		case <-ended:
		}
	})
}

// Thaw lets a frozen engine go on.
func (s *EngineServer) Thaw() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.thaw != nil {
		close(s.thaw)
	}
	s.thaw = nil
}

// StallTransfers stops the engine's import link for a time.
func (s *EngineServer) StallTransfers(d time.Duration) {
	if l := s.current(); l != nil {
		l.tell(func() { l.step(StallLink{Until: time.Now().Add(d)}) })
	}
}

// CrashOn makes the engine die when it runs a prompt that contains part.
// Empty means none.
func (s *EngineServer) CrashOn(part string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashOn = part
}

// Leave makes the engine refuse new work, or take it again.
func (s *EngineServer) Leave(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

func (s *EngineServer) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

func (s *EngineServer) crashesOn(prompt string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashOn != "" && strings.Contains(prompt, s.crashOn)
}

func (s *EngineServer) current() *engineLife {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.life
}

// reply is the answer to a call that ran on the engine's goroutine.
type reply[A any] struct {
	answer  A
	refusal *driver.Refusal
}

// serve makes a handler of a call that is answered at once.
func serve[Q, A any](s *EngineServer, call func(*engineLife, Q) (A, *driver.Refusal)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		life, query := receive[Q](s, r)
		done, _ := do(r.Context(), life, func() (done reply[A]) {
			done.answer, done.refusal = call(life, query)
			return done
		})
		life.answer(w, r, done.answer, done.refusal)
	}
}

// begun runs the start of a longer call. It returns false if it was refused.
func begun[Q any](w http.ResponseWriter, r *http.Request, life *engineLife, query Q, start func(*engineLife, Q) *driver.Refusal) bool {
	refusal, ok := do(r.Context(), life, func() *driver.Refusal { return start(life, query) })
	if refusal != nil || !ok {
		life.answer(w, r, nil, refusal)
		return false
	}
	return true
}

// receive reads a request and returns the life that it reached.
func receive[Q any](s *EngineServer, r *http.Request) (*engineLife, Q) {
	var query Q
	life := s.current()
	if err := json.NewDecoder(r.Body).Decode(&query); err != nil || life == nil {
		panic(http.ErrAbortHandler)
	}
	return life, query
}

// answer breaks the connection of a call that the engine did not live to
// answer.
func (l *engineLife) answer(w http.ResponseWriter, r *http.Request, reply any, refusal *driver.Refusal) {
	if l.ctx.Err() != nil || r.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	if refusal != nil {
		answer(w, http.StatusConflict, refusal)
		return
	}
	answer(w, http.StatusOK, reply)
}

func (s *EngineServer) prefill(w http.ResponseWriter, r *http.Request) {
	life, order := receive[driver.PrefillOrder](s, r)
	if !begun(w, r, life, order, (*engineLife).prefill) {
		return
	}
	job, refusal := life.await(r.Context(), order.Hold, (*engineJob).isDone)
	result := driver.PrefillResult{Cached: job.cached, Took: job.took}
	life.answer(w, r, driver.PrefillReply{Hold: order.Hold, PrefillResult: result}, refusal)
}

func (s *EngineServer) importKV(w http.ResponseWriter, r *http.Request) {
	life, order := receive[driver.ImportOrder](s, r)
	if !begun(w, r, life, order, (*engineLife).importKV) {
		return
	}
	job, refusal := life.await(r.Context(), order.Hold, (*engineJob).isDone)
	result := driver.ImportResult{Took: job.took}
	life.answer(w, r, driver.ImportReply{Hold: order.Hold, ImportResult: result}, refusal)
}

func (s *EngineServer) decode(w http.ResponseWriter, r *http.Request) {
	life, order := receive[driver.DecodeOrder](s, r)
	if begun(w, r, life, order, (*engineLife).startDecode) {
		life.stream(w, r, order.Hold, 0)
	}
}

func (s *EngineServer) resume(w http.ResponseWriter, r *http.Request) {
	life, query := receive[driver.HoldQuery](s, r)
	if _, refusal := life.await(r.Context(), query.Hold, (*engineJob).known); refusal != nil {
		life.answer(w, r, nil, refusal)
		return
	}
	life.stream(w, r, query.Hold, query.From)
}
