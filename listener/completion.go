package listener

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/identifier"
)

// The headers of figtrack's own.
const (
	HeaderClass     = "Figtrack-Class"
	HeaderWorkspace = "Figtrack-Workspace"
	HeaderKey       = "Idempotency-Key"
)

const (
	// defaultMaxTokens is the output limit of a request that states none.
	defaultMaxTokens = 256
	// largestMaxTokens is the largest output limit that is accepted.
	largestMaxTokens = 32768
	// maxKeyBytes is the largest length of an idempotency key.
	maxKeyBytes = 255
	// maxStops is the most stop texts of one request.
	maxStops = 4
	// unnamed is the workspace of callers that name none.
	unnamed = identifier.Workspace("Unnamed")
)

// completionBody is the body of both kinds of completions, in the field names
// that OpenAI clients send. Fields that steer sampling are accepted and left
// to the engine.
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

// readBody reads and checks the JSON of a request.
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

// prompt returns the text of a plain completion's prompt.
func (b completionBody) prompt() (string, error) {
	texts, err := oneOrMore(b.Prompt)
	if err != nil || len(texts) != 1 || texts[0] == "" {
		return "", errors.New("prompt must be one text that is not empty")
	}
	return texts[0], nil
}

// chat returns the text of a chat's messages.
func (b completionBody) chat() (string, error) {
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
	if n < 1 || n > largestMaxTokens {
		return 0, errors.Errorf("max_tokens is %d; allowed: 1 to %d", n, largestMaxTokens)
	}
	return identifier.Tokens(n), nil
}

func (b completionBody) stops() ([]string, error) {
	texts, err := oneOrMore(b.Stop)
	if err != nil || len(texts) > maxStops {
		return nil, errors.Errorf("stop must be a text or a list of at most %d texts", maxStops)
	}
	return texts, nil
}

// oneOrMore reads a text, a list of texts, or nothing.
func oneOrMore(raw json.RawMessage) ([]string, error) {
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

// keyOf returns the caller's idempotency key, or an empty text.
func keyOf(r *http.Request) (string, error) {
	key := r.Header.Get(HeaderKey)
	if len(key) > maxKeyBytes {
		return "", errors.Errorf("%s has %d bytes; allowed: at most %d", HeaderKey, len(key), maxKeyBytes)
	}
	return key, nil
}

// workspaceOf names the caller's workspace: by header, else by the user field
// of the body.
func workspaceOf(r *http.Request, body completionBody) identifier.Workspace {
	if name := r.Header.Get(HeaderWorkspace); name != "" {
		return identifier.Workspace(name)
	}
	if body.User != "" {
		return identifier.Workspace(body.User)
	}
	return unnamed
}
