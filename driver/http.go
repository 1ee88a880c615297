package driver

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/poster"
)

// maxReplyBytes is the longest reply that is read, streams excepted.
const maxReplyBytes = 8 << 20

// httpEngine is an engine that speaks HTTP with JSON.
type httpEngine struct {
	id      identifier.Upstream
	baseURL string
	client  *http.Client
}

// NewHTTP returns an engine that is reached at a base URL. The client must
// have no timeout of its own; each call ends with its ctx.
func NewHTTP(id identifier.Upstream, baseURL string, client *http.Client) Engine {
	return &httpEngine{id: id, baseURL: baseURL, client: client}
}

func (e *httpEngine) Load(ctx context.Context) (Load, error) {
	var reply Load
	return reply, e.call(ctx, PathLoad, struct{}{}, &reply)
}

func (e *httpEngine) CacheEvents(ctx context.Context, after identifier.Sequence) ([]CacheEvent, error) {
	var reply []CacheEvent
	err := e.call(ctx, PathCacheEvents, CacheQuery{After: after}, &reply)
	return reply, err
}

func (e *httpEngine) Prefill(ctx context.Context, order PrefillOrder) (PrefillResult, error) {
	var reply PrefillReply
	if err := e.call(ctx, PathPrefill, order, &reply); err != nil {
		return PrefillResult{}, err
	}
	return reply.PrefillResult, e.checkHold(order.Hold, reply.Hold)
}

func (e *httpEngine) Import(ctx context.Context, order ImportOrder) (ImportResult, error) {
	var reply ImportReply
	if err := e.call(ctx, PathImport, order, &reply); err != nil {
		return ImportResult{}, err
	}
	return reply.ImportResult, e.checkHold(order.Hold, reply.Hold)
}

func (e *httpEngine) Decode(ctx context.Context, order DecodeOrder) (Stream, error) {
	return e.stream(ctx, PathDecode, order, order.Hold, order.From)
}

func (e *httpEngine) Resume(ctx context.Context, hold identifier.Hold, from identifier.Tokens) (Stream, error) {
	return e.stream(ctx, PathResume, HoldQuery{Hold: hold, From: from}, hold, from)
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

func (e *httpEngine) fail(kind Kind, err error) error {
	return &Error{Kind: kind, Upstream: e.id, Err: err}
}

// checkHold refuses an answer for another attempt.
func (e *httpEngine) checkHold(asked, answered identifier.Hold) error {
	if asked != answered {
		return e.fail(KindUnknown, errors.New("the answer is for another attempt"))
	}
	return nil
}

func (e *httpEngine) call(ctx context.Context, path string, request, reply any) error {
	body, err := e.post(ctx, path, request)
	if err != nil {
		return err
	}
	defer poster.Drain(body)
	if err := json.NewDecoder(io.LimitReader(body, maxReplyBytes)).Decode(reply); err != nil {
		return e.fail(KindUnknown, errors.Wrap(err, "read the answer"))
	}
	return nil
}

func (e *httpEngine) stream(ctx context.Context, path string, request any, hold identifier.Hold, from identifier.Tokens) (Stream, error) {
	body, err := e.post(ctx, path, request)
	if err != nil {
		return nil, err
	}
	s := newStream(e.id, body, from)
	if err := s.open(hold); err != nil {
		body.Close()
		return nil, err
	}
	return s, nil
}

// post sends a request and returns the body of a good answer. Until there is
// a connection nothing was sent, so the engine did not act.
func (e *httpEngine) post(ctx context.Context, path string, request any) (io.ReadCloser, error) {
	answer, sent, err := poster.JSON(ctx, e.client, e.baseURL+path, request)
	if err != nil && !sent {
		return nil, e.fail(KindNotRun, err)
	}
	if err != nil {
		return nil, e.fail(KindUnknown, err)
	}
	if answer.StatusCode == http.StatusOK {
		return answer.Body, nil
	}
	defer answer.Body.Close()
	return nil, e.refused(answer)
}

// refused reads the engine's own statement of what it did not do.
func (e *httpEngine) refused(answer *http.Response) error {
	var refusal Refusal
	err := json.NewDecoder(io.LimitReader(answer.Body, maxReplyBytes)).Decode(&refusal)
	stated := answer.StatusCode == http.StatusConflict || answer.StatusCode == http.StatusServiceUnavailable
	if err != nil || !stated || !refusal.known() {
		return e.fail(KindUnknown, errors.Errorf("answer with status %d", answer.StatusCode))
	}
	return e.fail(refusal.Kind, &refusal)
}
