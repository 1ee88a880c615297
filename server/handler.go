package server

import (
	"context"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/wire"
)

// handle gives a message of another VM to its duty.
func (s *Server) handle(ctx context.Context, from identifier.VM, e *wire.Envelope) *wire.Envelope {
	switch body := e.GetBody().(type) {
	case *wire.Envelope_Placement:
		s.dispatcher.Receive(from, body.Placement)
	case *wire.Envelope_Membership:
		return s.members.Handle(ctx, from, e)
	case *wire.Envelope_Configuration:
		return s.sync.Handle(ctx, from, e)
	case *wire.Envelope_Inquiry:
		return s.answerInquiry(body.Inquiry)
	case *wire.Envelope_Claim:
		return s.claims.Handle(ctx, from, e)
	}
	return nil
}
