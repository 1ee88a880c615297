package quarantiner_test

import (
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/figtrack/figtrack/quarantiner"
	"github.com/figtrack/figtrack/wire"
)

// FuzzDecode checks that any bytes are refused or make events that a core
// can take, and that marks are the same after another way over the wire.
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
		told, ok := e.(quarantiner.Told)
		if !ok {
			return
		}
		again, err := quarantiner.Decode("vm2", quarantiner.Encode(quarantiner.Tell{Marks: told.Marks, Answer: told.Answer}))
		if err != nil || !reflect.DeepEqual(told, again) {
			t.Fatalf("%v became %v: %v", told, again, err)
		}
	})
}
