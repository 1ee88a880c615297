// Package explainer keeps the decisions of the last requests and tells them in
// words.
package explainer

import (
	"encoding/json"
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/figtrack/figtrack/identifier"
)

const (
	// maxRequests is the most requests whose decisions are kept on one VM.
	maxRequests = 4096
	// maxLines is the most decisions that are kept of one request.
	maxLines = 24
	// maxLineBytes is the longest line that is kept.
	maxLineBytes = 4096
)

// Memory is an io.Writer for log lines. It keeps those that name a request.
type Memory struct {
	mu sync.Mutex
	// lines holds at most maxRequests requests with maxLines lines each.
	lines *lru.Cache[identifier.Request, []json.RawMessage]
}

// New returns an empty memory.
func New() *Memory {
	lines, err := lru.New[identifier.Request, []json.RawMessage](maxRequests)
	if err != nil {
		panic(err)
	}
	return &Memory{lines: lines}
}

type named struct{ Request identifier.Request }

// Write implements io.Writer. It never fails.
func (m *Memory) Write(line []byte) (int, error) {
	var one named
	if len(line) > maxLineBytes || json.Unmarshal(line, &one) != nil || one.Request == "" {
		return len(line), nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	lines, _ := m.lines.Get(one.Request)
	if len(lines) < maxLines {
		m.lines.Add(one.Request, append(lines, append(json.RawMessage(nil), line...)))
	}
	return len(line), nil
}

// Lines returns the kept lines of a request, oldest first.
func (m *Memory) Lines(r identifier.Request) []json.RawMessage {
	m.mu.Lock()
	defer m.mu.Unlock()
	lines, _ := m.lines.Peek(r)
	return append([]json.RawMessage(nil), lines...)
}
