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

// TestAdoptedAttemptsOccupyDecodeStreams guards against a new owner that
// ignores streams placed by an earlier owner and then exceeds the stream limit
// of an engine.
func TestAdoptedAttemptsOccupyDecodeStreams(t *testing.T) {
	g := NewWithT(t)
	const streams = 5
	core := admitter.New(admitter.Settings{Shard: "s", Prefer: admitter.PreferWastedPrefill}, rand.New(rand.NewPCG(1, 2)))
	core.Step(start, admitter.ClassChanged{Class: admitter.Class{Name: "c", FirstToken: 3 * time.Second, PerToken: time.Second}})
	core.Step(start, admitter.UpstreamChanged{Upstream: admitter.Upstream{ID: "p", Role: identifier.RolePrefill, State: admitter.UpstreamUp}})
	core.Step(start, admitter.UpstreamChanged{Upstream: admitter.Upstream{
		ID: "d", Role: identifier.RoleDecode, Pieces: 44, Streams: streams, State: admitter.UpstreamUp,
	}})
	ask := func(name string) admitter.Ask {
		return admitter.Ask{
			Key:   admitter.Key{Request: identifier.Request(name), Attempt: 1},
			Class: "c", Prompt: 500, MaxOutput: 4000, Arrived: start,
		}
	}
	adopt := func(i int, stage admitter.Stage) admitter.Adopt {
		return admitter.Adopt{Ask: ask(fmt.Sprint("old-", i)), Prefill: "p", Decode: "d", Pieces: 3, Stage: stage}
	}
	for i, stage := range []admitter.Stage{admitter.StageDecoding, admitter.StageDecoding, admitter.StageDecoding, admitter.StageTransferring} {
		core.Step(start, adopt(i, stage))
		core.Step(start, adopt(i, stage))
	}
	core.Step(start, admitter.Adopt{Ask: ask("stray"), Prefill: "gone", Decode: "d", Pieces: 3, Stage: admitter.StageDecoding})
	g.Expect(core.Estimates().Grants).To(Equal(4))

	place := func(now time.Time, e admitter.Event) (n int) {
		for _, o := range core.Step(now, e) {
			if _, ok := o.(admitter.Place); ok {
				n++
			}
		}
		return n
	}
	g.Expect(place(start, ask("new-1"))).To(Equal(1))
	core.Step(start.Add(20*time.Millisecond), admitter.PrefillEnded{Key: ask("new-1").Key, Took: 20 * time.Millisecond})
	later := start.Add(50 * time.Millisecond)
	g.Expect(place(later, ask("new-2"))).To(Equal(0))
	g.Expect(place(later, admitter.Ended{Key: ask("old-0").Key, Output: 300})).To(Equal(1))
}
