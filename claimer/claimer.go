// Package claimer keeps the at-most-once record of requests that must not be
// repeated.
//
// A claim is made before the first byte goes to an upstream and is never
// released: it belongs to one start of one entry VM, which sends the request
// at most once. The record of a shard is a log in the platform's store.
// Segment n is written into the ring slot n modulo Limits.LogSlots by a
// compare-and-swap on the version that segment n-LogSlots has there (no value
// in the first round). So each segment is written once, the writes of a stale
// leader fail, and the log is a total order of claims. Old segments are merged
// into bases, which are written before the slots of these segments are used
// again.
//
// The leader of a shard is only a hint. Two leaders cause failed swaps but
// never a second run, because a claim is granted only if the log names its
// holder.
package claimer

import (
	"fmt"
	"time"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/keeper"
)

// Key is the hash of a workspace and the idempotency key that its caller
// chose.
type Key [16]byte

// Body is the hash of a request's method, path and body.
type Body uint64

// Identity identifies a request in the record by its key and its content.
type Identity struct {
	Key  Key
	Body Body
	// Minted is the time that the caller's key contains; zero if it has none.
	Minted time.Time
}

// Holder identifies one ask for a claim. It is never reused.
type Holder struct {
	// VM is the entry VM that will send the request.
	VM identifier.VM
	// Incarnation is the start of that VM.
	Incarnation identifier.Incarnation
	// Nonce differs between the asks of one incarnation.
	Nonce uint64
}

// Claim is one entry of the record: the holder may send the request with this
// key and body.
type Claim struct {
	Key    Key
	Body   Body
	Holder Holder
}

// Core decides the claims of one shard as its leader. Only Step changes it.
type Core struct {
	shard  Shard
	limits Limits
	// replica is this leader's copy of the record.
	replica *replica
	// pending holds the asks that have no answer yet, oldest first, at most
	// MaxPendingAsks.
	pending []ask
	// upToDate is true if the replica held the whole record when it was last
	// compared with the store.
	upToDate bool
	// complete is true if the replica holds the whole record up to its head.
	complete bool
	call     call
	// lastCallID is the id of the latest store call; ids count from 1.
	lastCallID uint64
	// nextAppend is the earliest time of the next segment.
	nextAppend time.Time
	lastAsk    time.Time
	// storeDown is true if the last store call failed or returned a damaged
	// value; probeAt is the time of the next attempt.
	storeDown bool
	probeAt   time.Time
	out       []Outcome
}

// ask is a ClaimAsked that waits for its answer.
type ask struct {
	claim    Claim
	minted   time.Time
	deadline time.Time
}

// New returns a core that has not read its record yet.
func New(shard Shard, limits Limits) *Core {
	return &Core{shard: shard, limits: limits, replica: newReplica(limits)}
}

// Step applies an event at the time now and returns the outcomes.
func (c *Core) Step(now time.Time, e Event) []Outcome {
	c.out = nil
	switch e := e.(type) {
	case ClaimAsked:
		c.addAsk(now, e)
	case Listed:
		c.finishList(now, e)
	case Swapped:
		c.finishSwap(now, e)
	case Wake:
	default:
		panic(fmt.Sprintf("claimer: event %T", e))
	}
	c.expire(now)
	c.startDueCall(now)
	c.scheduleWake(now)
	return c.out
}

// addAsk answers an ask at once if its verdict is certain or it can't wait,
// and otherwise adds it to pending. It ignores an ask whose holder is pending
// already.
func (c *Core) addAsk(now time.Time, e ClaimAsked) {
	c.lastAsk = now
	for _, p := range c.pending {
		if p.claim.Holder == e.Claim.Holder {
			return
		}
	}
	p := ask{claim: e.Claim, minted: e.Minted, deadline: now.Add(AskTimeout)}
	if verdict := c.verdictFor(now, p); verdict != "" {
		c.answer(p, verdict, "")
		return
	}
	// While the store is down, only the ask that starts a probe waits.
	if c.storeDown && (c.call.kind != callNone || now.Before(c.probeAt)) {
		c.answer(p, VerdictUnavailable, ReasonStoreDown)
		return
	}
	if len(c.pending) >= MaxPendingAsks {
		c.answer(p, VerdictUnavailable, ReasonBusy)
		return
	}
	c.pending = append(c.pending, p)
}

