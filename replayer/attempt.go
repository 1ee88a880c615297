package replayer

import (
	"time"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/faker"
	"github.com/figtrack/figtrack/identifier"
)

// attempt is one attempt of a try. Its methods run on the entry VM.
type attempt struct {
	*caller
	hold            identifier.Hold
	prefill, decode *engine
	pieces          identifier.Pieces
	transferTimeout time.Duration
	// prompt includes the tokens that earlier attempts generated.
	prompt identifier.Tokens
	// prefilled is set once the entry VM was told that the prefill ended.
	prefilled bool
	// hasPrefillResult is true while the prefill engine keeps the result.
	hasPrefillResult bool
	// importing is true from the sending of StartImport until the entry VM
	// learns that the import ended, or gives it up.
	importing     bool
	transferAlarm alarm
	// decoding is set once the decode engine has imported the KV cache.
	decoding bool
	// generated counts the tokens of this attempt.
	generated identifier.Tokens
}

func (a *attempt) key() admitter.Key {
	return admitter.Key{Request: a.hold.Request, Attempt: a.hold.Attempt}
}

// place starts the prefill of an attempt that has not been placed before. The
// priority is the deadline of the first token, so that engines run the
// earliest deadline first.
func (a *attempt) place(p admitter.Place) {
	if a.prefill != nil {
		return
	}
	a.prefill, a.decode = a.byID[p.Prefill], a.byID[p.Decode]
	a.pieces, a.transferTimeout = p.Pieces, p.TransferWithin
	a.wasPlaced = true
	deadline := a.arrived.Add(a.target.FirstToken).Sub(a.trace.Header.Time)
	a.sendToEngine(a.prefill, faker.StartPrefill{
		Hold: a.hold, PromptTokens: a.prompt, Prefix: a.prefixBlocks, Priority: int(deadline.Milliseconds()),
	})
}

func (a *attempt) prefillEnded(done faker.PrefillDone) {
	a.prefilled = true
	a.sendEvent(admitter.PrefillEnded{Key: a.key(), Cached: done.Cached, Took: done.Took})
	a.startImport()
}

func (a *attempt) startImport() {
	a.importing = true
	decode := a.decode
	a.deliver(a.vm.DataCentre, decode.DataCentre, func() {
		switch {
		case decode.dead:
			decode.failAttempt(a.hold)
		case !a.hasPrefillResult:
			decode.runAtEntry(a.hold, func(a *attempt) { a.importFailed(decode, false) })
		default:
			decode.handleEvent(faker.StartImport{
				Hold: a.hold, Tokens: a.prompt, Pieces: a.pieces,
				Delay: a.minDelay(a.prefill.DataCentre, decode.DataCentre),
			})
		}
	})
	if a.transferTimeout > 0 {
		a.setAlarm(&a.transferAlarm, a.now.Add(a.transferTimeout), func() { a.abortTransfer(decode) })
	}
}

// abortTransfer gives up a transfer that exceeded its timeout.
func (a *attempt) abortTransfer(decode *engine) {
	if a.attempts[a.hold] != a || !a.importing || a.decode != decode {
		return
	}
	a.sendToEngine(decode, faker.Release{Hold: a.hold})
	a.importFailed(decode, false)
}

func (a *attempt) importFailed(decode *engine, full bool) {
	if !a.importing || a.decode != decode {
		return
	}
	a.importing = false
	a.sendEvent(admitter.TransferFailed{Key: a.key(), Full: full})
}

// move changes the decode engine of an attempt before its transfer. If the
// prefill has ended, the transfer starts at once.
func (a *attempt) move(m admitter.Move) {
	if a.prefill == nil || a.importing || a.decoding {
		return
	}
	a.decode, a.pieces, a.transferTimeout = a.byID[m.Decode], m.Pieces, m.TransferWithin
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
	a.sendEvent(admitter.TransferEnded{Key: a.key(), Took: took})
	a.sendToEngine(a.prefill, faker.Release{Hold: a.hold})
	a.sendToEngine(a.decode, faker.StartDecode{Hold: a.hold, OutputTokens: a.Output - a.sentTokens})
}

func (a *attempt) firstToken() {
	if a.firstTokenAt.IsZero() {
		a.firstTokenAt = a.now
	}
	a.sendEvent(admitter.FirstToken{Key: a.key()})
}

func (a *attempt) lastToken() {
	a.remove()
	a.collector.markUsed(a.hold)
	a.sendEvent(admitter.Ended{Key: a.key(), Output: a.generated})
	a.handleAnswer()
}

// fail ends an attempt after its engine e failed and starts another one that
// excludes e. If e is the decode engine and decoding has not started, only the
// transfer fails.
func (a *attempt) fail(e *engine) {
	if e == a.decode && !a.decoding {
		a.importFailed(e, false)
		return
	}
	if (a.decoding && e == a.prefill) || (e != a.prefill && e != a.decode) {
		return
	}
	a.remove()
	a.releaseEngines()
	a.sendEvent(admitter.Ended{Key: a.key(), Output: a.generated, Failed: true})
	a.excluded = append(a.excluded, e.ID)
	a.sentTokens += a.generated
	a.retry(0)
}

func (a *attempt) abandon() {
	a.remove()
	a.releaseEngines()
	a.retry(0)
}

// refuse ends the try. If the caller has received a part of the answer, it
// starts another attempt instead.
func (a *attempt) refuse(refusal admitter.Refuse) {
	a.remove()
	a.releaseEngines()
	if a.sentTokens > 0 {
		a.retry(refusal.RetryAfter)
		return
	}
	a.handleRefusal(refusal)
}

func (a *attempt) remove() { delete(a.attempts, a.hold) }

func (a *attempt) releaseEngines() {
	if a.prefill != nil {
		a.sendToEngine(a.prefill, faker.Release{Hold: a.hold})
		a.sendToEngine(a.decode, faker.Release{Hold: a.hold})
	}
}

// sendToEngine sends an event to an engine. If the engine is dead on its
// arrival, the connection is refused and the attempt fails.
func (a *attempt) sendToEngine(e *engine, event faker.EngineEvent) {
	a.deliver(a.vm.DataCentre, e.DataCentre, func() {
		if e.dead {
			e.failAttempt(a.hold)
			return
		}
		e.handleEvent(event)
	})
}
