package listener

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// boundedWriter ends the answer of a caller that leaves a part of it unread.
type boundedWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	// timeout is the longest time that one part may stay unread.
	timeout time.Duration
}

func newBoundedWriter(w http.ResponseWriter, timeout time.Duration) *boundedWriter {
	return &boundedWriter{ResponseWriter: w, control: http.NewResponseController(w), timeout: timeout}
}

// Unwrap serves http.ResponseController.
func (w *boundedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *boundedWriter) WriteHeader(status int) {
	// A connection without a deadline fails at the next Write.
	_ = w.extend()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *boundedWriter) Write(part []byte) (int, error) {
	if err := w.extend(); err != nil {
		return 0, err
	}
	return w.ResponseWriter.Write(part)
}

func (w *boundedWriter) extend() error {
	err := w.control.SetWriteDeadline(time.Now().Add(w.timeout))
	if errors.Is(err, http.ErrNotSupported) {
		return nil
	}
	return err
}
