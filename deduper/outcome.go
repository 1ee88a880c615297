package deduper

import (
	"time"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/outcomer"
)

// Outcome is what Core decides. Outcomes must be performed in their order.
// The set is sealed.
type Outcome interface{ outcome() }

// StartAttempt begins an attempt, with admission and placement.
type StartAttempt struct {
	Request identifier.Request
	Attempt identifier.Attempt
	Reader  Reader
	// From is the first token to generate, Generated the answer before it.
	From      identifier.Tokens
	Generated string
}

// Attach reads the running stream of an attempt; see driver.Engine.Resume.
// An earlier reading on this VM is ended.
type Attach struct {
	Request identifier.Request
	Attempt identifier.Attempt
	Reader  Reader
	Place   Place
	From    identifier.Tokens
}

// StopReading ends the reading of a stream that another VM reads on. The
// hold is not released and not vouched for any more.
type StopReading struct {
	Request identifier.Request
	Attempt identifier.Attempt
	Reader  Reader
}

// Cancel ends an attempt: it is withdrawn from admission and what it holds
// is released.
type Cancel struct {
	Request identifier.Request
	Attempt identifier.Attempt
	Reader  Reader
	// Place has no upstream if the stream has not begun.
	Place Place
}

// Collected says that an attempt's answer is whole: what the attempt holds
// can be released.
type Collected struct {
	Request identifier.Request
	Attempt identifier.Attempt
}

// Write sends a part of the answer to the caller.
type Write struct {
	Writer Writer
	Text   string
	// Finish is empty but for the last part.
	Finish string
}

// CloseWriter ends a connection whose caller has a later one, with the
// outcome TakenOver.
type CloseWriter struct {
	Writer Writer
}

// Finish ends the caller's connection with an outcome. For Answered the
// whole answer has been written.
type Finish struct {
	Writer  Writer
	Outcome outcomer.Outcome
}

// Drop counts a message of another attempt or reader.
type Drop struct {
	Request identifier.Request
	Attempt identifier.Attempt
}

// AskHome asks the key's home VM, answered by HomeAnswered.
type AskHome struct {
	Key    Key
	Serial uint64
}

// TellHome gives the key's home VM the place of the running stream.
type TellHome struct {
	Serial uint64
	Record Record
}

// ForgetHome tells the key's home VM that this VM has ended the request.
type ForgetHome struct {
	Key    Key
	Serial uint64
}

// Yielded answers a YieldAsked. The writer of this VM is closed.
type Yielded struct {
	Key    Key
	Serial uint64
	// Running says that the stream runs on without a reader.
	Running bool
}

// Forget says that the VM keeps nothing of the request any more.
type Forget struct {
	Request identifier.Request
	// Own is the id that came with the first caller; empty if attempts of
	// that one may still begin.
	Own identifier.Request
}

// WakeAt asks for a Wake event at a time. A later WakeAt replaces it.
type WakeAt struct{ At time.Time }

func (StartAttempt) outcome() {}
func (Attach) outcome()       {}
func (StopReading) outcome()  {}
func (Cancel) outcome()       {}
func (Collected) outcome()    {}
func (Write) outcome()        {}
func (CloseWriter) outcome()  {}
func (Finish) outcome()       {}
func (Drop) outcome()         {}
func (AskHome) outcome()      {}
func (TellHome) outcome()     {}
func (ForgetHome) outcome()   {}
func (Yielded) outcome()      {}
func (Forget) outcome()       {}
func (WakeAt) outcome()       {}
