package drainer

import "time"

// Event is what the core is told. The set is sealed.
type Event interface{ event() }

// Signalled is SIGTERM or SIGINT.
type Signalled struct{}

// WorkChanged gives the work at present.
type WorkChanged struct{ Work Work }

// Wake asks the core to act on what has become due.
type Wake struct{}

func (Signalled) event()   {}
func (WorkChanged) event() {}
func (Wake) event()        {}

// Outcome is what the core decides. The set is sealed.
type Outcome interface{ outcome() }

// FailReadiness makes the readiness check fail, for the balancer.
type FailReadiness struct{}

// TellPeers tells the other VMs that this one is leaving. They take it out
// of their rendezvous hashes.
type TellPeers struct{}

// HandOver gives up shards and keys: this VM counts itself as not live, and
// the new owners take over.
type HandOver struct{}

// RefuseNew refuses new work with outcomer.Draining and closes idle
// connections.
type RefuseNew struct{}

// CutStreams ends all streams with outcomer.CutByDrain and releases what
// they hold.
type CutStreams struct{ Count int }

// Exit ends the process. Cut is the number of streams that were cut off.
type Exit struct{ Cut int }

// WakeAt asks for a Wake event at a time. A later WakeAt replaces it.
type WakeAt struct{ At time.Time }

func (FailReadiness) outcome() {}
func (TellPeers) outcome()     {}
func (HandOver) outcome()      {}
func (RefuseNew) outcome()     {}
func (CutStreams) outcome()    {}
func (Exit) outcome()          {}
func (WakeAt) outcome()        {}
