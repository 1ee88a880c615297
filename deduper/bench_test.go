package deduper_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/figtrack/figtrack/deduper"
	"github.com/figtrack/figtrack/identifier"
)

// BenchmarkToken measures the processing of one token with 600 keyed requests in
// flight.
func BenchmarkToken(b *testing.B) {
	now := time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)
	core := deduper.New(deduper.Start{VM: "vm1", Incarnation: 1})
	const requests = 600
	ids := make([]identifier.Request, requests)
	readers := make([]deduper.Reader, requests)
	for i := range requests {
		ids[i] = identifier.Request(fmt.Sprint("r", i))
		key := deduper.Key(fmt.Sprint("k", i))
		asked := core.Step(now, deduper.CallerArrived{Key: key, Request: ids[i], Writer: deduper.Writer(i + 1), Repeatable: true})
		for _, o := range core.Step(now, deduper.HomeAnswered{Key: key, Serial: asked[0].(deduper.AskHome).Serial}) {
			if o, ok := o.(deduper.StartAttempt); ok {
				readers[i] = o.Reader
			}
		}
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		i := n % requests
		core.Step(now, deduper.TokenArrived{
			Request: ids[i], Attempt: 1, Reader: readers[i], Index: identifier.Tokens(n / requests), Text: "word ",
		})
	}
}
