package keeper

import "github.com/prometheus/client_golang/prometheus"

// Call names a method of the service.
type Call string

// The calls of the service.
const (
	CallRange     Call = "Range"
	CallSwap      Call = "Swap"
	CallGrant     Call = "Grant"
	CallKeepAlive Call = "KeepAlive"
	CallWatch     Call = "Watch"
)

func (c Call) writes() bool {
	return c == CallSwap || c == CallGrant || c == CallKeepAlive
}

// Counter is told of every call. Its methods are safe for several goroutines.
type Counter interface {
	// Called counts a call that is sent to the service.
	Called(purpose Purpose, call Call)
	// Failed counts a call that failed, one beyond its share included.
	Failed(purpose Purpose, kind Kind)
	// Watching adds delta to the waiting watches.
	Watching(purpose Purpose, delta int)
}

// Metrics counts calls for Prometheus. It is a Counter and a
// prometheus.Collector.
type Metrics struct {
	calls    *prometheus.CounterVec
	failures *prometheus.CounterVec
	watches  *prometheus.GaugeVec
}

// NewMetrics returns metrics that stand at zero.
func NewMetrics() *Metrics {
	return &Metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "figtrack_store_calls_total",
			Help: "Calls sent to the platform's store.",
		}, []string{"purpose", "kind"}),
		failures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "figtrack_store_failures_total",
			Help: "Failed calls to the platform's store by what is known after them.",
		}, []string{"purpose", "kind"}),
		watches: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "figtrack_store_watches",
			Help: "Waiting watches at the platform's store.",
		}, []string{"purpose"}),
	}
}

// Called counts a call.
func (m *Metrics) Called(purpose Purpose, call Call) {
	m.calls.WithLabelValues(string(purpose), string(call)).Inc()
}

// Failed counts a failure.
func (m *Metrics) Failed(purpose Purpose, kind Kind) {
	m.failures.WithLabelValues(string(purpose), string(kind)).Inc()
}

// Watching adds to the waiting watches.
func (m *Metrics) Watching(purpose Purpose, delta int) {
	m.watches.WithLabelValues(string(purpose)).Add(float64(delta))
}

// Describe sends the descriptions of all metrics.
func (m *Metrics) Describe(ch chan<- *prometheus.Desc) {
	m.calls.Describe(ch)
	m.failures.Describe(ch)
	m.watches.Describe(ch)
}

// Collect sends the present values of all metrics.
func (m *Metrics) Collect(ch chan<- prometheus.Metric) {
	m.calls.Collect(ch)
	m.failures.Collect(ch)
	m.watches.Collect(ch)
}
