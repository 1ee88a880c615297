package deduper_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/figtrack/figtrack/deduper"
	"github.com/figtrack/figtrack/wire"
)

// FuzzDecode checks that Decode rejects arbitrary bytes or returns an event that
// a core or a home with a request of key k processes without panicking, and that
// the resulting messages can be decoded.
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
			core := deduper.New(deduper.Start{VM: "vm1", Incarnation: 1})
			asked := core.Step(now, deduper.CallerArrived{Key: "k", Request: "r1", Writer: 1, Repeatable: true})
			event = withSerial(event, asked[0].(deduper.AskHome).Serial)
			for _, o := range append(core.Step(now, event), core.Step(now.Add(deduper.HomeWait), deduper.Wake{})...) {
				checkDecodes(t, deduper.EncodeOutcome(o))
			}
			return
		}
		h := deduper.NewHome()
		h.Step(now, deduper.HomeAsked{From: deduper.Start{VM: "vm1", Incarnation: 1}, Key: "k", Serial: 1})
		for _, o := range append(h.Step(now, home), h.Step(now.Add(deduper.YieldWait), deduper.HomeWake{})...) {
			_, m := deduper.EncodeHomeOutcome(o)
			checkDecodes(t, m)
		}
	})
}

// withSerial sets an event's serial to the one that the core waits for.
func withSerial(event deduper.Event, serial uint64) deduper.Event {
	switch e := event.(type) {
	case deduper.HomeAnswered:
		e.Serial = serial
		return e
	case deduper.YieldAsked:
		e.Holding = serial
		return e
	}
	return event
}

// checkDecodes checks that a message sent by Core or Home can be decoded.
func checkDecodes(t *testing.T, m *wire.RequestState) {
	if m == nil {
		return
	}
	if _, _, err := deduper.Decode(deduper.Start{VM: "vm1"}, m); err != nil {
		t.Fatalf("%v can't be decoded: %v", m, err)
	}
}
