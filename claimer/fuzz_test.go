package claimer_test

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/figtrack/figtrack/claimer"
	"github.com/figtrack/figtrack/wire"
)

// FuzzSegment checks that DecodeSegment either rejects a value or returns a
// segment that survives a round trip.
func FuzzSegment(f *testing.F) {
	f.Fuzz(func(t *testing.T, value []byte) {
		s, err := claimer.DecodeSegment(value)
		if err != nil {
			return
		}
		once := claimer.EncodeSegment(s)
		again, err := claimer.DecodeSegment(once)
		if err != nil || !bytes.Equal(once, claimer.EncodeSegment(again)) {
			t.Fatalf("%v changed to %v in a round trip: %v", s, again, err)
		}
	})
}

// FuzzBase checks that DecodeBase either rejects a value or returns a base
// that survives a round trip.
func FuzzBase(f *testing.F) {
	f.Fuzz(func(t *testing.T, value []byte) {
		b, err := claimer.DecodeBase(value)
		if err != nil {
			return
		}
		once := claimer.EncodeBase(b)
		again, err := claimer.DecodeBase(once)
		if err != nil || !bytes.Equal(once, claimer.EncodeBase(again)) {
			t.Fatalf("%v changed to %v in a round trip: %v", b, again, err)
		}
	})
}

// FuzzMessage checks that DecodeAnswer and DecodeAsk either reject a message
// or return what it says, and that asks survive a round trip.
func FuzzMessage(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		m := &wire.Claim{}
		if proto.Unmarshal(data, m) != nil {
			return
		}
		if r, err := claimer.DecodeAnswer(m.GetAnswer()); err == nil && r.Granted() != (m.GetAnswer().GetVerdict() == "Granted") {
			t.Fatalf("%v was decoded as %v", m, r)
		}
		e, err := claimer.DecodeAsk(m.GetAsk())
		if err != nil {
			return
		}
		again, err := claimer.DecodeAsk(claimer.EncodeAsk(e).GetAsk())
		if err != nil || e != again {
			t.Fatalf("%v changed to %v in a round trip: %v", e, again, err)
		}
	})
}
