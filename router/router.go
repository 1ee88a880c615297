package router

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/figtrack/figtrack/attempter"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/matcher"
)

// maxViewAge is the age of the view up to which a missing route proves that
// the route doesn't exist: during a longer outage of the store it may have
// been added.
const maxViewAge = time.Second

// notReadyRetryAfter is the Retry-After time of a VM without a configuration:
// the balancer needs about that long to send callers elsewhere.
const notReadyRetryAfter = time.Second

// Router serves the requests of callers.
type Router struct {
	fleet   *Fleet
	runners Runners
	metrics *Metrics
	log     zerolog.Logger
	// inFlight counts the requests without a final answer.
	inFlight atomic.Int64
	// isClosed is true once new requests are refused.
	isClosed atomic.Bool
}

// New returns a router that sends requests to the upstreams of fleet.
func New(fleet *Fleet, runners Runners, metrics *Metrics, log zerolog.Logger) *Router {
	return &Router{fleet: fleet, runners: runners, metrics: metrics, log: log}
}

// InFlight returns the number of requests without a final answer.
func (r *Router) InFlight() int { return int(r.inFlight.Load()) }

// End is what ended a request whose header was read. Its values are labels of a metric.
type End string

// The ends of a request.
const (
	// EndRefused means that the request was refused before it reached the router.
	EndRefused End = "Refused"
	// EndRouted means that Serve ended it.
	EndRouted End = "Routed"
	// EndPanicked means that its handler panicked.
	EndPanicked End = "Panicked"
)

// CountAccepted counts a request whose header was read. CountEnded has to be called once
// for each of them.
func (r *Router) CountAccepted() { r.metrics.accepted.Inc() }

// CountEnded counts the end of a request that CountAccepted has counted.
func (r *Router) CountEnded(by End) { r.metrics.ended.WithLabelValues(string(by)).Inc() }

// Close makes the router refuse new requests; those in flight go on.
func (r *Router) Close() { r.isClosed.Store(true) }

// Limits returns the limits on callers' requests; false before the first
// configuration.
func (r *Router) Limits() (Limits, bool) {
	c := r.fleet.configuration.Load()
	if c == nil {
		return Limits{}, false
	}
	return c.Limits, true
}

// Serve answers one request. It returns when the answer is sent or when ctx,
// which ends with the caller's connection, has ended.
func (r *Router) Serve(ctx context.Context, q *Request, caller Caller) {
	r.inFlight.Add(1)
	r.metrics.inFlight.Inc()
	defer func() {
		r.inFlight.Add(-1)
		r.metrics.inFlight.Dec()
	}()
	configuration := r.fleet.configuration.Load()
	if configuration == nil || !r.fleet.IsReady() || r.isClosed.Load() {
		r.reply(q, caller, "", NotRun{Reason: reasonNotReady, After: notReadyRetryAfter})
		return
	}
	route, ok := configuration.Routes.Match(q.Host, path(q.Target))
	if !ok {
		r.replyNoRoute(q, caller, configuration)
		return
	}
	workspace, refused := r.checkAccess(q, route, configuration)
	if refused != nil {
		r.reply(q, caller, route.Kind, refused)
		return
	}
	job, ok := r.newJob(ctx, q, route, configuration)
	if !ok {
		refusal := NotRun{Reason: reasonUnknownSoftware}
		if q.LastEvent == "" {
			refusal.After = defaultRetryAfter // Another VM may be in touch with the store.
		}
		r.reply(q, caller, route.Kind, refusal)
		return
	}
	job.Priority = priorityOf(workspace, route)
	r.log.Info().
		Str("Request", string(q.ID)).
		Str("Route", route.Name).
		Str("Workspace", string(q.Workspace)).
		Str("Pool", string(job.Pool)).
		Str("Software", string(job.Software)).
		Uint64("Revision", uint64(configuration.Revision)).
		Dur("ViewAge", r.fleet.ViewAge(q.Arrived)).
		Int("Input", int(job.Input)).
		Int("Output", int(q.Prompt.Output)).
		Int("Expected", int(q.Prompt.Expected)).
		Strs("Parts", q.Prompt.partIDs()).
		Str("Content", string(job.Traits[len(job.Traits)-1])).
		Dur("Left", job.Deadline.Sub(q.Arrived)).
		Str("Kind", string(route.Kind)).
		Dur("Target", route.Target).
		Dur("Gap", route.Gap).
		Msg("Arrived")
	if r.refuseThrottled(q, caller, route.Kind, job) {
		return
	}
	if refused := r.takeQuota(ctx, q, workspace, job); refused != nil {
		r.reply(q, caller, route.Kind, refused)
		return
	}
	r.fleet.recordArrival(q.Arrived, job)
	newProxiedRequest(r, q, caller, route, job).serve(ctx)
}

