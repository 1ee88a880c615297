package listener

import (
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/driver"
)

// streamer is a sink that sends each token as a server-sent event.
type streamer struct {
	answer
	w            http.ResponseWriter
	control      *http.ResponseController
	includeUsage bool
	// started says that the header has been sent.
	started bool
}

// Token implements relayer.Sink. The event goes out with the next Flush.
func (s *streamer) Token(t driver.Token) error {
	one := choice{}
	if t.Finish != "" {
		one.FinishReason = &t.Finish
	}
	if s.chat {
		one.Delta = &chatText{Content: t.Text}
		if s.output == 0 {
			one.Delta.Role = "assistant"
		}
	} else {
		one.Text = &t.Text
	}
	s.output++
	return s.event(s.reply(s.chunk, []choice{one}))
}

func (s *streamer) start() {
	if s.started {
		return
	}
	s.started = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
}

func (s *streamer) event(v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encode an event")
	}
	return s.write(text)
}

func (s *streamer) write(text []byte) error {
	s.start()
	line := make([]byte, 0, len(text)+8)
	line = append(line, "data: "...)
	line = append(line, text...)
	line = append(line, "\n\n"...)
	_, err := s.w.Write(line)
	return err
}

// Flush implements relayer.Flusher.
func (s *streamer) Flush() error { return s.control.Flush() }

// finish sends the end of a whole answer.
func (s *streamer) finish() {
	if s.includeUsage {
		last := s.reply(s.chunk, []choice{})
		last.Usage = s.usage()
		if s.event(last) != nil {
			return
		}
	}
	_ = s.write([]byte("[DONE]"))
}
