package deduper

import (
	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/wire"
)

// ErrMessage is returned by Decode for an invalid message.
var ErrMessage = errors.New("malformed request message")

// MaxKeyBytes is the maximum length of a key in bytes.
const MaxKeyBytes = 512

// EncodeOutcome returns the message that carries an outcome to the key's home, or
// nil if the outcome isn't sent to it.
func EncodeOutcome(o Outcome) *wire.RequestState {
	switch o := o.(type) {
	case AskHome:
		return &wire.RequestState{Body: &wire.RequestState_HomeAsk{HomeAsk: &wire.HomeAsk{
			Key: string(o.Key), Serial: o.Serial,
		}}}
	case TellHome:
		return &wire.RequestState{Body: &wire.RequestState_HomeTell{HomeTell: &wire.HomeTell{
			Serial: o.Serial, Record: encodeRecord(o.Record),
		}}}
	case ForgetHome:
		return &wire.RequestState{Body: &wire.RequestState_HomeForget{HomeForget: &wire.HomeForget{
			Key: string(o.Key), Serial: o.Serial,
		}}}
	case Yielded:
		return &wire.RequestState{Body: &wire.RequestState_Yielded{Yielded: &wire.Yielded{
			Key: string(o.Key), Serial: o.Serial, Running: o.Running,
		}}}
	default:
		return nil
	}
}

// EncodeHomeOutcome returns the receiver and the message that carries an outcome
// to it. The message is nil if the outcome isn't sent to a VM.
func EncodeHomeOutcome(o HomeOutcome) (Start, *wire.RequestState) {
	switch o := o.(type) {
	case AnswerVM:
		return o.To, &wire.RequestState{Body: &wire.RequestState_HomeAnswer{HomeAnswer: &wire.HomeAnswer{
			Key:        string(o.Answer.Key),
			Serial:     o.Answer.Serial,
			Record:     encodeRecord(o.Answer.Record),
			Superseded: o.Answer.Superseded,
		}}}
	case YieldVM:
		return o.To, &wire.RequestState{Body: &wire.RequestState_Yield{Yield: &wire.Yield{
			Key:     string(o.Order.Key),
			Serial:  o.Order.Serial,
			Holding: o.Order.Holding,
			Discard: o.Order.Discard,
		}}}
	default:
		return Start{}, nil
	}
}

// Decode returns the event in a message from a VM: one for Core or one for Home.
func Decode(from Start, m *wire.RequestState) (Event, HomeEvent, error) {
	switch m := m.GetBody().(type) {
	case *wire.RequestState_HomeAsk:
		key, err := decodeKey(m.HomeAsk.GetKey())
		return nil, HomeAsked{From: from, Key: key, Serial: m.HomeAsk.GetSerial()}, err
	case *wire.RequestState_HomeTell:
		record, err := decodeRecord(m.HomeTell.GetRecord())
		return nil, HomeTold{From: from, Serial: m.HomeTell.GetSerial(), Record: record}, err
	case *wire.RequestState_HomeForget:
		key, err := decodeKey(m.HomeForget.GetKey())
		return nil, HomeForgotten{From: from, Key: key, Serial: m.HomeForget.GetSerial()}, err
	case *wire.RequestState_Yielded:
		key, err := decodeKey(m.Yielded.GetKey())
		e := YieldAnswered{From: from, Key: key, Serial: m.Yielded.GetSerial(), Running: m.Yielded.GetRunning()}
		return nil, e, err
	case *wire.RequestState_HomeAnswer:
		return decodeAnswer(m.HomeAnswer)
	case *wire.RequestState_Yield:
		key, err := decodeKey(m.Yield.GetKey())
		e := YieldAsked{Key: key, Serial: m.Yield.GetSerial(), Holding: m.Yield.GetHolding(), Discard: m.Yield.GetDiscard()}
		return e, nil, err
	default:
		return nil, nil, ErrMessage
	}
}

func decodeAnswer(m *wire.HomeAnswer) (Event, HomeEvent, error) {
	key, err := decodeKey(m.GetKey())
	if err != nil {
		return nil, nil, err
	}
	e := HomeAnswered{Key: key, Serial: m.GetSerial(), Superseded: m.GetSuperseded()}
	if m.GetRecord().GetKey() == "" {
		return e, nil, nil
	}
	e.Record, err = decodeRecord(m.GetRecord())
	if e.Record.Key != key {
		return nil, nil, ErrMessage
	}
	return e, nil, err
}

func decodeKey(key string) (Key, error) {
	if key == "" || len(key) > MaxKeyBytes {
		return "", ErrMessage
	}
	return Key(key), nil
}

func encodeRecord(r Record) *wire.HomeRecord {
	return &wire.HomeRecord{
		Key:     string(r.Key),
		Request: string(r.Request),
		Attempt: uint32(r.Attempt),
		Hold: &wire.RequestHold{
			VM:          string(r.Hold.VM),
			Incarnation: uint64(r.Hold.Incarnation),
			Request:     string(r.Hold.Request),
			Attempt:     uint32(r.Hold.Attempt),
		},
		Upstream:  string(r.Upstream),
		From:      int64(r.From),
		Generated: r.Generated,
	}
}

func decodeRecord(m *wire.HomeRecord) (Record, error) {
	key, err := decodeKey(m.GetKey())
	if err != nil {
		return Record{}, err
	}
	isComplete := m.GetRequest() != "" && m.GetUpstream() != "" && m.GetHold().GetRequest() == m.GetRequest() &&
		m.GetHold().GetAttempt() == m.GetAttempt()
	if !isComplete || m.GetFrom() < 0 || len(m.GetGenerated()) > MaxGeneratedBytes || m.GetFrom() == 0 && m.GetGenerated() != "" {
		return Record{}, ErrMessage
	}
	return Record{
		Key:     key,
		Request: identifier.Request(m.GetRequest()),
		Attempt: identifier.Attempt(m.GetAttempt()),
		Place: Place{
			Hold: identifier.Hold{
				VM:          identifier.VM(m.GetHold().GetVM()),
				Incarnation: identifier.Incarnation(m.GetHold().GetIncarnation()),
				Request:     identifier.Request(m.GetHold().GetRequest()),
				Attempt:     identifier.Attempt(m.GetHold().GetAttempt()),
			},
			Upstream: identifier.Upstream(m.GetUpstream()),
		},
		From:      identifier.Tokens(m.GetFrom()),
		Generated: m.GetGenerated(),
	}, nil
}
