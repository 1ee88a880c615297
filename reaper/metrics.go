package reaper

import "github.com/prometheus/client_golang/prometheus"

// Listener names a listener of a process. Its values are labels of a metric.
type Listener string

// The listeners.
const (
	ListenerCallers   Listener = "Callers"
	ListenerReady     Listener = "Ready"
	ListenerMetrics   Listener = "Metrics"
	ListenerOperators Listener = "Operators"
)

// Metrics counts what the listeners of a process refuse.
type Metrics struct{ *prometheus.CounterVec }

// NewMetrics returns metrics without refusals.
func NewMetrics() Metrics {
	return Metrics{prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "figtrack", Name: "refused_clients_total",
		Help: "Connections that were refused or ended to keep memory and descriptors within their bounds, by listener and reason. None of their requests has run.",
	}, []string{"listener", "reason"})}
}

// For returns the counter of a listener.
func (m Metrics) For(l Listener) Counter { return listenerCounter{m, l} }

type listenerCounter struct {
	metrics  Metrics
	listener Listener
}

// Refused implements Counter.
func (c listenerCounter) Refused(by Reason) {
	c.metrics.WithLabelValues(string(c.listener), string(by)).Inc()
}
