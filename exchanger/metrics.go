package exchanger

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/figtrack/figtrack/coordinator"
)

// Reasons to drop a datagram, beside those of the coordinator.
const (
	reasonTooLarge        coordinator.Reason = "TooLarge"
	reasonUnauthenticated coordinator.Reason = "Unauthenticated"
	reasonMalformed       coordinator.Reason = "Malformed"
	reasonMisdirected     coordinator.Reason = "Misdirected"
	reasonQueueFull       coordinator.Reason = "QueueFull"
	reasonNotSent         coordinator.Reason = "NotSent"
)

// Metrics are the metrics of the exchange between VMs.
type Metrics struct {
	reports, tries, digests, accepted, changes, bytes prometheus.Counter
	drops                                             *prometheus.CounterVec
}

// NewMetrics returns metrics that are registered with registry.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: "figtrack", Name: name, Help: help})
		registry.MustRegister(c)
		return c
	}
	m := &Metrics{
		reports:  counter("exchange_reports_total", "Reports of this VM to a coordinator."),
		tries:    counter("exchange_repeated_reports_total", "Reports that were sent again because no digest answered them."),
		digests:  counter("exchange_digests_total", "Reports of other VMs that this VM answered as the coordinator."),
		accepted: counter("exchange_accepted_digests_total", "Digests of a coordinator that this VM accepted."),
		changes:  counter("exchange_coordinator_changes_total", "Times that another VM than before answered as the coordinator."),
		bytes:    counter("exchange_sent_bytes_total", "Bytes of the datagrams to other VMs."),
		drops: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "figtrack", Name: "exchange_dropped_total", Help: "Datagrams that were dropped, by reason.",
		}, []string{"reason"}),
	}
	registry.MustRegister(m.drops)
	return m
}

func (m *Metrics) drop(r coordinator.Reason) { m.drops.WithLabelValues(string(r)).Inc() }
