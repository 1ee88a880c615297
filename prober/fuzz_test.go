package prober_test

import (
	"reflect"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/figtrack/figtrack/prober"
	"github.com/figtrack/figtrack/wire"
)

// FuzzDecode expects that a message is either refused or decoded to a frame that
// stays the same when encoded and decoded again.
func FuzzDecode(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		var m wire.Membership
		if proto.Unmarshal(data, &m) != nil {
			return
		}
		frame, err := prober.Decode(&m)
		if err != nil {
			return
		}
		again, err := prober.Decode(prober.Encode(frame))
		if err != nil || !reflect.DeepEqual(frame, again) {
			t.Fatalf("%+v became %+v: %v", frame, again, err)
		}
	})
}
