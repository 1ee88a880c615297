package admitter_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/wire"
)

var messageTime = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

func throughBytes(g *WithT, p *wire.Placement) *wire.Placement {
	bytes, err := proto.Marshal(p)
	g.Expect(err).NotTo(HaveOccurred())
	var out wire.Placement
	g.Expect(proto.Unmarshal(bytes, &out)).To(Succeed())
	return &out
}

func TestMessagesKeepEveryField(t *testing.T) {
	g := NewWithT(t)
	key := admitter.Key{Request: "r-1", Attempt: 2}
	events := []admitter.Event{
		admitter.Ask{
			Key: key, Class: "QuickReplies", Workspace: "w", Model: "m", From: "vm-2", FromDataCentre: "dc",
			Prompt: 900, MaxOutput: 80, Prefix: []identifier.Block{1, 1 << 63},
			Arrived: messageTime.Add(-1500 * time.Microsecond), Excluded: []identifier.Upstream{"p-1"},
		},
		admitter.Withdraw{Key: key},
		admitter.PrefillEnded{Key: key, Cached: 512, Took: 40 * time.Millisecond},
		admitter.TransferEnded{Key: key, Took: 7 * time.Millisecond},
		admitter.TransferFailed{Key: key, Full: true},
		admitter.FirstToken{Key: key},
		admitter.Ended{Key: key, Output: 70, Failed: true},
	}
	for _, e := range events {
		p := throughBytes(g, admitter.EventToWire(messageTime, "spec-desk/0", e))
		g.Expect(p.GetShard()).To(Equal("spec-desk/0"))
		got, ok := admitter.EventFromWire(messageTime, "vm-2", p)
		g.Expect(ok).To(BeTrue())
		g.Expect(got).To(Equal(e))
	}
	outcomes := []admitter.Outcome{
		admitter.Place{
			Key: key, To: "vm-2", Prefill: "p-1", Decode: "d-1", Pieces: 4,
			TransferWithin: time.Second, Promised: true, Predicted: 200 * time.Millisecond,
		},
		admitter.Move{Key: key, To: "vm-2", Decode: "d-2", Pieces: 4, TransferWithin: time.Second},
		admitter.Refuse{Key: key, To: "vm-2", Reason: admitter.ReasonQueueFull, RetryAfter: time.Second},
		admitter.Abandon{Key: key, To: "vm-2", Reason: admitter.ReasonNoUpstream},
	}
	for _, o := range outcomes {
		got, ok := admitter.OutcomeFromWire("vm-2", throughBytes(g, admitter.OutcomeToWire(o)))
		g.Expect(ok).To(BeTrue())
		g.Expect(got).To(Equal(o))
	}
}

func FuzzMessage(f *testing.F) {
	ask, _ := proto.Marshal(admitter.EventToWire(messageTime, "s", admitter.Ask{Key: admitter.Key{Request: "r"}}))
	place, _ := proto.Marshal(admitter.OutcomeToWire(admitter.Place{Key: admitter.Key{Request: "r"}}))
	f.Add(ask)
	f.Add(place)
	f.Fuzz(func(t *testing.T, bytes []byte) {
		var p wire.Placement
		if proto.Unmarshal(bytes, &p) != nil {
			return
		}
		e, isEvent := admitter.EventFromWire(messageTime, "vm-1", &p)
		_, isOutcome := admitter.OutcomeFromWire("vm-1", &p)
		if isEvent && isOutcome {
			t.Fatal("one message is both")
		}
		if ask, ok := e.(admitter.Ask); ok && (ask.MaxOutput < 1 || ask.Arrived.After(messageTime)) {
			t.Fatalf("impossible ask %+v", ask)
		}
	})
}
