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

// pathExport is the path at which a decode engine requests a prefill result.
const pathExport = "/Export"

// EngineServer serves a fake engine over HTTP in real time. Its methods are safe
// for concurrent use.
type EngineServer struct {
	*endpoint
	cfg    EngineSettings
	client *http.Client
	mu     sync.Mutex
	// process is nil while the engine is killed.
	process     *engineProcess
	incarnation identifier.Incarnation
	leaving     bool
	// crashSubstring is contained in the prompts that crash the engine; empty if
	// none do.
	crashSubstring string
	// thawed is closed to end a freeze; nil if the engine is not frozen.
	thawed chan struct{}
}

// NewEngineServer starts an engine. It imports KV caches through the client.
func NewEngineServer(cfg EngineSettings, listen Listen, client *http.Client) (*EngineServer, error) {
	s := &EngineServer{cfg: cfg, client: client}
	s.startProcess()
	mux := http.NewServeMux()
	mux.HandleFunc(driver.PathLoad, callHandler(s, (*engineProcess).load, writeReply))
	mux.HandleFunc(driver.PathCacheEvents, callHandler(s, (*engineProcess).cacheEvents, writeReply))
	mux.HandleFunc(driver.PathHolds, callHandler(s, (*engineProcess).holds, writeReply))
	mux.HandleFunc(driver.PathOrder, callHandler(s, (*engineProcess).order, writeReply))
	mux.HandleFunc(driver.PathRelease, callHandler(s, (*engineProcess).release, writeReply))
	mux.HandleFunc(pathExport, callHandler(s, (*engineProcess).export, writeReply))
	mux.HandleFunc(driver.PathPrefill, callHandler(s, (*engineProcess).prefill, (*engineProcess).writeResult))
	mux.HandleFunc(driver.PathImport, callHandler(s, (*engineProcess).importKV, (*engineProcess).writeResult))
	mux.HandleFunc(driver.PathDecode, callHandler(s, (*engineProcess).decode, (*engineProcess).writeTokens))
	mux.HandleFunc(driver.PathResume, callHandler(s, (*engineProcess).resume, (*engineProcess).writeTokens))
	var err error
	s.endpoint, err = newEndpoint(listen, mux)
	return s, err
}

// startProcess starts the next incarnation, with empty state.
func (s *EngineServer) startProcess() {
	s.incarnation++
	rng := rand.New(rand.NewPCG(uint64(s.incarnation), 0))
	s.process = newEngineProcess(s, NewEngine(s.cfg, rng))
}

// Kill closes all connections and loses the engine's state, as if its process was
// killed.
func (s *EngineServer) Kill() { s.killProcess(s.currentProcess()) }

// killProcess ends a process of the engine if it is the current one.
func (s *EngineServer) killProcess(process *engineProcess) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if process == nil || s.process != process {
		return
	}
	process.cancel()
	s.process, s.thawed = nil, nil
	s.Close()
}

// Restart starts a killed engine on the same address with the next incarnation.
func (s *EngineServer) Restart() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.process == nil {
		s.startProcess()
	}
	return s.start()
}

// Freeze suspends the engine until Thaw. Its connections stay open, as with a
// suspended process.
func (s *EngineServer) Freeze() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.thawed != nil || s.process == nil {
		return
	}
	thaw, ended := make(chan struct{}), s.process.ctx.Done()
	s.thawed = thaw
	go s.process.enqueue(func() {
		select {
		case <-thaw:
		case <-ended:
		}
	})
}

// Thaw resumes a frozen engine.
func (s *EngineServer) Thaw() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.thawed != nil {
		close(s.thawed)
	}
	s.thawed = nil
}

// StallTransfers stops the engine's imports for d.
func (s *EngineServer) StallTransfers(d time.Duration) {
	if l := s.currentProcess(); l != nil {
		l.enqueue(func() { l.step(StallLink{Until: time.Now().Add(d)}) })
	}
}

// CrashOn makes the engine crash when it ends the prefill of a prompt that
// contains part, or generates a token for one. An empty part ends this.
func (s *EngineServer) CrashOn(part string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashSubstring = part
}

// SetLeaving makes the engine refuse new work, or accept it again if leaving is
// false.
func (s *EngineServer) SetLeaving(leaving bool) {
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
	return s.crashSubstring != "" && strings.Contains(prompt, s.crashSubstring)
}

// currentProcess returns the running process, or nil if the engine is killed.
func (s *EngineServer) currentProcess() *engineProcess {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.process
}

// callHandler returns a handler that runs call on the engine's goroutine. It
// replies with the refusal if there is one and otherwise runs then with the result.
// If the engine is killed meanwhile, the handler closes the connection.
func callHandler[Q, A any](s *EngineServer, call func(*engineProcess, Q) (A, *driver.Refusal), then func(*engineProcess, http.ResponseWriter, *http.Request, A)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var query Q
		process := s.currentProcess()
		if err := json.NewDecoder(r.Body).Decode(&query); err != nil || process == nil {
			panic(http.ErrAbortHandler)
		}
		if call := r.Header.Get(driver.CallHeader); call != "" {
			w.Header().Set(driver.CallHeader, call)
		}
		var refusal *driver.Refusal
		result, ok := runOn(r.Context(), process, func() (result A) {
			result, refusal = call(process, query)
			return result
		})
		if !ok {
			panic(http.ErrAbortHandler)
		}
		if refusal != nil {
			writeJSON(w, http.StatusConflict, refusal)
			return
		}
		then(process, w, r, result)
	}
}

// writeReply writes the result of a call as the reply.
func writeReply[A any](_ *engineProcess, w http.ResponseWriter, _ *http.Request, result A) {
	writeJSON(w, http.StatusOK, result)
}
