package admitter

import (
	"time"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/wire"
)

// KeyOf returns the attempt that a decision is for; false for a WakeAt.
func KeyOf(o Outcome) (Key, bool) {
	switch o := o.(type) {
	case Place:
		return o.Key, true
	case Move:
		return o.Key, true
	case Refuse:
		return o.Key, true
	case Abandon:
		return o.Key, true
	}
	return Key{}, false
}

// EventToWire returns the message of an event of an attempt, for the owner of
// a shard. It returns nil for the events that stay on one VM.
func EventToWire(now time.Time, shard identifier.Shard, e Event) *wire.Placement {
	p := &wire.Placement{Shard: string(shard)}
	var key Key
	switch e := e.(type) {
	case Ask:
		key = e.Key
		p.Body = &wire.Placement_Ask{Ask: askToWire(now, e)}
	case Withdraw:
		key = e.Key
		p.Body = &wire.Placement_Withdraw{Withdraw: &wire.PlacementWithdraw{}}
	case PrefillEnded:
		key = e.Key
		p.Body = &wire.Placement_PrefillEnded{PrefillEnded: &wire.PlacementPrefillEnded{
			CachedTokens:     uint32(e.Cached),
			TookMicroseconds: microseconds(e.Took),
		}}
	case TransferEnded:
		key = e.Key
		p.Body = &wire.Placement_TransferEnded{TransferEnded: &wire.PlacementTransferEnded{TookMicroseconds: microseconds(e.Took)}}
	case TransferFailed:
		key = e.Key
		p.Body = &wire.Placement_TransferFailed{TransferFailed: &wire.PlacementTransferFailed{Full: e.Full}}
	case FirstToken:
		key = e.Key
		p.Body = &wire.Placement_FirstToken{FirstToken: &wire.PlacementFirstToken{}}
	case Ended:
		key = e.Key
		p.Body = &wire.Placement_Ended{Ended: &wire.PlacementEnded{OutputTokens: uint32(e.Output), Failed: e.Failed}}
	default:
		return nil
	}
	p.Request = string(key.Request)
	p.Attempt = uint32(key.Attempt)
	return p
}

func askToWire(now time.Time, a Ask) *wire.PlacementAsk {
	out := &wire.PlacementAsk{
		Class:           string(a.Class),
		Workspace:       string(a.Workspace),
		Model:           string(a.Model),
		DataCentre:      string(a.FromDataCentre),
		PromptTokens:    uint32(a.Prompt),
		MaxOutputTokens: uint32(a.MaxOutput),
		AgeMicroseconds: microseconds(max(0, now.Sub(a.Arrived))),
	}
	for _, b := range a.Prefix {
		out.Prefix = append(out.Prefix, uint64(b))
	}
	for _, u := range a.Excluded {
		out.Excluded = append(out.Excluded, string(u))
	}
	return out
}

// EventFromWire returns the event in a message from a VM, or false if it holds
// none.
func EventFromWire(now time.Time, from identifier.VM, p *wire.Placement) (Event, bool) {
	key := keyFromWire(p)
	switch body := p.GetBody().(type) {
	case *wire.Placement_Ask:
		return askFromWire(now, from, key, body.Ask), true
	case *wire.Placement_Withdraw:
		return Withdraw{Key: key}, true
	case *wire.Placement_PrefillEnded:
		return PrefillEnded{
			Key:    key,
			Cached: identifier.Tokens(body.PrefillEnded.GetCachedTokens()),
			Took:   duration(body.PrefillEnded.GetTookMicroseconds()),
		}, true
	case *wire.Placement_TransferEnded:
		return TransferEnded{Key: key, Took: duration(body.TransferEnded.GetTookMicroseconds())}, true
	case *wire.Placement_TransferFailed:
		return TransferFailed{Key: key, Full: body.TransferFailed.GetFull()}, true
	case *wire.Placement_FirstToken:
		return FirstToken{Key: key}, true
	case *wire.Placement_Ended:
		return Ended{
			Key:    key,
			Output: identifier.Tokens(body.Ended.GetOutputTokens()),
			Failed: body.Ended.GetFailed(),
		}, true
	}
	return nil, false
}

