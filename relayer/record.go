package relayer

import (
	"time"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/outcomer"
)

// Record is what one request came to.
type Record struct {
	Request   identifier.Request
	Class     identifier.Class
	Workspace identifier.Workspace
	Outcome   outcomer.Outcome
	Attempts  identifier.Attempt
	Tokens    identifier.Tokens
	// FirstToken is the time from arrival to the first token; zero without one.
	FirstToken time.Duration
	// PerToken is the mean time between later tokens; zero with fewer than two.
	PerToken time.Duration
	// PrefillUsed is engine time for the prefill whose answer came whole.
	PrefillUsed time.Duration
	// PrefillWasted is engine time for prefills that led to no whole answer.
	PrefillWasted time.Duration
}

// Recorder keeps what requests came to.
type Recorder interface {
	Began(job Job)
	Ended(r Record)
}

func (r *run) record(out outcomer.Outcome) Record {
	record := Record{
		Request:       r.job.Request,
		Class:         r.job.Class,
		Workspace:     r.job.Workspace,
		Outcome:       out,
		Attempts:      r.attempts,
		Tokens:        r.written,
		PrefillWasted: r.prefilled,
	}
	if _, ok := out.(outcomer.Answered); ok {
		record.PrefillUsed = r.lastPrefill
		record.PrefillWasted -= r.lastPrefill
	}
	if r.written > 0 {
		record.FirstToken = r.firstAt.Sub(r.job.Arrived)
	}
	if r.written > 1 {
		record.PerToken = r.lastAt.Sub(r.firstAt) / time.Duration(r.written-1)
	}
	return record
}
