// Package splitter splits streams of server-sent events into whole events.
package splitter

import "bytes"

// MaxEventBytes bounds one event of a stream; events of the specified load
// have hundreds of bytes.
const MaxEventBytes = 1 << 20

var idField = []byte("id:")

// Splitter withholds an incomplete event, so that a broken stream can be resumed
// on another runner. Its zero value is at the start of a stream.
type Splitter struct {
	Scanner
	// partial is the start of an event whose end was not read yet.
	partial []byte
	// lastID is the id of the last whole event; empty before the first.
	lastID string
}

// Push appends bytes of the stream and returns all bytes up to the end of the
// last whole event. The result is valid until the next call.
func (s *Splitter) Push(p []byte) []byte {
	former := len(s.partial)
	s.partial = append(s.partial, p...)
	end := s.Scan(p)
	if end == 0 {
		return nil
	}
	end += former
	whole := s.partial[:end:end]
	s.partial = append([]byte(nil), s.partial[end:]...)
	s.recordLastID(whole)
	return whole
}

// Remainder returns the bytes after the last whole event.
func (s *Splitter) Remainder() []byte { return s.partial }

// LastID returns the id of the last whole event; empty before the first.
func (s *Splitter) LastID() string { return s.lastID }

// Reset drops an incomplete event, which the next runner sends again, and starts
// another stream. LastID stays.
func (s *Splitter) Reset() { s.partial, s.Scanner = nil, Scanner{} }

// recordLastID stores the id of the last event that has one.
func (s *Splitter) recordLastID(events []byte) {
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
