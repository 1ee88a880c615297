package server_test

import (
	"bytes"
	"fmt"
	"regexp"
	"sync"
	"time"
)

// sessionLog records the log lines of a session, each with the time since the
// session's start.
type sessionLog struct {
	mu    sync.Mutex
	start time.Time
	lines bytes.Buffer
}

// reset discards all recorded lines and starts the session.
func (j *sessionLog) reset() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.start = time.Now()
	j.lines.Reset()
}

// Write records a log line. It skips lines with the message NotReleased, about
// abandoned releases: the jitter of their retries comes from an unseeded source.
func (j *sessionLog) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte(`"NotReleased"`)) {
		return len(line), nil
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	fmt.Fprintf(&j.lines, "%9.3fms %s", float64(time.Since(j.start))/float64(time.Millisecond), line)
	return len(line), nil
}

func (j *sessionLog) text() string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.lines.String()
}

var requestIDPattern = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[0-9a-f]{4}-[0-9a-f]{12}`)

// replaceRequestIDs replaces random request IDs with numbered placeholders.
func replaceRequestIDs(text string) string {
	numbers := make(map[string]string)
	return requestIDPattern.ReplaceAllStringFunc(text, func(id string) string {
		if numbers[id] == "" {
			numbers[id] = fmt.Sprintf("ID-%d", len(numbers)+1)
		}
		return numbers[id]
	})
}
