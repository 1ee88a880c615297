package deduper

import (
	"time"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/outcomer"
)

// Outcome is an action that Core requests. Outcomes must be performed in order.
// The set is sealed.
type Outcome interface{ outcome() }

// StartAttempt begins an attempt, including admission and placement.
type StartAttempt struct {
	Request identifier.Request
	Attempt identifier.Attempt
	Reader  Reader
	// From is the index of the first token to generate, Generated the answer
	// before it.
	From      identifier.Tokens
	Generated string
}

// Attach starts a reader of the running stream of an attempt; see
// driver.Engine.Resume. It stops an earlier reader on this VM.
type Attach struct {
	Request identifier.Request
	Attempt identifier.Attempt
	Reader  Reader
	Place   Place
	From    identifier.Tokens
}

// StopReading stops the reader of a stream that another VM continues to read.
// This VM neither releases the hold nor vouches for it any longer.
type StopReading struct {
	Request identifier.Request
	Attempt identifier.Attempt
	Reader  Reader
}

// Cancel ends an attempt: the attempt is withdrawn from admission and its hold
// is released.
type Cancel struct {
	Request identifier.Request
	Attempt identifier.Attempt
	Reader  Reader
	// Place has no upstream if the stream has not begun.
	Place Place
}

// AnswerCollected reports that an attempt's answer is complete, so that the
// attempt's hold can be released.
type AnswerCollected struct {
	Request identifier.Request
	Attempt identifier.Attempt
}

// Write sends a part of the answer to the caller.
type Write struct {
	Writer Writer
	Text   string
	// Finish is the finish reason, set only on the last part.
	Finish string
}

// CloseWriter ends a connection with the outcome TakenOver because its caller
// has a later one.
type CloseWriter struct {
	Writer Writer
}

// Finish ends the caller's connection with an outcome. If that is Answered, the
// complete answer has been written before.
type Finish struct {
	Writer  Writer
	Outcome outcomer.Outcome
}

// Drop counts a message that was dropped because it didn't come from the
// current attempt and reader or was out of order.
type Drop struct {
	Request identifier.Request
	Attempt identifier.Attempt
}

// AskHome asks the key's home VM which VM runs the key. The reply is
// HomeAnswered.
type AskHome struct {
	Key    Key
	Serial uint64
}

// TellHome sends the key's home VM the place of the running stream.
type TellHome struct {
	Serial uint64
	Record Record
}

// ForgetHome tells the key's home VM that this VM no longer runs the request.
type ForgetHome struct {
	Key    Key
	Serial uint64
}

// Yielded answers a YieldAsked after this VM has closed its writer.
type Yielded struct {
	Key    Key
	Serial uint64
	// Running is true if the stream still runs, without a reader.
	Running bool
}

// Forget reports that the core has removed the request.
type Forget struct {
	Request identifier.Request
	// Own is the id that came with the first caller. It is empty if attempts
	// under that id may still begin.
	Own identifier.Request
}

// WakeAt requests a Wake event at a time. A later WakeAt replaces it.
type WakeAt struct{ At time.Time }

func (StartAttempt) outcome()    {}
func (Attach) outcome()          {}
func (StopReading) outcome()     {}
func (Cancel) outcome()          {}
func (AnswerCollected) outcome() {}
func (Write) outcome()           {}
func (CloseWriter) outcome()     {}
func (Finish) outcome()          {}
func (Drop) outcome()            {}
func (AskHome) outcome()         {}
func (TellHome) outcome()        {}
func (ForgetHome) outcome()      {}
func (Yielded) outcome()         {}
func (Forget) outcome()          {}
func (WakeAt) outcome()          {}
