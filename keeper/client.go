package keeper

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/poster"
)

const (
	// maxReplyBytes bounds the part of a reply that is decoded.
	maxReplyBytes = 32 << 20
	// maxReasonBytes bounds the part of an error reply that is kept in an error.
	maxReasonBytes = 512
)

// Client is a Store that calls the service through its JSON gateway.
type Client struct {
	cfg     Settings
	counter Counter
	budget  budget
	// preferred is the index of the endpoint that is tried first: the one that
	// answered last, or the one after an endpoint that failed.
	preferred atomic.Int64
}

var _ Store = (*Client)(nil)

// New returns a client with defaults in place of unset Settings. It sends
// nothing before the first call.
func New(cfg Settings, counter Counter) *Client {
	cfg = cfg.withDefaults()
	return &Client{
		cfg:     cfg,
		counter: counter,
		budget:  newBudget(cfg.Shares),
	}
}

// call waits for the rate of the purpose, makes one call within the timeout
// and decodes its reply.
func (c *Client) call(ctx context.Context, purpose Purpose, call Call, path string, request, reply any) error {
	if err := c.waitForShare(ctx, purpose, call); err != nil {
		return err
	}
	return c.send(ctx, purpose, call, path, request, reply)
}

// waitForShare waits up to MaxWait until the rate of the purpose allows a call.
func (c *Client) waitForShare(ctx context.Context, purpose Purpose, call Call) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.MaxWait)
	defer cancel()
	if err := c.budget.wait(ctx, purpose, call); err != nil {
		return c.recordFailure(purpose, KindNotDone, err)
	}
	return nil
}

// send makes one call, without regard to the rate of the purpose. The timeout bounds a
// whole write, and the wait for each byte of a read, whose length depends on the fleet;
// MaxListTransfer bounds a whole read.
func (c *Client) send(ctx context.Context, purpose Purpose, call Call, path string, request, reply any) error {
	whole := MaxListTransfer
	if call.isWrite() {
		whole = c.cfg.Timeout
	}
	ctx, progress := poster.WithProgress(ctx, c.cfg.Timeout, c.cfg.Timeout, whole, poster.ErrStalled)
	defer progress.Stop()
	body, kind, err := c.sendToAny(ctx, purpose, call, path, request)
	if err != nil {
		return c.recordFailure(purpose, kind, err)
	}
	defer poster.DrainBody(body)
	if err := json.NewDecoder(progress.Reader(io.LimitReader(body, maxReplyBytes))).Decode(reply); err != nil {
		return c.recordFailure(purpose, call.kindWithoutReply(), errors.Wrap(err, "decode the store's reply"))
	}
	return nil
}

// kindWithoutReply returns the kind of error for a call that was sent and got no
// usable reply: KindUnknown for CallSwap and CallGrant, which may have taken
// effect.
func (c Call) kindWithoutReply() Kind {
	if c == CallSwap || c == CallGrant {
		return KindUnknown
	}
	return KindNotDone
}

// recordFailure counts a failed call and returns its error.
func (c *Client) recordFailure(purpose Purpose, kind Kind, err error) error {
	c.counter.Failed(purpose, kind)
	return &Error{Kind: kind, Err: err}
}

// sendToAny sends a request to the endpoints in turn, from the preferred one on,
// and returns the body of the first reply. A write that may have been sent is
// not sent to another endpoint, as it could run twice.
func (c *Client) sendToAny(ctx context.Context, purpose Purpose, call Call, path string, request any) (io.ReadCloser, Kind, error) {
	first := int(c.preferred.Load())
	kind, err := KindNotDone, errors.New("no store endpoints are configured")
	for i := range c.maxTries(call) {
		n := (first + i) % len(c.cfg.Endpoints)
		var body io.ReadCloser
		var sent bool
		body, sent, err = c.post(ctx, c.cfg.Endpoints[n]+path, request)
		if sent {
			c.counter.Called(purpose, call)
		}
		if err == nil {
			c.preferred.Store(int64(n))
			return body, "", nil
		}
		c.preferred.Store(int64((n + 1) % len(c.cfg.Endpoints)))
		if sent {
			kind = kindOf(call, err)
		}
		if sent && (call.isWrite() || isRefusal(err)) || ctx.Err() != nil {
			break
		}
	}
	return nil, kind, err
}

// maxTries returns how often a call is sent at most. A read has one try more than
// there are endpoints, as its first connection may have been closed while idle
// without this client noticing.
func (c *Client) maxTries(call Call) int {
	if call.isWrite() || len(c.cfg.Endpoints) == 0 {
		return len(c.cfg.Endpoints)
	}
	return len(c.cfg.Endpoints) + 1
}

// errorReply is a reply of the service with a status other than 200.
type errorReply struct {
	status int
	reason string
}

func (r *errorReply) Error() string {
	return http.StatusText(r.status) + ": " + r.reason
}

// kindOf returns the kind of error for a request that was sent. A status below
// 500 means that the service did nothing; a 5xx status leaves that open.
func kindOf(call Call, err error) Kind {
	if isRefusal(err) {
		return KindNotDone
	}
	return call.kindWithoutReply()
}

// isRefusal reports whether err is a reply of the service with a status below 500.
func isRefusal(err error) bool {
	var r *errorReply
	return errors.As(err, &r) && r.status < http.StatusInternalServerError
}

// post sends one request and returns the body of a reply with status 200. The
// boolean reports whether any part of the request may have been sent.
func (c *Client) post(ctx context.Context, url string, request any) (io.ReadCloser, bool, error) {
	reply, sent, err := poster.PostJSON(ctx, c.cfg.Client, url, nil, request)
	if err != nil {
		return nil, sent, err
	}
	if reply.StatusCode == http.StatusOK {
		return reply.Body, true, nil
	}
	defer reply.Body.Close()
	reason, err := io.ReadAll(io.LimitReader(reply.Body, maxReasonBytes))
	if err != nil {
		return nil, true, errors.Wrap(err, "read the error reply of the store")
	}
	return nil, true, &errorReply{status: reply.StatusCode, reason: string(reason)}
}
