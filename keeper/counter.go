package keeper

import "github.com/prometheus/client_golang/prometheus"

// Call names a method of the service. It is the value of a metric label.
type Call string

// The calls of the service.
const (
	CallRange     Call = "Range"
	CallSwap      Call = "Swap"
	CallGrant     Call = "Grant"
	CallKeepAlive Call = "KeepAlive"
	CallWatch     Call = "Watch"
)

// isWrite reports whether a call counts against the rate of writes.
func (c Call) isWrite() bool {
	return c == CallSwap || c == CallGrant || c == CallKeepAlive
}

// Counter counts calls, failures and open watches. Its methods are safe for
// concurrent use.
type Counter interface {
	// Called counts a call that is sent to the service.
	Called(purpose Purpose, call Call)
	// Failed counts a call that failed, including one that was not sent because
	// it exceeded the rate of its purpose.
	Failed(purpose Purpose, kind Kind)
	// Watching adds delta to the number of open watches.
	Watching(purpose Purpose, delta int)
}

// Metrics is a Counter that is also a prometheus.Collector.
type Metrics struct {
	calls    *prometheus.CounterVec
	failures *prometheus.CounterVec
	watches  *prometheus.GaugeVec
}

// NewMetrics returns metrics with all counts at zero.
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

// Called implements Counter.
func (m *Metrics) Called(purpose Purpose, call Call) {
	m.calls.WithLabelValues(string(purpose), string(call)).Inc()
}

// Failed implements Counter.
func (m *Metrics) Failed(purpose Purpose, kind Kind) {
	m.failures.WithLabelValues(string(purpose), string(kind)).Inc()
}

// Watching implements Counter.
func (m *Metrics) Watching(purpose Purpose, delta int) {
	m.watches.WithLabelValues(string(purpose)).Add(float64(delta))
}

// Describe implements prometheus.Collector.
func (m *Metrics) Describe(ch chan<- *prometheus.Desc) {
	m.calls.Describe(ch)
	m.failures.Describe(ch)
	m.watches.Describe(ch)
}

// Collect implements prometheus.Collector.
func (m *Metrics) Collect(ch chan<- prometheus.Metric) {
	m.calls.Collect(ch)
	m.failures.Collect(ch)
	m.watches.Collect(ch)
}
