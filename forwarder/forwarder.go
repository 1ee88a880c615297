// Package forwarder proxies callers' requests to plain services.
//
// A call runs at most once unless the configuration allows it to be repeated. A
// call with an idempotency key is claimed before its first byte is sent to an
// upstream, so that no other VM sends it as well.
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
	"github.com/figtrack/figtrack/quarantiner"
	"github.com/figtrack/figtrack/registrar"
)

const (
	headerKey       = "Idempotency-Key"
	headerWorkspace = "Figtrack-Workspace"
	// maxKeyBytes is the maximum length of an idempotency key.
	maxKeyBytes = 255
	// maxBufferedBodyBytes is the size up to which a body is buffered, so that
	// it can be sent again. A larger body is streamed, unless the call is
	// claimed.
	maxBufferedBodyBytes = 64 << 10
	// maxTries is the maximum number of upstreams that one call is sent to.
	maxTries = 3
	// retryAfter is the Retry-After of responses to calls that were not sent.
	retryAfter = time.Second
)

// Claimer grants each idempotency key to one call only.
type Claimer interface {
	Claim(ctx context.Context, id claimer.Identity) claimer.Result
}

// Health reports which instances may receive calls, and is notified of the
// result of each call.
type Health interface {
	IsUsable(u identifier.Upstream) bool
	Succeeded(u identifier.Upstream)
	Failed(u identifier.Upstream, kind driver.Kind)
}

// Forwarder is the HTTP handler for the paths of plain services.
type Forwarder struct {
	registrar  *registrar.Registrar
	claimer    Claimer
	quarantine Quarantine
	health     Health
	// transport opens a connection for each call. Answers of services carry no id, so on a
	// reused connection a late copy of an answer would pass for the answer to the next call.
	transport http.RoundTripper
	// maxBodyBytes is the maximum size of a body that is read into memory, in
	// bytes. A call that is claimed must fit, since its body is hashed before
	// the claim.
	maxBodyBytes int64
	// callTimeout bounds a call with all its tries.
	callTimeout time.Duration
	// callCount counts the calls, to spread them over a service's instances in
	// turn.
	callCount atomic.Uint64
	log       zerolog.Logger
}

// New returns a forwarder for the services in r's catalogue. Its maxBody is in
// bytes; timeout bounds each call with all its tries.
func New(
	r *registrar.Registrar, c Claimer, q Quarantine, h Health, t http.RoundTripper,
	maxBody int64, timeout time.Duration, log zerolog.Logger,
) *Forwarder {
	return &Forwarder{
		registrar:    r,
		claimer:      c,
		quarantine:   q,
		health:       h,
		transport:    t,
		maxBodyBytes: maxBody,
		callTimeout:  timeout,
		log:          log,
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
	ctx, cancel := context.WithTimeout(r.Context(), f.callTimeout)
	defer cancel()
	c := &call{Forwarder: f, pool: pool, r: r.WithContext(ctx), key: r.Header.Get(headerKey)}
	c.id = requestID(c.key)
	w.Header().Set(outcomer.HeaderRequest, string(c.id))
	switch out := c.run(w, members).(type) {
	case nil:
	case outcomer.BrokenOff, outcomer.CallerGone:
		// Abort the connection, so that the caller sees that the answer is
		// incomplete.
		panic(http.ErrAbortHandler)
	case outcomer.UpstreamLost:
		_ = outcomer.Write(w, c.id, c.lossOutcome(out))
	default:
		_ = outcomer.Write(w, c.id, out)
	}
}

// lossOutcome returns UpstreamTimeout if the call's timeout has expired, and out
// otherwise.
func (c *call) lossOutcome(out outcomer.Outcome) outcomer.Outcome {
	if errors.Is(c.r.Context().Err(), context.DeadlineExceeded) {
		return outcomer.UpstreamTimeout{}
	}
	return out
}

// requestID returns the id of a call: its key, or a new UUID if it has no key or
// one that is too long.
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
	// id identifies the call in logs and error responses; see requestID.
	id identifier.Request
	// body is the buffered body; nil if the body is streamed.
	body []byte
	// fingerprint identifies the content, if hasFingerprint is set.
	fingerprint    quarantiner.Fingerprint
	hasFingerprint bool
	// isSuspect is set if the content may have crashed an instance. It must not run
	// beside another suspect then.
	isSuspect bool
}

