package server

import (
	"context"

	"github.com/figtrack/figtrack/identifier"
	"github.com/figtrack/figtrack/quarantiner"
)

// quarantine implements relayer.Quarantine. Its probes are cancelled when the
// server stops.
type quarantine struct {
	*quarantiner.Shell
	ctx context.Context
}

// ConnectionLost implements relayer.Quarantine.
func (q quarantine) ConnectionLost(u identifier.Upstream) { q.Shell.ReportConnectionLost(q.ctx, u) }

// guardOf returns the VM that guards an upstream: the owner of its shard, or
// this VM if no shard has the upstream.
func (s *Server) guardOf(u identifier.Upstream) identifier.VM {
	live := s.LiveVMs()
	for _, shard := range s.registrar.Catalog().Shards() {
		for _, member := range shard.Upstreams {
			if member.ID == u {
				return shard.Owner(live)
			}
		}
	}
	return s.self.ID
}

func (s *Server) liveVMIDs() []identifier.VM { return vmIDs(s.LiveVMs()) }
