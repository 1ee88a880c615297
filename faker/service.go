package faker

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/figtrack/figtrack/driver"
)

// EchoPrefix starts the response headers and trailers that repeat the ones
// of the request.
const EchoPrefix = "Echo-"

// ServiceFaults are the faults of a plain service, which last until they are
// replaced.
type ServiceFaults struct {
	// Delay passes between the run and the answer.
	Delay time.Duration
	// DieAfterRun breaks the connection after the run.
	DieAfterRun bool
	// Leaving refuses new work with the status 503.
	Leaving bool
}

// Service is a stand-in of a plain service. It echoes each request and counts
// its runs.
type Service struct {
	*endpoint
	mu     sync.Mutex
	faults ServiceFaults
	byKey  map[string]int
	byPath map[string]int
}

// NewService starts a service.
func NewService(listen Listen) (*Service, error) {
	s := &Service{byKey: make(map[string]int), byPath: make(map[string]int)}
	var err error
	s.endpoint, err = newEndpoint(listen, http.HandlerFunc(s.echo))
	return s, err
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(faults ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Runs counts the runs of an Idempotency-Key.
func (s *Service) Runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byKey[key]
}

// RunsOf counts the runs of a path.
func (s *Service) RunsOf(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byPath[path]
}

// run counts a run unless the service is leaving.
func (s *Service) run(r *http.Request) ServiceFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.faults.Leaving {
		s.byPath[r.URL.Path]++
		s.byKey[r.Header.Get("Idempotency-Key")]++
	}
	return s.faults
}

func (s *Service) echo(w http.ResponseWriter, r *http.Request) {
	faults := s.run(r)
	if faults.Leaving {
		answer(w, http.StatusServiceUnavailable, driver.Refusal{Kind: driver.KindLeaving, Reason: "no new work is taken"})
		return
	}
	time.Sleep(faults.Delay)
	if faults.DieAfterRun {
		panic(http.ErrAbortHandler)
	}
	echoHeaders(w, r)
	// An error means that the client is gone.
	_ = http.NewResponseController(w).EnableFullDuplex()
	_, _ = io.Copy(flushWriter{w}, r.Body)
	for name, values := range r.Trailer {
		w.Header()[http.TrailerPrefix+EchoPrefix+name] = values
	}
}

func echoHeaders(w http.ResponseWriter, r *http.Request) {
	for name, values := range r.Header {
		w.Header()[EchoPrefix+name] = values
	}
	w.Header().Set(EchoPrefix+"Method", r.Method)
	w.Header().Set(EchoPrefix+"Path", r.URL.Path)
	w.Header().Set(EchoPrefix+"Query", r.URL.RawQuery)
	if kind := r.Header.Get("Content-Type"); kind != "" && !strings.Contains(kind, "\n") {
		w.Header().Set("Content-Type", kind)
	}
}

// flushWriter sends each part of a body on at once.
type flushWriter struct{ http.ResponseWriter }

func (w flushWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	if err != nil {
		return n, err
	}
	return n, http.NewResponseController(w.ResponseWriter).Flush()
}
