package prober

import (
	"github.com/pkg/errors"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/wire"
)

// Encode returns the wire message of a frame.
func Encode(f Frame) *wire.Membership {
	m := &wire.Membership{Sender: encodeRecord(f.Sender)}
	for _, r := range f.Records {
		m.Records = append(m.Records, encodeRecord(r))
	}
	for _, n := range f.Notices {
		m.Notices = append(m.Notices, &wire.LeavingNotice{
			Upstream: string(n.Upstream),
			Sequence: n.Sequence,
			Leaving:  n.Leaving,
			Source:   string(n.Source),
		})
	}
	switch b := f.Body.(type) {
	case Ping:
		m.Body = &wire.Membership_Ping{Ping: &wire.MemberPing{Sequence: uint64(b.Sequence)}}
	case Ack:
		m.Body = &wire.Membership_Ack{Ack: &wire.MemberAck{Sequence: uint64(b.Sequence)}}
	case PingRequest:
		r := &wire.MemberPingRequest{Sequence: uint64(b.Sequence), Target: string(b.Target)}
		m.Body = &wire.Membership_PingRequest{PingRequest: r}
	case Gossip:
		m.Body = &wire.Membership_Gossip{Gossip: &wire.MemberGossip{}}
	case Sync:
		m.Body = &wire.Membership_Sync{Sync: &wire.MemberSync{Digest: b.Digest}}
	case Table:
		m.Body = &wire.Membership_Table{Table: &wire.MemberTable{}}
	}
	return m
}

// Decode returns the frame of a wire message. It returns an error if the message
// has no sender, no known body, or too many records or notices.
func Decode(m *wire.Membership) (Frame, error) {
	f := Frame{Sender: decodeRecord(m.GetSender())}
	if f.Sender.VM == "" {
		return Frame{}, errors.New("membership message without a sender")
	}
	if len(m.GetRecords()) > MaxMembers || len(m.GetNotices()) > MaxNotices {
		return Frame{}, errors.New("membership message with too many records or notices")
	}
	for _, r := range m.GetRecords() {
		f.Records = append(f.Records, decodeRecord(r))
	}
	for _, n := range m.GetNotices() {
		f.Notices = append(f.Notices, Notice{
			Upstream: identifier.Upstream(n.GetUpstream()),
			Sequence: n.GetSequence(),
			Leaving:  n.GetLeaving(),
			Source:   Source(n.GetSource()),
		})
	}
	body, err := decodeBody(m)
	f.Body = body
	return f, err
}

func decodeBody(m *wire.Membership) (Body, error) {
	switch b := m.GetBody().(type) {
	case *wire.Membership_Ping:
		return Ping{Sequence: identifier.Sequence(b.Ping.GetSequence())}, nil
	case *wire.Membership_Ack:
		return Ack{Sequence: identifier.Sequence(b.Ack.GetSequence())}, nil
	case *wire.Membership_PingRequest:
		return PingRequest{
			Sequence: identifier.Sequence(b.PingRequest.GetSequence()),
			Target:   identifier.VM(b.PingRequest.GetTarget()),
		}, nil
	case *wire.Membership_Gossip:
		return Gossip{}, nil
	case *wire.Membership_Sync:
		return Sync{Digest: b.Sync.GetDigest()}, nil
	case *wire.Membership_Table:
		return Table{}, nil
	default:
		return nil, errors.New("membership message without a known body")
	}
}

func encodeRecord(r Record) *wire.MemberRecord {
	return &wire.MemberRecord{
		VM:          string(r.VM),
		Address:     r.Address,
		DataCentre:  string(r.DataCentre),
		Incarnation: uint64(r.Incarnation),
		Refutation:  r.Refutation,
		State:       wire.MemberState(r.shared().State),
		Leaving:     r.Leaving,
	}
}

func decodeRecord(r *wire.MemberRecord) Record {
	state := Alive
	if r.GetState() != wire.MemberState_MemberAlive {
		state = Suspect
	}
	return Record{
		VM:          identifier.VM(r.GetVM()),
		Address:     r.GetAddress(),
		DataCentre:  identifier.DataCentre(r.GetDataCentre()),
		Incarnation: identifier.Incarnation(r.GetIncarnation()),
		Refutation:  r.GetRefutation(),
		State:       state,
		Leaving:     r.GetLeaving(),
	}
}
