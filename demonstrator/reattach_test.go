package demonstrator

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/figtrack/figtrack/listener"
)

// logBuffer collects the log of a fleet.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (j *logBuffer) Write(p []byte) (int, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.text.Write(p)
}

func (j *logBuffer) count(part string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return strings.Count(j.text.String(), part)
}

// TestRepeatedKeyOnAnotherVMReattaches closes the connection in mid-stream and sends
// the same key to another VM. The whole answer must come from the running stream,
// without a second placement.
func TestRepeatedKeyOnAnotherVMReattaches(t *testing.T) {
	g := NewWithT(t)
	var log logBuffer
	f, err := Start(looseTargetShape(), &log)
	g.Expect(err).NotTo(HaveOccurred())
	defer f.Close()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	client := &http.Client{}
	a := callerRequest{class: specReading, workspace: "franchise", prompt: question(newRand(9)), maxOutput: 200, key: "load-note-7"}

	first, hangUp := context.WithCancel(ctx)
	body, err := json.Marshal(completionBody{Model: model, Prompt: a.prompt, MaxTokens: a.maxOutput, Stream: true})
	g.Expect(err).NotTo(HaveOccurred())
	r, err := http.NewRequestWithContext(first, http.MethodPost, "http://"+f.Addresses[0]+"/v1/completions", bytes.NewReader(body))
	g.Expect(err).NotTo(HaveOccurred())
	r.Header.Set(listener.HeaderClass, string(a.class))
	r.Header.Set(listener.HeaderWorkspace, a.workspace)
	r.Header.Set(listener.HeaderKey, a.key)
	answer, err := client.Do(r)
	g.Expect(err).NotTo(HaveOccurred())
	lines := bufio.NewScanner(answer.Body)
	for range 20 {
		g.Expect(lines.Scan()).To(BeTrue())
	}
	hangUp()
	answer.Body.Close()

	again := sendCompletion(ctx, client, f.Addresses[1], a)
	g.Expect(again.problem).To(BeEmpty())
	g.Expect(again.status).To(Equal(http.StatusOK), again.reason)
	g.Expect(log.count(`"message":"Place"`)).To(Equal(1))
}
