package forwarder

import (
	"github.com/figtrack/figtrack/claimer"
	"github.com/figtrack/figtrack/identifier"
)

// Outcome is why a call has no answer of its service. The set is sealed.
type Outcome interface{ outcome() }

// NoRoute means that no service has a prefix of the path.
type NoRoute struct{ Path string }

// BadKey means that the idempotency key is too long.
type BadKey struct{ Length int }

// BodyTooLarge means that the body of a keyed call is over the limit.
type BodyTooLarge struct{ Limit int64 }

// BadBody means that the body could not be read.
type BadBody struct{ Err error }

// NotClaimed means that the call was not sent by this VM.
type NotClaimed struct{ Result claimer.Result }

// NoUpstream means that no byte was sent: no instance could be reached.
type NoUpstream struct{ Pool identifier.Pool }

// NoAnswer means that the call was sent and its answer was lost.
type NoAnswer struct{ Pool identifier.Pool }

func (NoRoute) outcome()      {}
func (BadKey) outcome()       {}
func (BodyTooLarge) outcome() {}
func (BadBody) outcome()      {}
func (NotClaimed) outcome()   {}
func (NoUpstream) outcome()   {}
func (NoAnswer) outcome()     {}
