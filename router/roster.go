package router

import (
	"maps"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/figtrack/figtrack/exchanger"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/keeper"
	"github.com/figtrack/figtrack/wire"
)

// Keys that figtrack itself writes to the store.
const (
	// KeyPrefix begins all of them.
	KeyPrefix     = "figtrack/"
	rosterPrefix  = "figtrack/vms/"
	ordersKey     = "figtrack/orders"
	crashesKey    = "figtrack/crashes"
	ratesKey      = "figtrack/rates"
	versionsKey   = "figtrack/versions"
	streamsPrefix = "figtrack/streams/"
)

// departedRetention is how long a VM that left the roster still counts for the
// shares of the retry budget: its last sends still count in the current
// window.
const departedRetention = 20 * time.Second

// RosterKey returns the key of a VM's own entry.
func RosterKey(vm identifier.VM) string { return rosterPrefix + string(vm) }

// RosterValue returns the value of a VM's own entry. Without a valid address the VM takes
// no datagrams of others.
func RosterValue(self exchanger.Peer, in identifier.DataCentre) ([]byte, error) {
	e := &wire.RosterEntry{VM: string(self.VM), DataCentre: string(in), Incarnation: uint64(self.Incarnation)}
	if self.Address.IsValid() {
		e.Address, e.Secret = self.Address.String(), self.Secret
	}
	return proto.Marshal(e)
}

// roster holds the VMs that have an entry in the store.
type roster struct {
	// members holds the incarnation of each VM in the roster.
	members map[identifier.VM]identifier.Incarnation
	// peers holds the same VMs as members.
	peers map[identifier.VM]exchanger.Peer
	// departed holds when each VM left that still counts. The time is in the
	// future for a VM that has a valid lease although its entry is missing.
	departed map[identifier.VM]time.Time
	// isResumed is true if the first listing had the entry of an earlier start of this VM;
	// formerSecret is the secret of that start.
	isResumed    bool
	formerSecret []byte
}

func newRoster() roster {
	return roster{members: map[identifier.VM]identifier.Incarnation{}, peers: map[identifier.VM]exchanger.Peer{}, departed: map[identifier.VM]time.Time{}}
}

// apply updates the roster with an entry below rosterPrefix.
func (r *roster) apply(now time.Time, entry keeper.Entry) error {
	vm := identifier.VM(strings.TrimPrefix(entry.Key, rosterPrefix))
	if entry.Value == nil {
		r.remove(now, vm)
		return nil
	}
	var e wire.RosterEntry
	if err := proto.Unmarshal(entry.Value, &e); err != nil {
		return err
	}
	r.members[vm] = identifier.Incarnation(e.Incarnation)
	r.peers[vm] = peerOf(vm, &e)
	delete(r.departed, vm)
	return nil
}

// retain removes the VMs that are missing in a listing of all entries, as of at.
func (r *roster) retain(at time.Time, listed map[identifier.VM]bool) {
	for vm := range r.members {
		if !listed[vm] {
			r.remove(at, vm)
		}
	}
}

func (r *roster) remove(at time.Time, vm identifier.VM) {
	if _, ok := r.members[vm]; ok {
		r.departed[vm] = at
	}
	delete(r.members, vm)
	delete(r.peers, vm)
}

// vms returns the VMs that count counts, sorted.
func (r *roster) vms(now time.Time) []identifier.VM {
	r.count(now) // Forgets those that departed long ago.
	all := slices.AppendSeq(slices.Collect(maps.Keys(r.members)), maps.Keys(r.departed))
	slices.Sort(all)
	return slices.Compact(all)
}

// count returns the number of VMs in the roster or departed for at most
// departedRetention; at least 1.
func (r *roster) count(now time.Time) int {
	for vm, at := range r.departed {
		if now.Sub(at) > departedRetention {
			delete(r.departed, vm)
		}
	}
	return max(1, len(r.members)+len(r.departed))
}
