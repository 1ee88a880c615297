package server

import (
	"context"

	"github.com/figtrack/figtrack/deduper"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/reclaimer"
	"github.com/figtrack/figtrack/wire"
)

// handleMessage dispatches a message from another VM to the component that
// handles it, and returns the reply, if any.
func (s *Server) handleMessage(ctx context.Context, from identifier.VM, e *wire.Envelope) *wire.Envelope {
	switch body := e.GetBody().(type) {
	case *wire.Envelope_Placement:
		s.dispatcher.Receive(from, body.Placement)
	case *wire.Envelope_Membership:
		return s.membership.Handle(ctx, from, e)
	case *wire.Envelope_RequestState:
		return s.handleRequestState(ctx, from, e.GetIncarnation(), body.RequestState)
	case *wire.Envelope_Configuration:
		return s.sync.Handle(ctx, from, e)
	case *wire.Envelope_Inquiry:
		return s.answerInquiry(body.Inquiry)
	case *wire.Envelope_Claim:
		return s.claims.Handle(ctx, from, e)
	}
	return nil
}

// handleRequestState dispatches the messages about requests in flight.
func (s *Server) handleRequestState(ctx context.Context, from identifier.VM, incarnation uint64, m *wire.RequestState) *wire.Envelope {
	switch m.GetBody().(type) {
	case *wire.RequestState_VouchAsk, *wire.RequestState_VouchAnswer:
		s.reclaimer.Handle(reclaimer.Start{VM: from, Incarnation: identifier.Incarnation(incarnation)}, m)
		return nil
	case *wire.RequestState_MarkTell, *wire.RequestState_GuardAsk, *wire.RequestState_GuardFree:
		return s.quarantiner.Handle(ctx, from, m)
	default:
		s.deduper.Handle(deduper.Start{VM: from, Incarnation: identifier.Incarnation(incarnation)}, m)
		return nil
	}
}
