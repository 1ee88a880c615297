package server_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"

	. "github.com/onsi/gomega"

	"github.com/figtrack/figtrack/faker"
	"github.com/figtrack/figtrack/identifier"
)

// request is a caller's HTTP request.
type request struct {
	method, path string
	header       http.Header
	body         string
	// trailer is sent after the body. If set, the body is chunked.
	trailer http.Header
	// vm is the index of the VM that receives the request, from 0.
	vm int
}

// reply is the part of the response that the caller received.
type reply struct {
	status          int
	header, trailer http.Header
	body            string
	// broken is the error of the call or of reading its body. It is empty for a
	// complete response.
	broken string
}

func (s *site) call(ctx context.Context, r request) reply {
	out, err := http.NewRequestWithContext(ctx, r.method, "http://"+s.callers[r.vm]+r.path, strings.NewReader(r.body))
	s.Expect(err).NotTo(HaveOccurred())
	for name, values := range r.header {
		out.Header[name] = values
	}
	if r.trailer != nil {
		out.Trailer = r.trailer
		out.ContentLength = -1
	}
	answer, err := s.client.Do(out)
	if err != nil {
		return reply{broken: failure(err)}
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return reply{answer.StatusCode, answer.Header, answer.Trailer, string(body), failure(err)}
}

// failure returns the innermost message of an error.
func failure(err error) string {
	if err == nil {
		return ""
	}
	parts := strings.Split(err.Error(), ": ")
	return parts[len(parts)-1]
}

func (r request) String() string {
	var w strings.Builder
	fmt.Fprintf(&w, "%s %s\n%s\n", r.method, r.path, headerText(r.header))
	if len(r.body) > 2000 {
		fmt.Fprintf(&w, "(%d bytes)\n", len(r.body))
	} else if r.body != "" {
		fmt.Fprintf(&w, "%s\n", r.body)
	}
	if r.trailer != nil {
		fmt.Fprintf(&w, "\n%s", headerText(r.trailer))
	}
	return w.String()
}

func (r reply) String() string {
	var w strings.Builder
	if r.status != 0 {
		fmt.Fprintf(&w, "%d %s\n%s\n%s", r.status, http.StatusText(r.status), headerText(r.header), r.body)
	}
	if len(r.trailer) > 0 {
		fmt.Fprintf(&w, "\n%s", headerText(r.trailer))
	}
	if r.broken != "" {
		fmt.Fprintf(&w, "(%s)\n", r.broken)
	}
	return w.String()
}

func headerText(h http.Header) string {
	var lines []string
	for name, values := range h {
		for _, value := range values {
			lines = append(lines, name+": "+value+"\n")
		}
	}
	slices.Sort(lines)
	return strings.Join(lines, "")
}

// chunk holds the fields that tests read from an event of a stream.
type chunk struct {
	Choices []struct {
		Text  string
		Delta struct{ Content string }
	}
	Reason string
}

// text joins the tokens of a stream's events. It reports in done whether the
// stream ended with the [DONE] event.
func (s *site) text(r reply) (text string, done bool) {
	for event := range strings.SplitSeq(strings.TrimSpace(r.body), "\n\n") {
		data := strings.TrimPrefix(event, "data: ")
		if data == "[DONE]" {
			return text, true
		}
		var parsed chunk
		if json.Unmarshal([]byte(data), &parsed) != nil {
			break
		}
		for _, c := range parsed.Choices {
			text += c.Text + c.Delta.Content
		}
	}
	return text, false
}

// expectedAnswer returns the complete answer that the fake engines give to a
// prompt.
func expectedAnswer(prompt string, maxTokens identifier.Tokens) string {
	return strings.Join(faker.Answer(prompt, faker.AnswerLength(prompt, maxTokens)), "")
}
