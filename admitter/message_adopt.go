package admitter

import (
	"time"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/wire"
)

func adoptToWire(now time.Time, e Adopt) *wire.Adopt {
	return &wire.Adopt{
		Ask:     askToWire(now, e.Ask),
		Prefill: string(e.Prefill),
		Decode:  string(e.Decode),
		Pieces:  int64(e.Pieces),
		Stage:   string(e.Stage),
	}
}

func adoptFromWire(now time.Time, from identifier.VM, k Key, a *wire.Adopt) (Event, error) {
	ask, err := askFromWire(now, from, k, a.GetAsk())
	if err != nil {
		return nil, err
	}
	e := Adopt{
		Ask:     ask,
		Prefill: identifier.Upstream(a.GetPrefill()),
		Decode:  identifier.Upstream(a.GetDecode()),
		Pieces:  identifier.Pieces(a.GetPieces()),
		Stage:   Stage(a.GetStage()),
	}
	switch e.Stage {
	case StagePrefilling, StageTransferring, StageDecoding:
	default:
		return nil, errors.Errorf("unknown Stage %q, expected Prefilling, Transferring or Decoding", e.Stage)
	}
	return e, checkCount("Pieces", int(e.Pieces), maxTokens/int(identifier.PieceTokens))
}
