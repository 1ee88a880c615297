package replayer

import (
	"time"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/faker"
	"github.com/figtrack/figtrack/identifier"
)

// attempt is one attempt of a try, as its entry VM runs it.
type attempt struct {
	*caller
	hold            identifier.Hold
	prefill, decode *engine
	pieces          identifier.Pieces
	within          time.Duration
	// prompt includes the tokens that earlier attempts made.
	prompt identifier.Tokens
	// prefilled says that the entry VM knows of the end of the prefill.
	prefilled bool
	// live says that the prefill result lives on the prefill engine.
	live bool
	// importing is true from StartImport to its end, as the entry VM sees it.
	importing bool
	stalled   alarm
	// decoding is true once the KV cache is on the decode engine.
	decoding bool
	// made counts the tokens of this attempt.
	made identifier.Tokens
}

func (a *attempt) key() admitter.Key {
	return admitter.Key{Request: a.hold.Request, Attempt: a.hold.Attempt}
}

// place starts the prefill, once. Engines run the earliest deadline first.
func (a *attempt) place(p admitter.Place) {
	if a.prefill != nil {
		return
	}
	a.prefill, a.decode = a.byID[p.Prefill], a.byID[p.Decode]
	a.pieces, a.within = p.Pieces, p.TransferWithin
	a.placed = true
	deadline := a.arrived.Add(a.target.FirstToken).Sub(a.trace.Header.Time)
	a.toEngine(a.prefill, faker.StartPrefill{
		Hold: a.hold, Prompt: a.prompt, Prefix: a.blocks, Priority: int(deadline.Milliseconds()),
	})
}

func (a *attempt) prefillEnded(done faker.PrefillDone) {
	a.prefilled = true
	a.report(admitter.PrefillEnded{Key: a.key(), Cached: done.Cached, Took: done.Took})
	a.startImport()
}

func (a *attempt) startImport() {
	a.importing = true
	decode := a.decode
	a.carry(a.vm.DataCentre, decode.DataCentre, func() {
		switch {
		case decode.dead:
			decode.broken(a.hold)
		case !a.live:
			decode.toEntry(a.hold, func(a *attempt) { a.importFailed(decode, false) })
		default:
			decode.tell(faker.StartImport{
				Hold: a.hold, Tokens: a.prompt, Pieces: a.pieces,
				Delay: a.delay(a.prefill.DataCentre, decode.DataCentre),
			})
		}
	})
	if a.within > 0 {
		a.set(&a.stalled, a.now.Add(a.within), func() { a.stall(decode) })
	}
}

// stall gives up a transfer that takes too long.
func (a *attempt) stall(decode *engine) {
	if a.attempts[a.hold] != a || !a.importing || a.decode != decode {
		return
	}
	a.toEngine(decode, faker.Release{Hold: a.hold})
	a.importFailed(decode, false)
}

func (a *attempt) importFailed(decode *engine, full bool) {
	if !a.importing || a.decode != decode {
		return
	}
	a.importing = false
	a.report(admitter.TransferFailed{Key: a.key(), Full: full})
}

// move takes another decode engine, for the transfer that starts now or at
// the end of the prefill.
func (a *attempt) move(m admitter.Move) {
	if a.prefill == nil || a.importing || a.decoding {
		return
	}
	a.decode, a.pieces, a.within = a.byID[m.Decode], m.Pieces, m.TransferWithin
	if a.prefilled {
		a.startImport()
	}
}

func (a *attempt) imported(took time.Duration) {
	if !a.importing {
		return
	}
	a.importing = false
	a.decoding = true
	a.report(admitter.TransferEnded{Key: a.key(), Took: took})
	a.toEngine(a.prefill, faker.Release{Hold: a.hold})
	a.toEngine(a.decode, faker.StartDecode{Hold: a.hold, Output: a.Output - a.sent})
}

func (a *attempt) firstToken() {
	if a.first.IsZero() {
		a.first = a.now
	}
	a.report(admitter.FirstToken{Key: a.key()})
}

func (a *attempt) lastToken() {
	a.over()
	a.book.used(a.hold)
	a.report(admitter.Ended{Key: a.key(), Output: a.made})
	a.answered()
}

// fail ends an attempt that an upstream broke off and asks again without it.
// A decode engine that breaks before the decode fails only the transfer.
func (a *attempt) fail(e *engine) {
	if e == a.decode && !a.decoding {
		a.importFailed(e, false)
		return
	}
	if (a.decoding && e == a.prefill) || (e != a.prefill && e != a.decode) {
		return
	}
	a.over()
	a.releaseAll()
	a.report(admitter.Ended{Key: a.key(), Output: a.made, Failed: true})
	a.excluded = append(a.excluded, e.ID)
	a.sent += a.made
	a.askAgain(0)
}

func (a *attempt) abandon() {
	a.over()
	a.releaseAll()
	a.askAgain(0)
}

// refuse ends the try, unless a part of the answer is with the caller.
func (a *attempt) refuse(refusal admitter.Refuse) {
	a.over()
	a.releaseAll()
	if a.sent > 0 {
		a.askAgain(refusal.RetryAfter)
		return
	}
	a.refused(refusal)
}

func (a *attempt) over() { delete(a.attempts, a.hold) }

func (a *attempt) releaseAll() {
	if a.prefill != nil {
		a.toEngine(a.prefill, faker.Release{Hold: a.hold})
		a.toEngine(a.decode, faker.Release{Hold: a.hold})
	}
}

// toEngine sends an order. A dead engine's connection is refused.
func (a *attempt) toEngine(e *engine, event faker.EngineEvent) {
	a.carry(a.vm.DataCentre, e.DataCentre, func() {
		if e.dead {
			e.broken(a.hold)
			return
		}
		e.tell(event)
	})
}
