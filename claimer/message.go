package claimer

import (
	"bytes"
	"sort"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/wire"
)

// ErrMessage is returned for a message or a stored value that can't be
// decoded.
var ErrMessage = errors.New("malformed claim message")

const keySize = len(Key{})

// EncodeAsk returns the message that carries an ask.
func EncodeAsk(e ClaimAsked) *wire.Claim {
	m := &wire.ClaimAsk{
		Key:         e.Claim.Key[:],
		Body:        uint64(e.Claim.Body),
		VM:          string(e.Claim.Holder.VM),
		Incarnation: uint64(e.Claim.Holder.Incarnation),
		Nonce:       e.Claim.Holder.Nonce,
	}
	if !e.Minted.IsZero() {
		m.MintedMillis = e.Minted.UnixMilli()
	}
	return &wire.Claim{Body: &wire.Claim_Ask{Ask: m}}
}

// DecodeAsk returns the ask that a message carries.
func DecodeAsk(m *wire.ClaimAsk) (ClaimAsked, error) {
	if len(m.GetKey()) != keySize || m.GetVM() == "" || m.GetNonce() == 0 {
		return ClaimAsked{}, ErrMessage
	}
	e := ClaimAsked{Claim: Claim{
		Key:  Key(m.GetKey()),
		Body: Body(m.GetBody()),
		Holder: Holder{
			VM:          identifier.VM(m.GetVM()),
			Incarnation: identifier.Incarnation(m.GetIncarnation()),
			Nonce:       m.GetNonce(),
		},
	}}
	if m.GetMintedMillis() != 0 {
		e.Minted = time.UnixMilli(m.GetMintedMillis())
	}
	return e, nil
}

// EncodeAnswer returns the message that carries an answer.
func EncodeAnswer(a Answer) *wire.Claim {
	m := &wire.ClaimAnswer{Verdict: string(a.Verdict), Reason: string(a.Reason)}
	return &wire.Claim{Body: &wire.Claim_Answer{Answer: m}}
}

// DecodeAnswer returns the result that a message carries.
func DecodeAnswer(m *wire.ClaimAnswer) (Result, error) {
	r := Result{Verdict: Verdict(m.GetVerdict()), Reason: Reason(m.GetReason())}
	switch r.Verdict {
	case VerdictGranted, VerdictTaken, VerdictTakenOtherBody, VerdictUnavailable, VerdictExpired:
		return r, nil
	default:
		return Result{}, ErrMessage
	}
}

// EncodeSegment returns the stored form of a segment.
func EncodeSegment(s Segment) []byte {
	m := &wire.ClaimSegment{Number: s.Number, AtMillis: s.At.UnixMilli()}
	type start struct {
		vm          identifier.VM
		incarnation identifier.Incarnation
	}
	indexes := map[start]uint32{}
	for _, claim := range s.Claims {
		h := start{vm: claim.Holder.VM, incarnation: claim.Holder.Incarnation}
		index, ok := indexes[h]
		if !ok {
			index = uint32(len(m.Holders))
			indexes[h] = index
			m.Holders = append(m.Holders, &wire.ClaimHolder{VM: string(h.vm), Incarnation: uint64(h.incarnation)})
		}
		m.Keys = append(m.Keys, claim.Key[:]...)
		m.Bodies = append(m.Bodies, uint64(claim.Body))
		m.HolderIndexes = append(m.HolderIndexes, index)
		m.Nonces = append(m.Nonces, claim.Holder.Nonce)
	}
	return marshal(m)
}

// DecodeSegment reads the stored form of a segment.
func DecodeSegment(value []byte) (Segment, error) {
	m := &wire.ClaimSegment{}
	if err := proto.Unmarshal(value, m); err != nil {
		return Segment{}, errors.Wrap(ErrMessage, err.Error())
	}
	n := len(m.GetBodies())
	if m.GetNumber() == 0 || len(m.GetKeys()) != n*keySize || len(m.GetHolderIndexes()) != n || len(m.GetNonces()) != n {
		return Segment{}, ErrMessage
	}
	s := Segment{Number: m.GetNumber(), At: time.UnixMilli(m.GetAtMillis()), Claims: make([]Claim, n)}
	for i := range s.Claims {
		index := int(m.GetHolderIndexes()[i])
		if index >= len(m.GetHolders()) {
			return Segment{}, ErrMessage
		}
		h := m.GetHolders()[index]
		s.Claims[i] = Claim{
			Key:  Key(m.GetKeys()[i*keySize : (i+1)*keySize]),
			Body: Body(m.GetBodies()[i]),
			Holder: Holder{
				VM:          identifier.VM(h.GetVM()),
				Incarnation: identifier.Incarnation(h.GetIncarnation()),
				Nonce:       m.GetNonces()[i],
			},
		}
	}
	return s, nil
}

// EncodeBase returns the stored form of a base, with its keys in ascending
// order.
func EncodeBase(b Base) []byte {
	keys := make([]Key, 0, len(b.Claims))
	for key := range b.Claims {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool { return bytes.Compare(keys[i][:], keys[j][:]) < 0 })
	m := &wire.ClaimBase{
		Number:       b.Number,
		Through:      b.Through,
		OldestMillis: b.Oldest.UnixMilli(),
		NewestMillis: b.Newest.UnixMilli(),
		Keys:         make([]byte, 0, len(keys)*keySize),
		Bodies:       make([]uint64, 0, len(keys)),
	}
	for _, key := range keys {
		m.Keys = append(m.Keys, key[:]...)
		m.Bodies = append(m.Bodies, uint64(b.Claims[key]))
	}
	return marshal(m)
}

// DecodeBase reads the stored form of a base.
func DecodeBase(value []byte) (Base, error) {
	m := &wire.ClaimBase{}
	if err := proto.Unmarshal(value, m); err != nil {
		return Base{}, errors.Wrap(ErrMessage, err.Error())
	}
	n := len(m.GetBodies())
	if m.GetNumber() == 0 || len(m.GetKeys()) != n*keySize {
		return Base{}, ErrMessage
	}
	b := Base{
		Number:  m.GetNumber(),
		Through: m.GetThrough(),
		Oldest:  time.UnixMilli(m.GetOldestMillis()),
		Newest:  time.UnixMilli(m.GetNewestMillis()),
		Claims:  make(map[Key]Body, n),
	}
	for i := range n {
		b.Claims[Key(m.GetKeys()[i*keySize:(i+1)*keySize])] = Body(m.GetBodies()[i])
	}
	return b, nil
}

// marshal encodes a message whose fields are all valid.
func marshal(m proto.Message) []byte {
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(errors.Wrap(err, "claimer: encode"))
	}
	return value
}
