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
	// maxReplyBytes is the longest reply that is read.
	maxReplyBytes = 32 << 20
	// maxReasonBytes is the part of a refusal that is kept in an error.
	maxReasonBytes = 512
)

// Client reaches the service through its JSON gateway. It is a Store.
type Client struct {
	cfg     Settings
	counter Counter
	budget  budget
	// preferred is the index of the endpoint that answered last.
	preferred atomic.Int64
}

var _ Store = (*Client)(nil)

// New returns a client. Nothing is sent before its first call.
func New(cfg Settings, counter Counter) *Client {
	cfg = cfg.withDefaults()
	return &Client{
		cfg:     cfg,
		counter: counter,
		budget:  newBudget(cfg.Shares),
	}
}

// call makes one call inside the purpose's share and the deadline.
func (c *Client) call(ctx context.Context, purpose Purpose, call Call, path string, request, reply any) error {
	if err := c.admit(ctx, purpose, call); err != nil {
		return err
	}
	return c.send(ctx, purpose, call, path, request, reply)
}

func (c *Client) admit(ctx context.Context, purpose Purpose, call Call) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.MaxWait)
	defer cancel()
	if err := c.budget.take(ctx, purpose, call); err != nil {
		return c.failed(purpose, KindNotDone, err)
	}
	return nil
}

// send makes one call inside the deadline.
func (c *Client) send(ctx context.Context, purpose Purpose, call Call, path string, request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	body, kind, err := c.open(ctx, purpose, call, path, request)
	if err != nil {
		return c.failed(purpose, kind, err)
	}
	defer poster.Drain(body)
	if err := json.NewDecoder(io.LimitReader(body, maxReplyBytes)).Decode(reply); err != nil {
		return c.failed(purpose, call.lost(), errors.Wrap(err, "read the reply"))
	}
	return nil
}

// lost is what is known when no reply came to a call that was sent.
func (c Call) lost() Kind {
	if c == CallSwap || c == CallGrant {
		return KindUnknown
	}
	return KindNotDone
}

func (c *Client) failed(purpose Purpose, kind Kind, err error) error {
	c.counter.Failed(purpose, kind)
	return &Error{Kind: kind, Err: err}
}

// open sends a request to the first endpoint that can be reached and returns
// the body of its reply. A write that was sent is not sent to another one.
func (c *Client) open(ctx context.Context, purpose Purpose, call Call, path string, request any) (io.ReadCloser, Kind, error) {
	first := int(c.preferred.Load())
	kind, err := KindNotDone, errors.New("no endpoints")
	for i := range c.tries(call) {
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
		if sent && (call.writes() || refused(err)) || ctx.Err() != nil {
			break
		}
	}
	return nil, kind, err
}

// tries is how often a call is sent at most. A read has one more than there
// are endpoints, as its first connection may have ended unseen while idle.
func (c *Client) tries(call Call) int {
	if call.writes() || len(c.cfg.Endpoints) == 0 {
		return len(c.cfg.Endpoints)
	}
	return len(c.cfg.Endpoints) + 1
}

// refusal is the service's own answer that it did not do as asked.
type refusal struct {
	status int
	reason string
}

func (r *refusal) Error() string {
	return http.StatusText(r.status) + ": " + r.reason
}

// kindOf says what is known after a request that was sent. A client error is
// the service's statement that it did nothing; a server error is none.
func kindOf(call Call, err error) Kind {
	if refused(err) {
		return KindNotDone
	}
	return call.lost()
}

func refused(err error) bool {
	var r *refusal
	return errors.As(err, &r) && r.status < http.StatusInternalServerError
}

// post sends one request. It returns whether any of it may have been sent.
func (c *Client) post(ctx context.Context, url string, request any) (io.ReadCloser, bool, error) {
	reply, sent, err := poster.JSON(ctx, c.cfg.Client, url, request)
	if err != nil {
		return nil, sent, err
	}
	if reply.StatusCode == http.StatusOK {
		return reply.Body, true, nil
	}
	defer reply.Body.Close()
	reason, err := io.ReadAll(io.LimitReader(reply.Body, maxReasonBytes))
	if err != nil {
		return nil, true, errors.Wrap(err, "read the refusal")
	}
	return nil, true, &refusal{status: reply.StatusCode, reason: string(reason)}
}
