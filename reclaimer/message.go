package reclaimer

import (
	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/wire"
)

// ErrMessage is returned for a message with too many holds or with an incomplete
// hold.
var ErrMessage = errors.New("malformed vouch message")

// EncodeAsk returns the message for an Ask of the owner of a shard.
func EncodeAsk(shard identifier.Shard, o Ask) *wire.RequestState {
	return &wire.RequestState{Body: &wire.RequestState_VouchAsk{VouchAsk: &wire.VouchAsk{
		Shard: string(shard), Round: o.Round, Holds: encodeHolds(o.Holds),
	}}}
}

// AnswerAsk returns a VM's answer to a question. The VM vouches for the holds for
// which inUse returns true.
func AnswerAsk(m *wire.VouchAsk, inUse func(identifier.Hold) bool) (*wire.RequestState, error) {
	holds, err := decodeHolds(m.GetHolds())
	if err != nil {
		return nil, err
	}
	var vouched []identifier.Hold
	for _, id := range holds {
		if inUse(id) {
			vouched = append(vouched, id)
		}
	}
	return &wire.RequestState{Body: &wire.RequestState_VouchAnswer{VouchAnswer: &wire.VouchAnswer{
		Shard: m.GetShard(), Round: m.GetRound(), Holds: encodeHolds(vouched),
	}}}, nil
}

// DecodeAnswer returns the shard of an answer and the event for its core.
func DecodeAnswer(from Start, m *wire.VouchAnswer) (identifier.Shard, Answered, error) {
	holds, err := decodeHolds(m.GetHolds())
	return identifier.Shard(m.GetShard()), Answered{From: from, Round: m.GetRound(), Vouched: holds}, err
}

func encodeHolds(holds []identifier.Hold) []*wire.RequestHold {
	list := make([]*wire.RequestHold, len(holds))
	for i, id := range holds {
		list[i] = &wire.RequestHold{
			VM:          string(id.VM),
			Incarnation: uint64(id.Incarnation),
			Request:     string(id.Request),
			Attempt:     uint32(id.Attempt),
		}
	}
	return list
}

func decodeHolds(list []*wire.RequestHold) ([]identifier.Hold, error) {
	if len(list) > MaxHoldsPerQuestion {
		return nil, ErrMessage
	}
	var holds []identifier.Hold
	for _, m := range list {
		if m.GetVM() == "" || m.GetRequest() == "" || m.GetAttempt() == 0 {
			return nil, ErrMessage
		}
		holds = append(holds, identifier.Hold{
			VM:          identifier.VM(m.GetVM()),
			Incarnation: identifier.Incarnation(m.GetIncarnation()),
			Request:     identifier.Request(m.GetRequest()),
			Attempt:     identifier.Attempt(m.GetAttempt()),
		})
	}
	return holds, nil
}
