package relayer

import (
	"time"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/outcomer"
)

// Record holds the outcome and the measurements of one request.
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
	// PrefillUsed is the engine time of the prefill that led to a complete answer.
	PrefillUsed time.Duration
	// PrefillWasted is the engine time of all other prefills.
	PrefillWasted time.Duration
}

// Recorder records the start and the result of each request.
type Recorder interface {
	RecordStart(job Job)
	RecordResult(r Record)
}

// newRecord returns the record of the request, which ended with out.
func (r *run) newRecord(out outcomer.Outcome) Record {
	record := Record{
		Request:       r.job.Request,
		Class:         r.job.Class,
		Workspace:     r.job.Workspace,
		Outcome:       out,
		Attempts:      r.attempts,
		Tokens:        r.sentTokens,
		PrefillWasted: r.prefillTime,
	}
	if _, ok := out.(outcomer.Answered); ok {
		record.PrefillUsed = r.lastPrefillTime
		record.PrefillWasted -= r.lastPrefillTime
	}
	if r.sentTokens > 0 {
		record.FirstToken = r.firstTokenAt.Sub(r.job.Arrived)
	}
	if r.sentTokens > 1 {
		record.PerToken = r.lastTokenAt.Sub(r.firstTokenAt) / time.Duration(r.sentTokens-1)
	}
	return record
}
