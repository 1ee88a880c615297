package router

import "bytes"

// maxEventBytes bounds one event of a stream; events of the specified load
// have hundreds of bytes.
const maxEventBytes = 1 << 20

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// splitter splits a stream into whole events. It withholds an incomplete
// event, so that a broken stream can be resumed on another runner.
type splitter struct {
	// partial is the start of an event whose end was not read yet.
	partial []byte
	// lastID is the id of the last whole event; empty before the first.
	lastID string
}

// push appends bytes of the stream and returns all bytes up to the end of the
// last whole event. The result is valid until the next call.
func (s *splitter) push(p []byte) []byte {
	s.partial = append(s.partial, p...)
	end := bytes.LastIndex(s.partial, eventEnd)
	if end < 0 {
		return nil
	}
	end += len(eventEnd)
	whole := s.partial[:end:end]
	s.partial = append([]byte(nil), s.partial[end:]...)
	s.recordLastID(whole)
	return whole
}

// remainder returns the bytes after the last whole event.
func (s *splitter) remainder() []byte { return s.partial }

// reset drops an incomplete event, which the next runner sends again.
func (s *splitter) reset() { s.partial = nil }

// recordLastID stores the id of the last event that has one.
func (s *splitter) recordLastID(events []byte) {
	for len(events) > 0 {
		start := 0
		if newline := bytes.LastIndexByte(events[:len(events)-1], '\n'); newline >= 0 {
			start = newline + 1
		}
		line := events[start:]
		if bytes.HasPrefix(line, idField) {
			s.lastID = string(bytes.TrimSpace(line[len(idField):]))
			return
		}
		events = events[:start]
	}
}
