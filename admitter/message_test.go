package admitter_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/wire"
)

var wireKey = admitter.Key{Request: "request-1", Attempt: 2}

var wireEvents = []admitter.Event{
	admitter.Ask{
		Key: wireKey, Class: "Quick", Workspace: "desk", Model: "kit-spec", From: "vm-1",
		FromDataCentre: "thamel-room", Prompt: 700, MaxOutput: 256, Prefix: []identifier.Block{1, 1 << 63},
		Arrived: start.Add(-time.Millisecond), Excluded: []identifier.Upstream{"spec-desk-1"}, Continues: true,
	},
	admitter.Adopt{
		Ask:     admitter.Ask{Key: wireKey, Class: "c", From: "vm-1", Prompt: 900, MaxOutput: 80, Arrived: start.Add(-time.Second)},
		Prefill: "p-1", Decode: "d-1", Pieces: 3, Stage: admitter.StageDecoding,
	},
	admitter.Withdraw{Key: admitter.Key{Request: "01a23e0b-1404-78b0-8140-172ed11d569c", Attempt: 1}},
	admitter.Withdraw{Key: admitter.Key{Request: "01A23E0B-1404-78b0-8140-172ed11d569c", Attempt: 1}},
	admitter.Withdraw{Key: wireKey},
	admitter.PrefillEnded{Key: wireKey, Cached: 256, Took: 20 * time.Millisecond},
	admitter.TransferEnded{Key: wireKey, Took: 7 * time.Millisecond},
	admitter.TransferFailed{Key: wireKey, Full: true},
	admitter.FirstToken{Key: wireKey},
	admitter.Ended{Key: wireKey, Output: 90, Failed: true},
}

var wireOutcomes = []admitter.Outcome{
	admitter.Place{
		Key: wireKey, To: "vm-1", Prefill: "spec-desk-1", Decode: "spec-desk-4", Pieces: 1,
		TransferWithin: time.Second, Promised: true, Predicted: 90 * time.Millisecond,
		Scores: []admitter.Score{{Upstream: "spec-desk-1", FirstToken: 80 * time.Millisecond}},
	},
	admitter.Move{Key: wireKey, To: "vm-1", Decode: "spec-desk-5", Pieces: 1, TransferWithin: time.Second},
	admitter.Refuse{Key: wireKey, To: "vm-1", Reason: admitter.ReasonQueueFull, RetryAfter: time.Second},
	admitter.Abandon{Key: wireKey, To: "vm-1", Reason: admitter.ReasonNoUpstream},
}

// roundTrip encodes and decodes a message.
func roundTrip(t *testing.T, m *wire.Placement) *wire.Placement {
	t.Helper()
	payload, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	got := &wire.Placement{}
	if err := proto.Unmarshal(payload, got); err != nil {
		t.Fatal(err)
	}
	return got
}

func TestEventsRoundTrip(t *testing.T) {
	for _, e := range wireEvents {
		t.Run(fmt.Sprintf("%T", e), func(t *testing.T) {
			g := NewWithT(t)
			m := roundTrip(t, admitter.EventToWire(start, "shard-1", e))
			g.Expect(m.GetShard()).To(Equal("shard-1"))
			g.Expect(admitter.EventFromWire(start, "vm-1", m)).To(Equal(e))
		})
	}
}

func TestOutcomesRoundTrip(t *testing.T) {
	for _, o := range wireOutcomes {
		t.Run(fmt.Sprintf("%T", o), func(t *testing.T) {
			g := NewWithT(t)
			to, m := admitter.OutcomeToWire("shard-1", o)
			g.Expect(to).To(Equal(identifier.VM("vm-1")))
			g.Expect(admitter.OutcomeFromWire(to, roundTrip(t, m))).To(Equal(o))
		})
	}
}

// FuzzPlacement checks that no message makes the conversion or the core panic,
// and that an accepted message is unchanged by encoding and decoding it again.
func FuzzPlacement(f *testing.F) {
	for _, e := range wireEvents {
		payload, _ := proto.Marshal(admitter.EventToWire(start, "shard-1", e))
		f.Add(payload)
	}
	for _, o := range wireOutcomes {
		_, m := admitter.OutcomeToWire("shard-1", o)
		payload, _ := proto.Marshal(m)
		f.Add(payload)
	}
	f.Fuzz(func(t *testing.T, payload []byte) {
		g := NewWithT(t)
		m := &wire.Placement{}
		if proto.Unmarshal(payload, m) != nil {
			return
		}
		if e, err := admitter.EventFromWire(start, "vm-1", m); err == nil {
			again := roundTrip(t, admitter.EventToWire(start, "shard-1", e))
			g.Expect(admitter.EventFromWire(start, "vm-1", again)).To(Equal(e))
			s := newShard(admitter.Settings{}, 2, 2)
			s.send(e)
			s.now = s.now.Add(time.Minute)
			s.send(admitter.Wake{})
		}
		if o, err := admitter.OutcomeFromWire("vm-1", m); err == nil {
			_, again := admitter.OutcomeToWire("shard-1", o)
			g.Expect(admitter.OutcomeFromWire("vm-1", roundTrip(t, again))).To(Equal(o))
		}
	})
}