// Reasons for which the router itself refuses requests.
const (
	reasonNotReady attempter.Reason = "NotReady"
	reasonNoRoute  attempter.Reason = "NoRoute"
	reasonOldView  attempter.Reason = "OldView"
	// reasonPanic means that the core of the request panicked.
	reasonPanic attempter.Reason = "Panic"
)

// replyNoRoute answers a request that matches no route. Only a fresh view
// proves that there is none.
func (r *Router) replyNoRoute(q *Request, caller Caller, c *Configuration) {
	now := time.Now()
	age := r.fleet.ViewAge(now)
	if !r.fleet.IsCertain(now) {
		r.reply(q, caller, "", NotRun{Reason: reasonOldView, After: notReadyRetryAfter})
		return
	}
	r.log.Info().Str("Request", string(q.ID)).Uint64("Revision", uint64(c.Revision)).Dur("ViewAge", age).Msg("RouteUnknown")
	r.reply(q, caller, "", NoRoute{})
}

// newJob returns what is known of a request at its arrival. It reports false for a stream
// that can't go on, as the version that began it isn't known.
func (r *Router) newJob(ctx context.Context, q *Request, route matcher.Route, c *Configuration) (attempter.Job, bool) {
	limit := route.Timeout
	if q.Patience > 0 && (limit == 0 || q.Patience < limit) {
		limit = q.Patience
	}
	share := rand.Float64()
	if route.Resumable {
		share = fractionOf(q.stream()) // A stream stays in its pool when it is taken up.
	}
	pool := route.ChoosePool(share)
	software, ok := r.chooseSoftware(ctx, q, route, pool)
	if !ok {
		return attempter.Job{}, false
	}
	traits := traitsOf(q)
	return attempter.Job{
		Software:      software,
		IsTakenUp:     route.Resumable && q.LastEvent != "",
		Request:       q.ID,
		Pool:          pool,
		IsRepeatable:  route.IsRepeatable(),
		IsStream:      route.Kind == matcher.KindStream,
		NeedsEngine:   c.Pools[pool].HasEngines,
		Traits:        traits,
		PrefillTraits: prefillTraitsOf(traits),
		Input:         q.Prompt.Input,
		Output:        outputEstimate(q.Prompt),
		MaxAttempts:   max(route.MaxAttempts, 1),
		Target:        route.Target,
		Arrived:       q.Arrived,
		Deadline:      q.Arrived.Add(limit),
	}, true
}

// fractionOf returns a number from 0 to 1 that follows from an id.
func fractionOf(id identifier.Request) float64 {
	const mantissaBits = 53
	return float64(xxhash.Sum64String(string(id))>>(64-mantissaBits)) / (1 << mantissaBits)
}

// outputEstimate returns the tokens to reserve for an answer: the caller's
// estimate or else its maximum. Declared maxima are several times as long as
// answers, so reserving them would leave memory unused during a surge; an
// answer that outgrows its reservation uses memory that others leave free.
func outputEstimate(p Prompt) identifier.Tokens {
	if p.Expected <= 0 {
		return p.Output
	}
	return min(p.Expected, p.Output)
}

// path returns a request target without its query.
func path(target string) string {
	p, _, _ := strings.Cut(target, "?")
	return p
}

// reply logs, counts and sends a final answer that figtrack itself makes.
func (r *Router) reply(q *Request, caller Caller, kind matcher.Kind, reply Reply) {
	line := r.log.Info().Str("Request", string(q.ID)).Dur("Took", time.Since(q.Arrived))
	var outcome string
	switch reply := reply.(type) {
	case NotRun:
		outcome = "NotRun"
		r.returnQuota(q)
		r.metrics.refusals.WithLabelValues(string(reply.Reason)).Inc()
		line = line.Str("Reason", string(reply.Reason)).Dur("ComeBack", reply.After)
	case Unknown:
		outcome = "Unknown"
		line = line.Str("Reason", string(reply.Reason)).Bool("Late", reply.Late)
	case NoRoute:
		outcome = "NoRoute"
		line = line.Str("Reason", string(reasonNoRoute))
	case Unauthorized:
		outcome = "Unauthorized"
		line = line.Bool("HasKey", !q.Key.IsZero())
	case OverQuota:
		outcome = "OverQuota"
		line = line.Str("Workspace", string(q.Workspace)).Dur("ComeBack", reply.After)
	case Broken:
		outcome = "Broken"
		line = line.Str("Reason", string(reply.Reason))
	}
	line.Msg(outcome)
	r.metrics.requests.WithLabelValues(string(kind), outcome).Inc()
	caller.Reply(reply)
}
