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

// journal keeps the log of a fleet.
type journal struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (j *journal) Write(p []byte) (int, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.text.Write(p)
}

func (j *journal) count(part string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return strings.Count(j.text.String(), part)
}

// TestACallerComesBackThroughAnotherVM hangs up in mid-stream and sends the
// same key elsewhere: the whole answer comes from the stream that runs.
func TestACallerComesBackThroughAnotherVM(t *testing.T) {
	g := NewWithT(t)
	var log journal
	f, err := Start(patient(), &log)
	g.Expect(err).NotTo(HaveOccurred())
	defer f.Close()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	client := &http.Client{}
	a := ask{class: specReading, workspace: "franchise", prompt: question(newSource(9)), maxOutput: 200, key: "load-note-7"}

	first, hangUp := context.WithCancel(ctx)
	body, err := json.Marshal(completionRequest{Model: model, Prompt: a.prompt, MaxTokens: a.maxOutput, Stream: true})
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

	again := complete(ctx, client, f.Addresses[1], a)
	g.Expect(again.wrong).To(BeEmpty())
	g.Expect(again.status).To(Equal(http.StatusOK), again.reason)
	g.Expect(log.count(`"message":"Place"`)).To(Equal(1))
}
