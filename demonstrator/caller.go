package demonstrator

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/faker"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/listener"
)

// callerRequest is a completion request of a simulated caller.
type callerRequest struct {
	class     identifier.Class
	workspace string
	prompt    string
	maxOutput int
	// key is the idempotency key; empty if the request has none.
	key string
}

// reply is the answer or refusal that a caller received for its request.
type reply struct {
	callerRequest
	status     int
	reason     string
	ran        string
	retryAfter string
	// problem describes the first error of the call, or how the answer differs
	// from the expected one; empty if the reply is correct.
	problem    string
	firstToken time.Duration
	perToken   time.Duration
}

// completionBody is the body of a request to /v1/completions.
type completionBody struct {
	Model     identifier.Model `json:"model"`
	Prompt    string           `json:"prompt"`
	MaxTokens int              `json:"max_tokens"`
	Stream    bool             `json:"stream"`
}

// chunk is an event of a streamed answer, or the body of a refusal.
type chunk struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Reason string
	Ran    string
}

// sendCompletion sends a streamed request and checks the whole answer.
func sendCompletion(ctx context.Context, client *http.Client, address string, a callerRequest) reply {
	out := reply{callerRequest: a}
	body, err := json.Marshal(completionBody{Model: model, Prompt: a.prompt, MaxTokens: a.maxOutput, Stream: true})
	if err != nil {
		out.problem = err.Error()
		return out
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		out.problem = err.Error()
		return out
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(listener.HeaderClass, string(a.class))
	r.Header.Set(listener.HeaderWorkspace, a.workspace)
	if a.key != "" {
		r.Header.Set(listener.HeaderKey, a.key)
	}
	start := time.Now()
	answer, err := client.Do(r)
	if err != nil {
		out.problem = err.Error()
		return out
	}
	defer answer.Body.Close()
	out.status = answer.StatusCode
	if answer.StatusCode != http.StatusOK {
		out.readRefusal(answer)
		return out
	}
	out.readStream(answer.Body, start)
	return out
}

// readRefusal records the reason and Retry-After of a refusal.
func (r *reply) readRefusal(answer *http.Response) {
	var body chunk
	if err := json.NewDecoder(answer.Body).Decode(&body); err != nil {
		r.problem = "the refusal is not JSON: " + err.Error()
	}
	r.reason = body.Reason
	r.ran = body.Ran
	r.retryAfter = answer.Header.Get("Retry-After")
}

// readStream reads a streamed answer and compares its text with the one that the
// stand-in engine generates for this prompt.
func (r *reply) readStream(body io.Reader, start time.Time) {
	text, done, err := r.readEvents(body, start)
	n := faker.AnswerLength(r.prompt, identifier.Tokens(r.maxOutput))
	want := strings.Join(faker.Answer(r.prompt, n), "")
	switch {
	case err != nil:
		r.problem = err.Error()
	case r.reason != "":
		r.problem = "broken off: " + r.reason
	case !done:
		r.problem = "the stream has no end mark"
	case text != want:
		r.problem = "the text is not that of this request's answer"
	}
}

// readEvents reads the events of a stream and measures the time to the first token
// and per further token. It reports whether the stream ended with [DONE].
func (r *reply) readEvents(body io.Reader, start time.Time) (text string, done bool, err error) {
	var w strings.Builder
	var last time.Time
	tokens := 0
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var c chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return "", false, errors.Wrap(err, "an event is not JSON")
		}
		if c.Reason != "" {
			r.reason = c.Reason
			continue
		}
		last = time.Now()
		tokens++
		if tokens == 1 {
			r.firstToken = last.Sub(start)
		}
		w.WriteString(c.Choices[0].Text)
	}
	if tokens > 1 {
		r.perToken = last.Sub(start.Add(r.firstToken)) / time.Duration(tokens-1)
	}
	return w.String(), done, lines.Err()
}