func askFromWire(now time.Time, from identifier.VM, key Key, a *wire.PlacementAsk) Ask {
	out := Ask{
		Key:            key,
		Class:          identifier.Class(a.GetClass()),
		Workspace:      identifier.Workspace(a.GetWorkspace()),
		Model:          identifier.Model(a.GetModel()),
		From:           from,
		FromDataCentre: identifier.DataCentre(a.GetDataCentre()),
		Prompt:         identifier.Tokens(a.GetPromptTokens()),
		MaxOutput:      identifier.Tokens(max(1, a.GetMaxOutputTokens())),
		Arrived:        now.Add(-duration(a.GetAgeMicroseconds())),
	}
	for _, b := range a.GetPrefix() {
		out.Prefix = append(out.Prefix, identifier.Block(b))
	}
	for _, u := range a.GetExcluded() {
		out.Excluded = append(out.Excluded, identifier.Upstream(u))
	}
	return out
}

// OutcomeToWire returns the message of a decision, or nil for a WakeAt. The
// scores stay in the owner's log.
func OutcomeToWire(o Outcome) *wire.Placement {
	key, ok := KeyOf(o)
	if !ok {
		return nil
	}
	p := &wire.Placement{Request: string(key.Request), Attempt: uint32(key.Attempt)}
	switch o := o.(type) {
	case Place:
		p.Body = &wire.Placement_Place{Place: &wire.PlacementPlace{
			Prefill:                    string(o.Prefill),
			Decode:                     string(o.Decode),
			Pieces:                     uint32(o.Pieces),
			TransferWithinMicroseconds: microseconds(o.TransferWithin),
			Promised:                   o.Promised,
			PredictedMicroseconds:      microseconds(o.Predicted),
		}}
	case Move:
		p.Body = &wire.Placement_Move{Move: &wire.PlacementMove{
			Decode:                     string(o.Decode),
			Pieces:                     uint32(o.Pieces),
			TransferWithinMicroseconds: microseconds(o.TransferWithin),
		}}
	case Refuse:
		p.Body = &wire.Placement_Refuse{Refuse: &wire.PlacementRefuse{
			Reason:                 string(o.Reason),
			RetryAfterMicroseconds: microseconds(o.RetryAfter),
		}}
	case Abandon:
		p.Body = &wire.Placement_Abandon{Abandon: &wire.PlacementAbandon{Reason: string(o.Reason)}}
	}
	return p
}

// OutcomeFromWire returns the decision in a message to a VM, or false if it
// holds none.
func OutcomeFromWire(to identifier.VM, p *wire.Placement) (Outcome, bool) {
	key := keyFromWire(p)
	switch body := p.GetBody().(type) {
	case *wire.Placement_Place:
		return Place{
			Key:            key,
			To:             to,
			Prefill:        identifier.Upstream(body.Place.GetPrefill()),
			Decode:         identifier.Upstream(body.Place.GetDecode()),
			Pieces:         identifier.Pieces(body.Place.GetPieces()),
			TransferWithin: duration(body.Place.GetTransferWithinMicroseconds()),
			Promised:       body.Place.GetPromised(),
			Predicted:      duration(body.Place.GetPredictedMicroseconds()),
		}, true
	case *wire.Placement_Move:
		return Move{
			Key:            key,
			To:             to,
			Decode:         identifier.Upstream(body.Move.GetDecode()),
			Pieces:         identifier.Pieces(body.Move.GetPieces()),
			TransferWithin: duration(body.Move.GetTransferWithinMicroseconds()),
		}, true
	case *wire.Placement_Refuse:
		return Refuse{
			Key:        key,
			To:         to,
			Reason:     Reason(body.Refuse.GetReason()),
			RetryAfter: duration(body.Refuse.GetRetryAfterMicroseconds()),
		}, true
	case *wire.Placement_Abandon:
		return Abandon{Key: key, To: to, Reason: Reason(body.Abandon.GetReason())}, true
	}
	return nil, false
}

func keyFromWire(p *wire.Placement) Key {
	return Key{Request: identifier.Request(p.GetRequest()), Attempt: identifier.Attempt(p.GetAttempt())}
}

// longest bounds the durations of messages, so that no sum overflows.
const longest = 24 * time.Hour

func microseconds(d time.Duration) uint64 { return uint64(max(0, d).Microseconds()) }

func duration(n uint64) time.Duration {
	return time.Duration(min(n, uint64(longest/time.Microsecond))) * time.Microsecond
}
