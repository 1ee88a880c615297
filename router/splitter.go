package router

import "bytes"

// maxEvent bounds one event of a stream; the stated ones have hundreds of
// bytes.
const maxEvent = 1 << 20

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// splitter cuts a stream into whole events. A part of an event is kept back,
// so that a stream that breaks can go on at another runner.
type splitter struct {
	// kept is the start of an event whose end was not read yet.
	kept []byte
	// last is the id of the last whole event; empty before the first.
	last string
}

// push takes in bytes of the stream and returns those that end with a whole
// event. The result is valid until the next call.
func (s *splitter) push(p []byte) []byte {
	s.kept = append(s.kept, p...)
	end := bytes.LastIndex(s.kept, eventEnd)
	if end < 0 {
		return nil
	}
	end += len(eventEnd)
	whole := s.kept[:end:end]
	s.kept = append([]byte(nil), s.kept[end:]...)
	s.note(whole)
	return whole
}

// rest returns what came after the last whole event.
func (s *splitter) rest() []byte { return s.kept }

// reset drops a part of an event that will be sent again whole.
func (s *splitter) reset() { s.kept = nil }

// note reads the id of the last event that has one.
func (s *splitter) note(events []byte) {
	for len(events) > 0 {
		start := 0
		if at := bytes.LastIndexByte(events[:len(events)-1], '\n'); at >= 0 {
			start = at + 1
		}
		line := events[start:]
		if bytes.HasPrefix(line, idField) {
			s.last = string(bytes.TrimSpace(line[len(idField):]))
			return
		}
		events = events[:start]
	}
}
