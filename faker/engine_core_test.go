package faker_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/figtrack/figtrack/faker"
	"github.com/figtrack/figtrack/identifier"
)

var engineStart = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

// harness runs one engine in virtual time and records its outcomes.
type harness struct {
	*faker.Engine
	now time.Time
	// advanceAt is the time of the last AdvanceAt; zero if there is none.
	advanceAt time.Time
	// outcomes lists the outcomes with their requests in order.
	outcomes []string
	// lastAt is the time of the last outcome of each kind and request, from
	// engineStart.
	lastAt map[string]time.Duration
}

func newHarness(cfg faker.EngineSettings) *harness {
	engine := faker.NewEngine(cfg, rand.New(rand.NewPCG(1, 1)))
	return &harness{Engine: engine, now: engineStart, lastAt: map[string]time.Duration{}}
}

// send applies an event at the current time.
func (b *harness) send(event faker.EngineEvent) {
	b.advanceAt = time.Time{}
	for _, outcome := range b.Step(b.now, event) {
		b.recordOutcome(outcome)
	}
}

func (b *harness) recordOutcome(outcome faker.EngineOutcome) {
	switch outcome := outcome.(type) {
	case faker.AdvanceAt:
		b.advanceAt = outcome.At
	case faker.TokenGenerated:
		b.record("Token", outcome.Hold)
		if outcome.Last {
			b.record("Last", outcome.Hold)
		}
	case faker.PrefillDone:
		b.record(fmt.Sprintf("Done(%d)", outcome.Cached), outcome.Hold)
	case faker.PrefillStopped:
		b.record(fmt.Sprintf("Stopped(%s)", outcome.Spent), outcome.Hold)
	case faker.ResultEvicted:
		b.record("Evicted", outcome.Hold)
	case faker.ImportDone:
		b.record("Imported", outcome.Hold)
	case faker.ImportRefused:
		b.record("Refused", outcome.Hold)
	case faker.StreamDropped:
		b.record("Dropped", outcome.Hold)
	case faker.DecodeRefused:
		b.record("NoCache", outcome.Hold)
	}
}

func (b *harness) record(what string, hold identifier.Hold) {
	key := what + " " + string(hold.Request)
	b.outcomes = append(b.outcomes, key)
	b.lastAt[key] = b.now.Sub(engineStart)
}

// runUntil advances the engine to a time, given from engineStart.
func (b *harness) runUntil(d time.Duration) {
	until := engineStart.Add(d)
	for !b.advanceAt.IsZero() && !b.advanceAt.After(until) {
		b.now = b.advanceAt
		b.send(faker.Advance{})
	}
	b.now = until
}

func hold(name string) identifier.Hold {
	return identifier.Hold{VM: "vm-1", Incarnation: 1, Request: identifier.Request(name), Attempt: 1}
}

// blocksUpTo returns the prefix of blocks 1 to n.
func blocksUpTo(n int) []identifier.Block {
	blocks := make([]identifier.Block, n)
	for i := range blocks {
		blocks[i] = identifier.Block(i + 1)
	}
	return blocks
}

func TestPrefillRunsByPriorityAndEvictsUnusedResults(t *testing.T) {
	g := NewWithT(t)
	b := newHarness(faker.DefaultEngine(identifier.RolePrefill))
	b.send(faker.StartPrefill{Hold: hold("a"), PromptTokens: 8000})
	b.send(faker.StartPrefill{Hold: hold("late"), PromptTokens: 2000, Priority: 2})
	b.send(faker.StartPrefill{Hold: hold("early"), PromptTokens: 2000, Priority: 1})
	b.runUntil(400 * time.Millisecond)
	b.send(faker.Release{Hold: hold("early")})
	b.runUntil(2 * time.Second)
	g.Expect(b.lastAt).To(Equal(map[string]time.Duration{
		"Done(0) a":     170 * time.Millisecond,
		"Done(0) early": 220 * time.Millisecond,
		"Done(0) late":  270 * time.Millisecond,
		"Evicted a":     970 * time.Millisecond,
		"Evicted late":  1070 * time.Millisecond,
	}))
	g.Expect(b.Holds()).To(BeEmpty())
}

