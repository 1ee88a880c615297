package dispatcher

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/estimator"
	"github.com/figtrack/figtrack/identifier"
)

// shardSnapshot holds the metrics of one owned shard.
type shardSnapshot struct {
	shard     identifier.Shard
	estimates admitter.Estimates
}

var (
	queueDesc  = desc("queue_requests", "Requests that wait for a placement, by whether they can still meet their target.", "shard", "late")
	grantsDesc = desc("grants", "Placed attempts in the ledger of a shard.", "shard")
	parkedDesc = desc("grants_parked", "Placed attempts whose prefill result waits for decode memory.", "shard")
	errorDesc  = desc("estimate_error_ratio", "Mean error of an estimate relative to its mean.", "shard", "estimate")
	depthDesc  = desc("dispatcher_ring_commands", "Commands that wait in the dispatcher's ring.")
	ownedDesc  = desc("owned_shards", "Shards whose ledger this VM keeps.")
)

func desc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("figtrack_"+name, help, labels, nil)
}

// Describe implements prometheus.Collector.
func (d *Dispatcher) Describe(ch chan<- *prometheus.Desc) {
	for _, one := range []*prometheus.Desc{queueDesc, grantsDesc, parkedDesc, errorDesc, depthDesc, ownedDesc} {
		ch <- one
	}
}

// Collect implements prometheus.Collector.
func (d *Dispatcher) Collect(ch chan<- prometheus.Metric) {
	shards := *d.snapshots.Load()
	gauge(ch, depthDesc, float64(len(d.commands)))
	gauge(ch, ownedDesc, float64(len(shards)))
	for _, s := range shards {
		name := string(s.shard)
		gauge(ch, queueDesc, float64(s.estimates.Queue-s.estimates.Late), name, "false")
		gauge(ch, queueDesc, float64(s.estimates.Late), name, "true")
		gauge(ch, grantsDesc, float64(s.estimates.Grants), name)
		gauge(ch, parkedDesc, float64(s.estimates.Parked), name)
		for estimate, one := range deviations(s.estimates) {
			gauge(ch, errorDesc, one.Relative(), name, estimate)
		}
	}
}

func deviations(e admitter.Estimates) map[string]estimator.Deviation {
	return map[string]estimator.Deviation{
		"prefill":     e.Prefill,
		"cached":      e.Cached,
		"transfer":    e.Transfer,
		"pace":        e.Pace,
		"output":      e.Output,
		"first_token": e.FirstToken,
	}
}

func gauge(ch chan<- prometheus.Metric, d *prometheus.Desc, value float64, labels ...string) {
	ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
}

// updateSnapshots updates the snapshots for Collect. Only Run's goroutine may
// call it.
func (d *Dispatcher) updateSnapshots() {
	out := make([]shardSnapshot, 0, len(d.ownedShards))
	for _, id := range d.ownedIDs {
		out = append(out, shardSnapshot{shard: id, estimates: d.ownedShards[id].core.Estimates()})
	}
	d.snapshots.Store(&out)
}
