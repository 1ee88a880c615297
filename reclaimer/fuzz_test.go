package reclaimer_test

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/reclaimer"
	"github.com/figtrack/figtrack/wire"
)

// FuzzDecode checks that any bytes are refused or answered with a subset of the
// holds that the question contains.
func FuzzDecode(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		m := &wire.RequestState{}
		if proto.Unmarshal(data, m) != nil {
			return
		}
		answer, err := reclaimer.AnswerAsk(m.GetVouchAsk(), func(id identifier.Hold) bool { return id.Attempt%2 == 0 })
		if err != nil {
			return
		}
		_, e, err := reclaimer.DecodeAnswer(reclaimer.Start{VM: "vm1"}, answer.GetVouchAnswer())
		if err != nil || len(e.Vouched) > len(m.GetVouchAsk().GetHolds()) {
			t.Fatalf("answer %v: %v", answer, err)
		}
		for _, id := range e.Vouched {
			if id.Attempt%2 != 0 || id.VM == "" {
				t.Fatalf("vouched for %v", id)
			}
		}
	})
}
