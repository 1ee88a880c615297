package listener

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// timeoutWriter sets a deadline for each write, so that a caller that stops
// reading can't hold a request open.
type timeoutWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	// timeout bounds each write.
	timeout time.Duration
}

func newTimeoutWriter(w http.ResponseWriter, timeout time.Duration) *timeoutWriter {
	return &timeoutWriter{ResponseWriter: w, control: http.NewResponseController(w), timeout: timeout}
}

// Unwrap returns the wrapped writer to http.ResponseController.
func (w *timeoutWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *timeoutWriter) WriteHeader(status int) {
	// The error is ignored: without a deadline, the next Write fails.
	_ = w.extendDeadline()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *timeoutWriter) Write(part []byte) (int, error) {
	if err := w.extendDeadline(); err != nil {
		return 0, err
	}
	return w.ResponseWriter.Write(part)
}

func (w *timeoutWriter) extendDeadline() error {
	err := w.control.SetWriteDeadline(time.Now().Add(w.timeout))
	if errors.Is(err, http.ErrNotSupported) {
		return nil
	}
	return err
}
