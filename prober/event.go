package prober

import "github.com/figtrack/figtrack/identifier"

// Event is an input of the core. The set is sealed.
type Event interface{ event() }

// Wake makes the core run what has become due.
type Wake struct{}

// Received is a frame received from another VM.
type Received struct {
	From  identifier.VM
	Frame Frame
}

// Listed replaces the hints by those of the platform's list.
type Listed struct{ Hints []Hint }

// Leave starts the announcement of this VM's graceful shutdown.
type Leave struct{}

// UpstreamLeaving reports whether an upstream is leaving, as this VM learned from
// a source.
type UpstreamLeaving struct {
	Upstream identifier.Upstream
	Leaving  bool
	Source   Source
}

// Configured replaces the upstreams of the configuration. Notices about other
// upstreams are dropped, so that they don't accumulate over months.
type Configured struct{ Upstreams []identifier.Upstream }

func (Configured) event()      {}
func (Wake) event()            {}
func (Received) event()        {}
func (Listed) event()          {}
func (Leave) event()           {}
func (UpstreamLeaving) event() {}

// Frame is one message between cores.
type Frame struct {
	// Sender is the sender's record of itself; its state is Alive.
	Sender  Record
	Records []Record
	Notices []Notice
	Body    Body
}

// Body is the type-specific part of a frame. The set is sealed.
type Body interface{ body() }

// Ping asks for an Ack of the same sequence number.
type Ping struct{ Sequence identifier.Sequence }

// Ack answers a Ping, or a PingRequest on behalf of its target.
type Ack struct{ Sequence identifier.Sequence }

// PingRequest asks the receiver to ping Target and to forward its Ack.
type PingRequest struct {
	Sequence identifier.Sequence
	Target   identifier.VM
}

// Gossip carries records and notices only.
type Gossip struct{}

// Sync asks for a Table.
type Sync struct {
	// Digest is the hash of all that the sender knows.
	Digest uint64
}

// Table carries all that the sender knows, or nothing if the digest in the Sync
// equals its own.
type Table struct{}

func (Ping) body()        {}
func (Ack) body()         {}
func (PingRequest) body() {}
func (Gossip) body()      {}
func (Sync) body()        {}
func (Table) body()       {}
