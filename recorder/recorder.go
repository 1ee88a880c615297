// Package recorder writes the results of requests to the metrics and the log.
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

// Targets looks up a class, which holds its latency targets.
type Targets interface {
	Class(name identifier.Class) (admitter.Class, bool)
}

// Recorder is a relayer.Recorder that writes to the metrics and the log. The
// number of label values is bounded: classes come from the configuration and
// reasons from the outcomer package.
type Recorder struct {
	targets     Targets
	log         zerolog.Logger
	requests    *prometheus.CounterVec
	inTarget    *prometheus.CounterVec
	firstToken  *prometheus.HistogramVec
	perToken    *prometheus.HistogramVec
	prefillTime *prometheus.CounterVec
	tokens      *prometheus.CounterVec
	retries     *prometheus.CounterVec
}

// Buckets of the latency histograms, in seconds. They include the targets of
// 0.38 s to the first token and 43 ms per token.
var (
	firstTokenBuckets = []float64{.025, .05, .1, .2, .3, .38, .5, .75, 1, 1.5, 2.5, 5, 10, 30, 60}
	perTokenBuckets   = []float64{.005, .01, .02, .03, .043, .06, .08, .1, .15, .25, .5, 1}
)

// New returns a recorder and registers its metrics with registry.
func New(targets Targets, registry prometheus.Registerer, log zerolog.Logger) *Recorder {
	r := &Recorder{
		targets:     targets,
		log:         log,
		requests:    counter("requests_total", "Completion requests by class and by what became of them.", "class", "outcome"),
		inTarget:    counter("requests_in_target_total", "Answered requests that met both targets of their class.", "class"),
		firstToken:  histogram("first_token_seconds", "Time from arrival to the first token.", firstTokenBuckets),
		perToken:    histogram("per_token_seconds", "Mean time between the later tokens of one answer.", perTokenBuckets),
		prefillTime: counter("prefill_seconds_total", "Engine time of prefills, by whether the answer came whole.", "class", "used"),
		tokens:      counter("tokens_total", "Generated tokens that were sent to callers.", "class"),
		retries:     counter("retries_total", "Attempts after the first.", "class"),
	}
	registry.MustRegister(r.requests, r.inTarget, r.firstToken, r.perToken, r.prefillTime, r.tokens, r.retries)
	return r
}

// namespace is the prefix of the metric names.
const namespace = "figtrack"

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func histogram(name, help string, buckets []float64) *prometheus.HistogramVec {
	opts := prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets}
	return prometheus.NewHistogramVec(opts, []string{"class"})
}

// RecordStart implements relayer.Recorder. The log lines Arrival and Cancel
// make the log of a run a trace that figtrack replay can read.
func (r *Recorder) RecordStart(job relayer.Job) {
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

// RecordResult implements relayer.Recorder.
func (r *Recorder) RecordResult(record relayer.Record) {
	class := string(record.Class)
	if _, gone := record.Outcome.(outcomer.CallerGone); gone {
		r.log.Info().EmbedObject(tracer.Cancel{Time: time.Now(), Request: record.Request}).Msg("Cancel")
	}
	reason := outcomer.Describe(record.Outcome).Reason
	r.requests.WithLabelValues(class, reason).Inc()
	r.prefillTime.WithLabelValues(class, "true").Add(record.PrefillUsed.Seconds())
	r.prefillTime.WithLabelValues(class, "false").Add(record.PrefillWasted.Seconds())
	r.tokens.WithLabelValues(class).Add(float64(record.Tokens))
	if record.Attempts > 1 {
		r.retries.WithLabelValues(class).Add(float64(record.Attempts - 1))
	}
	if record.Tokens > 0 {
		r.firstToken.WithLabelValues(class).Observe(record.FirstToken.Seconds())
	}
	if record.Tokens > 1 {
		r.perToken.WithLabelValues(class).Observe(record.PerToken.Seconds())
	}
	inTarget := r.meetsTargets(record)
	if inTarget {
		r.inTarget.WithLabelValues(class).Inc()
	}
	r.logResult(record, reason, inTarget)
}

// meetsTargets reports whether a request was answered within both targets of its
// class.
func (r *Recorder) meetsTargets(record relayer.Record) bool {
	if _, ok := record.Outcome.(outcomer.Answered); !ok {
		return false
	}
	class, ok := r.targets.Class(record.Class)
	return ok && record.FirstToken <= class.FirstToken && record.PerToken <= class.PerToken
}

func (r *Recorder) logResult(record relayer.Record, reason string, inTarget bool) {
	r.log.Info().
		Str("Request", string(record.Request)).
		Str("Class", string(record.Class)).
		Str("Workspace", string(record.Workspace)).
		Uint32("Attempts", uint32(record.Attempts)).
		Int("Tokens", int(record.Tokens)).
		Float64("FirstTokenMs", milliseconds(record.FirstToken)).
		Float64("PerTokenMs", milliseconds(record.PerToken)).
		Float64("PrefillUsedMs", milliseconds(record.PrefillUsed)).
		Float64("PrefillWastedMs", milliseconds(record.PrefillWasted)).
		Bool("InTarget", inTarget).
		Str("Outcome", reason).
		Msg("Ended")
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