// verdictFor returns the verdict that is certain without a write, or none.
// Claims in the replica are valid even if it is not the whole record.
func (c *Core) verdictFor(now time.Time, p ask) Verdict {
	if isExpired(now, p.minted) {
		return VerdictExpired
	}
	body, holder, found := c.replica.findClaim(p.claim.Key)
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

// isExpired reports whether the time inside a key is older than Retention, or
// further in the future than MaxClockSkew. Keys without a time never expire.
func isExpired(now, minted time.Time) bool {
	if minted.IsZero() {
		return false
	}
	return now.Sub(minted) > Retention || minted.Sub(now) > MaxClockSkew
}

// answerDecided answers the pending asks whose verdict is certain.
func (c *Core) answerDecided(now time.Time) {
	kept := c.pending[:0]
	for _, p := range c.pending {
		if verdict := c.verdictFor(now, p); verdict != "" {
			c.answer(p, verdict, "")
			continue
		}
		kept = append(kept, p)
	}
	c.pending = kept
}

// refusePending answers all pending asks with VerdictUnavailable.
func (c *Core) refusePending(reason Reason) {
	for _, p := range c.pending {
		c.answer(p, VerdictUnavailable, reason)
	}
	c.pending = nil
}

func (c *Core) answer(p ask, verdict Verdict, reason Reason) {
	c.out = append(c.out, Answer{Holder: p.claim.Holder, Verdict: verdict, Reason: reason})
}

// expire ends a store call and pending asks that have timed out, and drops old
// claims. After IdleTimeout without asks it drops the whole replica.
func (c *Core) expire(now time.Time) {
	if c.call.kind != callNone && !now.Before(c.call.sentAt.Add(CallTimeout)) {
		c.failCall(now, keeper.KindUnknown)
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
	c.replica.forgetExpired(now)
	if c.complete && now.Sub(c.lastAsk) > IdleTimeout && c.call.kind == callNone {
		c.dropReplica()
	}
}

func (c *Core) dropReplica() {
	c.replica = newReplica(c.limits)
	c.upToDate, c.complete = false, false
}

// startDueCall starts the next store call, if one is due.
func (c *Core) startDueCall(now time.Time) {
	if c.call.kind != callNone {
		return
	}
	if c.storeDown {
		c.probeStore(now)
		return
	}
	if len(c.pending) == 0 {
		return
	}
	if !c.upToDate {
		c.startList(now, callLog, logPrefix(c.shard))
		return
	}
	c.answerDecided(now)
	if c.isCompactionDue() && c.compact(now) {
		return
	}
	if len(c.pending) > 0 && !now.Before(c.nextAppend) {
		c.appendBatch(now)
	}
}

// probeStore reads the log to find out whether the store answers again, until
// ProbeWindow after the last ask.
func (c *Core) probeStore(now time.Time) {
	if now.Before(c.probeAt) || now.Sub(c.lastAsk) > ProbeWindow {
		return
	}
	c.startList(now, callLog, logPrefix(c.shard))
}

// scheduleWake asks for the next Wake.
func (c *Core) scheduleWake(now time.Time) {
	var at time.Time
	earlier := func(t time.Time) {
		if at.IsZero() || t.Before(at) {
			at = t
		}
	}
	if c.call.kind != callNone {
		earlier(c.call.sentAt.Add(CallTimeout))
	}
	if len(c.pending) > 0 {
		earlier(c.pending[0].deadline)
	}
	if len(c.pending) > 0 && c.call.kind == callNone {
		earlier(c.nextAppend)
	}
	if c.storeDown && c.call.kind == callNone && now.Sub(c.lastAsk) <= ProbeWindow {
		earlier(c.probeAt)
	}
	if c.complete {
		earlier(c.lastAsk.Add(IdleTimeout + time.Second))
	}
	if !at.IsZero() {
		c.out = append(c.out, WakeAt{At: at})
	}
}
