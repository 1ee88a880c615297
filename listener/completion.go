package listener

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/identifier"
)

// Request headers that figtrack reads in addition to the OpenAI API.
const (
	HeaderClass     = "Figtrack-Class"
	HeaderWorkspace = "Figtrack-Workspace"
	HeaderKey       = "Idempotency-Key"
)

const (
	// defaultMaxTokens is the output limit of a request that sets none.
	defaultMaxTokens = 256
	// maxTokensLimit is the largest output limit that a request may set.
	maxTokensLimit = 32768
	// maxIdempotencyKeyBytes is the maximum length of an idempotency key.
	maxIdempotencyKeyBytes = 255
	// maxStopSequences is the maximum number of stop sequences in a request.
	maxStopSequences = 4
	// defaultWorkspace is the workspace of callers that name none.
	defaultWorkspace = identifier.Workspace("Unnamed")
)

// completionBody is the request body of text and chat completions, with the
// field names of the OpenAI API. Sampling parameters are accepted and left to
// the engine.
type completionBody struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []chatMessage   `json:"messages"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	N                   *int            `json:"n"`
	Stop                json.RawMessage `json:"stop"`
	Stream              bool            `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	User string `json:"user"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// readBody decodes and validates the JSON body of a completion request.
func readBody(r io.Reader) (completionBody, error) {
	var body completionBody
	d := json.NewDecoder(r)
	if err := d.Decode(&body); err != nil {
		return body, errors.Wrap(err, "the body is not a JSON object of a completion request")
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return body, errors.New("the body holds more than one JSON object")
	}
	if body.Model == "" {
		return body, errors.New("model is missing")
	}
	if body.N != nil && *body.N != 1 {
		return body, errors.Errorf("n is %d; only 1 is served", *body.N)
	}
	return body, nil
}

// promptText returns the prompt of a text completion.
func (b completionBody) promptText() (string, error) {
	texts, err := parseStrings(b.Prompt)
	if err != nil || len(texts) != 1 || texts[0] == "" {
		return "", errors.New("prompt must be one text that is not empty")
	}
	return texts[0], nil
}

// chatPrompt joins the messages of a chat completion into one prompt.
func (b completionBody) chatPrompt() (string, error) {
	if len(b.Messages) == 0 {
		return "", errors.New("messages must hold at least one message")
	}
	var w strings.Builder
	for i, m := range b.Messages {
		text, err := m.text()
		if err != nil {
			return "", errors.Wrapf(err, "messages[%d]", i)
		}
		w.WriteString(m.Role)
		w.WriteString(": ")
		w.WriteString(text)
		w.WriteString("\n")
	}
	return w.String(), nil
}

func (m chatMessage) text() (string, error) {
	var text string
	if json.Unmarshal(m.Content, &text) == nil {
		return text, nil
	}
	var parts []contentPart
	if json.Unmarshal(m.Content, &parts) != nil {
		return "", errors.New("content must be a text or a list of text parts")
	}
	for _, p := range parts {
		if p.Type != "text" {
			return "", errors.Errorf("a part of type %q is not served, only text", p.Type)
		}
		text += p.Text
	}
	return text, nil
}

func (b completionBody) maxOutput() (identifier.Tokens, error) {
	n := defaultMaxTokens
	if b.MaxTokens != nil {
		n = *b.MaxTokens
	}
	if b.MaxCompletionTokens != nil {
		n = *b.MaxCompletionTokens
	}
	if n < 1 || n > maxTokensLimit {
		return 0, errors.Errorf("max_tokens is %d; allowed: 1 to %d", n, maxTokensLimit)
	}
	return identifier.Tokens(n), nil
}

func (b completionBody) stopSequences() ([]string, error) {
	texts, err := parseStrings(b.Stop)
	if err != nil || len(texts) > maxStopSequences {
		return nil, errors.Errorf("stop must be a text or a list of at most %d texts", maxStopSequences)
	}
	return texts, nil
}

// parseStrings decodes a JSON string or a list of strings. It returns nil if
// the value is missing or null.
func parseStrings(raw json.RawMessage) ([]string, error) {
	if len(raw) == 0 || string(raw) == "null" {
		return nil, nil
	}
	var one string
	if json.Unmarshal(raw, &one) == nil {
		return []string{one}, nil
	}
	var many []string
	err := json.Unmarshal(raw, &many)
	return many, err
}

// idempotencyKey returns the caller's idempotency key, empty if none is set.
func idempotencyKey(r *http.Request) (string, error) {
	key := r.Header.Get(HeaderKey)
	if len(key) > maxIdempotencyKeyBytes {
		return "", errors.Errorf("%s has %d bytes; allowed: at most %d", HeaderKey, len(key), maxIdempotencyKeyBytes)
	}
	return key, nil
}

// workspaceOf returns the caller's workspace from the header, else from the
// user field of the body.
func workspaceOf(r *http.Request, body completionBody) identifier.Workspace {
	if name := r.Header.Get(HeaderWorkspace); name != "" {
		return identifier.Workspace(name)
	}
	if body.User != "" {
		return identifier.Workspace(body.User)
	}
	return defaultWorkspace
}
