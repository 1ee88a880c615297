// Package claimer keeps the at-most-once record of requests that may not be
// repeated.
//
// A claim is made before the first byte goes to an upstream and is never
// given back: it names one start of one entry VM, which sends the request at
// most once. The record of a shard is a log in the platform's store. Segment
// n is written into the ring slot n modulo Limits.LogSlots by a compare-and-
// swap on the version that segment n-LogSlots has there (no value in the
// first round), so segment n is written once, a stale leader is fenced, and
// the log is a total order of claims. Old segments are merged into bases,
// which are written before their segments' slots are used again.
//
// The leader of a shard is a hint. Two leaders cost failed swaps, never a
// second run, because a claim is granted only when the log names its holder.
package claimer

import (
	"fmt"
	"time"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/keeper"
)

// Key is the hash of a workspace and the key that its caller chose.
type Key [16]byte

// Body is the hash of a request's method, path and body.
type Body uint64

// Identity is what a caller's key and request come down to.
type Identity struct {
	Key  Key
	Body Body
	// Minted is the time inside the key; zero if it has none.
	Minted time.Time
}

// Holder names one ask for a claim. It is never reused.
type Holder struct {
	// VM is the entry VM that will send the request.
	VM identifier.VM
	// Incarnation is its start.
	Incarnation identifier.Incarnation
	// Nonce differs between the asks of one start.
	Nonce uint64
}

// Claim is one entry of the record.
type Claim struct {
	Key    Key
	Body   Body
	Holder Holder
}

// Core leads one shard. It is advanced only by Step.
type Core struct {
	shard  Shard
	limits Limits
	mem    *memory
	// pending holds the asks that wait, oldest first, at most MaxPending.
	pending []ask
	// ready says that mem held the whole record when it was last checked.
	ready bool
	// whole says that mem holds the whole record up to its head.
	whole bool
	call  call
	// calls numbers the store calls.
	calls      uint64
	nextAppend time.Time
	lastAsk    time.Time
	// down says that the last store call failed; probeAt is the next try.
	down    bool
	probeAt time.Time
	out     []Outcome
}

type ask struct {
	claim    Claim
	minted   time.Time
	deadline time.Time
}

// New returns a core that knows nothing yet.
func New(shard Shard, limits Limits) *Core {
	return &Core{shard: shard, limits: limits, mem: newMemory(limits)}
}

// Step advances the core.
func (c *Core) Step(now time.Time, e Event) []Outcome {
	c.out = nil
	switch e := e.(type) {
	case ClaimAsked:
		c.asked(now, e)
	case Listed:
		c.listed(now, e)
	case Swapped:
		c.swapped(now, e)
	case Wake:
	default:
		panic(fmt.Sprintf("claimer: event %T", e))
	}
	c.expire(now)
	c.act(now)
	c.schedule(now)
	return c.out
}

func (c *Core) asked(now time.Time, e ClaimAsked) {
	c.lastAsk = now
	for _, p := range c.pending {
		if p.claim.Holder == e.Claim.Holder {
			return
		}
	}
	p := ask{claim: e.Claim, minted: e.Minted, deadline: now.Add(AskTimeout)}
	if verdict := c.judge(now, p); verdict != "" {
		c.answer(p, verdict, "")
		return
	}
	// While the store is down, only the ask that starts a probe waits.
	if c.down && (c.call.kind != callNone || now.Before(c.probeAt)) {
		c.answer(p, VerdictUnavailable, ReasonStoreDown)
		return
	}
	if len(c.pending) >= MaxPending {
		c.answer(p, VerdictUnavailable, ReasonBusy)
		return
	}
	c.pending = append(c.pending, p)
}

// judge returns the verdict that is certain without a write, if any. What
// the memory holds is true even when it isn't the whole record.
func (c *Core) judge(now time.Time, p ask) Verdict {
	if untimely(now, p.minted) {
		return VerdictExpired
	}
	body, holder, found := c.mem.lookup(p.claim.Key)
	switch {
	case !found:
		return ""
	case holder == p.claim.Holder:
		return VerdictGranted
	case body == p.claim.Body:
		return VerdictTaken
	default:
		return VerdictTakenOtherBody
	}
}

func untimely(now, minted time.Time) bool {
	if minted.IsZero() {
		return false
	}
	return now.Sub(minted) > Retention || minted.Sub(now) > MaxClockSkew
}

// settle answers the asks whose verdict is certain.
func (c *Core) settle(now time.Time) {
	kept := c.pending[:0]
	for _, p := range c.pending {
		if verdict := c.judge(now, p); verdict != "" {
			c.answer(p, verdict, "")
			continue
		}
		kept = append(kept, p)
	}
	c.pending = kept
}

// refuse answers all waiting asks.
func (c *Core) refuse(reason Reason) {
	for _, p := range c.pending {
		c.answer(p, VerdictUnavailable, reason)
	}
	c.pending = nil
}

func (c *Core) answer(p ask, verdict Verdict, reason Reason) {
	c.out = append(c.out, Answer{Holder: p.claim.Holder, Verdict: verdict, Reason: reason})
}

// expire drops what is past its time.
func (c *Core) expire(now time.Time) {
	if c.call.kind != callNone && !now.Before(c.call.sent.Add(CallTimeout)) {
		c.failed(now, keeper.KindUnknown)
	}
	kept := c.pending[:0]
	for _, p := range c.pending {
		if !now.Before(p.deadline) {
			c.answer(p, VerdictUnavailable, ReasonTimeout)
			continue
		}
		kept = append(kept, p)
	}
	c.pending = kept
	c.mem.forget(now)
	if c.whole && now.Sub(c.lastAsk) > IdleAfter && c.call.kind == callNone {
		c.reset()
	}
}

func (c *Core) reset() {
	c.mem = newMemory(c.limits)
	c.ready, c.whole = false, false
}

// act starts the next store call, if one is due.
func (c *Core) act(now time.Time) {
	if c.call.kind != callNone {
		return
	}
	if c.down {
		c.probe(now)
		return
	}
	if len(c.pending) == 0 {
		return
	}
	if !c.ready {
		c.list(now, callLog, logPrefix(c.shard))
		return
	}
	c.settle(now)
	if c.compactionDue() && c.compact(now) {
		return
	}
	if len(c.pending) > 0 && !now.Before(c.nextAppend) {
		c.append(now)
	}
}

func (c *Core) probe(now time.Time) {
	if now.Before(c.probeAt) || now.Sub(c.lastAsk) > ProbeFor {
		return
	}
	c.list(now, callLog, logPrefix(c.shard))
}

// schedule asks for the next Wake.
func (c *Core) schedule(now time.Time) {
	var at time.Time
	earlier := func(t time.Time) {
		if at.IsZero() || t.Before(at) {
			at = t
		}
	}
	if c.call.kind != callNone {
		earlier(c.call.sent.Add(CallTimeout))
	}
	if len(c.pending) > 0 {
		earlier(c.pending[0].deadline)
	}
	if len(c.pending) > 0 && c.call.kind == callNone {
		earlier(c.nextAppend)
	}
	if c.down && c.call.kind == callNone && now.Sub(c.lastAsk) <= ProbeFor {
		earlier(c.probeAt)
	}
	if c.whole {
		earlier(c.lastAsk.Add(IdleAfter + time.Second))
	}
	if !at.IsZero() {
		c.out = append(c.out, WakeAt{At: at})
	}
}
