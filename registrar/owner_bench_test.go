package registrar_test

import (
	"testing"

	"github.com/figtrack/figtrack/registrar"
)

// BenchmarkOwner measures the choice of a shard's owner, which runs once for
// each shard of a membership view.
func BenchmarkOwner(b *testing.B) {
	c := registrar.New(newNilEngine).Replace([]registrar.Pool{{ID: "spec-desk"}}, runners(640))
	live := vms(320)
	shards := c.Shards()
	b.ResetTimer()
	for i := range b.N {
		shards[i%len(shards)].Owner(live)
	}
}
