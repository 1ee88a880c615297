package granter_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figtrack/figtrack/granter"
	"github.com/figtrack/figtrack/identifier"
)

var start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

func newCore() *granter.Core {
	c := granter.New(granter.Settings{
		StepBase: 18 * time.Millisecond, StepPerStream: 900 * time.Microsecond,
		TransferBase: time.Millisecond, TransferPerToken: 10 * time.Microsecond,
		CrossDelay: 5 * time.Millisecond, Output: 100, ResultLives: 800 * time.Millisecond, Grace: 5 * time.Second,
	})
	c.Step(start, granter.EngineChanged{ID: "p", Role: identifier.RolePrefill, Open: true, Alive: true})
	for _, id := range []identifier.Upstream{"d", "e"} {
		c.Step(start, granter.EngineChanged{ID: id, Role: identifier.RoleDecode, Pieces: 44, Streams: 20, Open: true, Alive: true})
	}
	return c
}

func key(i int) granter.Key {
	return granter.Key{Request: identifier.Request(fmt.Sprintf("request-%d", i)), Attempt: 1}
}

func reserve(c *granter.Core, now time.Time, i int) {
	c.Step(now, granter.Reserve{
		Key: key(i), VM: "vm-1", Class: "Quick", Prefill: "p", Decode: "d", Pieces: 4, Prompt: 8000, MaxOutput: 200,
		PerToken: 50 * time.Millisecond, ArrivesAt: now, Cost: 100 * time.Millisecond, Transfer: 80 * time.Millisecond,
	})
}

func findEngine(c *granter.Core, now time.Time, id identifier.Upstream) granter.Engine {
	for _, role := range []identifier.Role{identifier.RolePrefill, identifier.RoleDecode} {
		for _, e := range c.Engines(now, role, nil) {
			if e.ID == id {
				return e
			}
		}
	}
	panic("no such engine")
}

func TestLedgerIsUpdatedThroughoutAnAttempt(t *testing.T) {
	g := NewWithT(t)
	c := newCore()
	reserve(c, start, 1)
	reserve(c, start, 2)
	g.Expect(findEngine(c, start, "d").Free).To(Equal(identifier.Pieces(36)))
	g.Expect(findEngine(c, start, "p").IdleAt).To(Equal(start.Add(200 * time.Millisecond)))
	now := start.Add(80 * time.Millisecond)
	c.Step(now, granter.PrefillEnded{Key: key(1), At: now})
	g.Expect(findEngine(c, now, "p").IdleAt).To(Equal(now.Add(100*time.Millisecond)), "the next prefill began when the first ended early")
	c.Step(now, granter.FirstToken{Key: key(1)})
	g.Expect(c.Find(key(1)).Stage).To(Equal(granter.StageDecode))
	c.Step(now.Add(time.Second), granter.Release{Key: key(1), Output: 40, Completed: true})
	c.Step(now.Add(time.Second), granter.Release{Key: key(2)})
	g.Expect(findEngine(c, now, "d").Free).To(Equal(identifier.Pieces(44)))
	g.Expect(findEngine(c, now, "p").Depth).To(BeZero())
	g.Expect(c.Len()).To(BeZero())
}

func TestOldStreamsAreExpectedToFreeMemory(t *testing.T) {
	g := NewWithT(t)
	c := newCore()
	reserve(c, start, 1)
	c.Step(start, granter.FirstToken{Key: key(1)})
	young := c.PredictFreed(start, start.Add(time.Second), "d")
	later := start.Add(3500 * time.Millisecond)
	old := c.PredictFreed(later, later.Add(time.Second), "d")
	g.Expect(young.Pieces).To(BeNumerically("<", old.Pieces))
	g.Expect(old.Pieces).To(BeNumerically("~", 4, 0.01), "no stream exceeds MaxOutput")
	g.Expect(c.PredictFreed(later, later.Add(time.Second), "e").Pieces).To(BeZero())
}

