package driver

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/identifier"
)

// maxLineBytes is the longest line of a stream.
const maxLineBytes = 64 << 10

// lineStream reads tokens from newline-delimited JSON. Tokens come without a
// gap or repeat, so an answer that reads to io.EOF is whole.
type lineStream struct {
	upstream identifier.Upstream
	body     io.ReadCloser
	lines    *bufio.Reader
	// next is the number of the token that must come next.
	next identifier.Tokens
	// opened says that the first line has come.
	opened bool
	// over is nil until the stream has ended; then each Next returns it.
	over error
}

func newStream(upstream identifier.Upstream, body io.ReadCloser, from identifier.Tokens) *lineStream {
	lines := bufio.NewReaderSize(body, maxLineBytes)
	return &lineStream{upstream: upstream, body: body, lines: lines, next: from}
}

// open reads the first line, which must name the attempt.
func (s *lineStream) open(hold identifier.Hold) error {
	line, err := s.read()
	if err != nil {
		return err
	}
	if line.Hold == nil || *line.Hold != hold {
		return s.fail(KindUnknown, errors.New("the stream is for another attempt"))
	}
	s.opened = true
	return nil
}

// Next returns the next token, or io.EOF after the last one.
func (s *lineStream) Next() (Token, error) {
	if s.over != nil {
		return Token{}, s.over
	}
	line, err := s.read()
	if err != nil {
		return Token{}, err
	}
	if line.Token == nil || line.Token.Index != s.next {
		return Token{}, s.fail(KindUnknown, errors.Errorf("token %d did not come in its turn", s.next))
	}
	s.next++
	if line.Token.Finish != "" {
		s.over = io.EOF
	}
	return *line.Token, nil
}

// Ready says that the next token has come already.
func (s *lineStream) Ready() bool {
	waiting, _ := s.lines.Peek(s.lines.Buffered())
	return s.over == nil && bytes.IndexByte(waiting, '\n') >= 0
}

// Close ends the reading. The engine keeps the hold until its Release.
func (s *lineStream) Close() error { return s.body.Close() }

func (s *lineStream) read() (StreamLine, error) {
	var line StreamLine
	text, err := s.lines.ReadSlice('\n')
	switch {
	case errors.Is(err, io.EOF) && len(text) > 0:
		// The last line of a stream may lack its end.
		err = nil
	case errors.Is(err, io.EOF):
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return line, s.fail(KindUnknown, errors.Wrap(err, "the stream broke off"))
	}
	if err := json.Unmarshal(text, &line); err != nil {
		return line, s.fail(KindUnknown, errors.Wrap(err, "read the stream"))
	}
	if line.Refusal == nil {
		return line, nil
	}
	return line, s.fail(s.kindOf(line.Refusal), line.Refusal)
}

// kindOf takes the engine's word before the first line. Later only the loss
// of the hold can be said of a stream that ran.
func (s *lineStream) kindOf(refusal *Refusal) Kind {
	if refusal.known() && (!s.opened || refusal.Kind == KindGone) {
		return refusal.Kind
	}
	return KindUnknown
}

func (s *lineStream) fail(kind Kind, err error) error {
	s.over = &Error{Kind: kind, Upstream: s.upstream, Err: err}
	return s.over
}
