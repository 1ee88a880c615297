package server

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/figtrack/figtrack/messenger"
)

// registerMetrics registers the metrics of all components.
func (s *Server) registerMetrics() {
	s.metrics.MustRegister(
		s.StoreMetrics,
		s.dispatcher,
		s.refusals,
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		gauge("requests_in_flight", "Requests of callers in flight on this VM.", func() float64 {
			return float64(s.listener.InFlight())
		}),
		gauge("live_vms", "VMs that this one takes for live.", func() float64 {
			return float64(len(s.LiveVMs()))
		}),
		gauge("impaired_upstreams", "Upstreams that are down or leaving, as this VM sees it.", func() float64 {
			return float64(len(s.health.impairedUpstreams()))
		}),
		gauge("configuration_revision", "Revision of the configuration in force.", func() float64 {
			return float64(s.Configuration().Revision)
		}),
		gauge("keys_expire_timestamp_seconds", "End of this VM's certificate, in seconds since 1970.", func() float64 {
			return float64(s.Keyring.ExpiresAt().Unix())
		}),
		gauge("health_ring_events", "Events that wait in the ring of upstream health.", func() float64 {
			return float64(len(s.health.queue))
		}),
	)
	s.registerMessageCounters()
}

// registerMessageCounters registers the counters of messages between VMs, unless
// the messenger was replaced by one that doesn't count.
func (s *Server) registerMessageCounters() {
	m, ok := s.messenger.(*messenger.Messenger)
	if !ok {
		return
	}
	for _, counter := range []struct {
		name, help string
		value      func(messenger.Counts) uint64
	}{
		{"messages_sent_total", "Messages sent to other VMs.", func(c messenger.Counts) uint64 { return c.Sent }},
		{"messages_received_total", "Messages received from other VMs.", func(c messenger.Counts) uint64 { return c.Received }},
		{"messages_dropped_total", "Messages that found a queue full or no connection.", func(c messenger.Counts) uint64 { return c.Dropped }},
		{"messages_refused_total", "Connections and messages refused for their certificate, sender or repetition.", func(c messenger.Counts) uint64 { return c.Refused }},
		{"message_sent_bytes_total", "Bytes of messages sent to other VMs.", func(c messenger.Counts) uint64 { return c.BytesSent }},
		{"message_received_bytes_total", "Bytes of messages received from other VMs.", func(c messenger.Counts) uint64 { return c.BytesReceived }},
	} {
		s.metrics.MustRegister(prometheus.NewCounterFunc(
			prometheus.CounterOpts{Namespace: "figtrack", Name: counter.name, Help: counter.help},
			func() float64 { return float64(counter.value(m.Counts())) },
		))
	}
}

func gauge(name, help string, value func() float64) prometheus.GaugeFunc {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "figtrack", Name: name, Help: help}, value)
}
