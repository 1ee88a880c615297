package deduper

import (
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/outcomer"
)

// Event is an input of Core. The set is sealed.
type Event interface{ event() }

// CallerArrived reports a caller's request on a new connection.
type CallerArrived struct {
	// Key is empty if the caller sent none. It then can't reconnect to the
	// answer.
	Key Key
	// Request is a new id, used if the request starts its own run.
	Request identifier.Request
	// Writer is a number that was not used before.
	Writer Writer
	// Repeatable is true if a second run does no harm. A request that isn't
	// repeatable must have been claimed before.
	Repeatable bool
}

// CallerGone reports that the caller has closed a connection.
type CallerGone struct{ Writer Writer }

// Place locates the stream of an attempt.
type Place struct {
	// Hold identifies the attempt's memory on the engine. Its VM is the one
	// that began the attempt.
	Hold     identifier.Hold
	Upstream identifier.Upstream
}

// Record describes the run of a key, as kept by the key's home.
type Record struct {
	Key Key
	// Request and Attempt identify the run.
	Request identifier.Request
	Attempt identifier.Attempt
	// Place has no upstream if no stream runs.
	Place
	// From is the index of the stream's first token.
	From identifier.Tokens
	// Generated is the answer before From. It is empty if that part was
	// discarded or exceeds MaxGeneratedBytes.
	Generated string
}

// MaxGeneratedBytes is the maximum length of Record.Generated in bytes.
const MaxGeneratedBytes = 16 << 10

// HomeAnswered is the home's answer to AskHome.
type HomeAnswered struct {
	Key    Key
	Serial uint64
	// Record has no upstream if the request must be started.
	Record Record
	// Superseded is true if the caller has a later connection, so that this
	// one must be closed.
	Superseded bool
}

// AttemptStarted reports that the attempt's stream has begun.
type AttemptStarted struct {
	Request identifier.Request
	Attempt identifier.Attempt
	Place   Place
}

// TokenArrived carries one token of an answer.
type TokenArrived struct {
	Request identifier.Request
	Attempt identifier.Attempt
	Reader  Reader
	Index   identifier.Tokens
	Text    string
	// Finish is the finish reason, set only on the last token.
	Finish string
}

// AttemptEnded reports that an attempt or a reader of its stream failed.
type AttemptEnded struct {
	Request identifier.Request
	Attempt identifier.Attempt
	Reader  Reader
	// CanResume is true if the stream may still run and can be read again.
	CanResume bool
	// CanRetry is true if the retry budget allows another attempt.
	CanRetry bool
	// Ran states whether the upstream acted on this attempt.
	Ran outcomer.Ran
	// Outcome is reported to the caller if no other attempt follows.
	Outcome outcomer.Outcome
}

// YieldAsked is the home's order to give a request up to another VM.
type YieldAsked struct {
	Key Key
	// Serial numbers the home's order. Holding is the serial of the AskHome
	// under which this VM runs the request; an order for an earlier AskHome
	// has no effect.
	Serial, Holding uint64
	// Discard is true if the other VM runs the request in a stream of its own,
	// so that the stream of this VM must end.
	Discard bool
}

// HomesChanged reports that some keys have a new home VM.
type HomesChanged struct{}

// Wake makes the core handle the requests that are due.
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
