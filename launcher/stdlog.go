package launcher

import (
	"bytes"
	"io"
)

// quoteMark begins the bytes of an answer that net/http quotes when they come on an idle
// connection. One of the store may hold the configuration with its API keys.
var quoteMark = []byte(" starting with ")

// unquotedWriter passes on the lines of the standard log without the bytes that they quote.
type unquotedWriter struct{ to io.Writer }

// Write implements io.Writer.
func (w unquotedWriter) Write(line []byte) (int, error) {
	head, _, _ := bytes.Cut(line, quoteMark)
	if _, err := w.to.Write(head); err != nil {
		return 0, err
	}
	return len(line), nil
}
