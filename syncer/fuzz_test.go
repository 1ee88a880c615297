package syncer_test

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/figtrack/figtrack/syncer"
	"github.com/figtrack/figtrack/wire"
)

// FuzzDecode checks that each message is either rejected, or stays the same when
// encoded and decoded again and is handled by a core without a panic.
func FuzzDecode(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		var m wire.Configuration
		if proto.Unmarshal(data, &m) != nil {
			return
		}
		message, err := syncer.Decode(&m)
		if err != nil {
			return
		}
		again, err := syncer.Decode(syncer.Encode(message))
		if err != nil || !reflect.DeepEqual(message, again) {
			t.Fatalf("%+v became %+v: %v", message, again, err)
		}
		core := syncer.New(syncer.Settings{VM: "vm-1"}, rand.New(rand.NewPCG(1, 1)))
		core.Step(time.Unix(1_800_000_000, 0), syncer.Received{From: "vm-2", Message: message})
	})
}
