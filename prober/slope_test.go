package prober_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkSlope measures the membership's cost per VM by fleet size, in a fleet
// without faults, at 0 and 5% loss. The processor time includes the simulated
// network.
func BenchmarkSlope(b *testing.B) {
	for _, loss := range []float64{0, 0.05} {
		for _, n := range []int{7, 40, 160, 320} {
			b.Run(fmt.Sprintf("loss=%.2f/VMs=%d", loss, n), func(b *testing.B) {
				before := allocated()
				f := newFleet(n, loss, 1)
				f.run(150 * time.Second)
				held := float64(allocated()-before) / float64(n)
				f.resetCounts()
				b.ResetTimer()
				for range b.N {
					f.run(time.Second)
				}
				bytes, sent := f.counts()
				seconds := float64(b.N) * float64(n)
				b.ReportMetric(float64(b.Elapsed().Microseconds())/seconds, "µs/VM/s")
				b.ReportMetric(float64(bytes)/seconds, "sent-B/VM/s")
				b.ReportMetric(float64(sent)/seconds, "messages/VM/s")
				b.ReportMetric(held/1000, "KB/VM")
				runtime.KeepAlive(f)
			})
		}
	}
}

func allocated() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
