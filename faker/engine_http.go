package faker

import (
	"context"
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
	mux.HandleFunc(driver.PathPrefill, serve(s, (*engineLife).prefill))
	mux.HandleFunc(driver.PathImport, serve(s, (*engineLife).importKV))
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
func (s *EngineServer) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.life != nil {
		s.life.end()
	}
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

// Freeze stops the engine as a paused process, with its connections open.
func (s *EngineServer) Freeze() {
	thaw := make(chan struct{})
	s.mu.Lock()
	life := s.life
	s.thaw = thaw
	s.mu.Unlock()
	if life == nil {
		return
	}
	life.calls <- func() {
		select {
		case <-thaw:
		case <-life.ctx.Done():
		}
	}
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
		l.do(context.Background(), func() { l.step(StallLink{Until: time.Now().Add(d)}) })
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

// serve makes a handler of one call. A call that the engine did not live to
// answer breaks its connection.
func serve[Q, A any](s *EngineServer, call func(*engineLife, context.Context, Q) (A, *driver.Refusal)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		life, query := receive[Q](s, r)
		reply, refusal := call(life, r.Context(), query)
		switch {
		case life.ctx.Err() != nil || r.Context().Err() != nil:
			panic(http.ErrAbortHandler)
		case refusal != nil:
			answer(w, http.StatusConflict, refusal)
		default:
			answer(w, http.StatusOK, reply)
		}
	}
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

func (s *EngineServer) decode(w http.ResponseWriter, r *http.Request) {
	life, order := receive[driver.DecodeOrder](s, r)
	if refusal := life.startDecode(r.Context(), order); refusal != nil {
		answer(w, http.StatusConflict, refusal)
		return
	}
	life.stream(w, r, order.Hold, 0)
}

func (s *EngineServer) resume(w http.ResponseWriter, r *http.Request) {
	life, query := receive[driver.HoldQuery](s, r)
	if _, refusal := life.await(r.Context(), query.Hold, (*engineJob).known); refusal != nil {
		answer(w, http.StatusConflict, refusal)
		return
	}
	life.stream(w, r, query.Hold, query.From)
}
