package configurer_test

import (
	"encoding/json"
	"testing"

	"github.com/figtrack/figtrack/configurer"
)

// FuzzChange checks that each change is either refused, or results in a document
// that is the same after it is encoded and decoded.
func FuzzChange(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		var c configurer.Change
		if json.Unmarshal(data, &c) != nil {
			return
		}
		d, conflict := configurer.ApplyChange(configurer.Document{}, c)
		if conflict != nil {
			return
		}
		value, err := configurer.Encode(d)
		if err != nil {
			return
		}
		again, err := configurer.Decode(value)
		if err != nil || len(configurer.Diff(d, again)) > 0 {
			t.Fatalf("%s is not the same after decoding: %v %v", value, err, configurer.Diff(d, again))
		}
	})
}

// FuzzDecode checks that a document in the store is either refused or is the same after it is
// encoded and decoded.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"Revision":1,"Pools":[{"ID":"a"}],"Classes":[{}]}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := configurer.Decode(data)
		if err != nil {
			return
		}
		value, err := configurer.Encode(d)
		if err != nil {
			return
		}
		again, err := configurer.Decode(value)
		if err != nil || len(configurer.Diff(d, again)) > 0 {
			t.Fatalf("%s is not the same after decoding: %v %v", value, err, configurer.Diff(d, again))
		}
	})
}
