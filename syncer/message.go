package syncer

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/configurer"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/spreader"
	"github.com/figtrack/figtrack/wire"
)

// Encode returns the wire form of m.
func Encode(m Message) *wire.Configuration {
	switch m := m.(type) {
	case Offer:
		o := &wire.ConfigurationOffer{Revision: uint64(m.Revision)}
		return &wire.Configuration{Body: &wire.Configuration_Offer{Offer: o}}
	case DocumentCopy:
		d := &wire.ConfigurationDocument{Packed: compress(m.Value)}
		return &wire.Configuration{Body: &wire.Configuration_Document{Document: d}}
	case Spread:
		return encodeSpread(m.Message)
	default:
		panic("syncer: message of unknown type")
	}
}

func encodeSpread(m spreader.Message) *wire.Configuration {
	switch m := m.(type) {
	case spreader.Push:
		p := &wire.SpreadPush{ID: encodeID(m.ID), Below: encodeVMs(m.Below), Packed: compress(m.Payload)}
		return &wire.Configuration{Body: &wire.Configuration_Push{Push: p}}
	case spreader.Working:
		w := &wire.SpreadWorking{ID: encodeID(m.ID)}
		return &wire.Configuration{Body: &wire.Configuration_Working{Working: w}}
	case spreader.Done:
		d := &wire.SpreadDone{ID: encodeID(m.ID), Missing: encodeVMs(m.Missing)}
		return &wire.Configuration{Body: &wire.Configuration_Done{Done: d}}
	default:
		panic("syncer: message of unknown type")
	}
}

// Decode returns the message in m. It fails if m has no known body or exceeds
// a size bound.
func Decode(m *wire.Configuration) (Message, error) {
	switch b := m.GetBody().(type) {
	case *wire.Configuration_Offer:
		return Offer{Revision: identifier.Revision(b.Offer.GetRevision())}, nil
	case *wire.Configuration_Document:
		value, err := decompress(b.Document.GetPacked())
		return DocumentCopy{Value: value}, err
	case *wire.Configuration_Push:
		return decodePush(b.Push)
	case *wire.Configuration_Working:
		return Spread{Message: spreader.Working{ID: decodeID(b.Working.GetID())}}, nil
	case *wire.Configuration_Done:
		missing, err := decodeVMs(b.Done.GetMissing())
		return Spread{Message: spreader.Done{ID: decodeID(b.Done.GetID()), Missing: missing}}, err
	default:
		return nil, errors.New("configuration message has no known body")
	}
}

func decodePush(p *wire.SpreadPush) (Message, error) {
	below, err := decodeVMs(p.GetBelow())
	if err != nil {
		return nil, err
	}
	payload, err := decompress(p.GetPacked())
	return Spread{Message: spreader.Push{ID: decodeID(p.GetID()), Below: below, Payload: payload}}, err
}

func encodeID(id spreader.ID) *wire.SpreadID {
	return &wire.SpreadID{Root: string(id.Root), Incarnation: uint64(id.Incarnation), Number: uint64(id.Number)}
}

func decodeID(id *wire.SpreadID) spreader.ID {
	return spreader.ID{
		Root:        identifier.VM(id.GetRoot()),
		Incarnation: identifier.Incarnation(id.GetIncarnation()),
		Number:      identifier.Sequence(id.GetNumber()),
	}
}

func encodeVMs(vms []identifier.VM) []string {
	all := make([]string, 0, len(vms))
	for _, vm := range vms {
		all = append(all, string(vm))
	}
	return all
}

func decodeVMs(names []string) ([]identifier.VM, error) {
	if len(names) > spreader.MaxTargets {
		return nil, errors.Errorf("configuration message names %d VMs, the limit is %d", len(names), spreader.MaxTargets)
	}
	all := make([]identifier.VM, 0, len(names))
	for _, name := range names {
		all = append(all, identifier.VM(name))
	}
	return all, nil
}

// compress compresses a document for transfer between VMs.
func compress(value []byte) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, _ = w.Write(value)
	_ = w.Close()
	return b.Bytes()
}

// decompress is the inverse of compress. It rejects a document of more than
// configurer.MaxBytes without reading it to its end.
func decompress(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.Wrap(err, "decompress document")
	}
	value, err := io.ReadAll(io.LimitReader(r, configurer.MaxBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress document")
	}
	if len(value) > configurer.MaxBytes {
		return nil, errors.Errorf("decompressed document exceeds the limit of %d bytes", configurer.MaxBytes)
	}
	return value, nil
}
