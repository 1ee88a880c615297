package server_test

import (
	"bytes"
	"fmt"
	"regexp"
	"sync"
	"time"
)

// journal keeps the log lines of a session with their offsets from its start.
type journal struct {
	mu    sync.Mutex
	start time.Time
	lines bytes.Buffer
}

// begin drops the lines so far and starts the session.
func (j *journal) begin() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.start = time.Now()
	j.lines.Reset()
}

// Write takes one line of a log. It leaves out the lines on cancels that were
// given up: the times of their repeats are spread by an unseeded source.
func (j *journal) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte(`"NotReleased"`)) {
		return len(line), nil
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	fmt.Fprintf(&j.lines, "%9.3fms %s", float64(time.Since(j.start))/float64(time.Millisecond), line)
	return len(line), nil
}

func (j *journal) text() string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.lines.String()
}

var ids = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[0-9a-f]{4}-[0-9a-f]{12}`)

// named replaces the random ids of requests by their numbers.
func named(text string) string {
	numbers := make(map[string]string)
	return ids.ReplaceAllStringFunc(text, func(id string) string {
		if numbers[id] == "" {
			numbers[id] = fmt.Sprintf("ID-%d", len(numbers)+1)
		}
		return numbers[id]
	})
}
