// Package forwarder brings callers' requests to plain services.
//
// A call runs at most once unless the configuration says that it may be
// repeated. A call with an idempotency key is claimed before its first byte
// goes to an upstream, so that no other VM sends it too.
package forwarder

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/figtrack/figtrack/claimer"
	"github.com/figtrack/figtrack/driver"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/outcomer"
	"github.com/figtrack/figtrack/registrar"
)

const (
	headerKey       = "Idempotency-Key"
	headerWorkspace = "Figtrack-Workspace"
	// maxKeyBytes is the largest length of an idempotency key.
	maxKeyBytes = 255
	// maxKeptBody is the largest body that is kept to be sent again, in bytes.
	maxKeptBody = 64 << 10
	// maxTries bounds the upstreams that one request is tried on.
	maxTries = 3
	// retryAfter is the wait that a caller is told when nothing was sent.
	retryAfter = time.Second
)

// Claimer keeps the at-most-once record.
type Claimer interface {
	Claim(ctx context.Context, id claimer.Identity) claimer.Result
}

// Health tells which instances may get calls and hears how calls went.
type Health interface {
	Usable(u identifier.Upstream) bool
	Succeeded(u identifier.Upstream)
	Failed(u identifier.Upstream, kind driver.Kind)
}

// Transports reach the services.
type Transports struct {
	// Kept keeps its connections open.
	Kept http.RoundTripper
	// Fresh makes a connection for each call.
	Fresh http.RoundTripper
}

// Forwarder serves the paths of plain services.
type Forwarder struct {
	registrar  *registrar.Registrar
	claimer    Claimer
	health     Health
	transports Transports
	// maxBody is the largest body of a keyed call, in bytes: it is hashed
	// before the claim.
	maxBody int64
	timeout time.Duration
	// turn spreads requests over the instances of a service.
	turn atomic.Uint64
	log  zerolog.Logger
}

// New returns a forwarder.
func New(
	r *registrar.Registrar, c Claimer, h Health, t Transports,
	maxBody int64, timeout time.Duration, log zerolog.Logger,
) *Forwarder {
	return &Forwarder{
		registrar:  r,
		claimer:    c,
		health:     h,
		transports: t,
		maxBody:    maxBody,
		timeout:    timeout,
		log:        log,
	}
}

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	pool, members, ok := f.registrar.Catalog().Service(r.URL.Path)
	if !ok {
		note := fmt.Sprintf("No service has a prefix of %q.", r.URL.Path)
		_ = outcomer.Write(w, "", outcomer.UnknownRoute{}, note)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), f.timeout)
	defer cancel()
	c := &call{Forwarder: f, pool: pool, r: r.WithContext(ctx), key: r.Header.Get(headerKey)}
	c.id = requestID(c.key)
	w.Header().Set(outcomer.HeaderRequest, string(c.id))
	switch out := c.run(w, members).(type) {
	case nil:
	case outcomer.BrokenOff, outcomer.CallerGone:
		// The caller must see that the answer is not whole.
		panic(http.ErrAbortHandler)
	case outcomer.UpstreamLost:
		_ = outcomer.Write(w, c.id, c.lost(out))
	default:
		_ = outcomer.Write(w, c.id, out)
	}
}

// lost tells a timeout from another loss of the upstream.
func (c *call) lost(out outcomer.Outcome) outcomer.Outcome {
	if errors.Is(c.r.Context().Err(), context.DeadlineExceeded) {
		return outcomer.UpstreamTimeout{}
	}
	return out
}

// requestID returns the id of a call: its key where one can be taken.
func requestID(key string) identifier.Request {
	if key == "" || len(key) > maxKeyBytes {
		return identifier.Request(uuid.Must(uuid.NewV7()).String())
	}
	return identifier.Request(key)
}

// call is one request to a service.
type call struct {
	*Forwarder
	pool registrar.Pool
	r    *http.Request
	key  string
	// id names the call in logs and refusals: its key, or a new id.
	id identifier.Request
	// body is nil for a request whose body is streamed.
	body []byte
}

// run sends the call and returns nil once a whole answer was passed on.
func (c *call) run(w http.ResponseWriter, members []registrar.Upstream) outcomer.Outcome {
	if len(c.key) > maxKeyBytes {
		return outcomer.Malformed{}
	}
	repeatable := c.repeatable()
	if out := c.prepare(repeatable); out != nil {
		return out
	}
	instances := c.order(members)
	instances = instances[:min(len(instances), maxTries)]
	ran := outcomer.RanNo
	for _, u := range instances {
		result := c.send(w, u)
		c.record(u, instances, result)
		if result == sentNoAnswer {
			ran = outcomer.RanUnknown
		}
		if !c.again(result, repeatable) {
			return result.outcome(ran)
		}
	}
	return sentNothing.outcome(ran)
}

// again says whether the call may go to another instance: always when it was
// not sent, and after a failure only when it may run twice.
func (c *call) again(result sent, repeatable bool) bool {
	if c.r.Context().Err() != nil {
		return false
	}
	switch result {
	case sentNothing:
		return c.body != nil || c.r.ContentLength == 0
	case sentNoAnswer:
		return repeatable && (c.body != nil || c.r.ContentLength == 0)
	default:
		return false
	}
}

// prepare reads the body where it must be hashed or may be sent again, and
// claims a keyed call that may not be repeated.
func (c *call) prepare(repeatable bool) outcomer.Outcome {
	claimed := !repeatable && c.key != ""
	if claimed || c.r.ContentLength > 0 && c.r.ContentLength <= maxKeptBody {
		body, out := c.read()
		if out != nil {
			return out
		}
		c.body = body
	}
	if !claimed {
		return nil
	}
	return c.claim()
}

func (c *call) claim() outcomer.Outcome {
	id := claimer.Identify(
		identifier.Workspace(c.r.Header.Get(headerWorkspace)),
		identifier.Request(c.key),
		identity(c.r, c.body),
	)
	result := c.claimer.Claim(c.r.Context(), id)
	if result.Granted() {
		return nil
	}
	return outcomer.FromClaim(result, retryAfter)
}

// order lists the usable instances from the next in turn.
func (c *call) order(members []registrar.Upstream) []registrar.Upstream {
	if len(members) == 0 {
		return nil
	}
	first := int(c.turn.Add(1) % uint64(len(members)))
	turned := append(append([]registrar.Upstream{}, members[first:]...), members[:first]...)
	var usable []registrar.Upstream
	for _, u := range turned {
		if !u.Leaving && c.health.Usable(u.ID) {
			usable = append(usable, u)
		}
	}
	return usable
}

// record tells health and the log how a try went. The instances are those that
// were weighed, in the order of their turn.
func (c *call) record(u registrar.Upstream, instances []registrar.Upstream, result sent) {
	switch {
	case result == sentAnswered:
		c.health.Succeeded(u.ID)
	case result != sentUnread && c.r.Context().Err() == nil:
		c.health.Failed(u.ID, driver.KindUnknown)
	}
	c.log.Info().
		Str("Request", string(c.id)).
		Str("Pool", string(c.pool.ID)).
		Str("Upstream", string(u.ID)).
		Strs("Weighed", ids(instances)).
		Str("Reason", "NextInTurn").
		Str("Result", string(result)).
		Msg("Forward")
}

func ids(upstreams []registrar.Upstream) []string {
	out := make([]string, 0, len(upstreams))
	for _, u := range upstreams {
		out = append(out, string(u.ID))
	}
	return out
}