func TestSilentGrantsExpire(t *testing.T) {
	g := NewWithT(t)
	c := newCore()
	reserve(c, start, 1)
	g.Expect(c.Step(start.Add(4*time.Second), granter.Expire{})).To(BeEmpty())
	out := c.Step(start.Add(6*time.Second), granter.Expire{})
	g.Expect(out).To(Equal([]granter.Outcome{granter.Expired{Key: key(1), VM: "vm-1"}}))
	g.Expect(findEngine(c, start, "d").Free).To(Equal(identifier.Pieces(44)))
}

func TestOnlyConsistentReportsCorrectTheLedger(t *testing.T) {
	g := NewWithT(t)
	c := newCore()
	now := start
	report := func(free identifier.Pieces) {
		now = now.Add(100 * time.Millisecond)
		c.Step(now, granter.Load{ID: "d", At: now.Add(-50 * time.Millisecond), FreePieces: free})
	}
	report(34)
	g.Expect(findEngine(c, now, "d").Free).To(Equal(identifier.Pieces(44)), "a single report may be outdated")
	for range 4 {
		report(34)
	}
	g.Expect(findEngine(c, now, "d").Free).To(Equal(identifier.Pieces(34)), "ten pieces are used by others")
	for range 4 {
		report(44)
	}
	g.Expect(findEngine(c, now, "d").Free).To(Equal(identifier.Pieces(44)))
	reserve(c, now, 1)
	c.Step(now, granter.FirstToken{Key: key(1)})
	for range 8 {
		report(40)
	}
	g.Expect(findEngine(c, now, "d").Free).To(Equal(identifier.Pieces(40)), "memory of known grants is not counted twice")
	now = now.Add(6 * time.Second)
	for range 5 {
		report(44)
	}
	g.Expect(c.Len()).To(BeZero(), "the engine no longer holds the overdue stream")
}

func TestOnlyOneTransferTriesAStalledLink(t *testing.T) {
	g := NewWithT(t)
	c := newCore()
	reserve(c, start, 1)
	c.Step(start, granter.PrefillEnded{Key: key(1), At: start})
	c.Step(start, granter.Park{Key: key(1), Stalled: true})
	g.Expect(findEngine(c, start, "d").Paused).To(BeTrue())
	g.Expect(c.Find(key(1)).Avoid).To(ContainElement(identifier.Upstream("d")))
	later := start.Add(600 * time.Millisecond)
	g.Expect(findEngine(c, later, "d").Paused).To(BeFalse())
	reserve(c, later, 2)
	g.Expect(findEngine(c, later, "d").Paused).To(BeTrue(), "only one transfer tries the link")
	c.Step(later, granter.PrefillEnded{Key: key(2), At: later})
	c.Step(later, granter.TransferEnded{Key: key(2), Took: 80 * time.Millisecond})
	g.Expect(findEngine(c, later, "d").Paused).To(BeFalse())
}

func TestDeadEnginesStrandTheirGrants(t *testing.T) {
	g := NewWithT(t)
	c := newCore()
	reserve(c, start, 1)
	reserve(c, start, 2)
	c.Step(start, granter.FirstToken{Key: key(2)})
	out := c.Step(start, granter.EngineChanged{ID: "d", Role: identifier.RoleDecode, Pieces: 44, Streams: 20})
	g.Expect(out).To(Equal([]granter.Outcome{
		granter.Stranded{Key: key(1), Decode: true},
		granter.Stranded{Key: key(2)},
	}))
	c.Step(start, granter.Reassign{Key: key(1), Decode: "e", Transfer: 80 * time.Millisecond})
	g.Expect(c.Find(key(1)).Decode()).To(Equal(identifier.Upstream("e")))
	out = c.Step(start, granter.EngineChanged{ID: "p", Role: identifier.RolePrefill})
	g.Expect(out).To(Equal([]granter.Outcome{granter.Stranded{Key: key(1)}}))
}
