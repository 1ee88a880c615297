package orderer_test

import (
	"reflect"
	"testing"

	"github.com/figtrack/figtrack/orderer"
)

// FuzzDecodeRecord expects that a value from the store is either refused or
// decoded to a record that stays the same when encoded and decoded again.
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
