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

// Configuration is one accepted configuration in the form that the duties
// use.
type Configuration struct {
	Revision  identifier.Revision
	Classes   []admitter.Class
	Pools     []registrar.Pool
	Upstreams []registrar.Upstream
	// ModelClasses names the class of a model's requests that name none.
	ModelClasses map[identifier.Model]identifier.Class
}

// SetConfiguration brings a configuration into force. One whose revision is
// not higher than the present one is ignored.
func (s *Server) SetConfiguration(c Configuration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Revision <= s.configuration.Revision {
		return
	}
	s.configuration = c
	s.registrar.Replace(c.Pools, c.Upstreams)
	s.changed()
}

// SetLive replaces the live VMs.
func (s *Server) SetLive(live []registrar.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Equal(s.live, live) {
		return
	}
	s.live = live
	s.sync.Offer(livePeers(live))
	s.reclaimer.SetLive(s.ctx, names(live))
	s.deduper.SetLive(names(live))
	s.changed()
}

// Live returns the VMs that this one takes for live.
func (s *Server) Live() []registrar.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.live)
}

// Owned returns the shards whose ledger is kept here.
func (s *Server) Owned() []registrar.Shard {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.own()
}

// own is Owned with mu held.
func (s *Server) own() []registrar.Shard {
	var out []registrar.Shard
	for _, shard := range s.registrar.Catalog().Shards() {
		if shard.Owner(s.live) == s.self.ID {
			out = append(out, shard)
		}
	}
	return out
}

// changed tells the duties of the fleet and configuration. mu is held.
func (s *Server) changed() {
	catalog := s.registrar.Catalog()
	s.dispatcher.SetView(dispatcher.View{
		Live:    s.live,
		Catalog: catalog,
		Classes: s.configuration.Classes,
	})
	own := s.own()
	s.poller.SetShards(s.ctx, own)
	s.reclaimer.SetShards(s.ctx, compared(own))
	s.orders.Offer(orderer.WantedOf(s.Configuration(), runnersOf(own)))
	s.members.Offer(prober.Configured{Upstreams: all(catalog)})
	s.health.assign(assigned(catalog, own))
	s.health.feedAll()
}

func names(vms []registrar.VM) []identifier.VM {
	var out []identifier.VM
	for _, v := range vms {
		out = append(out, v.ID)
	}
	return out
}

// compared gives the reclaimer the runners of the owned shards.
func compared(own []registrar.Shard) []reclaimer.Shard {
	var out []reclaimer.Shard
	for _, shard := range own {
		out = append(out, reclaimer.Shard{ID: shard.ID, Upstreams: runnersOf([]registrar.Shard{shard})})
	}
	return out
}

// all names every upstream of a catalog.
func all(catalog *registrar.Catalog) []identifier.Upstream {
	var out []identifier.Upstream
	for _, u := range catalog.Upstreams() {
		out = append(out, u.ID)
	}
	return out
}

// runnersOf names the runners of shards.
func runnersOf(shards []registrar.Shard) []identifier.Upstream {
	var out []identifier.Upstream
	for _, shard := range shards {
		for _, u := range shard.Upstreams {
			out = append(out, u.ID)
		}
	}
	return out
}

// assigned names all upstreams, those that are retired, and those that this VM
// probes: plain services, which every VM calls, and the runners of its own
// shards.
func assigned(catalog *registrar.Catalog, own []registrar.Shard) prober.Assigned {
	out := prober.Assigned{All: all(catalog), Probed: runnersOf(own)}
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
