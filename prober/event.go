package prober

import "github.com/figtrack/figtrack/identifier"

// Event is what the core is told. The set is sealed.
type Event interface{ event() }

// Wake lets the core act on what has become due.
type Wake struct{}

// Received is one frame of another VM.
type Received struct {
	From  identifier.VM
	Frame Frame
}

// Listed replaces the hints by the platform's list.
type Listed struct{ Hints []Hint }

// Leave announces the graceful shutdown of this VM.
type Leave struct{}

// UpstreamLeaving states that an upstream is leaving, or no longer, as heard
// on this VM.
type UpstreamLeaving struct {
	Upstream identifier.Upstream
	Leaving  bool
	Source   Source
}

// Configured replaces the upstreams of the configuration. Notices of others
// are dropped, so that they don't gather over the months.
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

// Body is the duty of a frame. The set is sealed.
type Body interface{ body() }

// Ping asks for an Ack of the same sequence number.
type Ping struct{ Sequence identifier.Sequence }

// Ack answers a Ping, or a PingRequest in the name of its target.
type Ack struct{ Sequence identifier.Sequence }

// PingRequest asks the receiver to ping Target and to pass on its Ack.
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

// Table carries all that the sender knows, or nothing if the digest of the
// asking VM is its own.
type Table struct{}

func (Ping) body()        {}
func (Ack) body()         {}
func (PingRequest) body() {}
func (Gossip) body()      {}
func (Sync) body()        {}
func (Table) body()       {}
