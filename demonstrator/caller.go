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

// ask is one completion request of the surge.
type ask struct {
	class     identifier.Class
	workspace string
	prompt    string
	maxOutput int
	// key is the idempotency key; empty for none.
	key string
}

// reply is what the caller saw of it.
type reply struct {
	ask
	status     int
	reason     string
	ran        string
	retryAfter string
	// wrong says how an answer differs from its request's own.
	wrong      string
	firstToken time.Duration
	perToken   time.Duration
}

type completionRequest struct {
	Model     identifier.Model `json:"model"`
	Prompt    string           `json:"prompt"`
	MaxTokens int              `json:"max_tokens"`
	Stream    bool             `json:"stream"`
}

type chunk struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Reason string
	Ran    string
}

// complete sends a streamed request and checks the whole answer.
func complete(ctx context.Context, client *http.Client, address string, a ask) reply {
	out := reply{ask: a}
	body, err := json.Marshal(completionRequest{Model: model, Prompt: a.prompt, MaxTokens: a.maxOutput, Stream: true})
	if err != nil {
		out.wrong = err.Error()
		return out
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		out.wrong = err.Error()
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
		out.wrong = err.Error()
		return out
	}
	defer answer.Body.Close()
	out.status = answer.StatusCode
	if answer.StatusCode != http.StatusOK {
		out.refused(answer)
		return out
	}
	out.read(answer.Body, start)
	return out
}

func (r *reply) refused(answer *http.Response) {
	var body chunk
	if err := json.NewDecoder(answer.Body).Decode(&body); err != nil {
		r.wrong = "the refusal is not JSON: " + err.Error()
	}
	r.reason = body.Reason
	r.ran = body.Ran
	r.retryAfter = answer.Header.Get("Retry-After")
}

// read takes the events of a stream and compares the text with what the
// stand-in engine answers to this very prompt.
func (r *reply) read(body io.Reader, start time.Time) {
	text, done, err := r.events(body, start)
	n := faker.AnswerLength(r.prompt, identifier.Tokens(r.maxOutput))
	want := strings.Join(faker.Answer(r.prompt, n), "")
	switch {
	case err != nil:
		r.wrong = err.Error()
	case r.reason != "":
		r.wrong = "broken off: " + r.reason
	case !done:
		r.wrong = "the stream has no end mark"
	case text != want:
		r.wrong = "the text is not that of this request's answer"
	}
}

func (r *reply) events(body io.Reader, start time.Time) (text string, done bool, err error) {
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
