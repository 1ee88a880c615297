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
	mux.HandleFunc(driver.PathLoad, serve(s, (*engineLife).load, reply))
	mux.HandleFunc(driver.PathCacheEvents, serve(s, (*engineLife).cacheEvents, reply))
	mux.HandleFunc(driver.PathHolds, serve(s, (*engineLife).holds, reply))
	mux.HandleFunc(driver.PathOrder, serve(s, (*engineLife).order, reply))
	mux.HandleFunc(driver.PathRelease, serve(s, (*engineLife).release, reply))
	mux.HandleFunc(pathExport, serve(s, (*engineLife).export, reply))
	mux.HandleFunc(driver.PathPrefill, serve(s, (*engineLife).prefill, (*engineLife).finish))
	mux.HandleFunc(driver.PathImport, serve(s, (*engineLife).importKV, (*engineLife).finish))
	mux.HandleFunc(driver.PathDecode, serve(s, (*engineLife).decode, (*engineLife).stream))
	mux.HandleFunc(driver.PathResume, serve(s, (*engineLife).resume, (*engineLife).stream))
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
	s.life, s.thaw = nil, nil
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

// serve makes a handler of a call that runs on the engine's goroutine, and of
// what follows it if it is not refused. Where the engine did not live to
// answer, the connection breaks.
func serve[Q, A any](s *EngineServer, call func(*engineLife, Q) (A, *driver.Refusal), then func(*engineLife, http.ResponseWriter, *http.Request, A)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var query Q
		life := s.current()
		if err := json.NewDecoder(r.Body).Decode(&query); err != nil || life == nil {
			panic(http.ErrAbortHandler)
		}
		var refusal *driver.Refusal
		result, ok := do(r.Context(), life, func() (result A) {
			result, refusal = call(life, query)
			return result
		})
		if !ok {
			panic(http.ErrAbortHandler)
		}
		if refusal != nil {
			answer(w, http.StatusConflict, refusal)
			return
		}
		then(life, w, r, result)
	}
}

func reply[A any](_ *engineLife, w http.ResponseWriter, _ *http.Request, result A) {
	answer(w, http.StatusOK, result)
}
