package deduper

import (
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/outcomer"
)

// Event is what Core is told. The set is sealed.
type Event interface{ event() }

// CallerArrived is a caller's request on a connection.
type CallerArrived struct {
	// Key is empty if the caller chose none; then it can't come back.
	Key Key
	// Request is a new id, which is used if a run of its own is begun.
	Request identifier.Request
	// Writer is a new number.
	Writer Writer
	// Repeatable says that a second run does no harm. One that isn't must
	// have been claimed before.
	Repeatable bool
}

// CallerGone says that a connection has closed.
type CallerGone struct{ Writer Writer }

// Place is where the stream of an attempt runs.
type Place struct {
	// Hold names the attempt's memory. Its VM is the one that began it.
	Hold     identifier.Hold
	Upstream identifier.Upstream
}

// Record is what the home knows of a request.
type Record struct {
	Key Key
	// Request and Attempt name the run.
	Request identifier.Request
	Attempt identifier.Attempt
	// Place has no upstream if no stream runs.
	Place
	// From is the first token of the stream.
	From identifier.Tokens
	// Generated is the answer before From, if it is short enough.
	Generated string
}

// MaxCarried is the most bytes of Record.Generated.
const MaxCarried = 16 << 10

// HomeAnswered is the home's answer to AskHome.
type HomeAnswered struct {
	Key    Key
	Serial uint64
	// Record has no upstream if the request must be started.
	Record Record
	// Superseded says that the caller is on a later connection elsewhere.
	Superseded bool
}

// AttemptStarted says that the attempt's stream runs.
type AttemptStarted struct {
	Request identifier.Request
	Attempt identifier.Attempt
	Place   Place
}

// TokenArrived is one part of an answer.
type TokenArrived struct {
	Request identifier.Request
	Attempt identifier.Attempt
	Reader  Reader
	Index   identifier.Tokens
	Text    string
	// Finish is empty but for the last token.
	Finish string
}

// AttemptEnded says that an attempt or the reading of its stream failed.
type AttemptEnded struct {
	Request identifier.Request
	Attempt identifier.Attempt
	Reader  Reader
	// Resume says that the stream may still run and can be read again.
	Resume bool
	// Again says that the retry budget allows another attempt.
	Again bool
	// Ran says whether the upstream acted on this attempt.
	Ran outcomer.Ran
	// Outcome is told if there is no other attempt.
	Outcome outcomer.Outcome
}

// YieldAsked is the home's order to leave a request to another VM.
type YieldAsked struct {
	Key Key
	// Serial is that of the home's order, Holding that of the AskHome under
	// which this VM has the request. A late order for an earlier one is void.
	Serial, Holding uint64
	// Discard says that the other VM runs the request by itself.
	Discard bool
}

// HomesChanged says that keys have other home VMs than before.
type HomesChanged struct{}

// Wake asks the core to act on what has become due.
type Wake struct{}

func (CallerArrived) event()  {}
func (CallerGone) event()     {}
func (HomeAnswered) event()   {}
func (AttemptStarted) event() {}
func (TokenArrived) event()   {}
func (AttemptEnded) event()   {}
func (YieldAsked) event()     {}
func (HomesChanged) event()   {}
func (Wake) event()           {}