func TestReleaseStopsARunningPrefill(t *testing.T) {
	g := NewWithT(t)
	b := newHarness(faker.DefaultEngine(identifier.RolePrefill))
	b.send(faker.StartPrefill{Hold: hold("a"), PromptTokens: 8000})
	b.send(faker.StartPrefill{Hold: hold("b"), PromptTokens: 2000})
	b.runUntil(50 * time.Millisecond)
	b.send(faker.Release{Hold: hold("a")})
	b.send(faker.Release{Hold: hold("a")})
	b.runUntil(200 * time.Millisecond)
	g.Expect(b.outcomes).To(Equal([]string{"Stopped(50ms) a", "Done(0) b"}))
	g.Expect(b.lastAt["Done(0) b"]).To(Equal(100 * time.Millisecond))
}

func TestPrefixCacheShortensPrefillUntilEviction(t *testing.T) {
	g := NewWithT(t)
	cfg := faker.DefaultEngine(identifier.RolePrefill)
	cfg.CacheBlocks = 4
	b := newHarness(cfg)
	other := []identifier.Block{101, 102, 103, 104}
	b.send(faker.StartPrefill{Hold: hold("first"), PromptTokens: 1100, Prefix: blocksUpTo(4)})
	b.send(faker.StartPrefill{Hold: hold("same"), PromptTokens: 1100, Prefix: blocksUpTo(4)})
	b.send(faker.StartPrefill{Hold: hold("other"), PromptTokens: 1100, Prefix: other})
	b.send(faker.StartPrefill{Hold: hold("again"), PromptTokens: 1100, Prefix: blocksUpTo(4)})
	b.runUntil(time.Second)
	g.Expect(b.lastAt).To(HaveKeyWithValue("Done(1024) same", 43520*time.Microsecond))
	g.Expect(b.lastAt).To(HaveKey("Done(0) again"))
}

func TestDecodeStepGeneratesOneTokenPerStream(t *testing.T) {
	g := NewWithT(t)
	cfg := faker.DefaultEngine(identifier.RoleDecode)
	cfg.LinkTokensPerSecond = 1e9
	b := newHarness(cfg)
	for i := range 21 {
		b.send(faker.StartImport{Hold: hold(fmt.Sprint(i)), Tokens: 1000, Pieces: 2})
	}
	b.runUntil(time.Millisecond)
	b.send(faker.StartDecode{Hold: hold("20"), OutputTokens: 3})
	for i := range 20 {
		b.send(faker.StartDecode{Hold: hold(fmt.Sprint(i)), OutputTokens: 2})
	}
	b.runUntil(time.Second)
	first := time.Millisecond + 18900*time.Microsecond
	g.Expect(b.lastAt).To(HaveKey("Refused 20"))
	g.Expect(b.lastAt).To(HaveKey("NoCache 20"))
	g.Expect(b.lastAt["Last 0"]).To(Equal(first + 36*time.Millisecond))
	g.Expect(b.lastAt["Last 19"]).To(Equal(first + 36*time.Millisecond + 35100*time.Microsecond))
	g.Expect(b.Holds()).To(BeEmpty())
	g.Expect(b.Load(b.now).FreePieces).To(Equal(cfg.Pieces))
}

func TestImportsRunInOrderAndStall(t *testing.T) {
	g := NewWithT(t)
	b := newHarness(faker.DefaultEngine(identifier.RoleDecode))
	b.send(faker.StartImport{Hold: hold("a"), Tokens: 10_000, Pieces: 6})
	b.send(faker.StartImport{Hold: hold("b"), Tokens: 10_000, Pieces: 6, Delay: 5 * time.Millisecond})
	b.send(faker.StartImport{Hold: hold("c"), Tokens: 10_000, Pieces: 6})
	b.runUntil(50 * time.Millisecond)
	b.send(faker.StallLink{Until: b.now.Add(time.Second)})
	b.runUntil(500 * time.Millisecond)
	b.send(faker.Release{Hold: hold("a")})
	b.runUntil(3 * time.Second)
	g.Expect(b.lastAt).To(Equal(map[string]time.Duration{
		"Imported b": 1155 * time.Millisecond,
		"Imported c": 1255 * time.Millisecond,
	}))
}

