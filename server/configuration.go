package server

import (
	"slices"

	"github.com/figtrack/figtrack/admitter"
	"github.com/figtrack/figtrack/dispatcher"
	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/orderer"
	"github.com/figtrack/figtrack/prober"
	"github.com/figtrack/figtrack/reclaimer"
	"github.com/figtrack/figtrack/registrar"
)

// Configuration is an accepted configuration, converted to the types of the
// components that use it.
type Configuration struct {
	Revision  identifier.Revision
	Classes   []admitter.Class
	Pools     []registrar.Pool
	Upstreams []registrar.Upstream
	// ModelClasses holds the default class of each model, for requests that
	// name no class.
	ModelClasses map[identifier.Model]identifier.Class
}

// SetConfiguration puts a configuration into force. It is ignored if its
// revision is not higher than the current one.
func (s *Server) SetConfiguration(c Configuration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Revision <= s.configuration.Revision {
		return
	}
	s.configuration = c
	s.registrar.Replace(c.Pools, c.Upstreams)
	s.updateComponents()
}

// SetLive replaces the set of live VMs.
func (s *Server) SetLive(live []registrar.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Equal(s.live, live) {
		return
	}
	s.live = live
	s.sync.Offer(livePeers(live))
	s.reclaimer.SetLive(s.ctx, vmIDs(live))
	s.deduper.SetLive(vmIDs(live))
	s.updateComponents()
}

// LiveVMs returns the VMs that this VM considers live.
func (s *Server) LiveVMs() []registrar.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.live)
}

// OwnedShards returns the shards whose ledger this VM keeps.
func (s *Server) OwnedShards() []registrar.Shard {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ownedLocked()
}

// ownedLocked returns the shards whose ledger this VM keeps. The caller holds
// mu.
func (s *Server) ownedLocked() []registrar.Shard {
	var out []registrar.Shard
	for _, shard := range s.registrar.Catalog().Shards() {
		if shard.Owner(s.live) == s.self.ID {
			out = append(out, shard)
		}
	}
	return out
}

// updateComponents passes the live VMs and the configuration to all components.
// The caller holds mu.
func (s *Server) updateComponents() {
	catalog := s.registrar.Catalog()
	s.dispatcher.SetView(dispatcher.View{
		LiveVMs: s.live,
		Catalog: catalog,
		Classes: s.configuration.Classes,
	})
	own := s.ownedLocked()
	s.poller.SetShards(s.ctx, own)
	s.reclaimer.SetShards(s.ctx, reclaimerShards(own))
	s.orders.Offer(orderer.WantedOf(s.Configuration(), runnersOf(own)))
	s.membership.Offer(prober.Configured{Upstreams: upstreamIDs(catalog)})
	s.health.assign(assignedUpstreams(catalog, own))
	s.health.notifyImpaired()
}

func vmIDs(vms []registrar.VM) []identifier.VM {
	var out []identifier.VM
	for _, v := range vms {
		out = append(out, v.ID)
	}
	return out
}

// reclaimerShards returns the owned shards with their runners as the reclaimer
// expects them.
func reclaimerShards(own []registrar.Shard) []reclaimer.Shard {
	var out []reclaimer.Shard
	for _, shard := range own {
		out = append(out, reclaimer.Shard{ID: shard.ID, Upstreams: runnersOf([]registrar.Shard{shard})})
	}
	return out
}

// upstreamIDs returns the IDs of all upstreams of a catalog.
func upstreamIDs(catalog *registrar.Catalog) []identifier.Upstream {
	var out []identifier.Upstream
	for _, u := range catalog.Upstreams() {
		out = append(out, u.ID)
	}
	return out
}

// runnersOf returns the IDs of the runners of shards.
func runnersOf(shards []registrar.Shard) []identifier.Upstream {
	var out []identifier.Upstream
	for _, shard := range shards {
		for _, u := range shard.Upstreams {
			out = append(out, u.ID)
		}
	}
	return out
}

// assignedUpstreams returns all upstreams, the retired ones, and those that this
// VM probes: plain services, which every VM calls, and the runners of its own
// shards.
func assignedUpstreams(catalog *registrar.Catalog, own []registrar.Shard) prober.Assigned {
	out := prober.Assigned{All: upstreamIDs(catalog), Probed: runnersOf(own)}
	for _, u := range catalog.Upstreams() {
		if u.Role == identifier.RolePlain {
			out.Probed = append(out.Probed, u.ID)
		}
		if u.Leaving {
			out.Retired = append(out.Retired, u.ID)
		}
	}
	return out
}

// Class implements listener.Classes.
func (s *Server) Class(name identifier.Class) (admitter.Class, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.configuration.Classes {
		if c.Name == name {
			return c, true
		}
	}
	return admitter.Class{}, false
}

// ClassFor implements listener.Classes.
func (s *Server) ClassFor(m identifier.Model) (identifier.Class, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name, ok := s.configuration.ModelClasses[m]
	return name, ok
}

// ClassNames implements listener.Classes.
func (s *Server) ClassNames() []identifier.Class {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make([]identifier.Class, 0, len(s.configuration.Classes))
	for _, c := range s.configuration.Classes {
		names = append(names, c.Name)
	}
	slices.Sort(names)
	return names
}

// Models implements listener.Classes.
func (s *Server) Models() []identifier.Model { return s.registrar.Catalog().Models() }
