package router

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/figtrack/figtrack/exchanger"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/wire"
)

// Exchange carries reports and digests between VMs. Its methods never block.
type Exchange interface {
	// SetRoster replaces the VMs that take part.
	SetRoster(r exchanger.Roster)
	// Request asks for a report soon.
	Request()
}

// SetExchange sets the exchange, which gets the roster at each Wake.
func (f *Fleet) SetExchange(e Exchange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.exchange = e
}

// updateExchange gives the roster to the exchange once the store was read: before, this VM
// would take the fleet for itself alone.
func (f *Fleet) updateExchange() {
	var e Exchange
	var r exchanger.Roster
	var place int
	var isListed bool
	isDone := f.step(coreRoster, "Exchange", func() {
		e, isListed = f.exchange, f.isListed
		r.Count, r.IsResumed, r.Secret = f.roster.count(time.Now()), f.roster.isResumed, f.roster.formerSecret
		for _, vm := range slices.Sorted(maps.Keys(f.roster.peers)) {
			if vm < f.ownVM() {
				place++
			}
			r.Peers = append(r.Peers, f.roster.peers[vm])
		}
	})
	if !isListed || !isDone {
		return
	}
	f.quotas.setMembers(r.Count, place)
	if e != nil {
		e.SetRoster(r)
	} else {
		f.quotas.isolateWithoutExchange(time.Now())
	}
}

// takeListedRoster takes in that the VMs that a listing lacks have left. The first listing
// shows whether an earlier start of this VM is still listed: the VM enrols afterwards. f.mu
// must be held.
func (f *Fleet) takeListedRoster(absentSince time.Time, listed map[identifier.VM]bool) {
	f.roster.retain(absentSince, listed)
	if !f.isListed {
		f.roster.isResumed = listed[f.ownVM()]
		f.roster.formerSecret = f.roster.peers[f.ownVM()].Secret
	}
}

// FormerSecret returns the secret of an earlier start of this VM that was still listed at the
// first listing; nil if there was none. The VM keeps it: others reach it by the entry of that
// start until they have read the new one.
func (f *Fleet) FormerSecret() []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.roster.formerSecret
}

// IsListed reports whether the store was read once.
func (f *Fleet) IsListed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isListed
}

// RequestExchange asks for a report of this VM soon.
func (f *Fleet) RequestExchange() {
	f.mu.Lock()
	e := f.exchange
	f.mu.Unlock()
	if e != nil {
		e.Request()
	}
}

// peerOf returns the VM of an entry. An address or a secret that can't be used makes it a
// VM without an address.
func peerOf(vm identifier.VM, e *wire.RosterEntry) exchanger.Peer {
	p := exchanger.Peer{VM: vm, Incarnation: identifier.Incarnation(e.GetIncarnation())}
	address, err := netip.ParseAddrPort(e.GetAddress())
	if err == nil && len(e.GetSecret()) == exchanger.SecretSize && address.Port() != 0 && !address.Addr().IsUnspecified() {
		p.Address, p.Secret = address, e.GetSecret()
	}
	return p
}
