package admitter

import (
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/wire"
)

const (
	// maxTokens bounds the token counts accepted from messages.
	maxTokens = 1 << 24
	// maxDuration bounds the durations accepted from messages.
	maxDuration = 24 * time.Hour
)

// EventToWire encodes an event that an entry VM sends to the owner of a shard.
// It returns nil for events that are not sent between VMs.
func EventToWire(now time.Time, shard identifier.Shard, e Event) *wire.Placement {
	switch e := e.(type) {
	case Ask:
		m := newMessage(shard, e.Key)
		m.Body = &wire.Placement_Ask{Ask: askToWire(now, e)}
		return m
	case Adopt:
		m := newMessage(shard, e.Key)
		m.Body = &wire.Placement_Adopt{Adopt: adoptToWire(now, e)}
		return m
	case Withdraw:
		m := newMessage(shard, e.Key)
		m.Body = &wire.Placement_Withdraw{Withdraw: &wire.Withdraw{}}
		return m
	case PrefillEnded:
		m := newMessage(shard, e.Key)
		m.Body = &wire.Placement_PrefillEnded{PrefillEnded: &wire.PrefillEnded{Cached: int64(e.Cached), Took: int64(e.Took)}}
		return m
	case TransferEnded:
		m := newMessage(shard, e.Key)
		m.Body = &wire.Placement_TransferEnded{TransferEnded: &wire.TransferEnded{Took: int64(e.Took)}}
		return m
	case TransferFailed:
		m := newMessage(shard, e.Key)
		m.Body = &wire.Placement_TransferFailed{TransferFailed: &wire.TransferFailed{Full: e.Full}}
		return m
	case FirstToken:
		m := newMessage(shard, e.Key)
		m.Body = &wire.Placement_FirstToken{FirstToken: &wire.FirstToken{}}
		return m
	case Ended:
		m := newMessage(shard, e.Key)
		m.Body = &wire.Placement_Ended{Ended: &wire.Ended{Output: int64(e.Output), Failed: e.Failed}}
		return m
	}
	return nil
}

func newMessage(shard identifier.Shard, k Key) *wire.Placement {
	m := &wire.Placement{Shard: string(shard), Attempt: uint32(k.Attempt)}
	if id, err := uuid.Parse(string(k.Request)); err == nil && id.String() == string(k.Request) {
		m.Id = id[:]
	} else {
		m.Request = string(k.Request)
	}
	return m
}

func askToWire(now time.Time, e Ask) *wire.Ask {
	return &wire.Ask{
		Class:          string(e.Class),
		Workspace:      string(e.Workspace),
		Model:          string(e.Model),
		FromDataCentre: string(e.FromDataCentre),
		Prompt:         int64(e.Prompt),
		MaxOutput:      int64(e.MaxOutput),
		Prefix:         convertUints[uint64](e.Prefix),
		Waited:         int64(now.Sub(e.Arrived)),
		Excluded:       convertStrings[string](e.Excluded),
		Continues:      e.Continues,
	}
}

// EventFromWire decodes and validates an event sent by an entry VM.
func EventFromWire(now time.Time, from identifier.VM, m *wire.Placement) (Event, error) {
	k, err := keyOf(m)
	if err != nil {
		return nil, err
	}
	switch b := m.GetBody().(type) {
	case *wire.Placement_Ask:
		return askFromWire(now, from, k, b.Ask)
	case *wire.Placement_Adopt:
		return adoptFromWire(now, from, k, b.Adopt)
	case *wire.Placement_Withdraw:
		return Withdraw{k}, nil
	case *wire.Placement_PrefillEnded:
		e := PrefillEnded{Key: k, Cached: identifier.Tokens(b.PrefillEnded.GetCached()), Took: time.Duration(b.PrefillEnded.GetTook())}
		return e, checkAll(checkTokens("Cached", e.Cached), checkDuration("Took", e.Took))
	case *wire.Placement_TransferEnded:
		e := TransferEnded{Key: k, Took: time.Duration(b.TransferEnded.GetTook())}
		return e, checkDuration("Took", e.Took)
	case *wire.Placement_TransferFailed:
		return TransferFailed{Key: k, Full: b.TransferFailed.GetFull()}, nil
	case *wire.Placement_FirstToken:
		return FirstToken{k}, nil
	case *wire.Placement_Ended:
		e := Ended{Key: k, Output: identifier.Tokens(b.Ended.GetOutput()), Failed: b.Ended.GetFailed()}
		return e, checkTokens("Output", e.Output)
	}
	return nil, errors.New("placement message contains no known event")
}

func askFromWire(now time.Time, from identifier.VM, k Key, a *wire.Ask) (Ask, error) {
	waited := time.Duration(a.GetWaited())
	e := Ask{
		Key:            k,
		Class:          identifier.Class(a.GetClass()),
		Workspace:      identifier.Workspace(a.GetWorkspace()),
		Model:          identifier.Model(a.GetModel()),
		From:           from,
		FromDataCentre: identifier.DataCentre(a.GetFromDataCentre()),
		Prompt:         identifier.Tokens(a.GetPrompt()),
		MaxOutput:      identifier.Tokens(a.GetMaxOutput()),
		Prefix:         convertUints[identifier.Block](a.GetPrefix()),
		Arrived:        now.Add(-waited),
		Excluded:       convertStrings[identifier.Upstream](a.GetExcluded()),
		Continues:      a.GetContinues(),
	}
	err := checkAll(
		checkTokens("Prompt", e.Prompt),
		checkTokens("MaxOutput", e.MaxOutput),
		checkDuration("Waited", waited),
		checkCount("Prefix", len(e.Prefix), maxTokens/int(identifier.BlockTokens)),
		checkCount("Excluded", len(e.Excluded), maxUpstreams),
	)
	return e, err
}

func keyOf(m *wire.Placement) (Key, error) {
	k := Key{Request: requestOf(m), Attempt: identifier.Attempt(m.GetAttempt())}
	if k.Request == "" || k.Attempt < 1 {
		return k, errors.New("placement message has no Request or an Attempt below 1")
	}
	return k, nil
}

func requestOf(m *wire.Placement) identifier.Request {
	if id, err := uuid.FromBytes(m.GetId()); err == nil {
		return identifier.Request(id.String())
	}
	return identifier.Request(m.GetRequest())
}
