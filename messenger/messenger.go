// Package messenger carries messages between VMs over QUIC with mutual TLS.
package messenger

import (
	"context"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/wire"
)

// Handler handles one message of a peer and returns the answer. After a nil
// answer, a caller gets an empty envelope; the answer to a one-way message is
// dropped. It must not block for long: the caller's deadline includes its time.
type Handler func(ctx context.Context, from identifier.VM, e *wire.Envelope) *wire.Envelope

// Sender sends messages to other VMs. Its methods are safe for concurrent use.
type Sender interface {
	// Send queues a one-way message. It returns false, with nothing sent, if
	// the peer is unknown or its queue is full. A queued message may still be
	// lost.
	Send(to identifier.VM, e *wire.Envelope) bool
	// Call sends a message and waits for the answer until ctx ends. After an
	// error the peer may or may not have handled the message.
	Call(ctx context.Context, to identifier.VM, e *wire.Envelope) (*wire.Envelope, error)
}
