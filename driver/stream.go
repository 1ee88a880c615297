package driver

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/identifier"
)

// maxLineBytes bounds a line of a stream. A longer one ends the stream with an
// error.
const maxLineBytes = 64 << 10

// lineStream implements Stream over newline-delimited JSON. It fails at a missing
// or repeated token, so an answer that was read to io.EOF is complete.
type lineStream struct {
	upstream identifier.Upstream
	body     io.ReadCloser
	lines    *bufio.Reader
	// nextIndex is the index of the token that is expected next.
	nextIndex identifier.Tokens
	// hasFirstLine is set once readFirstLine has read the first line.
	hasFirstLine bool
	// endErr is nil until the stream has ended, and then the error that each Next
	// returns.
	endErr error
}

func newStream(upstream identifier.Upstream, body io.ReadCloser, from identifier.Tokens) *lineStream {
	lines := bufio.NewReaderSize(body, maxLineBytes)
	return &lineStream{upstream: upstream, body: body, lines: lines, nextIndex: from}
}

// readFirstLine reads the first line, which must have the expected hold.
func (s *lineStream) readFirstLine(hold identifier.Hold) error {
	line, err := s.readLine()
	if err != nil {
		return err
	}
	if line.Hold == nil || *line.Hold != hold {
		return s.fail(KindUnknown, errors.Errorf("the first line of the stream is not for the requested hold %+v", hold))
	}
	s.hasFirstLine = true
	return nil
}

// Next returns the next token, or io.EOF after the last one.
func (s *lineStream) Next() (Token, error) {
	if s.endErr != nil {
		return Token{}, s.endErr
	}
	line, err := s.readLine()
	if err != nil {
		return Token{}, err
	}
	if line.Token == nil || line.Token.Index != s.nextIndex {
		return Token{}, s.fail(KindUnknown, errors.Errorf("the next line of the stream is not token %d", s.nextIndex))
	}
	s.nextIndex++
	if line.Token.Finish != "" {
		s.endErr = io.EOF
	}
	return *line.Token, nil
}

// Ready reports whether the next line was received already, so that Next returns
// its token without waiting.
func (s *lineStream) Ready() bool {
	waiting, _ := s.lines.Peek(s.lines.Buffered())
	return s.endErr == nil && bytes.IndexByte(waiting, '\n') >= 0
}

// Close closes the connection. The engine keeps the hold until it is released.
func (s *lineStream) Close() error { return s.body.Close() }

// readLine returns the next line, or an error if it has a refusal.
func (s *lineStream) readLine() (StreamLine, error) {
	var line StreamLine
	text, err := s.lines.ReadSlice('\n')
	switch {
	case errors.Is(err, io.EOF) && len(text) > 0:
		// The last line of a stream may lack its newline.
		err = nil
	case errors.Is(err, io.EOF):
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return line, s.fail(KindUnknown, errors.Wrapf(err, "the stream ended before token %d", s.nextIndex))
	}
	if err := json.Unmarshal(text, &line); err != nil {
		return line, s.fail(KindUnknown, errors.Wrap(err, "decode a line of the stream"))
	}
	if line.Refusal == nil {
		return line, nil
	}
	return line, s.fail(s.refusalKind(line.Refusal), line.Refusal)
}

// refusalKind returns the kind of a refusal. Once the first line was read, the
// engine has acted, so that of the known kinds only KindGone can be true.
func (s *lineStream) refusalKind(refusal *Refusal) Kind {
	if refusal.hasKnownKind() && (!s.hasFirstLine || refusal.Kind == KindGone) {
		return refusal.Kind
	}
	return KindUnknown
}

// fail ends the stream: this and each later Next returns the error.
func (s *lineStream) fail(kind Kind, err error) error {
	s.endErr = &Error{Kind: kind, Upstream: s.upstream, Err: err}
	return s.endErr
}
