package registrar_test

import (
	"testing"

	"github.com/figtrack/figtrack/registrar"
)

// BenchmarkOwner measures what is worked out once for each shard of a view.
func BenchmarkOwner(b *testing.B) {
	c := registrar.New(dial).Replace([]registrar.Pool{{ID: "spec-desk"}}, runners(640))
	live := vms(320)
	shards := c.Shards()
	b.ResetTimer()
	for i := range b.N {
		shards[i%len(shards)].Owner(live)
	}
}
