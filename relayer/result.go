package relayer

import "time"

// Result is what became of a request. The set is sealed.
type Result interface{ result() }

// Answered means that the whole answer went to the sink.
type Answered struct{}

// Refused means that nothing of the request was run to an answer and that no
// byte was sent to the caller.
type Refused struct {
	Reason     string
	RetryAfter time.Duration
}

// Cancelled means that the caller is gone.
type Cancelled struct{}

// Broken means that the answer could not be finished.
type Broken struct{ Reason string }

// Failed means that one attempt failed and another may be made. Run returns
// it never.
type Failed struct{}

func (Answered) result()  {}
func (Refused) result()   {}
func (Cancelled) result() {}
func (Broken) result()    {}
func (Failed) result()    {}
