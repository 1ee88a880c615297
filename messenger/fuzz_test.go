package messenger

import (
	"bufio"
	"bytes"
	"testing"

	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/wire"
)

// FuzzRead reads arbitrary bytes as messages of a peer. It guards against bytes that end a
// process, and against a message that is accepted twice.
func FuzzRead(f *testing.F) {
	var b bytes.Buffer
	for _, sequence := range []uint64{1, 2, 1, 1 << 63} {
		if _, err := protodelim.MarshalTo(&b, &wire.Envelope{Deployment: "d", From: "vm-2", Incarnation: 1, Sequence: sequence}); err != nil {
			f.Fatal(err)
		}
	}
	f.Add(b.Bytes())
	f.Add([]byte("\xff\xff\xff\xff\xff\xff\xff\xff\x7f"))
	f.Fuzz(func(t *testing.T, data []byte) {
		m := &Messenger{deployment: "d", windows: map[identifier.VM]*replayWindow{"vm-2": {}}}
		seen := map[[2]uint64]bool{}
		r := bufio.NewReader(bytes.NewReader(data))
		for {
			e, err := m.read(r)
			if err != nil {
				return
			}
			if m.validate("vm-2", e) != "" {
				continue
			}
			if id := [2]uint64{e.Incarnation, e.Sequence}; seen[id] {
				t.Fatalf("message %v was accepted twice", id)
			} else {
				seen[id] = true
			}
		}
	})
}
