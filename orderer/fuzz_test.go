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

// FuzzDecodeBudget expects that a budget from the store is either refused or stays the same
// when encoded and decoded again.
func FuzzDecodeBudget(f *testing.F) {
	f.Add([]byte(`{"Window":1,"Begun":2}`))
	f.Add([]byte(`{"Window":9223372036854775807,"Begun":-1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := orderer.DecodeBudget(data)
		if err != nil {
			return
		}
		_ = b.NextWindowStart()
		again, err := orderer.DecodeBudget(b.Encode())
		if err != nil || again != b {
			t.Fatalf("%+v became %+v: %v", b, again, err)
		}
	})
}
