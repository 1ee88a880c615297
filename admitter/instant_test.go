package admitter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/identifier"
)

// TestZeroPaceDoesNotPanic guards against a panic: with a learned time per
// token of zero, the predicted number of generated tokens was NaN.
func TestZeroPaceDoesNotPanic(t *testing.T) {
	g := NewWithT(t)
	now := time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)
	core := admitter.New(admitter.Settings{Shard: "s"}, rand.New(rand.NewPCG(1, 2)))
	core.Step(now, admitter.ClassChanged{Class: admitter.Class{Name: "c", FirstToken: time.Second, PerToken: time.Second}})
	for _, u := range []admitter.Upstream{
		{ID: "p", Role: identifier.RolePrefill, State: admitter.UpstreamUp},
		{ID: "d", Role: identifier.RoleDecode, Pieces: 1000, Streams: 500, State: admitter.UpstreamUp},
	} {
		core.Step(now, admitter.UpstreamChanged{Upstream: u})
	}
	var placed []admitter.Key
	step := func(e admitter.Event) {
		for _, o := range core.Step(now, e) {
			if p, ok := o.(admitter.Place); ok {
				placed = append(placed, p.Key)
			}
		}
	}
	// maxWaited is in milliseconds.
	const maxWaited = 500
	asked := 0
	for batch := range 60 {
		// Let expected transfers expire before the next batch.
		now = now.Add(time.Second)
		placed = nil
		for range batch {
			asked++
			step(admitter.Ask{
				Key:   admitter.Key{Request: identifier.Request(fmt.Sprint(asked)), Attempt: 1},
				Class: "c", Prompt: 250, MaxOutput: 128, Arrived: now,
			})
		}
		for i := range batch {
			for waited := 0; len(placed) == i && waited < maxWaited; waited++ {
				now = now.Add(time.Millisecond)
				step(admitter.Wake{})
			}
			g.Expect(len(placed)).To(BeNumerically(">", i))
			step(admitter.PrefillEnded{Key: placed[i]})
			step(admitter.TransferEnded{Key: placed[i]})
			step(admitter.FirstToken{Key: placed[i]})
		}
		now = now.Add(time.Microsecond)
		for _, key := range placed {
			step(admitter.Ended{Key: key, Output: 128})
		}
	}
}
