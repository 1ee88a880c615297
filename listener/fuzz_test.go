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

// FuzzReadBody checks that any body is refused or makes a request inside its
// bounds.
func FuzzReadBody(f *testing.F) {
	f.Fuzz(func(t *testing.T, text []byte) {
		body, err := readBody(bytes.NewReader(text))
		if err != nil {
			return
		}
		if body.Model == "" {
			t.Fatal("a body without a model was taken")
		}
		if n, err := body.maxOutput(); err == nil && (n < 1 || n > largestMaxTokens) {
			t.Fatalf("max_tokens %d was taken", n)
		}
		if stops, err := body.stops(); err == nil && len(stops) > maxStops {
			t.Fatalf("%d stop texts were taken", len(stops))
		}
		if prompt, err := body.prompt(); err == nil && prompt == "" {
			t.Fatal("an empty prompt was taken")
		}
		if chat, err := body.chat(); err == nil && chat == "" {
			t.Fatal("an empty chat was taken")
		}
	})
}

// FuzzStreamer checks that a caller reads from the events the very text of the
// tokens, whatever it holds.
func FuzzStreamer(f *testing.F) {
	f.Fuzz(func(t *testing.T, first, second string, chat bool) {
		w := httptest.NewRecorder()
		s := &streamer{answer: answer{form: plainForm, request: "r", created: time.Unix(0, 0)}, w: w, control: http.NewResponseController(w)}
		if chat {
			s.form = chatForm
		}
		for i, text := range []string{first, second} {
			if err := s.Token(driver.Token{Index: identifier.Tokens(i), Text: text}); err != nil {
				t.Fatal(err)
			}
		}
		s.finish()
		events := strings.Split(strings.TrimSuffix(w.Body.String(), "\n\n"), "\n\n")
		if len(events) != 3 || events[2] != "data: [DONE]" {
			t.Fatalf("events %q", events)
		}
		for i, text := range []string{first, second} {
			if got := textOf(t, events[i], chat); got != strings.ToValidUTF8(text, "\uFFFD") && got != text {
				checkRunes(t, got, text)
			}
		}
	})
}

func textOf(t *testing.T, event string, chat bool) string {
	var reply completionReply
	if err := json.Unmarshal([]byte(strings.TrimPrefix(event, "data: ")), &reply); err != nil {
		t.Fatal(err)
	}
	if chat {
		return reply.Choices[0].Delta.Content
	}
	return *reply.Choices[0].Text
}

// checkRunes compares texts whose invalid bytes JSON replaces one by one.
func checkRunes(t *testing.T, got, text string) {
	if got != string([]rune(text)) {
		t.Fatalf("read %q for %q", got, text)
	}
}
