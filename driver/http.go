package driver

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/poster"
)

// maxReplyBytes bounds what is read of a reply that is not a stream.
const maxReplyBytes = 8 << 20

// httpEngine implements Engine with JSON over HTTP.
type httpEngine struct {
	id      identifier.Upstream
	baseURL string
	client  *http.Client
	// calls is the number of the latest call. It begins at a random one, as the next
	// client of the engine may use the same connections.
	calls atomic.Uint64
}

// NewHTTP returns a client of the engine at baseURL. The HTTP client must have
// no timeout, as that would end streams; the ctx of each call bounds it.
func NewHTTP(id identifier.Upstream, baseURL string, client *http.Client) Engine {
	e := &httpEngine{id: id, baseURL: baseURL, client: client}
	e.calls.Store(rand.Uint64())
	return e
}

func (e *httpEngine) Load(ctx context.Context) (Load, error) {
	var reply Load
	return reply, e.call(ctx, PathLoad, struct{}{}, &reply)
}

func (e *httpEngine) CacheEvents(ctx context.Context, after identifier.Sequence) ([]CacheEvent, error) {
	var reply []CacheEvent
	err := e.call(ctx, PathCacheEvents, CacheEventsQuery{After: after}, &reply)
	return reply, err
}

func (e *httpEngine) Prefill(ctx context.Context, order PrefillRequest) (PrefillResult, error) {
	var reply PrefillReply
	if err := e.call(ctx, PathPrefill, order, &reply); err != nil {
		return PrefillResult{}, err
	}
	return reply.PrefillResult, e.checkHold(order.Hold, reply.Hold)
}

func (e *httpEngine) Import(ctx context.Context, order ImportRequest) (ImportResult, error) {
	var reply ImportReply
	if err := e.call(ctx, PathImport, order, &reply); err != nil {
		return ImportResult{}, err
	}
	return reply.ImportResult, e.checkHold(order.Hold, reply.Hold)
}

func (e *httpEngine) Decode(ctx context.Context, order DecodeRequest) (Stream, error) {
	return e.openStream(ctx, PathDecode, order, order.Hold, order.From)
}

func (e *httpEngine) Resume(ctx context.Context, hold identifier.Hold, from identifier.Tokens) (Stream, error) {
	return e.openStream(ctx, PathResume, HoldQuery{Hold: hold, From: from}, hold, from)
}

func (e *httpEngine) Release(ctx context.Context, hold identifier.Hold) error {
	return e.call(ctx, PathRelease, HoldQuery{Hold: hold}, &struct{}{})
}

func (e *httpEngine) Holds(ctx context.Context) (Holds, error) {
	var reply Holds
	err := e.call(ctx, PathHolds, struct{}{}, &reply)
	return reply, err
}

func (e *httpEngine) Order(ctx context.Context, order Order) (OrderResult, error) {
	var reply OrderResult
	err := e.call(ctx, PathOrder, order, &reply)
	return reply, err
}

func (e *httpEngine) newError(kind Kind, err error) error {
	return &Error{Kind: kind, Upstream: e.id, Err: err}
}

// checkHold returns an error if a reply is for another hold than the requested
// one.
func (e *httpEngine) checkHold(asked, answered identifier.Hold) error {
	if asked != answered {
		return e.newError(KindUnknown, errors.Errorf("the reply is for hold %+v, expected %+v", answered, asked))
	}
	return nil
}

// call posts a request and decodes the JSON reply.
func (e *httpEngine) call(ctx context.Context, path string, request, reply any) error {
	body, err := e.post(ctx, path, request)
	if err != nil {
		return err
	}
	defer poster.DrainBody(body)
	if err := json.NewDecoder(io.LimitReader(body, maxReplyBytes)).Decode(reply); err != nil {
		return e.newError(KindUnknown, errors.Wrapf(err, "read the reply to %s", path))
	}
	return nil
}

// openStream posts a request and returns the stream of the reply. The first line
// of the stream must have the expected hold.
func (e *httpEngine) openStream(ctx context.Context, path string, request any, hold identifier.Hold, from identifier.Tokens) (Stream, error) {
	body, err := e.post(ctx, path, request)
	if err != nil {
		return nil, err
	}
	s := newStream(e.id, body, from)
	if err := s.readFirstLine(hold); err != nil {
		body.Close()
		return nil, err
	}
	return s, nil
}

// post sends a request and returns the body of a reply with status 200. If there
// was no connection, the request was not sent, so the engine did not act.
func (e *httpEngine) post(ctx context.Context, path string, request any) (io.ReadCloser, error) {
	var conn net.Conn
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn }})
	call := strconv.FormatUint(e.calls.Add(1), 36)
	answer, sent, err := poster.PostJSON(ctx, e.client, e.baseURL+path, http.Header{CallHeader: {call}}, request)
	if err != nil && !sent {
		return nil, e.newError(KindNotRun, err)
	}
	if err != nil {
		return nil, e.newError(KindUnknown, err)
	}
	if named := answer.Header.Get(CallHeader); named != "" && named != call {
		answer.Body.Close()
		conn.Close() // The reply to this call may follow there.
		return nil, e.newError(KindUnknown, errors.Errorf("the reply to %s is for call %q, expected %q", path, named, call))
	}
	if answer.StatusCode == http.StatusOK {
		return answer.Body, nil
	}
	defer answer.Body.Close()
	return nil, e.refusalError(answer)
}

// refusalError returns the error for a reply with another status than 200. Only a
// Refusal with status 409 or 503 proves that the engine did not act; any other
// reply may come from a proxy or after the engine has acted.
func (e *httpEngine) refusalError(answer *http.Response) error {
	var refusal Refusal
	err := json.NewDecoder(io.LimitReader(answer.Body, maxReplyBytes)).Decode(&refusal)
	stated := answer.StatusCode == http.StatusConflict || answer.StatusCode == http.StatusServiceUnavailable
	if err != nil || !stated || !refusal.hasKnownKind() {
		return e.newError(KindUnknown, errors.Errorf("the reply has status %d and no valid refusal", answer.StatusCode))
	}
	return e.newError(refusal.Kind, &refusal)
}
