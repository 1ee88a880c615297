// Package recorder measures what becomes of requests and serves the metrics.
package recorder

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/outcomer"
	"github.com/figtrack/figtrack/relayer"
	"github.com/figtrack/figtrack/tracer"
)

// Targets gives a class with its targets.
type Targets interface {
	Class(name identifier.Class) (admitter.Class, bool)
}

// Recorder is a relayer.Recorder that feeds metrics and the log. Its labels
// are bounded: classes come from the configuration and reasons from one table.
type Recorder struct {
	targets    Targets
	log        zerolog.Logger
	requests   *prometheus.CounterVec
	goodput    *prometheus.CounterVec
	firstToken *prometheus.HistogramVec
	perToken   *prometheus.HistogramVec
	prefill    *prometheus.CounterVec
	tokens     *prometheus.CounterVec
	retries    *prometheus.CounterVec
}

// Buckets of the latency histograms, in seconds. They include the targets
// 0.38 s and 43 ms.
var (
	firstTokenBuckets = []float64{.025, .05, .1, .2, .3, .38, .5, .75, 1, 1.5, 2.5, 5, 10, 30, 60}
	perTokenBuckets   = []float64{.005, .01, .02, .03, .043, .06, .08, .1, .15, .25, .5, 1}
)

// New returns a recorder whose metrics are in registry.
func New(targets Targets, registry prometheus.Registerer, log zerolog.Logger) *Recorder {
	r := &Recorder{
		targets:    targets,
		log:        log,
		requests:   counter("requests_total", "Completion requests by class and by what became of them.", "class", "outcome"),
		goodput:    counter("requests_in_target_total", "Answered requests that met both targets of their class.", "class"),
		firstToken: histogram("first_token_seconds", "Time from arrival to the first token.", firstTokenBuckets),
		perToken:   histogram("per_token_seconds", "Mean time between the later tokens of one answer.", perTokenBuckets),
		prefill:    counter("prefill_seconds_total", "Engine time of prefills, by whether the answer came whole.", "class", "used"),
		tokens:     counter("tokens_total", "Generated tokens that were sent to callers.", "class"),
		retries:    counter("retries_total", "Attempts after the first.", "class"),
	}
	registry.MustRegister(r.requests, r.goodput, r.firstToken, r.perToken, r.prefill, r.tokens, r.retries)
	return r
}

const namespace = "figtrack"

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func histogram(name, help string, buckets []float64) *prometheus.HistogramVec {
	opts := prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets}
	return prometheus.NewHistogramVec(opts, []string{"class"})
}

// Began implements relayer.Recorder. The lines of arrivals and cancels make the
// log of a run a trace that figtrack replay reads.
func (r *Recorder) Began(job relayer.Job) {
	r.log.Info().EmbedObject(tracer.Arrival{
		Time:      job.Arrived,
		Request:   job.Request,
		Class:     job.Class,
		Workspace: job.Workspace,
		Model:     job.Model,
		Prompt:    job.Tokens,
		MaxOutput: job.MaxOutput,
		Prefix:    job.Prefix,
	}).Msg("Arrival")
}

// Ended implements relayer.Recorder.
func (r *Recorder) Ended(one relayer.Record) {
	class := string(one.Class)
	if _, gone := one.Outcome.(outcomer.CallerGone); gone {
		r.log.Info().EmbedObject(tracer.Cancel{Time: time.Now(), Request: one.Request}).Msg("Cancel")
	}
	reason := outcomer.Describe(one.Outcome).Reason
	r.requests.WithLabelValues(class, reason).Inc()
	r.prefill.WithLabelValues(class, "true").Add(one.PrefillUsed.Seconds())
	r.prefill.WithLabelValues(class, "false").Add(one.PrefillWasted.Seconds())
	r.tokens.WithLabelValues(class).Add(float64(one.Tokens))
	if one.Attempts > 1 {
		r.retries.WithLabelValues(class).Add(float64(one.Attempts - 1))
	}
	if one.Tokens > 0 {
		r.firstToken.WithLabelValues(class).Observe(one.FirstToken.Seconds())
	}
	if one.Tokens > 1 {
		r.perToken.WithLabelValues(class).Observe(one.PerToken.Seconds())
	}
	inTarget := r.inTarget(one)
	if inTarget {
		r.goodput.WithLabelValues(class).Inc()
	}
	r.write(one, reason, inTarget)
}

// inTarget says whether an answer met both targets of its class.
func (r *Recorder) inTarget(one relayer.Record) bool {
	if _, ok := one.Outcome.(outcomer.Answered); !ok {
		return false
	}
	class, ok := r.targets.Class(one.Class)
	return ok && one.FirstToken <= class.FirstToken && one.PerToken <= class.PerToken
}

func (r *Recorder) write(one relayer.Record, reason string, inTarget bool) {
	r.log.Info().
		Str("Request", string(one.Request)).
		Str("Class", string(one.Class)).
		Str("Workspace", string(one.Workspace)).
		Uint32("Attempts", uint32(one.Attempts)).
		Int("Tokens", int(one.Tokens)).
		Float64("FirstTokenMs", milliseconds(one.FirstToken)).
		Float64("PerTokenMs", milliseconds(one.PerToken)).
		Float64("PrefillUsedMs", milliseconds(one.PrefillUsed)).
		Float64("PrefillWastedMs", milliseconds(one.PrefillWasted)).
		Bool("InTarget", inTarget).
		Str("Outcome", reason).
		Msg("Ended")
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
