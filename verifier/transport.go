package verifier

import (
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"

	"github.com/figtrack/figtrack/limiter"
)

// Transport is an http.RoundTripper whose answers are valid; see RoundTrip.
type Transport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	return RoundTrip(t.RoundTripper, r)
}

// CloseIdleConnections closes the idle connections of the transport below.
func (t Transport) CloseIdleConnections() {
	if c, ok := t.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// RoundTrip sends a request without an Upgrade over t and returns its answer. An answer that
// isn't valid is an error, and its connection is closed. Trailers are checked at the end of the
// body.
func RoundTrip(t http.RoundTripper, r *http.Request) (*http.Response, error) {
	var conn net.Conn
	var interim interimHeads
	trace := &httptrace.ClientTrace{
		GotConn:        func(info httptrace.GotConnInfo) { conn = info.Conn },
		Got1xxResponse: interim.check,
	}
	w, err := t.RoundTrip(limiter.Trace(r.WithContext(httptrace.WithClientTrace(r.Context(), trace))))
	if err != nil {
		return nil, err
	}
	if err := check(w); err != nil {
		closeConn(conn)
		w.Body.Close()
		return nil, err
	}
	if len(w.TransferEncoding) > 0 { // Only a chunked body has trailers.
		w.Body = &trailedBody{w.Body, w, conn}
	}
	return w, nil
}

// trailedBody is the body of an answer that ends with an error if its trailers aren't valid.
type trailedBody struct {
	io.ReadCloser
	answer *http.Response
	// conn is the connection of the answer; nil if it isn't known.
	conn net.Conn
}

// Read implements io.Reader.
func (b *trailedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if invalid := checkNames(b.answer.Trailer); invalid != nil {
		closeConn(b.conn)
		return n, invalid
	}
	return n, io.EOF
}

// closeConn closes the connection of an answer that isn't valid, unless it is nil: where the
// next answer begins isn't known.
func closeConn(c net.Conn) {
	if c != nil {
		c.Close()
	}
}

// check returns an error if the head of an answer isn't valid by RFC 9110, as far as net/http
// doesn't check it.
func check(w *http.Response) error {
	switch {
	case w.StatusCode < http.StatusContinue:
		return errors.Errorf("the answer has the malformed status %q", w.Status)
	case w.StatusCode < http.StatusOK: // net/http reads on after each one but 101.
		return errors.Errorf("the answer has status %q, but no upgrade was requested", w.Status)
	default:
		return checkNames(w.Header)
	}
}

// maxInterimBytes bounds the fields of the interim answers to a request.
const maxInterimBytes = 64 << 10

// interimHeads checks the heads of the interim answers to a request. Its bytes are those of all
// fields so far: net/http drops its own bound if a request has a hook for interim answers.
type interimHeads struct{ bytes int }

func (h *interimHeads) check(_ int, fields textproto.MIMEHeader) error {
	for name, values := range fields {
		for _, v := range values {
			h.bytes += len(name) + len(v)
		}
	}
	if h.bytes > maxInterimBytes {
		return errors.Errorf("the interim answers have over %d bytes", maxInterimBytes)
	}
	return checkNames(http.Header(fields))
}

// checkNames returns an error if the name of a field isn't valid. net/http lets blanks pass and
// takes the field for another one (https://go.dev/issue/34540).
func checkNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Errorf("the answer has a field with the malformed name %q", name)
		}
	}
	return nil
}