// run sends the call to one instance after another until one handles it. It
// returns nil after a whole answer was copied to the caller.
func (c *call) run(w http.ResponseWriter, members []registrar.Upstream) outcomer.Outcome {
	if len(c.key) > maxKeyBytes {
		return outcomer.Malformed{}
	}
	repeatable := c.isRepeatable()
	if out := c.prepare(repeatable); out != nil {
		return out
	}
	instances := c.usableInstances(members)
	instances = instances[:min(len(instances), maxTries)]
	ran := outcomer.RanNo
	for i, u := range instances {
		if i > 0 && ran != outcomer.RanNo && c.checkQuarantine() != nil {
			break
		}
		result := c.try(w, i, u)
		c.recordTry(u, instances, result)
		if result == tryNoAnswer {
			ran = outcomer.RanUnknown
		}
		if !c.mayRetry(result, repeatable) {
			return result.outcome(ran)
		}
	}
	return tryNotSent.outcome(ran)
}

// try sends the call to an instance.
func (c *call) try(w http.ResponseWriter, i int, u registrar.Upstream) tryResult {
	if !c.hasFingerprint {
		return c.sendTo(w, u)
	}
	run := c.runOf(i, u)
	if !c.startRun(run) {
		return tryNotSent
	}
	result := c.sendTo(w, u)
	c.endRun(run, result)
	return result
}

// mayRetry reports whether the call may be sent to another instance. A call that
// was not sent may be; a call that was sent and not answered only if it is
// repeatable. In both cases its body must be empty or buffered.
func (c *call) mayRetry(result tryResult, repeatable bool) bool {
	if c.r.Context().Err() != nil {
		return false
	}
	switch result {
	case tryNotSent:
		return c.body != nil || c.r.ContentLength == 0
	case tryNoAnswer:
		return repeatable && (c.body != nil || c.r.ContentLength == 0)
	default:
		return false
	}
}

// prepare buffers the body if it must be hashed or is small enough to be sent
// again, and claims a keyed call that is not repeatable. It returns nil if the call
// may run.
func (c *call) prepare(repeatable bool) outcomer.Outcome {
	claimed := !repeatable && c.key != ""
	if claimed || c.r.ContentLength > 0 && c.r.ContentLength <= maxBufferedBodyBytes {
		body, out := c.readBody()
		if out != nil {
			return out
		}
		c.body = body
	}
	c.fingerprintContent()
	if out := c.checkQuarantine(); out != nil || !claimed {
		return out
	}
	return c.claim()
}

// claim claims the call's key. It returns nil if the claim was granted.
func (c *call) claim() outcomer.Outcome {
	id := claimer.Identify(
		identifier.Workspace(c.r.Header.Get(headerWorkspace)),
		identifier.Request(c.key),
		requestIdentity(c.r, c.body),
	)
	result := c.claimer.Claim(c.r.Context(), id)
	if result.Granted() {
		return nil
	}
	return outcomer.FromClaim(result, retryAfter)
}

// usableInstances returns the usable instances, beginning with the next one in
// turn.
func (c *call) usableInstances(members []registrar.Upstream) []registrar.Upstream {
	if len(members) == 0 {
		return nil
	}
	first := int(c.callCount.Add(1) % uint64(len(members)))
	turned := append(append([]registrar.Upstream{}, members[first:]...), members[:first]...)
	var usable []registrar.Upstream
	for _, u := range turned {
		if !u.Leaving && c.health.IsUsable(u.ID) {
			usable = append(usable, u)
		}
	}
	return usable
}

// recordTry reports the result of a try to health and logs it, with the
// instances of the call in the order in which they are tried.
func (c *call) recordTry(u registrar.Upstream, instances []registrar.Upstream, result tryResult) {
	switch {
	case result == tryAnswered:
		c.health.Succeeded(u.ID)
	case result != tryUnread && c.r.Context().Err() == nil:
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
