package quarantiner

import (
	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/wire"
)

// ErrMessage is returned for a message with missing or invalid fields.
var ErrMessage = errors.New("malformed quarantine message")

// Encode returns the message that carries an outcome, or nil if the outcome is
// not sent to another VM. The receiver is the outcome's To.
func Encode(o Outcome) *wire.RequestState {
	switch o := o.(type) {
	case SendMarks:
		tell := &wire.MarkTell{Answer: o.IsReply}
		for _, m := range o.Marks {
			tell.Marks = append(tell.Marks, encodeMark(m))
		}
		return &wire.RequestState{Body: &wire.RequestState_MarkTell{MarkTell: tell}}
	case GuardAnswered:
		return &wire.RequestState{Body: &wire.RequestState_GuardAnswer{GuardAnswer: &wire.GuardAnswer{
			Run: encodeRun(o.Run), Allowed: o.Allowed,
		}}}
	default:
		return nil
	}
}

// EncodeGuardAsk returns the message that asks the guard of an upstream to
// allow a run of a suspect.
func EncodeGuardAsk(r Run, f Fingerprint) *wire.RequestState {
	return &wire.RequestState{Body: &wire.RequestState_GuardAsk{GuardAsk: &wire.GuardAsk{
		Run: encodeRun(r), Fingerprint: uint64(f),
	}}}
}

// EncodeGuardFree returns the message that tells a guard that a run it allowed
// has ended.
func EncodeGuardFree(r Run) *wire.RequestState {
	return &wire.RequestState{Body: &wire.RequestState_GuardFree{GuardFree: &wire.GuardFree{Run: encodeRun(r)}}}
}

// Decode returns the event that a message of another VM carries.
func Decode(from identifier.VM, m *wire.RequestState) (Event, error) {
	switch m := m.GetBody().(type) {
	case *wire.RequestState_MarkTell:
		return decodeTell(from, m.MarkTell)
	case *wire.RequestState_GuardAsk:
		r, err := decodeRun(m.GuardAsk.GetRun())
		return GuardAsked{From: from, Run: r, Fingerprint: Fingerprint(m.GuardAsk.GetFingerprint())}, err
	case *wire.RequestState_GuardFree:
		r, err := decodeRun(m.GuardFree.GetRun())
		return GuardFreed{Run: r}, err
	default:
		return nil, ErrMessage
	}
}

// DecodeGuardAnswer returns the run and whether it may start.
func DecodeGuardAnswer(m *wire.GuardAnswer) (Run, bool, error) {
	r, err := decodeRun(m.GetRun())
	return r, err == nil && m.GetAllowed(), err
}

func decodeTell(from identifier.VM, m *wire.MarkTell) (Event, error) {
	if len(m.GetMarks()) > MaxMarksPerMessage {
		return nil, ErrMessage
	}
	e := MarksReceived{From: from, IsReply: m.GetAnswer()}
	for _, entry := range m.GetMarks() {
		state := State(entry.GetState())
		if entry.GetUpstream() == "" || entry.GetRequest() == "" || state < StateLost || state > StateCleared {
			return nil, ErrMessage
		}
		e.Marks = append(e.Marks, Mark{
			Fingerprint: Fingerprint(entry.GetFingerprint()),
			Death: Death{
				Upstream:    identifier.Upstream(entry.GetUpstream()),
				Incarnation: identifier.Incarnation(entry.GetIncarnation()),
			},
			AttemptID: AttemptID{
				Request: identifier.Request(entry.GetRequest()),
				Attempt: identifier.Attempt(entry.GetAttempt()),
			},
			Alone: entry.GetAlone(),
			State: state,
		})
	}
	return e, nil
}

func encodeMark(m Mark) *wire.SuspectMark {
	return &wire.SuspectMark{
		Fingerprint: uint64(m.Fingerprint),
		Upstream:    string(m.Death.Upstream),
		Incarnation: uint64(m.Death.Incarnation),
		Request:     string(m.AttemptID.Request),
		Attempt:     uint32(m.AttemptID.Attempt),
		Alone:       m.Alone,
		State:       uint32(m.State),
	}
}

func encodeRun(r Run) *wire.GuardRun {
	return &wire.GuardRun{Request: string(r.Request), Attempt: uint32(r.Attempt), Upstream: string(r.Upstream)}
}

func decodeRun(m *wire.GuardRun) (Run, error) {
	if m.GetRequest() == "" || m.GetUpstream() == "" {
		return Run{}, ErrMessage
	}
	return Run{
		Request:  identifier.Request(m.GetRequest()),
		Attempt:  identifier.Attempt(m.GetAttempt()),
		Upstream: identifier.Upstream(m.GetUpstream()),
	}, nil
}
