package admitter

import (
	"time"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/wire"
)

// OutcomeToWire encodes an outcome and returns the entry VM to send it to. The
// message is nil for outcomes that are not sent between VMs.
func OutcomeToWire(shard identifier.Shard, o Outcome) (identifier.VM, *wire.Placement) {
	switch o := o.(type) {
	case Place:
		m := newMessage(shard, o.Key)
		m.Body = &wire.Placement_Place{Place: placeToWire(o)}
		return o.To, m
	case Move:
		m := newMessage(shard, o.Key)
		m.Body = &wire.Placement_Move{Move: &wire.Move{
			Decode: string(o.Decode), Pieces: int64(o.Pieces), TransferWithin: int64(o.TransferWithin),
		}}
		return o.To, m
	case Refuse:
		m := newMessage(shard, o.Key)
		m.Body = &wire.Placement_Refuse{Refuse: &wire.Refuse{Reason: string(o.Reason), RetryAfter: int64(o.RetryAfter)}}
		return o.To, m
	case Abandon:
		m := newMessage(shard, o.Key)
		m.Body = &wire.Placement_Abandon{Abandon: &wire.Abandon{Reason: string(o.Reason)}}
		return o.To, m
	}
	return "", nil
}

func placeToWire(o Place) *wire.Place {
	p := &wire.Place{
		Prefill:        string(o.Prefill),
		Decode:         string(o.Decode),
		Pieces:         int64(o.Pieces),
		TransferWithin: int64(o.TransferWithin),
		Promised:       o.Promised,
		Predicted:      int64(o.Predicted),
	}
	for _, s := range o.Scores {
		p.Scores = append(p.Scores, &wire.Score{Upstream: string(s.Upstream), FirstToken: int64(s.FirstToken)})
	}
	return p
}

// OutcomeFromWire decodes and validates an outcome sent to an entry VM.
func OutcomeFromWire(to identifier.VM, m *wire.Placement) (Outcome, error) {
	k, err := keyOf(m)
	if err != nil {
		return nil, err
	}
	switch b := m.GetBody().(type) {
	case *wire.Placement_Place:
		return placeFromWire(to, k, b.Place)
	case *wire.Placement_Move:
		o := Move{
			Key: k, To: to, Decode: identifier.Upstream(b.Move.GetDecode()), Pieces: identifier.Pieces(b.Move.GetPieces()),
			TransferWithin: time.Duration(b.Move.GetTransferWithin()),
		}
		return o, checkAll(checkName("Decode", o.Decode), checkPieces(o.Pieces), checkDuration("TransferWithin", o.TransferWithin))
	case *wire.Placement_Refuse:
		o := Refuse{Key: k, To: to, Reason: Reason(b.Refuse.GetReason()), RetryAfter: time.Duration(b.Refuse.GetRetryAfter())}
		return o, checkDuration("RetryAfter", o.RetryAfter)
	case *wire.Placement_Abandon:
		return Abandon{Key: k, To: to, Reason: Reason(b.Abandon.GetReason())}, nil
	}
	return nil, errors.New("placement message contains no known outcome")
}

func placeFromWire(to identifier.VM, k Key, p *wire.Place) (Outcome, error) {
	o := Place{
		Key: k, To: to, Prefill: identifier.Upstream(p.GetPrefill()), Decode: identifier.Upstream(p.GetDecode()),
		Pieces: identifier.Pieces(p.GetPieces()), TransferWithin: time.Duration(p.GetTransferWithin()),
		Promised: p.GetPromised(), Predicted: time.Duration(p.GetPredicted()),
	}
	for _, s := range p.GetScores() {
		o.Scores = append(o.Scores, Score{identifier.Upstream(s.GetUpstream()), time.Duration(s.GetFirstToken())})
	}
	return o, checkAll(
		checkName("Prefill", o.Prefill),
		checkName("Decode", o.Decode),
		checkPieces(o.Pieces),
		checkDuration("TransferWithin", o.TransferWithin),
		checkCount("Scores", len(o.Scores), maxScores),
	)
}

func checkAll(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func checkTokens(field string, n identifier.Tokens) error {
	if n < 0 || n > maxTokens {
		return errors.Errorf("%s is %d, expected 0 to %d", field, n, maxTokens)
	}
	return nil
}

func checkPieces(n identifier.Pieces) error {
	if maxPieces := identifier.PiecesFor(maxTokens); n < 1 || n > maxPieces {
		return errors.Errorf("Pieces is %d, expected 1 to %d", n, maxPieces)
	}
	return nil
}

func checkDuration(field string, d time.Duration) error {
	if d < -maxDuration || d > maxDuration {
		return errors.Errorf("%s is %s, expected at most %s in either direction", field, d, maxDuration)
	}
	return nil
}

func checkCount(field string, n, limit int) error {
	if n > limit {
		return errors.Errorf("%s has %d entries, expected at most %d", field, n, limit)
	}
	return nil
}

func checkName(field string, id identifier.Upstream) error {
	if id == "" {
		return errors.Errorf("%s is missing", field)
	}
	return nil
}

func convertUints[To, From ~uint64](from []From) []To {
	if from == nil {
		return nil
	}
	to := make([]To, len(from))
	for i, v := range from {
		to[i] = To(v)
	}
	return to
}

func convertStrings[To, From ~string](from []From) []To {
	if from == nil {
		return nil
	}
	to := make([]To, len(from))
	for i, v := range from {
		to[i] = To(v)
	}
	return to
}
