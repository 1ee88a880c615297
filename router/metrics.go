package router

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const namespace = "figtrack"

// latencyBuckets are in seconds; they include the stated targets 0.2 and 1 s.
var latencyBuckets = []float64{.005, .01, .025, .05, .1, .2, .3, .5, .75, 1, 1.5, 2.5, 5, 10, 14}

// Metrics are those of the router. All labels are bounded.
type Metrics struct {
	requests   *prometheus.CounterVec
	refusals   *prometheus.CounterVec
	inFlight   prometheus.Gauge
	firstByte  *prometheus.HistogramVec
	whole      *prometheus.HistogramVec
	calls      *prometheus.CounterVec
	callTimes  *prometheus.HistogramVec
	retries    *prometheus.CounterVec
	waits      prometheus.Histogram
	revision   prometheus.Gauge
	upstreams  prometheus.Gauge
	suspicions prometheus.Counter
	badEntries prometheus.Counter
	storeUp    prometheus.Gauge
	vms        prometheus.Gauge
}

// NewMetrics returns metrics that are in registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests:   counters("routed_requests_total", "Routed requests by kind of route and by what became of them.", "kind", "outcome"),
		refusals:   counters("routed_refusals_total", "Routed requests that were refused as not run, by reason.", "reason"),
		inFlight:   gauge("routed_requests_in_flight", "Routed requests without a final answer."),
		firstByte:  histograms("routed_first_byte_seconds", "Time from arrival to the first byte of a runner's answer.", "kind"),
		whole:      histograms("routed_answer_seconds", "Time from arrival to the end of a runner's answer.", "kind"),
		calls:      counters("runner_calls_total", "Calls to runners by call and by what came of them.", "call", "outcome"),
		callTimes:  histograms("runner_call_seconds", "Time of a call to a runner until the head of its answer.", "call"),
		retries:    counters("retry_budget_total", "Extra sends asked of the retry budget.", "verdict"),
		waits:      histogramOf("memory_wait_seconds", "Time that requests waited for decode memory."),
		revision:   gauge("configuration_revision", "Revision of the configuration in force."),
		upstreams:  gauge("known_upstreams", "Upstreams that are registered or missing since an outage."),
		suspicions: counter("upstream_suspicions_total", "Times that an upstream was passed over because a call got no answer."),
		badEntries: counter("unreadable_entries_total", "Entries of the store that could not be read."),
		storeUp:    gauge("store_up", "1 while the store answers this VM, else 0."),
		vms:        gauge("roster_vms", "VMs that live, or left a moment ago, by the store's word."),
	}
	registry.MustRegister(m.requests, m.refusals, m.inFlight, m.firstByte, m.whole, m.calls, m.callTimes, m.retries,
		m.waits, m.revision, m.upstreams, m.suspicions, m.badEntries, m.storeUp, m.vms)
	return m
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
}

func histograms(name, help, label string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: latencyBuckets}, []string{label})
}

func histogramOf(name, help string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: latencyBuckets})
}

func (m *Metrics) called(call, outcome string, took time.Duration) {
	m.calls.WithLabelValues(call, outcome).Inc()
	m.callTimes.WithLabelValues(call).Observe(took.Seconds())
}
