// Package explainer keeps the log lines of recent requests and describes
// requests and the state of the fleet from the logs of VMs.
package explainer

import (
	"encoding/json"
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/figtrack/figtrack/identifier"
)

const (
	// maxRequests is the maximum number of requests whose lines a VM keeps.
	maxRequests = 4096
	// maxLinesPerRequest is the maximum number of lines kept for one request.
	maxLinesPerRequest = 24
	// maxLineBytes is the maximum size of a kept line; longer ones are skipped.
	maxLineBytes = 4096
)

// RequestLog is an io.Writer for JSON log lines that keeps those with a Request
// field. It is safe for concurrent use.
type RequestLog struct {
	mu sync.Mutex
	// lines holds at most maxRequests requests, each with at most
	// maxLinesPerRequest lines.
	lines *lru.Cache[identifier.Request, []json.RawMessage]
}

// New returns an empty RequestLog.
func New() *RequestLog {
	lines, err := lru.New[identifier.Request, []json.RawMessage](maxRequests)
	if err != nil {
		panic(err)
	}
	return &RequestLog{lines: lines}
}

type requestLine struct{ Request identifier.Request }

// Write implements io.Writer. It never fails.
func (m *RequestLog) Write(line []byte) (int, error) {
	var one requestLine
	if len(line) > maxLineBytes || json.Unmarshal(line, &one) != nil || one.Request == "" {
		return len(line), nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	lines, _ := m.lines.Get(one.Request)
	if len(lines) < maxLinesPerRequest {
		m.lines.Add(one.Request, append(lines, append(json.RawMessage(nil), line...)))
	}
	return len(line), nil
}

// Lines returns the kept lines of a request, oldest first.
func (m *RequestLog) Lines(r identifier.Request) []json.RawMessage {
	m.mu.Lock()
	defer m.mu.Unlock()
	lines, _ := m.lines.Peek(r)
	return append([]json.RawMessage(nil), lines...)
}
