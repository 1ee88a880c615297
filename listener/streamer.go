package listener

import (
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/driver"
)

// streamer is a sink that writes each token as a server-sent event.
type streamer struct {
	response
	w            http.ResponseWriter
	control      *http.ResponseController
	includeUsage bool
	// isStarted is true once the response header has been written.
	isStarted bool
}

// WriteToken implements relayer.Sink. The event is sent by the next Flush.
func (s *streamer) WriteToken(t driver.Token) error {
	one := choice{}
	if t.Finish != "" {
		one.FinishReason = &t.Finish
	}
	if s.isChat {
		one.Delta = &responseMessage{Content: t.Text}
		if s.outputTokens == 0 {
			one.Delta.Role = "assistant"
		}
	} else {
		one.Text = &t.Text
	}
	s.outputTokens++
	return s.sendEvent(s.newCompletion(s.chunkObject, []choice{one}))
}

func (s *streamer) writeHeader() {
	if s.isStarted {
		return
	}
	s.isStarted = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
}

func (s *streamer) sendEvent(v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encode an event")
	}
	return s.writeEvent(text)
}

func (s *streamer) writeEvent(text []byte) error {
	s.writeHeader()
	line := make([]byte, 0, len(text)+8)
	line = append(line, "data: "...)
	line = append(line, text...)
	line = append(line, "\n\n"...)
	_, err := s.w.Write(line)
	return err
}

// Flush implements relayer.Flusher.
func (s *streamer) Flush() error { return s.control.Flush() }

// finish writes the usage, if requested, and the end mark of a complete stream.
func (s *streamer) finish() {
	if s.includeUsage {
		last := s.newCompletion(s.chunkObject, []choice{})
		last.Usage = s.totalUsage()
		if s.sendEvent(last) != nil {
			return
		}
	}
	_ = s.writeEvent([]byte("[DONE]"))
}
