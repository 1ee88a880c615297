package syncer_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/figtrack/figtrack/configurer"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/syncer"
)

// newDocument returns a document with the given number of runners.
func newDocument(runners int) configurer.Document {
	var ops []configurer.Operation
	for i := range 20 {
		c := configurer.Class{Name: identifier.Class(fmt.Sprintf("class-%02d", i)), FirstToken: 38e7, PerToken: 43e6}
		ops = append(ops, configurer.AddClass{Class: c})
	}
	for i := range runners {
		ops = append(ops, configurer.AddUpstream{Upstream: configurer.Upstream{
			ID: identifier.Upstream(fmt.Sprintf("runner-%04d", i)), Address: fmt.Sprintf("10.20.%d.%d:8000", i/250, i%250),
			Role: identifier.RoleDecode, Pool: identifier.Pool(fmt.Sprintf("pool-%02d", i%38)), DataCentre: "thamel-room",
			Pieces: 60, Streams: 20,
		}})
	}
	d, conflict := configurer.ApplyChange(configurer.Document{}, configurer.Change{ID: "site", Operations: ops})
	if conflict != nil {
		panic(conflict)
	}
	return d
}

// BenchmarkSlope measures the cost of configuration sync per VM by fleet size,
// with two runners per VM, one accepted change every 54 s (1,600 a day) and 5%
// message loss. The CPU time includes the cores and the simulation.
func BenchmarkSlope(b *testing.B) {
	for _, n := range []int{7, 40, 160, 320} {
		b.Run(fmt.Sprintf("VMs=%d", n), func(b *testing.B) {
			f := newFleet(n, 0.05, 1)
			d := newDocument(2 * n)
			value, err := configurer.Encode(d)
			if err != nil {
				b.Fatal(err)
			}
			f.store.entry.Value, f.store.entry.Version = value, 1
			f.run(10 * time.Second)
			sent, bytes := 0, 0
			f.onSend = func(m syncer.Message) {
				sent++
				bytes += proto.Size(syncer.Encode(m)) + 110
			}
			b.ResetTimer()
			for i := range b.N {
				f.submit(vm(i%n), syncer.Token(i), addClass(fmt.Sprint(i)))
				f.run(54 * time.Second)
			}
			seconds := float64(b.N) * float64(n) * 54
			b.ReportMetric(float64(b.Elapsed().Microseconds())/seconds, "µs/VM/s")
			b.ReportMetric(float64(bytes)/seconds, "sent-B/VM/s")
			b.ReportMetric(float64(sent)/seconds, "messages/VM/s")
			b.ReportMetric(float64(len(value))/1000, "document-KB")
			packed := proto.Size(syncer.Encode(syncer.DocumentCopy{Value: value}))
			b.ReportMetric(float64(packed)/1000, "packed-KB")
		})
	}
}
