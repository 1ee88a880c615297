package deduper

import "time"

// HomeEvent is an input of Home. The set is sealed.
type HomeEvent interface{ homeEvent() }

// HomeAsked is an AskHome received from a VM.
type HomeAsked struct {
	From   Start
	Key    Key
	Serial uint64
}

// HomeTold is a TellHome received from a VM.
type HomeTold struct {
	From   Start
	Serial uint64
	Record Record
}

// HomeForgotten is a ForgetHome received from a VM.
type HomeForgotten struct {
	From   Start
	Key    Key
	Serial uint64
}

// YieldAnswered is a Yielded received from a VM.
type YieldAnswered struct {
	From    Start
	Key     Key
	Serial  uint64
	Running bool
}

// VMDied reports that one start of a VM has ended, or counts as ended by the
// rules of membership.
type VMDied struct{ Start Start }

// HomeWake makes the home handle the deadlines that have passed.
type HomeWake struct{}

func (HomeAsked) homeEvent()     {}
func (HomeTold) homeEvent()      {}
func (HomeForgotten) homeEvent() {}
func (YieldAnswered) homeEvent() {}
func (VMDied) homeEvent()        {}
func (HomeWake) homeEvent()      {}

// HomeOutcome is an action that Home requests. The set is sealed.
type HomeOutcome interface{ homeOutcome() }

// AnswerVM sends the answer to an AskHome to the Core of a VM.
type AnswerVM struct {
	To     Start
	Answer HomeAnswered
}

// YieldVM sends an order to yield to the Core of a VM.
type YieldVM struct {
	To    Start
	Order YieldAsked
}

// HomeWakeAt requests a HomeWake event at a time. A later one replaces it.
type HomeWakeAt struct{ At time.Time }

func (AnswerVM) homeOutcome()   {}
func (YieldVM) homeOutcome()    {}
func (HomeWakeAt) homeOutcome() {}
