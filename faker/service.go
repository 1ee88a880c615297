package faker

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/figtrack/figtrack/driver"
)

// EchoPrefix is the prefix of the response headers and trailers that repeat those
// of the request.
const EchoPrefix = "Echo-"

// ServiceFaults are the faults of a plain service. They last until they are
// replaced.
type ServiceFaults struct {
	// Delay is the time between the run of a request and its reply.
	Delay time.Duration
	// DieAfterRun closes the connection after the run, without a reply.
	DieAfterRun bool
	// CrashOn is the path of requests on which the service crashes: it closes all
	// connections and refuses others until Restart; empty for none.
	CrashOn string
	// Leaving makes the service refuse new work with the status 503.
	Leaving bool
}

// Service is a fake plain service. It echoes each request and counts the runs.
type Service struct {
	*endpoint
	mu     sync.Mutex
	faults ServiceFaults
	// runsByKey counts the runs of each Idempotency-Key, runsByPath of each
	// path.
	runsByKey  map[string]int
	runsByPath map[string]int
}

// NewService starts a service.
func NewService(listen Listen) (*Service, error) {
	s := &Service{runsByKey: make(map[string]int), runsByPath: make(map[string]int)}
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

// Restart starts a service that has crashed at its former address.
func (s *Service) Restart() error { return s.start() }

// RunsWithKey returns the number of runs with an Idempotency-Key.
func (s *Service) RunsWithKey(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runsByKey[key]
}

// RunsOfPath returns the number of runs of a path.
func (s *Service) RunsOfPath(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runsByPath[path]
}

// countRun counts a run unless the service is leaving, and returns the faults.
func (s *Service) countRun(r *http.Request) ServiceFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.faults.Leaving {
		s.runsByPath[r.URL.Path]++
		s.runsByKey[r.Header.Get("Idempotency-Key")]++
	}
	return s.faults
}

func (s *Service) echo(w http.ResponseWriter, r *http.Request) {
	faults := s.countRun(r)
	if faults.Leaving {
		writeJSON(w, http.StatusServiceUnavailable, driver.Refusal{Kind: driver.KindLeaving, Reason: "no new work is taken"})
		return
	}
	time.Sleep(faults.Delay)
	if faults.CrashOn != "" && r.URL.Path == faults.CrashOn {
		s.Close()
	}
	if faults.DieAfterRun {
		panic(http.ErrAbortHandler)
	}
	echoHeaders(w, r)
	// These fail only if the client has disconnected.
	_ = http.NewResponseController(w).EnableFullDuplex()
	_, _ = io.Copy(flushWriter{w}, r.Body)
	for name, values := range r.Trailer {
		w.Header()[http.TrailerPrefix+EchoPrefix+name] = values
	}
}

// echoHeaders repeats the request's headers, method, path and query in the headers
// of the response.
func echoHeaders(w http.ResponseWriter, r *http.Request) {
	for name, values := range r.Header {
		w.Header()[EchoPrefix+name] = values
	}
	w.Header().Set(EchoPrefix+"Method", r.Method)
	w.Header().Set(EchoPrefix+"Path", r.URL.Path)
	w.Header().Set(EchoPrefix+"Query", r.URL.RawQuery)
	if contentType := r.Header.Get("Content-Type"); contentType != "" && !strings.Contains(contentType, "\n") {
		w.Header().Set("Content-Type", contentType)
	}
}

// flushWriter flushes after each write.
type flushWriter struct{ http.ResponseWriter }

func (w flushWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	if err != nil {
		return n, err
	}
	return n, http.NewResponseController(w.ResponseWriter).Flush()
}
