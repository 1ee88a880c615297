package quarantiner_test

import (
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/figtrack/figtrack/quarantiner"
	"github.com/figtrack/figtrack/wire"
)

// FuzzDecode checks that Decode either rejects its input or returns an event
// that a core accepts, and that marks survive a round trip through Encode and
// Decode.
func FuzzDecode(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		m := &wire.RequestState{}
		if proto.Unmarshal(data, m) != nil {
			return
		}
		e, err := quarantiner.Decode("vm2", m)
		if err != nil {
			return
		}
		now := time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)
		core := quarantiner.New()
		core.Step(now, e)
		core.Step(now.Add(quarantiner.ConfirmWait), quarantiner.Wake{})
		received, ok := e.(quarantiner.MarksReceived)
		if !ok {
			return
		}
		again, err := quarantiner.Decode("vm2", quarantiner.Encode(quarantiner.SendMarks{Marks: received.Marks, IsReply: received.IsReply}))
		if err != nil || !reflect.DeepEqual(received, again) {
			t.Fatalf("%v changed to %v in a round trip: %v", received, again, err)
		}
	})
}
