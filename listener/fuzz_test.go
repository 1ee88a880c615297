package listener

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/identifier"
)

// FuzzReadBody checks that any body is either refused or yields a request
// within the limits.
func FuzzReadBody(f *testing.F) {
	f.Fuzz(func(t *testing.T, text []byte) {
		body, err := readBody(bytes.NewReader(text))
		if err != nil {
			return
		}
		if body.Model == "" {
			t.Fatal("a body without a model was accepted")
		}
		if n, err := body.maxOutput(); err == nil && (n < 1 || n > maxTokensLimit) {
			t.Fatalf("max_tokens %d was accepted", n)
		}
		if stops, err := body.stopSequences(); err == nil && len(stops) > maxStopSequences {
			t.Fatalf("%d stop sequences were accepted", len(stops))
		}
		if prompt, err := body.promptText(); err == nil && prompt == "" {
			t.Fatal("an empty prompt was accepted")
		}
		if chat, err := body.chatPrompt(); err == nil && chat == "" {
			t.Fatal("an empty chat was accepted")
		}
	})
}

// FuzzStreamer checks that the events of a stream decode to the exact text of
// its tokens, whatever characters it contains.
func FuzzStreamer(f *testing.F) {
	f.Fuzz(func(t *testing.T, first, second string, chat bool) {
		w := httptest.NewRecorder()
		s := &streamer{response: response{responseFormat: textFormat, request: "r", created: time.Unix(0, 0)}, w: w, control: http.NewResponseController(w)}
		if chat {
			s.responseFormat = chatFormat
		}
		for i, text := range []string{first, second} {
			if err := s.WriteToken(driver.Token{Index: identifier.Tokens(i), Text: text}); err != nil {
				t.Fatal(err)
			}
		}
		s.finish()
		events := strings.Split(strings.TrimSuffix(w.Body.String(), "\n\n"), "\n\n")
		if len(events) != 3 || events[2] != "data: [DONE]" {
			t.Fatalf("events %q, expected two tokens and [DONE]", events)
		}
		for i, text := range []string{first, second} {
			if got := textOf(t, events[i], chat); got != strings.ToValidUTF8(text, "\uFFFD") && got != text {
				checkRunes(t, got, text)
			}
		}
	})
}

func textOf(t *testing.T, event string, chat bool) string {
	var reply completionResponse
	if err := json.Unmarshal([]byte(strings.TrimPrefix(event, "data: ")), &reply); err != nil {
		t.Fatal(err)
	}
	if chat {
		return reply.Choices[0].Delta.Content
	}
	return *reply.Choices[0].Text
}

// checkRunes compares texts in which JSON has replaced each invalid byte by
// U+FFFD.
func checkRunes(t *testing.T, got, text string) {
	if got != string([]rune(text)) {
		t.Fatalf("decoded %q, expected %q", got, text)
	}
}
