package drainer

import "time"

// Event is an input of the core. The set of events is sealed.
type Event interface{ event() }

// Signalled reports a SIGTERM or SIGINT.
type Signalled struct{}

// WorkChanged reports the current work.
type WorkChanged struct{ Work Work }

// Wake lets the core handle deadlines that have passed.
type Wake struct{}

func (Signalled) event()   {}
func (WorkChanged) event() {}
func (Wake) event()        {}

// Outcome is a decision of the core, which its caller carries out. The set of
// outcomes is sealed.
type Outcome interface{ outcome() }

// FailReadiness makes the readiness check fail, so that the balancer stops
// sending requests.
type FailReadiness struct{}

// TellPeers notifies the other VMs that this one is leaving. They remove it from
// their rendezvous hashes.
type TellPeers struct{}

// HandOver gives up shards and keys: this VM no longer counts itself as live,
// and the new owners take over.
type HandOver struct{}

// RefuseNew refuses new work with outcomer.Draining and closes idle
// connections.
type RefuseNew struct{}

// CutStreams ends all streams with outcomer.CutByDrain and releases their holds.
type CutStreams struct{ Count int }

// Exit ends the process. Cut is the number of streams that were cut.
type Exit struct{ Cut int }

// WakeAt requests a Wake event at a time. A later WakeAt replaces it.
type WakeAt struct{ At time.Time }

func (FailReadiness) outcome() {}
func (TellPeers) outcome()     {}
func (HandOver) outcome()      {}
func (RefuseNew) outcome()     {}
func (CutStreams) outcome()    {}
func (Exit) outcome()          {}
func (WakeAt) outcome()        {}
