package orderer_test

import (
	"reflect"
	"testing"

	"github.com/figtrack/figtrack/orderer"
)

// FuzzDecodeRecord expects that each value of the store is refused, or read
// to a record that is the same after it was written.
func FuzzDecodeRecord(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := orderer.DecodeRecord(data)
		if err != nil {
			return
		}
		again, err := orderer.DecodeRecord(r.Encode())
		if err != nil || (!reflect.DeepEqual(r, again) && len(r.Adapters) > 0) {
			t.Fatalf("%+v became %+v: %v", r, again, err)
		}
	})
}
