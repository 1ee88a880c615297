package rationer

import (
	"time"

	"github.com/figtrack/figtrack/clocker"
	"github.com/figtrack/figtrack/identifier"
)

// Ticket numbers the requests of one Spender.
type Ticket uint64

// SpenderEvent is an input of Spender.Step. Only this package implements it.
type SpenderEvent interface{ spenderEvent() }

// MembersChanged tells how many VMs share the quotas, and the place of this one among
// them, from 0.
type MembersChanged struct{ Count, Place int }

// Arrived asks whether a request may run.
type Arrived struct {
	Ticket    Ticket
	Workspace identifier.Workspace
	Cost      float64
	// Wait is the longest time that the request may wait for credit, at least MaxWait.
	Wait time.Duration
}

// Left reports that the caller of a request that waits has left.
type Left struct {
	Ticket    Ticket
	Workspace identifier.Workspace
}

// Unused returns the cost of an admitted request that was refused without having run.
type Unused struct {
	Workspace identifier.Workspace
	Cost      float64
}

// Answered reports the grants of a coordinator, which answer the latest report.
type Answered struct {
	From   Source
	SentAt clocker.Moment
	// Part is the part of the quota that the coordinator divides.
	Part   float64
	Grants []Grant
}

// Isolated reports that no coordinator answers and that none counts this VM.
type Isolated struct{}

// Wake handles what has become due.
type Wake struct{}

func (LimitsChanged) spenderEvent()  {}
func (MembersChanged) spenderEvent() {}
func (Arrived) spenderEvent()        {}
func (Left) spenderEvent()           {}
func (Unused) spenderEvent()         {}
func (Answered) spenderEvent()       {}
func (Isolated) spenderEvent()       {}
func (Wake) spenderEvent()           {}

// Outcome is an action for the caller of a Spender. Only this package implements it.
type Outcome interface{ outcome() }

// Admit lets a request run.
type Admit struct{ Ticket Ticket }

// Refuse refuses a request beyond the quota.
type Refuse struct {
	Ticket Ticket
	// After is the time until the workspace's next tokens are available.
	After time.Duration
	Limit Limit
	// Spent is the use of this VM in units a second, lately.
	Spent float64
	// Age is the time since the last grant, negative if there was none. IsIsolated is true
	// if the VM has only its own share.
	Age        time.Duration
	IsIsolated bool
}

// Ask asks for a report soon, after a time.
type Ask struct{ After time.Duration }

func (Admit) outcome()  {}
func (Refuse) outcome() {}
func (Ask) outcome()    {}
