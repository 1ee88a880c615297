// Package messenger carries messages between VMs over QUIC with mutual TLS.
package messenger

import (
	"context"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/wire"
)

// Handler answers one message of a peer. A nil answer sends none. It must
// not block for long: its result is awaited inside the sender's deadline.
type Handler func(ctx context.Context, from identifier.VM, e *wire.Envelope) *wire.Envelope

// Sender reaches other VMs. Both methods are safe for several goroutines.
type Sender interface {
	// Send queues a one-way message. It returns false, with nothing sent, if
	// the peer's queue is full or the peer is unknown.
	Send(to identifier.VM, e *wire.Envelope) bool
	// Call sends a message and waits for the answer until ctx ends. On an
	// error the peer may or may not have handled the message.
	Call(ctx context.Context, to identifier.VM, e *wire.Envelope) (*wire.Envelope, error)
}
