package deduper_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/figtrack/figtrack/deduper"
	"github.com/figtrack/figtrack/wire"
)

// FuzzDecode checks that any bytes are refused or make events that a core
// and a home with a request of that key can take.
func FuzzDecode(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		m := &wire.RequestState{}
		if proto.Unmarshal(data, m) != nil {
			return
		}
		event, home, err := deduper.Decode(deduper.Start{VM: "vm2", Incarnation: 1}, m)
		if err != nil {
			return
		}
		now := time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)
		if event != nil {
			core := deduper.New()
			key := deduper.Key("k")
			core.Step(now, deduper.CallerArrived{Key: key, Request: "r1", Writer: 1, Repeatable: true})
			core.Step(now, event)
			core.Step(now.Add(deduper.HomeWait), deduper.Wake{})
			return
		}
		h := deduper.NewHome()
		h.Step(now, deduper.Asked{From: deduper.Start{VM: "vm1", Incarnation: 1}, Key: "k", Serial: 1})
		h.Step(now, home)
		h.Step(now.Add(deduper.YieldWait), deduper.HomeWake{})
	})
}
