package router

import "bytes"

// maxEventBytes bounds one event of a stream; events of the specified load
// have hundreds of bytes.
const maxEventBytes = 1 << 20

var (
	// eventEnds are the ends of an event, with and without carriage returns.
	eventEnds = [][]byte{[]byte("\n\n"), []byte("\n\r\n")}
	idField   = []byte("id:")
)

const commentMark = ':'

// splitter splits a stream into whole events. It withholds an incomplete
// event, so that a broken stream can be resumed on another runner.
type splitter struct {
	// partial is the start of an event whose end was not read yet.
	partial []byte
	// hasEvent is true if push has returned an event since the last reset.
	hasEvent bool
	// lastID is the id of the last whole event; empty before the first.
	lastID string
}

// push appends bytes of the stream and returns all bytes up to the end of the
// last whole event. The result is valid until the next call.
func (s *splitter) push(p []byte) []byte {
	s.partial = append(s.partial, p...)
	end := lastEventEnd(s.partial)
	if end == 0 {
		return nil
	}
	s.hasEvent = true
	whole := s.partial[:end:end]
	s.partial = append([]byte(nil), s.partial[end:]...)
	s.recordLastID(whole)
	return whole
}

// remainder returns the bytes after the last whole event.
func (s *splitter) remainder() []byte { return s.partial }

// isInsideEvent reports whether the stream has a part of an event after the last
// whole one. Blank lines and whole comments belong to no event.
func (s *splitter) isInsideEvent() bool {
	for line := range bytes.Lines(s.partial) {
		text := bytes.TrimRight(line, "\r\n")
		isComment := len(text) > 0 && len(text) < len(line) && text[0] == commentMark
		if len(text) > 0 && !isComment {
			return true
		}
	}
	return false
}

// reset drops an incomplete event, which the next runner sends again.
func (s *splitter) reset() { s.partial, s.hasEvent = nil, false }

// lastEventEnd returns the length of the whole events in b.
func lastEventEnd(b []byte) int {
	end := 0
	for _, mark := range eventEnds {
		if i := bytes.LastIndex(b, mark); i >= 0 {
			end = max(end, i+len(mark))
		}
	}
	return end
}

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
