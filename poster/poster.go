// Package poster sends HTTP requests and reports whether a failed request may
// have reached the server.
package poster

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/verifier"
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 2 * time.Second
	// keepAliveInterval is the interval of TCP keep-alive probes.
	keepAliveInterval = 15 * time.Second
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 90 * time.Second
	// maxIdlePerHost is the maximum number of unused connections that are kept per
	// host.
	maxIdlePerHost = 64
	// maxHeadBytes bounds the head of a reply.
	maxHeadBytes = 64 << 10
	// maxDrainBytes bounds the unread part of a reply that DrainBody reads so
	// that the connection can be reused.
	maxDrainBytes = 4 << 10
)

// NewClient returns a client for calls between figtrack and the services that it
// uses. It has no timeout: the context of each request has to have a deadline.
func NewClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval}
	return &http.Client{Transport: &http.Transport{
		DialContext:         verifier.Dial(dialer.DialContext),
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeadBytes,
	}}
}

// Do sends a request at most once: it follows no redirect, and the transport
// doesn't retry it. Only GET, HEAD, OPTIONS and TRACE may be sent twice, if a
// reused connection breaks. Do returns false for sent if it got no connection, so
// that no part of the request was sent and the server did not run it.
func Do(client *http.Client, r *http.Request) (reply *http.Response, sent bool, err error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	r = r.Clone(httptrace.WithClientTrace(r.Context(), trace))
	lowerIdempotencyHeaders(r.Header)
	noRedirects := *client
	noRedirects.Transport = verifier.Transport{RoundTripper: cmp.Or(client.Transport, http.DefaultTransport)}
	noRedirects.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	reply, err = noRedirects.Do(r)
	return reply, connected.Load(), err
}

// PostJSON sends a POST request with header, which may be nil, and with request encoded
// as JSON. It returns the same as Do.
func PostJSON(ctx context.Context, client *http.Client, url string, header http.Header, request any) (reply *http.Response, sent bool, err error) {
	payload, err := json.Marshal(request)
	if err != nil {
		return nil, false, errors.Wrap(err, "encode the request body as JSON")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(payload))
	if err != nil {
		return nil, false, errors.Wrap(err, "create the HTTP request")
	}
	maps.Copy(r.Header, header)
	r.Header.Set("Content-Type", "application/json")
	reply, sent, err = Do(client, r)
	return reply, sent, errors.WithStack(err)
}

// DrainBody closes the body of a reply. It first reads up to maxDrainBytes of
// it, as the connection can be reused only if the body was read to its end.
func DrainBody(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxDrainBytes)
	body.Close()
}

// lowerIdempotencyHeaders changes the names of the idempotency headers to lower
// case. If net/http finds them under their canonical names, it treats the request
// as idempotent and may send it a second time if its connection breaks.
func lowerIdempotencyHeaders(h http.Header) {
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if values, ok := h[name]; ok {
			delete(h, name)
			h[strings.ToLower(name)] = values
		}
	}
}
