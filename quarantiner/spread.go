package quarantiner

import (
	"slices"
	"time"

	"github.com/figtrack/figtrack/identifier"
)

// resendDelays are the waits before each repeated send of a set of marks,
// counted from the send before it.
var resendDelays = []time.Duration{time.Second, 3 * time.Second, 10 * time.Second}

// MaxPendingResends is the most sets of marks that wait to be sent again.
const MaxPendingResends = 256

// pendingResend is a set of marks that was sent and will be sent again.
type pendingResend struct {
	marks []Mark
	// at is when the marks are sent next.
	at time.Time
	// resent counts the repeated sends.
	resent int
}

// sendMarks sends marks to all VMs now and schedules them to be sent again.
func (c *Core) sendMarks(now time.Time, marks []Mark) {
	if len(marks) == 0 {
		return
	}
	c.emit(SendMarks{Marks: marks})
	if len(c.resends) < MaxPendingResends {
		c.resends = append(c.resends, pendingResend{marks: marks, at: now.Add(resendDelays[0])})
	}
}

// resendMarks sends the marks that are due again.
func (c *Core) resendMarks(now time.Time) {
	for i := range c.resends {
		r := &c.resends[i]
		if now.Before(r.at) {
			continue
		}
		c.emit(SendMarks{Marks: r.marks})
		r.resent++
		if r.resent < len(resendDelays) {
			r.at = now.Add(resendDelays[r.resent])
		}
	}
	c.resends = slices.DeleteFunc(c.resends, func(r pendingResend) bool { return r.resent == len(resendDelays) })
}

// mergeMarks adds the marks of another VM and answers with the marks of the
// same fingerprints that this VM has and the other one did not send.
func (c *Core) mergeMarks(now time.Time, e MarksReceived) {
	received := map[Mark]bool{}
	var fingerprints []Fingerprint
	var certain []Mark
	for _, m := range e.Marks {
		received[m] = true
		if c.setMark(now, m) && m.State == StateLost && slices.Contains(c.deaths, m.Death) {
			m.State = StateDied
			c.setMark(now, m)
			certain = append(certain, m)
		}
		if !slices.Contains(fingerprints, m.Fingerprint) {
			fingerprints = append(fingerprints, m.Fingerprint)
		}
	}
	c.sendMarks(now, certain)
	if e.IsReply {
		return
	}
	var missing []Mark
	for _, fingerprint := range fingerprints {
		for _, m := range c.marksOf(fingerprint) {
			if !received[m] {
				missing = append(missing, m)
			}
		}
	}
	if len(missing) > 0 {
		c.emit(SendMarks{To: e.From, IsReply: true, Marks: missing})
	}
}

// marksOf returns all marks of a fingerprint.
func (c *Core) marksOf(fingerprint Fingerprint) []Mark {
	s, ok := c.suspects.Peek(fingerprint)
	if !ok {
		return nil
	}
	var marks []Mark
	for _, m := range s.marks {
		marks = append(marks, m.withState(fingerprint, m.State))
	}
	return marks
}

// MaxMarksPerMessage is the most marks in one message.
const MaxMarksPerMessage = 512

// sendAllMarks sends all marks to a VM that has joined.
func (c *Core) sendAllMarks(vm identifier.VM) {
	var marks []Mark
	for _, fingerprint := range c.suspects.Keys() {
		marks = append(marks, c.marksOf(fingerprint)...)
	}
	for part := range slices.Chunk(marks, MaxMarksPerMessage) {
		c.emit(SendMarks{To: vm, IsReply: true, Marks: part})
	}
}

// scheduleWake asks for a Wake at the time of the next resend.
func (c *Core) scheduleWake() {
	var at time.Time
	for _, r := range c.resends {
		if at.IsZero() || r.at.Before(at) {
			at = r.at
		}
	}
	if !at.IsZero() {
		c.emit(WakeAt{At: at})
	}
}
