package placer_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figtrack/figtrack/granter"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/placer"
)

var start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

func newCore() *placer.Core {
	return placer.New(placer.Settings{PrefillBase: 10 * time.Millisecond, PrefillPerToken: 20 * time.Microsecond})
}

func blocks(n int) []identifier.Block {
	b := make([]identifier.Block, n)
	for i := range b {
		b[i] = identifier.Block(i + 1)
	}
	return b
}

func candidates(waits ...time.Duration) []placer.Prefill {
	ids := []identifier.Upstream{"a", "b", "c"}
	var from []placer.Prefill
	for i, w := range waits {
		from = append(from, placer.Prefill{Engine: granter.Engine{ID: ids[i]}, Wait: w})
	}
	return from
}

func TestCacheHitIsWeighedAgainstQueue(t *testing.T) {
	g := NewWithT(t)
	c := newCore()
	c.Step(start, placer.CacheChanged{Upstream: "a", Sequence: 1, Added: blocks(30)})
	r := placer.Request{Prompt: 8000, Prefix: blocks(30)}
	g.Expect(c.Hit(start, "a", r.Prefix)).To(Equal(identifier.Tokens(7680)))
	g.Expect(c.Prefill(start, r, candidates(100*time.Millisecond, 0)).Index).To(Equal(0), "153 ms saved outweigh 100 ms of queue")
	g.Expect(c.Prefill(start, r, candidates(200*time.Millisecond, 0)).Index).To(Equal(1), "200 ms of queue outweigh 153 ms saved")
	r.Excluded = []identifier.Upstream{"a"}
	g.Expect(c.Prefill(start, r, candidates(0, time.Second)).Index).To(Equal(1))
	g.Expect(c.Hit(start.Add(time.Hour), "a", r.Prefix)).To(BeZero(), "old entries are ignored")
}

func TestIndexIsDroppedAfterLargeGap(t *testing.T) {
	g := NewWithT(t)
	c := newCore()
	c.Step(start, placer.CacheChanged{Upstream: "a", Sequence: 1, Added: blocks(4)})
	g.Expect(c.Step(start, placer.CacheChanged{Upstream: "a", Sequence: 5})).To(BeEmpty())
	g.Expect(c.Hit(start, "a", blocks(4))).NotTo(BeZero())
	out := c.Step(start, placer.CacheChanged{Upstream: "a", Sequence: 200})
	g.Expect(out).To(Equal([]placer.Outcome{placer.IndexDropped{Upstream: "a", Missed: 197}}))
	g.Expect(c.Hit(start, "a", blocks(4))).To(BeZero())
	c.Step(start, placer.CacheChanged{Upstream: "a", Sequence: 201, Added: blocks(4)})
	c.Step(start, placer.CacheChanged{Upstream: "a", Sequence: 202, Removed: blocks(4)[1:]})
	g.Expect(c.Hit(start, "a", blocks(4))).To(Equal(identifier.BlockTokens))
	c.Step(start, placer.CacheLost{Upstream: "a"})
	g.Expect(c.Hit(start, "a", blocks(4))).To(BeZero())
}

func TestWrongIndexLosesTrust(t *testing.T) {
	g := NewWithT(t)
	c := newCore()
	c.Step(start, placer.CacheChanged{Upstream: "a", Sequence: 1, Added: blocks(30)})
	for range 40 {
		expected := c.Hit(start, "a", blocks(30))
		c.Step(start, placer.Prefilled{Upstream: "a", Prompt: 8000, Expected: expected, Cached: 0, Took: 170 * time.Millisecond})
	}
	g.Expect(c.Hit(start, "a", blocks(30))).To(BeNumerically("<", 800))
	for range 60 {
		expected := c.Hit(start, "a", blocks(30))
		c.Step(start, placer.Prefilled{Upstream: "a", Prompt: 8000, Expected: expected, Cached: 7680, Took: 16 * time.Millisecond})
	}
	g.Expect(c.Hit(start, "a", blocks(30))).To(BeNumerically(">", 7000), "trust recovers")
}

func TestEachEngineHasItsOwnCost(t *testing.T) {
	g := NewWithT(t)
	c := newCore()
	for range 200 {
		c.Step(start, placer.Prefilled{Upstream: "a", Prompt: 4000, Took: 180 * time.Millisecond})
		c.Step(start, placer.Prefilled{Upstream: "b", Prompt: 4000, Took: 90 * time.Millisecond})
	}
	r := placer.Request{Prompt: 4000}
	g.Expect(c.CostOn("a", 4000)).To(BeNumerically("~", 180*time.Millisecond, 20*time.Millisecond))
	g.Expect(c.CostOn("b", 4000)).To(BeNumerically("~", 90*time.Millisecond, 10*time.Millisecond))
	g.Expect(c.Prefill(start, r, candidates(0, 50*time.Millisecond)).Index).To(Equal(1), "the faster engine is worth a short wait")
}

func TestDecodeKeepsPaceOfAllStreams(t *testing.T) {
	g := NewWithT(t)
	c := newCore()
	room := func(*placer.Decode) bool { return true }
	from := []placer.Decode{
		{Engine: granter.Engine{ID: "a", Streams: 10, StrictestPace: 30 * time.Millisecond}, Pace: 35 * time.Millisecond},
		{Engine: granter.Engine{ID: "b", Streams: 10, StrictestPace: time.Second}, Pace: 50 * time.Millisecond, Transfer: 80 * time.Millisecond},
	}
	i, _ := c.Decode(placer.Request{PerToken: 60 * time.Millisecond}, start, from, room)
	g.Expect(i).To(Equal(1), "one more stream on a would break the target of its streams")
	i, _ = c.Decode(placer.Request{PerToken: 40 * time.Millisecond}, start, from, room)
	g.Expect(i).To(Equal(-1))
	from[1].Streams = 0
	i, _ = c.Decode(placer.Request{PerToken: 40 * time.Millisecond}, start, from, room)
	g.Expect(i).To(Equal(1), "an empty engine counts as fast enough")
	from[1].Paused = true
	i, _ = c.Decode(placer.Request{PerToken: 60 * time.Millisecond}, start, from, room)
	g.Expect(i).To(Equal(-1), "an engine with a paused link is not used")
}
