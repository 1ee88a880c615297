package admitter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/identifier"
)

// BenchmarkStep runs whole requests through one core, with six events each, at
// a rate near the capacity of its runners.
func BenchmarkStep(b *testing.B) {
	for _, runners := range []int{12, 640} {
		b.Run(fmt.Sprintf("%d-runners", runners), func(b *testing.B) { benchmarkStep(b, runners) })
	}
}

// benchRequest is the next event of a request and its time.
type benchRequest struct {
	at    time.Time
	event admitter.Event
}

func benchmarkStep(b *testing.B, runners int) {
	prefills := runners / 3
	s := &shard{Core: admitter.New(admitter.Settings{DataCentre: "thamel-room"}, rand.New(rand.NewPCG(1, 2))), now: start}
	s.Step(s.now, admitter.ClassChanged{Class: admitter.Class{Name: "Quick", FirstToken: time.Second, PerToken: 43 * time.Millisecond}})
	for i := range runners {
		u := admitter.Upstream{ID: identifier.Upstream(fmt.Sprintf("runner-%03d", i)), DataCentre: "thamel-room", Role: identifier.RolePrefill, State: admitter.UpstreamUp}
		if i >= prefills {
			u.Role, u.Pieces, u.Streams = identifier.RoleDecode, 44, 20
		}
		s.Step(s.now, admitter.UpstreamChanged{Upstream: u})
	}
	rng := rand.New(rand.NewPCG(3, 4))
	prefix := []identifier.Block{1, 2, 3, 4, 5, 6, 7, 8}
	gap := 25 * time.Millisecond * 12 / time.Duration(runners)
	var later [4][]benchRequest
	steps, placed := 0, 0
	step := func(e admitter.Event) {
		steps++
		for _, o := range s.Step(s.now, e) {
			p, ok := o.(admitter.Place)
			if !ok {
				continue
			}
			placed++
			done := s.now.Add(50 * time.Millisecond)
			later[0] = append(later[0], benchRequest{done, admitter.PrefillEnded{Key: p.Key, Cached: 256, Took: 50 * time.Millisecond}})
			later[1] = append(later[1], benchRequest{done.Add(30 * time.Millisecond), admitter.TransferEnded{Key: p.Key, Took: 25 * time.Millisecond}})
			later[2] = append(later[2], benchRequest{done.Add(70 * time.Millisecond), admitter.FirstToken{Key: p.Key}})
			later[3] = append(later[3], benchRequest{done.Add(3 * time.Second), admitter.Ended{Key: p.Key, Output: 90}})
		}
	}
	run := func(i int) {
		s.now = s.now.Add(gap)
		for q := range later {
			for len(later[q]) > 0 && !later[q][0].at.After(s.now) {
				e := later[q][0].event
				later[q] = later[q][1:]
				step(e)
			}
		}
		step(admitter.Ask{
			Key: key(fmt.Sprintf("request-%d", i)), Class: "Quick", Workspace: identifier.Workspace(fmt.Sprint(rng.IntN(40))),
			From: "vm-1", FromDataCentre: "thamel-room", Prompt: identifier.Tokens(500 + rng.IntN(4000)), MaxOutput: 256,
			Prefix: prefix, Arrived: s.now,
		})
	}
	warm := 200 * runners / 12
	for i := range warm {
		run(i)
	}
	placed = 0
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		run(warm + i)
	}
	b.ReportMetric(float64(placed)/float64(b.N), "placed/request")
}
