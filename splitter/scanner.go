package splitter

const commentMark = ':'

// Scanner follows the events of a stream without keeping its bytes. Its zero value
// is at the start of a stream.
type Scanner struct {
	// lineBytes is the length of the current line, without carriage returns.
	lineBytes int
	// isComment is true if the current line, once it has a byte, is a comment.
	isComment bool
	// isInBlock is true after a whole line that no blank line has followed yet,
	// isInEvent if it was a line of an event.
	isInBlock, isInEvent bool
	// events counts the events that have ended.
	events int
}

// Scan reads the next bytes of the stream. It returns the length of b up to the end
// of the last event, or block of comments, in it; 0 without one.
func (s *Scanner) Scan(b []byte) int {
	end := 0
	for i, c := range b {
		switch {
		case c == '\r':
		case c != '\n':
			if s.lineBytes == 0 {
				s.isComment = c == commentMark
			}
			s.lineBytes++
		case s.lineBytes > 0:
			s.isInEvent = s.isInEvent || !s.isComment
			s.isInBlock, s.lineBytes = true, 0
		case s.isInBlock:
			if s.isInEvent {
				s.events++
			}
			s.isInBlock, s.isInEvent = false, false
			end = i + 1
		}
	}
	return end
}

// IsInsideEvent reports whether the stream has a part of an event after the last
// whole one. Blank lines and whole comments belong to no event.
func (s *Scanner) IsInsideEvent() bool { return s.isInEvent || s.lineBytes > 0 }

// HasEvent reports whether an event has ended.
func (s *Scanner) HasEvent() bool { return s.events > 0 }
