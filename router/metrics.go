package router

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const namespace = "figtrack"

// latencyBuckets are in seconds; they include the specified targets 0.2 and 1 s.
var latencyBuckets = []float64{.005, .01, .025, .05, .1, .2, .3, .5, .75, 1, 1.5, 2.5, 5, 10, 14}

// Metrics are the metrics of the router. All labels have a bounded set of
// values.
type Metrics struct {
	accepted          prometheus.Counter
	ended             *prometheus.CounterVec
	requests          *prometheus.CounterVec
	refusals          *prometheus.CounterVec
	inFlight          prometheus.Gauge
	firstByteTimes    *prometheus.HistogramVec
	answerTimes       *prometheus.HistogramVec
	calls             *prometheus.CounterVec
	callTimes         *prometheus.HistogramVec
	retries           *prometheus.CounterVec
	memoryWaits       prometheus.Histogram
	revision          prometheus.Gauge
	upstreams         prometheus.Gauge
	suspicions        prometheus.Counter
	unreadableEntries prometheus.Counter
	storeUp           prometheus.Gauge
	storeRestores     prometheus.Counter
	vms               prometheus.Gauge
	pauses            prometheus.Counter
	suspectedTraits   prometheus.Counter
	blockedTraits     prometheus.Gauge
	limitedRunners    prometheus.Gauge
	takenUp           *prometheus.CounterVec
	unmarkedRefusals  *prometheus.CounterVec
	quotaDecisions    *prometheus.CounterVec
	quotaWaits        prometheus.Histogram
}

// NewMetrics returns metrics that are registered with registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		accepted:          newCounter("accepted_requests_total", "Requests whose header was read."),
		ended:             newCounterVec("ended_requests_total", "Requests that ended after their header was read, by what ended them. Their sum is that of the accepted ones while no request is open.", "by"),
		requests:          newCounterVec("routed_requests_total", "Routed requests by kind of route and by what became of them.", "kind", "outcome"),
		refusals:          newCounterVec("routed_refusals_total", "Routed requests that were refused as not run, by reason.", "reason"),
		inFlight:          newGauge("routed_requests_in_flight", "Routed requests without a final answer."),
		firstByteTimes:    newHistogramVec("routed_first_byte_seconds", "Time from arrival to the first byte of a runner's answer.", "kind"),
		answerTimes:       newHistogramVec("routed_answer_seconds", "Time from arrival to the end of a runner's answer.", "kind"),
		calls:             newCounterVec("runner_calls_total", "Calls to runners by call and by what came of them.", "call", "outcome"),
		callTimes:         newHistogramVec("runner_call_seconds", "Time of a call to a runner until the head of its answer.", "call"),
		retries:           newCounterVec("retry_budget_total", "Extra sends asked of the retry budget.", "verdict"),
		memoryWaits:       newHistogram("memory_wait_seconds", "Time that requests waited for decode memory."),
		revision:          newGauge("configuration_revision", "Revision of the configuration in force."),
		upstreams:         newGauge("known_upstreams", "Upstreams that are registered or missing since an outage."),
		suspicions:        newCounter("upstream_suspicions_total", "Times that an upstream was passed over because a call got no answer."),
		unreadableEntries: newCounter("unreadable_entries_total", "Entries of the store that could not be read."),
		storeUp:           newGauge("store_up", "1 while the store answers this VM, else 0."),
		storeRestores:     newCounter("store_restores_total", "Times that the store came back from a copy that lacks acknowledged writes."),
		vms:               newGauge("roster_vms", "VMs that live, or left a moment ago, by the store's word."),
		pauses:            newCounter("runner_pauses_total", "Times that a runner asked this VM to send it nothing for a while."),
		suspectedTraits:   newCounter("suspected_traits_total", "Crashes of runners that this VM counted against a trait of requests: a part of their prompts or their whole content."),
		takenUp:           newCounterVec("streams_taken_up_total", "Streams of which the caller has a part, by whether the version that began them is known.", "origin"),
		limitedRunners:    newGauge("limited_runners", "Runners that take only a rate of requests from all VMs together."),
		unmarkedRefusals:  newCounterVec("unmarked_refusals_total", "Answers of runners whose status says that the request has not run, without the runner's statement, by status.", "status"),
		quotaDecisions:    newCounterVec("quota_decisions_total", "Requests of workspaces with a limit, by verdict.", "verdict"),
		quotaWaits:        newHistogram("quota_wait_seconds", "Time that allowed requests of workspaces with a limit waited for credit."),
		blockedTraits:     newGauge("blocked_traits", "Traits on which runners crash; requests with one are refused."),
	}
	registry.MustRegister(m.accepted, m.ended, m.requests, m.refusals, m.inFlight, m.firstByteTimes, m.answerTimes, m.calls, m.callTimes, m.retries,
		m.memoryWaits, m.revision, m.upstreams, m.suspicions, m.unreadableEntries, m.storeUp, m.storeRestores, m.vms, m.pauses, m.suspectedTraits, m.blockedTraits, m.limitedRunners, m.takenUp, m.unmarkedRefusals, m.quotaDecisions, m.quotaWaits)
	return m
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func newCounter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
}

func newGauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
}

func newHistogramVec(name, help, label string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: latencyBuckets}, []string{label})
}

func newHistogram(name, help string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: latencyBuckets})
}

func (m *Metrics) recordCall(call, outcome string, took time.Duration) {
	m.calls.WithLabelValues(call, outcome).Inc()
	m.callTimes.WithLabelValues(call).Observe(took.Seconds())
}
