// Package tracer reads, writes and makes traces for the replay.
//
// A trace is a file of JSON lines. The first known line is a Header; the
// others are Arrival, Cancel and Fault lines in order of time. Durations are
// in nanoseconds. A decision log of a run is a trace too: lines of other
// kinds are counted and skipped.
package tracer

import (
	"time"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/faker"
	"github.com/figtrack/figtrack/identifier"
)

// Kind names the type of a line.
type Kind string

// The kinds of lines.
const (
	KindHeader  Kind = "Header"
	KindArrival Kind = "Arrival"
	KindCancel  Kind = "Cancel"
	KindFault   Kind = "Fault"
)

// The time of a line is named At in files: loggers use the name Time, in one
// case or another, for the time of writing.

// Trace is a whole trace.
type Trace struct {
	Header   Header
	Arrivals []Arrival
	Cancels  []Cancel
	Faults   []Fault
	// Skipped counts the lines of other kinds.
	Skipped int
	// Repeated counts the arrivals of requests that were there before, as a
	// log has them of callers who send a request again. They are left out.
	Repeated int
}

// Header describes the site of a trace and how the trace was made.
type Header struct {
	Kind     Kind
	Time     time.Time `json:"At"`
	Site     string
	Scenario string
	Seed     uint64
	// Load is the work at the full rate as a multiple of capacity, as asked
	// for; Offered is the work that the arrivals bring.
	Load    float64
	Offered float64
	Prefer  admitter.Prefer
	// PeakFrom and PeakTo bound the time at the full rate.
	PeakFrom, PeakTo time.Time
	Upstreams        []Upstream
	VMs              []VM
	Classes          []admitter.Class
	Capacity         Capacity
	// DelayInside and DelayBetween are one-way delays of a message inside a
	// data centre and between two.
	DelayInside, DelayBetween time.Duration
	// DelaySpread is the share by which a message between data centres takes
	// longer than DelayBetween at most. Loss is the share of these messages
	// that get lost and are sent again.
	DelaySpread, Loss float64
	// LoadEvery is the time between two load reports of an upstream.
	LoadEvery time.Duration
	// Returns is how often a refused caller comes again after RetryAfter.
	Returns int
}

// Upstream is one runner with its costs.
type Upstream struct {
	DataCentre identifier.DataCentre
	faker.EngineSettings
}

// VM is one entry VM.
type VM struct {
	ID         identifier.VM
	DataCentre identifier.DataCentre
}

// Capacity is the rate that a site can carry.
type Capacity struct {
	// PerSecond is the rate of requests at which the bottleneck is full.
	PerSecond float64
	// Prefill, Memory and Streams are the rates at which each resource is
	// full: prefill time, decode memory and decode streams.
	Prefill, Memory, Streams float64
	Formula                  string
}

// Arrival is one caller's request as it reaches an entry VM.
type Arrival struct {
	Kind      Kind
	Time      time.Time `json:"At"`
	Request   identifier.Request
	Class     identifier.Class
	Workspace identifier.Workspace
	Model     identifier.Model
	VM        identifier.VM
	// Prompt and Output are lengths in tokens. An Output of 0 in a file means
	// that it is not known; it is read as MaxOutput.
	Prompt, Output identifier.Tokens
	MaxOutput      identifier.Tokens
	// Chain is the id of the prefix that the prompt begins with; Shared is
	// the length of that prefix.
	Chain  uint64
	Shared identifier.Tokens
	// Prefix holds the hashes of the prompt's whole blocks, if they are
	// known. Else they follow from Chain, Shared and Request.
	Prefix []identifier.Block `json:",omitempty"`
}

// Cancel is a caller who goes away.
type Cancel struct {
	Kind    Kind
	Time    time.Time `json:"At"`
	Request identifier.Request
}

// FaultKind names what breaks.
type FaultKind string

// The faults of a trace.
const (
	FaultUpstreamDies     FaultKind = "UpstreamDies"
	FaultUpstreamRestarts FaultKind = "UpstreamRestarts"
	FaultTransfersStall   FaultKind = "TransfersStall"
)

// Fault is something that breaks or comes back.
type Fault struct {
	Kind     Kind
	Time     time.Time `json:"At"`
	Fault    FaultKind
	Upstream identifier.Upstream
	// Until ends a stall; it is zero for other faults.
	Until time.Time `json:",omitzero"`
}
