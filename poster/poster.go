// Package poster sends HTTP requests whose caller must know whether they may
// have run.
package poster

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// dialTimeout is the longest wait for a connection.
	dialTimeout = 2 * time.Second
	// keepAlive is the time between probes of an idle connection.
	keepAlive = 15 * time.Second
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 90 * time.Second
	// idlePerHost is the unused connections that are kept to one host.
	idlePerHost = 64
	// maxRestBytes is the rest of a reply that is read for its connection.
	maxRestBytes = 4 << 10
)

// NewClient returns a client for calls between figtrack and its neighbours.
// It has no timeout, as each call's context has one.
func NewClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
}

// Do sends a request at most once: it follows no redirect, and the transport
// doesn't send it again by itself. Only GET, HEAD, OPTIONS and TRACE may go
// out twice, when a connection breaks that was used before. Sent is false if
// no byte of the request can have left, so that it did not run.
func Do(client *http.Client, r *http.Request) (reply *http.Response, sent bool, err error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	r = r.Clone(httptrace.WithClientTrace(r.Context(), trace))
	hideKeys(r.Header)
	once := *client
	once.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	reply, err = once.Do(r)
	return reply, connected.Load(), err
}

// JSON posts a JSON document as Do does.
func JSON(ctx context.Context, client *http.Client, url string, request any) (reply *http.Response, sent bool, err error) {
	payload, err := json.Marshal(request)
	if err != nil {
		return nil, false, errors.Wrap(err, "encode the request")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(payload))
	if err != nil {
		return nil, false, errors.Wrap(err, "build the request")
	}
	r.Header.Set("Content-Type", "application/json")
	reply, sent, err = Do(client, r)
	return reply, sent, errors.WithStack(err)
}

// Drain closes the body of a reply. It first reads a rest that is short, so
// that the connection can be used again.
func Drain(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxRestBytes)
	body.Close()
}

// hideKeys writes the idempotency headers in lower case. By their canonical
// names net/http takes a request for one that it may send a second time when
// its connection breaks.
func hideKeys(h http.Header) {
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if values, ok := h[name]; ok {
			delete(h, name)
			h[strings.ToLower(name)] = values
		}
	}
}
