package deduper

import "time"

// HomeEvent is what Home is told. The set is sealed.
type HomeEvent interface{ homeEvent() }

// Asked is an AskHome of a VM.
type Asked struct {
	From   Start
	Key    Key
	Serial uint64
}

// Told is a TellHome of a VM.
type Told struct {
	From   Start
	Serial uint64
	Record Record
}

// Forgotten is a ForgetHome of a VM.
type Forgotten struct {
	From   Start
	Key    Key
	Serial uint64
}

// YieldAnswered is a Yielded of a VM.
type YieldAnswered struct {
	From    Start
	Key     Key
	Serial  uint64
	Running bool
}

// VMDied says that one start of a VM has ended for certain, or counts as
// ended by the rules of membership.
type VMDied struct{ Start Start }

// HomeWake asks the home to act on what has become due.
type HomeWake struct{}

func (Asked) homeEvent()         {}
func (Told) homeEvent()          {}
func (Forgotten) homeEvent()     {}
func (YieldAnswered) homeEvent() {}
func (VMDied) homeEvent()        {}
func (HomeWake) homeEvent()      {}

// HomeOutcome is what Home decides. The set is sealed.
type HomeOutcome interface{ homeOutcome() }

// AnswerVM is for the Core of a VM.
type AnswerVM struct {
	To     Start
	Answer HomeAnswered
}

// YieldVM is for the Core of a VM.
type YieldVM struct {
	To    Start
	Order YieldAsked
}

// HomeWakeAt asks for a HomeWake event at a time. A later one replaces it.
type HomeWakeAt struct{ At time.Time }

func (AnswerVM) homeOutcome()   {}
func (YieldVM) homeOutcome()    {}
func (HomeWakeAt) homeOutcome() {}