func TestStreamGrowsBeyondReservationWhileMemoryIsFree(t *testing.T) {
	g := NewWithT(t)
	cfg := faker.DefaultEngine(identifier.RoleDecode)
	cfg.Pieces = 3
	b := newHarness(cfg)
	b.send(faker.StartImport{Hold: hold("a"), Tokens: 1998, Pieces: 1})
	b.send(faker.StartImport{Hold: hold("b"), Tokens: 1998, Pieces: 1})
	b.runUntil(100 * time.Millisecond)
	b.send(faker.StartDecode{Hold: hold("a"), OutputTokens: 10})
	b.send(faker.StartDecode{Hold: hold("b"), OutputTokens: 4})
	b.runUntil(time.Second)
	g.Expect(b.lastAt).To(HaveKey("Last a"))
	g.Expect(b.lastAt).To(HaveKey("Dropped b"))
	g.Expect(b.Holds()).To(BeEmpty())
}

func TestLoadIsReportedAfterLag(t *testing.T) {
	g := NewWithT(t)
	cfg := faker.DefaultEngine(identifier.RoleDecode)
	b := newHarness(cfg)
	b.send(faker.StartImport{Hold: hold("a"), Tokens: 1000, Pieces: 4})
	b.runUntil(cfg.LoadLag - time.Nanosecond)
	g.Expect(b.Load(b.now).FreePieces).To(Equal(cfg.Pieces))
	b.runUntil(cfg.LoadLag)
	g.Expect(b.Load(b.now).FreePieces).To(Equal(cfg.Pieces - 4))
}

// TestReleasedEngineHoldsNothing sends random events to engines. It checks that
// memory stays within its bounds and that releases free all of it.
func TestReleasedEngineHoldsNothing(t *testing.T) {
	setRapid(t)
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		cfg := faker.DefaultEngine(rapid.SampledFrom([]identifier.Role{
			identifier.RolePrefill, identifier.RoleDecode,
		}).Draw(rt, "role"))
		cfg.Jitter = 0.2
		b := newHarness(cfg)
		for range rapid.IntRange(1, 60).Draw(rt, "events") {
			b.send(drawEvent(rt))
			wait := time.Duration(rapid.IntRange(0, 300).Draw(rt, "wait")) * time.Millisecond
			b.runUntil(b.now.Sub(engineStart) + wait)
			g.Expect(len(b.Holds())).To(BeNumerically("<=", 30))
			free := b.Load(b.now).FreePieces
			g.Expect(free).To(And(BeNumerically(">=", 0), BeNumerically("<=", cfg.Pieces)))
		}
		for _, held := range b.Holds() {
			b.send(faker.Release{Hold: held})
		}
		b.runUntil(b.now.Sub(engineStart) + time.Second)
		g.Expect(b.Holds()).To(BeEmpty())
		g.Expect(b.Load(b.now).FreePieces).To(Equal(cfg.Pieces))
		g.Expect(b.Load(b.now).Running + b.Load(b.now).Queued).To(BeZero())
	})
}

func drawEvent(rt *rapid.T) faker.EngineEvent {
	attempt := hold(fmt.Sprint(rapid.IntRange(0, 29).Draw(rt, "hold")))
	tokens := identifier.Tokens(rapid.IntRange(1, 30_000).Draw(rt, "tokens"))
	switch rapid.IntRange(0, 4).Draw(rt, "kind") {
	case 0:
		return faker.StartPrefill{Hold: attempt, PromptTokens: tokens, Prefix: blocksUpTo(int(tokens / identifier.BlockTokens))}
	case 1:
		return faker.StartImport{Hold: attempt, Tokens: tokens, Pieces: identifier.PiecesFor(tokens)}
	case 2:
		return faker.StartDecode{Hold: attempt, OutputTokens: tokens / 100}
	case 3:
		return faker.Release{Hold: attempt}
	default:
		return faker.Advance{}
	}
}

func setRapid(t *testing.T) {
	t.Helper()
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.checks": "100"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
}
