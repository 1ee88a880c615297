// Package tracer reads, writes and generates traces of requests for replays.
//
// A trace is a file of JSON lines. The first line of a known kind is a Header;
// the others are Arrival, Cancel and Fault lines in order of time. Durations
// are in nanoseconds. The decision log of a run can be read as a trace, too:
// lines of other kinds are counted and skipped.
package tracer

import (
	"time"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/faker"
	"github.com/figtrack/figtrack/identifier"
)

// Kind is the type of a line in a trace.
type Kind string

// The kinds of lines.
const (
	KindHeader  Kind = "Header"
	KindArrival Kind = "Arrival"
	KindCancel  Kind = "Cancel"
	KindFault   Kind = "Fault"
)

// In files, the time of a line is named At, because loggers write the time of
// logging as Time, in upper or lower case.

// Trace holds the lines of a trace, by kind.
type Trace struct {
	Header   Header
	Arrivals []Arrival
	Cancels  []Cancel
	Faults   []Fault
	// Skipped counts the lines of unknown kinds.
	Skipped int
	// Repeated counts the arrivals that were left out because an earlier line
	// has the same Request. Logs have them when callers send a request again.
	Repeated int
}

// Header describes the site of a trace and how the trace was generated.
type Header struct {
	Kind     Kind
	Time     time.Time `json:"At"`
	Site     string
	Scenario string
	Seed     uint64
	// Load is the planned work at the peak rate, as a multiple of Capacity.
	// Offered is the work that the arrivals bring at the peak rate, likewise.
	Load    float64
	Offered float64
	Prefer  admitter.Prefer
	// PeakFrom and PeakTo bound the time at the peak rate.
	PeakFrom, PeakTo time.Time
	Upstreams        []Upstream
	VMs              []VM
	Classes          []admitter.Class
	Capacity         Capacity
	// DelayInside and DelayBetween are the one-way delays of a message within
	// a data centre and between two data centres.
	DelayInside, DelayBetween time.Duration
	// DelaySpread is the largest extra delay of a message between data
	// centres, as a share of DelayBetween. Loss is the share of these messages
	// that are lost and sent again.
	DelaySpread, Loss float64
	// LoadEvery is the interval between two load reports of an upstream.
	LoadEvery time.Duration
	// Returns is how often a refused caller sends its request again, each time
	// after RetryAfter.
	Returns int
}

// Upstream is a runner with its data centre and the costs of its engine.
type Upstream struct {
	DataCentre identifier.DataCentre
	faker.EngineSettings
}

// VM is an entry VM with its data centre.
type VM struct {
	ID         identifier.VM
	DataCentre identifier.DataCentre
}

// Capacity is the rate of requests that a site can serve.
type Capacity struct {
	// PerSecond is the rate at which the scarcest resource is full, in requests
	// per second.
	PerSecond float64
	// Prefill, Memory and Streams are the rates, in requests per second, at
	// which each resource is full: prefill time, decode memory and decode
	// streams.
	Prefill, Memory, Streams float64
	// Formula documents how the rates are computed.
	Formula string
}

// Arrival is a caller's request at the time when it reaches an entry VM.
type Arrival struct {
	Kind      Kind
	Time      time.Time `json:"At"`
	Request   identifier.Request
	Class     identifier.Class
	Workspace identifier.Workspace
	Model     identifier.Model
	VM        identifier.VM
	// Prompt and Output are lengths in tokens. An Output of 0 in a file means
	// that the length is unknown; it is read as MaxOutput.
	Prompt, Output identifier.Tokens
	MaxOutput      identifier.Tokens
	// Chain identifies the prefix that the prompt begins with. Shared is the
	// length of that prefix in tokens.
	Chain  uint64
	Shared identifier.Tokens
	// Prefix holds the hashes of the prompt's whole blocks. If nil, they are
	// derived from Chain, Shared and Request.
	Prefix []identifier.Block `json:",omitempty"`
}

// Cancel is a caller that abandons its request.
type Cancel struct {
	Kind    Kind
	Time    time.Time `json:"At"`
	Request identifier.Request
}

// FaultKind is the type of a Fault.
type FaultKind string

// The faults of a trace.
const (
	FaultUpstreamDies     FaultKind = "UpstreamDies"
	FaultUpstreamRestarts FaultKind = "UpstreamRestarts"
	FaultTransfersStall   FaultKind = "TransfersStall"
)

// Fault is a failure of an upstream, or its restart.
type Fault struct {
	Kind     Kind
	Time     time.Time `json:"At"`
	Fault    FaultKind
	Upstream identifier.Upstream
	// Until is the end of a stall of transfers; it is zero for other faults.
	Until time.Time `json:",omitzero"`
}
